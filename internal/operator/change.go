package operator

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

// changeFlags are the flags of every subcommand that changes the configuration.
type changeFlags struct {
	number uint64
	author string
	wait   time.Duration
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	fs.Uint64Var(&f.number, "number", 0, "number of the change; the next one when 0. Repeat the number to resend a change whose answer was lost")
	fs.StringVar(&f.author, "author", "", "operator's name, kept with the change")
	fs.DurationVar(&f.wait, "wait", 0, "wait this long for the change to be in force on every live host")
}

func (c *command) validateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "jasminectl validate FILE",
		ShortHelp:  "Check a manifest without a fleet.",
		Exec: func(_ context.Context, args []string) error {
			m, err := loadManifest(args)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Out, "valid: %d adapters, %d teams, %d keys, %d routes, %d backend servers\n",
				len(m.GetAdapters()), len(m.GetTeams()), len(m.GetKeys()), len(m.GetRoutes()), len(m.GetBackendServers()))
			return nil
		},
	}
}

func loadManifest(args []string) (*apiv1.Manifest, error) {
	if len(args) != 1 {
		return nil, usageError("name one manifest file")
	}
	m, err := manifest.Load(args[0])
	if err != nil {
		return nil, err
	}
	return m, manifest.Check(m)
}

func (c *command) applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	var f changeFlags
	f.register(fs)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "jasminectl apply [-number N] FILE",
		ShortHelp:  "Put a whole manifest in force.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			m, err := loadManifest(args)
			if err != nil {
				return err
			}
			return c.change(ctx, f, &apiv1.ChangeCommand{Manifest: m})
		},
	}
}

// changeOps sends a change that consists of the ops.
func (c *command) changeOps(ctx context.Context, f changeFlags, ops ...*apiv1.Op) error {
	return c.change(ctx, f, &apiv1.ChangeCommand{Ops: ops})
}

// change sends a change under its number, or the next number if none is given,
// and prints the outcome. With -wait it then waits until the change is in force.
func (c *command) change(ctx context.Context, f changeFlags, change *apiv1.ChangeCommand) error {
	change.Number, change.Author = f.number, f.author
	if change.Number == 0 {
		conf, err := c.currentConfig(ctx)
		if err != nil {
			return err
		}
		change.Number = conf.Revision + 1
	}
	resp, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.ApplyResponse, error) {
		return o.Apply(ctx, &apiv1.ApplyRequest{Cluster: c.connection.Cluster, Change: change})
	})
	if err != nil {
		return wrapUnknownOutcome(err, change.Number)
	}
	if err := c.printOutcome(resp); err != nil {
		return err
	}
	if f.wait == 0 {
		return nil
	}
	return c.waitInForce(ctx, resp.GetNumber(), f.wait)
}

// wrapUnknownOutcome adds to err the number under which the change can be resent,
// if err leaves open whether the change was accepted.
func wrapUnknownOutcome(err error, number uint64) error {
	if e, ok := fault.As(err); ok {
		switch e.Kind {
		case fault.KindOutcomeUnknown, fault.KindUnavailable, fault.KindDeadline, fault.KindInternal:
		default:
			return err
		}
	}
	return fault.Wrap(err, fault.KindOutcomeUnknown, "the change may have been accepted",
		fmt.Sprintf("send the same change again with -number %d; it is applied once at most", number))
}

func (c *command) printOutcome(resp *apiv1.ApplyResponse) error {
	switch resp.GetOutcome() {
	case apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		return c.print(resp, fmt.Sprintf("accepted: change %d", resp.GetNumber()))
	case apiv1.ApplyOutcome_APPLY_OUTCOME_ALREADY_ACCEPTED:
		return c.print(resp, fmt.Sprintf("already accepted: change %d", resp.GetNumber()))
	case apiv1.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
		return conflictError(resp)
	default:
		return fault.New(fault.KindInvalidManifest, resp.GetMessage(), "correct the change and send it again; what was in force stays in force")
	}
}

func conflictError(resp *apiv1.ApplyResponse) error {
	message := resp.GetMessage()
	if len(resp.GetInForceDigest()) > 0 {
		message += fmt.Sprintf(" (in force under this number: %s by %q)",
			hex.EncodeToString(resp.GetInForceDigest())[:12], resp.GetInForceAuthor())
	}
	return fault.New(fault.KindChangeConflict, message,
		fmt.Sprintf("read what is in force with diff or history, then send the change as number %d", resp.GetRevision()+1))
}

func (c *command) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "jasminectl diff FILE",
		ShortHelp:  "Show what a manifest would change.",
		Exec: func(ctx context.Context, args []string) error {
			m, err := loadManifest(args)
			if err != nil {
				return err
			}
			conf, err := c.currentConfig(ctx)
			if err != nil {
				return err
			}
			ops := manifest.Diff(conf, m)
			if len(ops) == 0 {
				fmt.Fprintln(c.Out, "no difference")
				return nil
			}
			fmt.Fprint(c.Out, manifest.DiffText(conf, ops))
			return nil
		},
	}
}

func (c *command) exportCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "export",
		ShortUsage: "jasminectl export",
		ShortHelp:  "Print the configuration in force as a manifest.",
		Exec: func(ctx context.Context, _ []string) error {
			conf, err := c.currentConfig(ctx)
			if err != nil {
				return err
			}
			out, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(conf.Manifest())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Out, "%s\n", out)
			return nil
		},
	}
}

func (c *command) historyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("history", flag.ContinueOnError)
	from := fs.Uint64("from", 1, "first number to show")
	limit := fs.Uint("limit", 50, "largest number of changes to show")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "jasminectl history [-from N] [-limit N]",
		ShortHelp:  "List accepted changes.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			resp, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.HistoryResponse, error) {
				return o.History(ctx, &apiv1.HistoryRequest{Cluster: c.connection.Cluster, FromNumber: *from, Limit: uint32(*limit)})
			})
			if err != nil {
				return err
			}
			return c.printHistory(resp)
		},
	}
}

func (c *command) printHistory(resp *apiv1.HistoryResponse) error {
	if c.json {
		return c.print(resp, "")
	}
	for _, ch := range resp.GetChanges() {
		at := time.UnixMilli(ch.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
		fmt.Fprintf(c.Out, "%d %s %s %q %d ops\n", ch.GetNumber(), at, hex.EncodeToString(ch.GetDigest())[:12], ch.GetAuthor(), len(ch.GetOps()))
	}
	return nil
}
