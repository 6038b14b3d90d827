// Package devfleet runs a complete development fleet in one process: entry and
// control hosts with the same code as the programs, stand-in engines and stand-in
// plain services. They listen on loopback ports that the kernel chooses.
package devfleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// Cluster is the name of the development fleet.
const Cluster = "dev"

// secretText is the cluster secret. It is public and must not be used elsewhere.
const secretText = "development-secret-not-for-production"

const (
	// stopTimeout is the time limit of an entry host's graceful shutdown.
	stopTimeout = 30 * time.Second
	// balancerDelay is short, since there is no load balancer in front of the fleet.
	balancerDelay = 50 * time.Millisecond
)

// Options configures a fleet. Zero values select the defaults.
type Options struct {
	// ControlHosts, EntryHosts, Engines and Services are the numbers of control
	// hosts, entry hosts, engines and plain services; default 3, 2, 3 and 2.
	ControlHosts int
	EntryHosts   int
	Engines      int
	Services     int
	// Dir is the directory for the data directories and the secret file.
	Dir string
	// Engine configures all stand-in engines, except for their names.
	Engine standin.EngineOptions
	// Service configures all stand-in services, except for their names.
	Service standin.ServiceOptions
	Logger  zerolog.Logger
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		value *int
		def   int
	}{{&o.ControlHosts, 3}, {&o.EntryHosts, 2}, {&o.Engines, 3}, {&o.Services, 2}} {
		if *d.value == 0 {
			*d.value = d.def
		}
	}
	if o.Engine.BaseModel == "" {
		o.Engine.BaseModel = BaseModel
	}
	if o.Engine.Slots == 0 {
		o.Engine.Slots = 4
	}
	if o.Engine.Store == nil {
		o.Engine.Store = standin.NewWeightStore(standin.WeightStoreOptions{})
	}
	return o
}

// Fleet is a running development fleet.
type Fleet struct {
	Options  Options
	Controls []*Host
	Entries  []*Host
	Engines  []*standin.Engine
	Services []*standin.Service
	// EngineURLs and ServiceURLs are the base URLs of the stand-ins.
	EngineURLs  []string
	ServiceURLs []string
	SecretFile  string

	cancel context.CancelFunc
	ctx    context.Context
}

// Host is an entry or control host of the fleet.
type Host struct {
	Name string
	// URL is the public base URL of an entry host, or the base URL of a control
	// host.
	URL string

	run    func(ctx context.Context) error
	cancel context.CancelFunc
	done   chan error
}

// Start starts all servers of a fleet. It has no configuration until Publish.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Options: opts, ctx: ctx, cancel: cancel, SecretFile: filepath.Join(opts.Dir, "secret")}
	err := os.WriteFile(f.SecretFile, []byte(secretText), 0o600)
	if err == nil {
		err = errors.Join(f.startBackends(), f.startControls(), f.startEntries())
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// listen returns a listener on a free loopback port and its base URL.
func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on loopback")
	}
	return l, "http://" + l.Addr().String(), nil
}

func (f *Fleet) startBackends() error {
	for i := range f.Options.Engines {
		l, url, err := listen()
		if err != nil {
			return err
		}
		opts := f.Options.Engine
		opts.Name = fmt.Sprintf("engine-%d", i+1)
		e := standin.NewEngine(opts)
		go func() { _ = e.Serve(l) }()
		f.Engines = append(f.Engines, e)
		f.EngineURLs = append(f.EngineURLs, url)
	}
	for i := range f.Options.Services {
		l, url, err := listen()
		if err != nil {
			return err
		}
		opts := f.Options.Service
		opts.Name = fmt.Sprintf("service-%d", i+1)
		s := standin.NewService(opts)
		go func() { _ = s.Serve(l) }()
		f.Services = append(f.Services, s)
		f.ServiceURLs = append(f.ServiceURLs, url)
	}
	return nil
}

// failureDomain returns the failure domain of the i-th server of a kind, one of
// three in turn.
func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i%3+1) }

