package operator

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

// groupCommand returns a subcommand that only has subcommands of its own.
func groupCommand(name, help string, subs ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "jasminectl " + name + " SUBCOMMAND",
		ShortHelp:   help,
		Subcommands: subs,
		Exec:        func(context.Context, []string) error { return usageError("name a subcommand; -h lists them") },
	}
}

// changeCommand returns a subcommand that sends the ops made from its argument as
// a change.
func (c *command) changeCommand(name, args, help string, fs *flag.FlagSet, ops func(ctx context.Context, arg string) ([]*apiv1.Op, error)) *ffcli.Command {
	if fs == nil {
		fs = flag.NewFlagSet(name, flag.ContinueOnError)
	}
	var f changeFlags
	f.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "jasminectl ... " + name + " [flags] " + args,
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, rest []string) error {
			if len(rest) != 1 {
				return usageError("give the argument " + args + " after the flags")
			}
			list, err := ops(ctx, rest[0])
			if err != nil {
				return err
			}
			return c.changeOps(ctx, f, list...)
		},
	}
}

func (c *command) keyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("issue", flag.ContinueOnError)
	id := fs.String("id", "", "identifier of the new key")
	issue := c.changeCommand("issue", "TEAM", "Issue a key and print it once.", fs,
		func(_ context.Context, team string) ([]*apiv1.Op, error) {
			presented, key, err := manifest.NewKey(*id, team, c.Random)
			if err != nil {
				return nil, err
			}
			// The key is printed before the change is sent. Otherwise, if the
			// response were lost, it would be in force and nobody would know it.
			fmt.Fprintf(c.Out, "key: %s\n", presented)
			return []*apiv1.Op{{Op: &apiv1.Op_PutKey{PutKey: key}}}, nil
		})
	withdraw := c.changeCommand("withdraw", "ID", "Withdraw a key.", nil,
		func(_ context.Context, id string) ([]*apiv1.Op, error) {
			return []*apiv1.Op{{Op: &apiv1.Op_DeleteKey{DeleteKey: id}}}, nil
		})
	return groupCommand("key", "Issue and withdraw keys.", issue, withdraw)
}

func (c *command) teamCommand() *ffcli.Command {
	fs := flag.NewFlagSet("set", flag.ContinueOnError)
	perSecond := fs.Uint64("tokens-per-second", 0, "rate in tokens per second")
	burst := fs.Uint64("burst", 0, "burst in tokens")
	weight := fs.Uint("weight", 1, "share in fair queueing")
	maxSlots := fs.Uint("max-slots", 0, "bound on adapter slots; 0 for none")
	set := c.changeCommand("set", "NAME", "Create a team or change its rate.", fs,
		func(ctx context.Context, name string) ([]*apiv1.Op, error) {
			return []*apiv1.Op{{Op: &apiv1.Op_PutTeam{PutTeam: &apiv1.Team{
				Name:     name,
				Rate:     &apiv1.Rate{TokensPerSecond: *perSecond, BurstTokens: *burst},
				Weight:   uint32(*weight),
				MaxSlots: uint32(*maxSlots),
			}}}}, nil
		})
	remove := c.changeCommand("delete", "NAME", "Delete a team that has no keys.", nil,
		func(_ context.Context, name string) ([]*apiv1.Op, error) {
			return []*apiv1.Op{{Op: &apiv1.Op_DeleteTeam{DeleteTeam: name}}}, nil
		})
	return groupCommand("team", "Create, change and delete teams.", set, remove)
}

