// Package operator is the operator's command jasminectl. Each subcommand makes
// one call to the control hosts, prints one answer, as text or as JSON, and
// fails with a typed error that names the remedy.
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

// Streams are where the command reads and writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// Random gives the secret part of new keys; nil means the system's source.
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

// Run runs jasminectl with the arguments that follow the program's name.
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
			c.hostCommand(), c.membersCommand(),
		},
		Exec: func(context.Context, []string) error { return usage("name a subcommand; -h lists them") },
	}
	silence(root, streams.Err)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return settings.ErrHelp
		}
		return fault.Wrap(err, fault.KindInvalidSetting, "the arguments can't be read", "run jasminectl -h")
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return settings.ErrHelp
	}
	return err
}

// silence sends the usage texts of all subcommands to the error stream.
func silence(c *ffcli.Command, out io.Writer) {
	for _, sub := range c.Subcommands {
		if sub.FlagSet == nil {
			sub.FlagSet = flag.NewFlagSet(sub.Name, flag.ContinueOnError)
		}
		sub.FlagSet.SetOutput(out)
		silence(sub, out)
	}
}

func usage(remedy string) error {
	return fault.New(fault.KindInvalidSetting, "the command is not complete", remedy)
}

const (
	// defaultTimeout outlasts an election, which takes about 2 s.
	defaultTimeout = 10 * time.Second
	// leaderPause is the time between two looks for a leader.
	leaderPause = 200 * time.Millisecond
)

// operatorTryTimeout bounds one try on one control host. A change waits for a
// quorum, and right after an election for the new leader.
const operatorTryTimeout = 5 * time.Second

// connect makes the client of the control hosts on first use.
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
	c.control = client.NewControl(p, urls, operatorTryTimeout)
	return c.control, nil
}

// call runs one call on a control host.
func call[Resp any](ctx context.Context, c *command, fn func(context.Context, apiv1connect.OperatorServiceClient) (*Resp, error)) (*Resp, error) {
	control, err := c.connect()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		resp, err := client.Operator(ctx, control, fn)
		if err == nil || !awaitsLeader(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leaderPause):
		}
	}
}

// awaitsLeader tells whether nothing was carried out because no leader answered,
// as during an election.
func awaitsLeader(err error) bool {
	return fault.Is(err, fault.KindNotLeader) || fault.Is(err, fault.KindUnavailable)
}

// inForce returns the configuration in force.
func (c *command) inForce(ctx context.Context) (*config.Snapshot, error) {
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