func (f *Fleet) commonSettings(name string, i int) settings.Common {
	secret, _ := os.ReadFile(f.SecretFile)
	return settings.Common{
		Cluster:       Cluster,
		Host:          name,
		FailureDomain: failureDomain(i),
		LogLevel:      f.Options.Logger.GetLevel(),
		Security:      settings.Security{Secret: secret},
	}
}

func (f *Fleet) startControls() error {
	var listeners []net.Listener
	var members []*apiv1.Member
	for i := range f.Options.ControlHosts {
		l, url, err := listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		members = append(members, &apiv1.Member{
			Host: fmt.Sprintf("control-%d", i+1), Address: url, FailureDomain: failureDomain(i), Voter: true,
		})
	}
	for i, m := range members {
		s := settings.Control{
			Common:    f.commonSettings(m.GetHost(), i),
			Advertise: m.GetAddress(),
			DataDir:   filepath.Join(f.Options.Dir, m.GetHost()),
			Members:   members,
		}
		first := listeners[i]
		h := &Host{Name: m.GetHost(), URL: m.GetAddress()}
		h.run = func(ctx context.Context) error {
			l, err := relisten(&first, h.URL)
			if err != nil {
				return err
			}
			return roles.RunControl(ctx, s, l, f.Options.Logger)
		}
		f.Controls = append(f.Controls, h)
		f.start(h)
	}
	return nil
}

// relisten returns the first listener on its first call. Later calls, after a
// restart, listen on the address of url again.
func relisten(first *net.Listener, url string) (net.Listener, error) {
	if l := *first; l != nil {
		*first = nil
		return l, nil
	}
	return net.Listen("tcp", strings.TrimPrefix(url, "http://"))
}

func (f *Fleet) startEntries() error {
	for i := range f.Options.EntryHosts {
		public, url, err := listen()
		if err != nil {
			return err
		}
		internal, internalURL, err := listen()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("entry-%d", i+1)
		s := settings.Entry{
			Common:        f.commonSettings(name, i),
			Advertise:     internalURL,
			Control:       f.ControlURLs(),
			SyncFrom:      f.ControlURLs(),
			BalancerDelay: balancerDelay,
			StopTimeout:   stopTimeout,
		}
		h := &Host{Name: name, URL: url}
		h.run = func(ctx context.Context) error { return f.runEntry(ctx, h, s, &public, &internal) }
		f.Entries = append(f.Entries, h)
		f.start(h)
	}
	return nil
}

func (f *Fleet) runEntry(ctx context.Context, h *Host, s settings.Entry, public, internal *net.Listener) error {
	host, err := roles.NewEntryHost(s, f.Options.Logger)
	if err != nil {
		return err
	}
	publicListener, err := relisten(public, h.URL)
	if err != nil {
		return err
	}
	internalListener, err := relisten(internal, s.Advertise)
	if err != nil {
		return err
	}
	return host.Run(ctx, publicListener, internalListener)
}

// ControlURLs returns the base URLs of the control hosts.
func (f *Fleet) ControlURLs() []string {
	var out []string
	for _, c := range f.Controls {
		out = append(out, c.URL)
	}
	return out
}

func (f *Fleet) start(h *Host) {
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan error, 1)
	h.cancel, h.done = cancel, done
	go func() { done <- h.run(ctx) }()
}

// Stop shuts a host down gracefully and returns the error of its run.
func (f *Fleet) Stop(h *Host) error {
	h.cancel()
	err := <-h.done
	h.done <- nil
	return err
}

// stopAll shuts down all the hosts at once and waits for them.
func (f *Fleet) stopAll(list []*Host) error {
	var errs []error
	for _, h := range list {
		h.cancel()
	}
	for _, h := range list {
		errs = append(errs, f.Stop(h))
	}
	return errors.Join(errs...)
}

// Restart starts a stopped host again at the same address.
func (f *Fleet) Restart(h *Host) { f.start(h) }

// Close stops the fleet. Entry hosts stop first, so that their requests can finish.
func (f *Fleet) Close() error {
	defer f.cancel()
	var errs []error
	errs = append(errs, f.stopAll(f.Entries), f.stopAll(f.Controls))
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	return errors.Join(errs...)
}
