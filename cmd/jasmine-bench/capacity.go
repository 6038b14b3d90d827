package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminesaddle/jasminesaddle/internal/capacity"
)

type capacitySettings struct {
	quick     bool
	page, dir string
}

func capacityCommand(out io.Writer) *ffcli.Command {
	var s capacitySettings
	fs := flag.NewFlagSet("jasmine-bench capacity", flag.ContinueOnError)
	fs.BoolVar(&s.quick, "quick", false, "small sizes and few rounds; the figures are not meaningful")
	fs.StringVar(&s.page, "page", "", "page whose marked tables are rewritten; the tables are printed when empty")
	fs.StringVar(&s.dir, "dir", "", "folder for temporary data folders, the system's when empty")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "jasmine-bench capacity [flags]",
		ShortHelp:  "measure slopes and work out what each role costs at the two-year size",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec:       func(ctx context.Context, _ []string) error { return s.run(ctx, out) },
	}
}

func (s *capacitySettings) run(ctx context.Context, out io.Writer) error {
	r, err := capacity.Run(ctx, capacity.Options{Quick: s.quick, Dir: s.dir, Progress: func(line string) {
		fmt.Fprintln(os.Stderr, "measured:", line)
	}})
	if err != nil {
		return err
	}
	tables := r.Tables(capacity.TwoYears())
	if s.page != "" {
		return rewritePage(s.page, tables)
	}
	for _, t := range tables {
		if _, err := fmt.Fprintf(out, "## %s\n\n%s\n", t.Name, t.Markdown()); err != nil {
			return err
		}
	}
	return nil
}

func rewritePage(path string, tables []capacity.Table) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := capacity.Rewrite(string(page), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}
