// Package operator implements the operator's command jasminectl. A subcommand
// calls the control hosts, prints the result as text or as JSON, and fails with a
// typed error that names the remedy.
package operator

import (
	"context"
	"crypto/rand"
	"flag"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

// Streams are the outputs and the random source of the command.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// Random is the source of the secret part of new keys, the system's when nil.
	Random io.Reader
}

// command is one run of jasminectl.
type command struct {
	Streams
	connection settings.Connection
	json       bool
	timeout    time.Duration
	control    *client.Control
	peer       *peer.Peer
}

// Run runs jasminectl with the arguments args, which exclude the program's name.
func Run(ctx context.Context, args []string, streams Streams) error {
	if streams.Random == nil {
		streams.Random = rand.Reader
	}
	c := &command{Streams: streams}
	fs := flag.NewFlagSet("jasminectl", flag.ContinueOnError)
	fs.SetOutput(streams.Err)
	c.connection.Flags(fs)
	fs.BoolVar(&c.json, "json", false, "print answers as JSON")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "bound on one call, while no leader answers")
	root := &ffcli.Command{
		Name:       "jasminectl",
		ShortUsage: "jasminectl [flags] SUBCOMMAND",
		ShortHelp:  "Operate a fleet.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Subcommands: []*ffcli.Command{
			c.validateCommand(), c.applyCommand(), c.diffCommand(), c.exportCommand(),
			c.historyCommand(), c.waitCommand(), c.statusCommand(), c.explainCommand(),
			c.keyCommand(), c.teamCommand(), c.adapterCommand(), c.backendCommand(),
			c.hostCommand(), c.membersCommand(), c.evacuationCommand(),
		},
		Exec: func(context.Context, []string) error { return usageError("name a subcommand; -h lists them") },
	}
	setUsageOutput(root, streams.Err)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return settings.ErrHelp
		}
		return fault.Wrap(err, fault.KindInvalidSetting, "the arguments are invalid", "run jasminectl -h")
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return settings.ErrHelp
	}
	return err
}

// setUsageOutput makes all subcommands write their usage texts to out.
func setUsageOutput(c *ffcli.Command, out io.Writer) {
	for _, sub := range c.Subcommands {
		if sub.FlagSet == nil {
			sub.FlagSet = flag.NewFlagSet(sub.Name, flag.ContinueOnError)
		}
		sub.FlagSet.SetOutput(out)
		setUsageOutput(sub, out)
	}
}

func usageError(remedy string) error {
	return fault.New(fault.KindInvalidSetting, "the command is incomplete", remedy)
}

const (
	// defaultTimeout outlasts an election, which takes about 2 s.
	defaultTimeout = 10 * time.Second
	// leaderRetryInterval is the delay before a call that found no leader is retried.
	leaderRetryInterval = 200 * time.Millisecond
)

// attemptTimeout limits one attempt at one control host. It allows for a change
// to wait for a quorum and, right after an election, for the new leader.
const attemptTimeout = 5 * time.Second

// connect returns the client of the control hosts, which it creates on first use.
func (c *command) connect() (*client.Control, error) {
	if c.control != nil {
		return c.control, nil
	}
	urls, security, err := c.connection.Check()
	if err != nil {
		return nil, err
	}
	p, err := roles.NewPeer(c.connection.Cluster, security)
	if err != nil {
		return nil, err
	}
	c.peer = p
	c.control = client.NewControl(p, urls, attemptTimeout)
	return c.control, nil
}

// call calls a control host and retries until c.timeout while no leader answers.
func call[Resp any](ctx context.Context, c *command, fn func(context.Context, apiv1connect.OperatorServiceClient) (*Resp, error)) (*Resp, error) {
	control, err := c.connect()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		resp, err := client.Operator(ctx, control, fn)
		if err == nil || !noLeader(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leaderRetryInterval):
		}
	}
}

// noLeader reports whether the call had no effect because no leader answered, as
// during an election.
func noLeader(err error) bool {
	return fault.Is(err, fault.KindNotLeader) || fault.Is(err, fault.KindUnavailable)
}

// currentConfig returns the configuration in force.
func (c *command) currentConfig(ctx context.Context) (*config.Snapshot, error) {
	resp, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.GetManifestResponse, error) {
		return o.GetManifest(ctx, &apiv1.GetManifestRequest{Cluster: c.connection.Cluster})
	})
	if err != nil {
		return nil, err
	}
	m := resp.GetManifest()
	if m == nil {
		m = &apiv1.Manifest{Cluster: c.connection.Cluster}
	}
	return config.FromManifest(m, resp.GetRevision()), nil
}

func (c *command) status(ctx context.Context) (*apiv1.StatusResponse, error) {
	return call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.StatusResponse, error) {
		return o.Status(ctx, &apiv1.StatusRequest{Cluster: c.connection.Cluster})
	})
}
