package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// result is what a case found.
type result struct {
	broken bool
	what   string
}

// cases are the cases by their names. trouble is false for the same run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (result, error){
	"firststart": firstStart,
	"heads":      heads,
	"polls":      polls,
	"builds":     builds,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r, err := play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case r.broken:
		rec.printf("BROKEN: %s", r.what)
		fmt.Println("broken:", r.what)
		os.Exit(1)
	}
	rec.printf("HELD: %s", r.what)
	fmt.Println("held:", r.what)
}