func (c *command) adapterCommand() *ffcli.Command {
	fs := flag.NewFlagSet("publish", flag.ContinueOnError)
	model := fs.String("base-model", "", "base model of a new adapter")
	weights := fs.String("weights", "", "path in the weight store")
	keepDefault := fs.Bool("keep-default", false, "leave the adapter's default version as it is")
	publish := c.changeCommand("publish", "ADAPTER:VERSION", "Publish a version of an adapter.", fs,
		func(ctx context.Context, arg string) ([]*apiv1.Op, error) {
			name, version, ok := strings.Cut(arg, ":")
			if !ok {
				return nil, usageError("write the argument as ADAPTER:VERSION")
			}
			conf, err := c.currentConfig(ctx)
			if err != nil {
				return nil, err
			}
			v := &apiv1.AdapterVersion{Version: version, Weights: *weights}
			return putAdapter(withVersion(conf, name, *model, v, *keepDefault)), nil
		})
	withdraw := c.changeCommand("withdraw", "ADAPTER[:VERSION]", "Withdraw a version or a whole adapter.", nil,
		func(ctx context.Context, arg string) ([]*apiv1.Op, error) {
			name, version, ok := strings.Cut(arg, ":")
			if !ok {
				return []*apiv1.Op{{Op: &apiv1.Op_DeleteAdapter{DeleteAdapter: name}}}, nil
			}
			conf, err := c.currentConfig(ctx)
			if err != nil {
				return nil, err
			}
			a, err := withoutVersion(conf, name, version)
			return putAdapter(a), err
		})
	return groupCommand("adapter", "Publish and withdraw adapters.", publish, withdraw)
}

func putAdapter(a *apiv1.Adapter) []*apiv1.Op {
	return []*apiv1.Op{{Op: &apiv1.Op_PutAdapter{PutAdapter: a}}}
}

// withVersion returns the adapter with the version added or replaced.
func withVersion(conf *config.Snapshot, name, model string, v *apiv1.AdapterVersion, keepDefault bool) *apiv1.Adapter {
	a := &apiv1.Adapter{Name: name, BaseModel: model}
	if old, ok := conf.Adapter(name); ok {
		a = proto.Clone(old).(*apiv1.Adapter)
	}
	versions := make([]*apiv1.AdapterVersion, 0, len(a.GetVersions())+1)
	for _, have := range a.GetVersions() {
		if have.GetVersion() != v.GetVersion() {
			versions = append(versions, have)
		}
	}
	a.Versions = append(versions, v)
	if !keepDefault || a.GetDefaultVersion() == "" {
		a.DefaultVersion = v.GetVersion()
	}
	return a
}

// withoutVersion returns the adapter without the version.
func withoutVersion(conf *config.Snapshot, name, version string) (*apiv1.Adapter, error) {
	old, ok := conf.Adapter(name)
	if !ok {
		return nil, fault.Newf(fault.KindUnknownAdapter, "list the adapters with export", "there is no adapter %q", name)
	}
	a := proto.Clone(old).(*apiv1.Adapter)
	a.Versions = nil
	for _, have := range old.GetVersions() {
		if have.GetVersion() != version {
			a.Versions = append(a.Versions, have)
		}
	}
	return a, nil
}

func (c *command) backendCommand() *ffcli.Command {
	leave := c.changeCommand("leave", "NAME", "Send a backend server no new work.", nil, c.setLeaving(true))
	back := c.changeCommand("return", "NAME", "Send a backend server work again.", nil, c.setLeaving(false))
	return groupCommand("backend", "Take backend servers out of work and back.", leave, back)
}

func (c *command) setLeaving(leaving bool) func(context.Context, string) ([]*apiv1.Op, error) {
	return func(ctx context.Context, name string) ([]*apiv1.Op, error) {
		conf, err := c.currentConfig(ctx)
		if err != nil {
			return nil, err
		}
		old, ok := conf.BackendServer(name)
		if !ok {
			return nil, fault.Newf(fault.KindNoBackend, "list the backend servers with export", "there is no backend server %q", name)
		}
		b := proto.Clone(old).(*apiv1.BackendServer)
		b.Leaving = leaving
		return []*apiv1.Op{{Op: &apiv1.Op_PutBackendServer{PutBackendServer: b}}}, nil
	}
}
