// Package quickstart brings a development fleet up, publishes a sample manifest
// and sends callers' requests through it. Each step checks its answer, so that
// the run fails when an answer is missing or wrong.
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
	// readyTimeout bounds the election and the first configuration.
	readyTimeout = 30 * time.Second
	// inForceTimeout bounds the spread of a change.
	inForceTimeout = "10s"
)

// Options configures a run.
type Options struct {
	// Dir holds the fleet's files; a temporary folder unless set.
	Dir    string
	Out    io.Writer
	Logger zerolog.Logger
}

// Run runs all steps and returns the first that failed.
func Run(ctx context.Context, opts Options) (err error) {
	dir := opts.Dir
	if dir == "" {
		dir, err = os.MkdirTemp("", "jasmine-dev")
		if err != nil {
			return errors.Wrap(err, "make a folder for the fleet")
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
		{"whole answer", r.whole},
		{"streamed answer", r.streamed},
		{"wrong key", r.wrongKey},
		{"booking sent twice", r.bookTwice},
		{"withdrawn key", r.withdrawnKey},
		{"status", func() error { return r.operate("status") }},
	}
}

// publish applies the sample manifest with the operator's command.
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
	return r.operate("apply", "-number", "1", "-author", "quickstart", "-wait", inForceTimeout, path)
}

// awaitLeader waits until the control hosts have elected a leader and every
// entry host has reported to it.
func (r *run) awaitLeader() error {
	ctx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	for {
		var out strings.Builder
		err := operator.Run(ctx, r.args("status"), operator.Streams{Out: &out, Err: io.Discard})
		if err == nil && strings.Count(out.String(), "live=true") == len(r.fleet.Entries) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(errors.New("no leader, or entry hosts that do not report"), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (r *run) args(command ...string) []string {
	return append([]string{
		"-cluster", devfleet.Cluster,
		"-control", strings.Join(r.fleet.ControlURLs(), ","),
		"-secret-file", r.fleet.SecretFile,
	}, command...)
}

// operate runs the operator's command and shows it.
func (r *run) operate(command ...string) error {
	fmt.Fprintf(r.out, "$ jasminectl %s\n", strings.Join(command, " "))
	return operator.Run(r.ctx, r.args(command...), operator.Streams{Out: r.out, Err: r.out})
}
