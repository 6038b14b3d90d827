package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployments, as in the settings that DEPLOY.md shows.
const (
	contact  = 3000 * time.Millisecond
	configIn = 2000 * time.Millisecond
	drainIn  = 3000 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

const (
	frontPort, readyPort, controlPort, listPort, metricsPort = 8221, 8224, 8229, 8225, 9464
	peerPort                                                 = 7600
)

// machine is one machine of the system with its process.
type machine struct {
	name, class, zone, ip string
	dir                   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started int
	stopped bool // no restart
}

// fleet is the deployment with its surroundings.
type fleet struct {
	rec   *record
	dir   string
	cores []*machine
	front []*machine
	list  *list
	net   string // first three numbers of all addresses

	starter starter

	closers []func()
}

var zones = []string{"heredia", "cartago", "alajuela"}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, starter: newStarter()}
	if f.net, err = freeNet(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	for i, zone := range zones {
		f.cores = append(f.cores, f.newMachine(fmt.Sprintf("core-%s-%d", zone, i+1), "core", zone, i+10))
		f.front = append(f.front, f.newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), "front", zone, i+20))
	}
	f.list = newList(rec)
	if err := f.serve(f.address(2, listPort), f.list); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return f, nil
}

// freeNet returns a part of the loopback network in which all ports of a
// deployment are free.
func freeNet() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if netIsFree(n) {
			return n, nil
		}
	}
	return "", errors.New("no free part of the loopback network")
}

func netIsFree(n string) bool {
	for _, host := range []int{2, 10, 11, 12, 20, 21, 22} {
		for _, port := range []int{frontPort, readyPort, controlPort, listPort, metricsPort, peerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.net, host, port) }

// serve serves HTTP on the address until the fleet is closed.
func (f *fleet) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, func() { _ = srv.Close() })
	return nil
}

func (f *fleet) newMachine(name, class, zone string, host int) *machine {
	m := &machine{name: name, class: class, zone: zone, ip: fmt.Sprintf("%s.%d", f.net, host)}
	m.dir = filepath.Join(f.dir, name)
	return m
}

// settings returns the settings file of a machine.
func (f *fleet) settings(m *machine, firstStart bool) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name=%s", m.name)
	line("role=%s", map[string]string{"front": "entry", "core": "control"}[m.class])
	line("machine_class=%s", m.class)
	line("serves=%s", map[string]string{"front": "front", "core": "control"}[m.class])
	line("ip=%s", m.ip)
	line("zone=%s", m.zone)
	line("region=valle-central")
	for _, z := range zones {
		line("zones.%s=valle-central", z)
	}
	if m.class == "front" {
		line("listen.front=%s:%d", m.ip, frontPort)
		line("listen.ready=%s:%d", m.ip, readyPort)
	} else {
		line("listen.control=%s:%d", m.ip, controlPort)
		line("data_dir=%s", filepath.Join(m.dir, "data"))
	}
	line("port_range=%d,%d", peerPort, peerPort+15)
	var seeds []string
	for _, c := range f.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	line("seeds=%s", strings.Join(seeds, ","))
	line("first_start=%v", firstStart)
	line("loss_counts=%v", m.class == "core")
	line("limits.cpu_share=%v", map[string]float64{"front": 0.4, "core": 0.96}[m.class])
	line("limits.cores=1")
	line("limits.memory_mb=%d", m.memoryMB())
	line("limits.max_fds=4100")
	line("limits.link_mbps=1000.0")
	line("limits.disk_mb=%d", map[string]int{"front": 0, "core": 128}[m.class])
	line("discovery=cloud")
	line("entry=vip")
	line("beat_interval_ms=1200")
	line("contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota")
	line("tolerate.machines=1")
	line("tolerate.zones=0")
	line("tolerate.regions=0")
	b.WriteString(bounds)
	line("config_mode=highest")
	line("cloud.address=%s", f.address(2, listPort))
	line("cloud.rate_per_s=47.0")
	line("cloud.duties=")
	line("cloud.max_lag_ms=800")
	return b.String()
}

// memoryMB is the memory of the machine.
func (m *machine) memoryMB() int { return map[string]int{"front": 284, "core": 280}[m.class] }

const bounds = `bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.quota_window_s=8
bounds.quota_over=0.1
bounds.quota_slack=110000
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.fence_checked=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_over=1.1
bounds.version_ms=5000
`

// start starts all machines at once.
func (f *fleet) start(ctx context.Context) error {
	for _, m := range append(append([]*machine{}, f.cores...), f.front...) {
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
			return err
		}
		if err := f.startProcess(m, true); err != nil {
			return err
		}
	}
	go f.superviseAll(ctx)
	return nil
}

// startProcess starts the program of a machine with the command of the deploy file.
func (f *fleet) startProcess(m *machine, firstStart bool) error {
	path := filepath.Join(m.dir, "boot.conf")
	if err := os.WriteFile(path, []byte(f.settings(m, firstStart)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	program := map[string]string{"front": "target/jasmine-platform-entry", "core": "target/jasmine-platform-control"}[m.class]
	cmd := exec.Command(program, fmt.Sprintf("-metrics-port=%d", metricsPort))
	cmd.Env = append(os.Environ(), "JASMINESADDLE_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.starter.start(cmd); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.started++
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// starter starts processes from one thread that never ends: the processes end with it.
type starter struct{ requests chan startRequest }

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

func newStarter() starter {
	s := starter{make(chan startRequest)}
	go func() {
		runtime.LockOSThread()
		for r := range s.requests {
			r.result <- r.cmd.Start()
		}
	}()
	return s
}

func (s starter) start(cmd *exec.Cmd) error {
	r := startRequest{cmd, make(chan error, 1)}
	s.requests <- r
	return <-r.result
}

// superviseAll starts processes again that have ended, as the platform does.
func (f *fleet) superviseAll(ctx context.Context) {
	for _, m := range append(append([]*machine{}, f.cores...), f.front...) {
		go func() {
			for {
				m.mu.Lock()
				exited := m.exited
				m.mu.Unlock()
				select {
				case <-ctx.Done():
					return
				case <-exited:
				}
				time.Sleep(restartDelay)
				m.mu.Lock()
				stopped := m.stopped
				m.mu.Unlock()
				if stopped || ctx.Err() != nil {
					return
				}
				f.rec.add("platform: %s starts again", m.name)
				if err := f.startProcess(m, false); err != nil {
					f.rec.add("platform: %s does not start: %v", m.name, err)
					return
				}
			}
		}()
	}
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range append(append([]*machine{}, f.cores...), f.front...) {
		m.mu.Lock()
		m.stopped = true
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	for _, c := range f.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.rec.add("logs are kept in %s", f.dir)
	}
}

// awaitReady waits until all front machines say that they are ready.
func (f *fleet) awaitReady(ctx context.Context, machines ...*machine) error {
	client := &http.Client{Timeout: time.Second}
	for _, m := range machines {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("%s does not become ready: %w", m.name, err)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
