// Package quickstart starts a development fleet, applies a sample manifest and sends
// requests to its entry hosts. Each step checks its responses; the first missing or
// wrong one makes the run fail.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/jasminesaddle/jasminesaddle/internal/devfleet"
	"github.com/jasminesaddle/jasminesaddle/internal/operator"
)

const (
	// readyTimeout covers the election of a leader and the entry hosts' first reports
	// to it.
	readyTimeout = 30 * time.Second
	// inForceTimeout is how long jasminectl waits until a change is in force on
	// every live host.
	inForceTimeout = "10s"
)

// Options configures a run.
type Options struct {
	// Dir is the directory for the fleet's files; default a temporary directory.
	Dir    string
	Out    io.Writer
	Logger zerolog.Logger
}

// Run runs all steps and returns the error of the first one that fails.
func Run(ctx context.Context, opts Options) (err error) {
	dir := opts.Dir
	if dir == "" {
		dir, err = os.MkdirTemp("", "jasmine-dev")
		if err != nil {
			return errors.Wrap(err, "create a directory for the fleet")
		}
		defer os.RemoveAll(dir)
	}
	fleet, err := devfleet.Start(ctx, devfleet.Options{Dir: dir, Logger: opts.Logger})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	r := &run{ctx: ctx, out: opts.Out, dir: dir, fleet: fleet}
	for _, s := range r.steps() {
		if err := s.run(); err != nil {
			return errors.Wrapf(err, "step %q", s.name)
		}
	}
	fmt.Fprintln(opts.Out, "all answers as expected")
	return nil
}

// run is one run of the quick start.
type run struct {
	ctx   context.Context
	out   io.Writer
	dir   string
	fleet *devfleet.Fleet
}

type step struct {
	name string
	run  func() error
}

func (r *run) steps() []step {
	return []step{
		{"publish the manifest", r.publish},
		{"whole answer", r.fullCompletion},
		{"streamed answer", r.streamedCompletion},
		{"wrong key", r.invalidKey},
		{"booking sent twice", r.bookTwice},
		{"withdrawn key", r.withdrawnKey},
		{"status", func() error { return r.jasminectl("status") }},
	}
}

// publish applies the sample manifest with jasminectl.
func (r *run) publish() error {
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(r.fleet.Manifest())
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, "manifest.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if err := r.awaitLeader(); err != nil {
		return err
	}
	return r.jasminectl("apply", "-number", "1", "-author", "quickstart", "-wait", inForceTimeout, path)
}

// awaitLeader waits until the control hosts have elected a leader and every
// entry host has reported to it.
func (r *run) awaitLeader() error {
	ctx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	for {
		var out strings.Builder
		err := operator.Run(ctx, r.jasminectlArgs("status"), operator.Streams{Out: &out, Err: io.Discard})
		if err == nil && strings.Count(out.String(), "live=true") == len(r.fleet.Entries) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(errors.New("no leader was elected, or not all entry hosts have reported to it"), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (r *run) jasminectlArgs(command ...string) []string {
	return append([]string{
		"-cluster", devfleet.Cluster,
		"-control", strings.Join(r.fleet.ControlURLs(), ","),
		"-secret-file", r.fleet.SecretFile,
	}, command...)
}

// jasminectl prints and runs a jasminectl command.
func (r *run) jasminectl(command ...string) error {
	fmt.Fprintf(r.out, "$ jasminectl %s\n", strings.Join(command, " "))
	return operator.Run(r.ctx, r.jasminectlArgs(command...), operator.Streams{Out: r.out, Err: r.out})
}
