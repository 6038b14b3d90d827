// Command harness3 plays the cases of the third review that cannot be put as a day of the bench. It starts the project's own
// programs as separate processes on loopback addresses, with stand-ins for the infrastructure's list, the backend servers, the
// operator and the callers, and writes what happened to the record of the case.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the small deployments' sheets.
const (
	contact   = 3000 * time.Millisecond
	ackBound  = 4000 * time.Millisecond
	catchUp   = 4 * time.Second
	recoverIn = 12 * time.Second
)

// errCannotRun is the error of a case that could not run.
var errCannotRun = errors.New("the case could not run")

// record writes the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the fleet.
type machine struct {
	name, class, ip, zone string
	firstStart            bool
	process               *exec.Cmd
	done                  chan struct{}
}

// fleet is the system under test.
type fleet struct {
	rec  *record
	dir  string
	net  string // the first three bytes of all addresses
	list string // address of the infrastructure's list
	// ports are the same on all machines.
	front, ready, control, internal int
	memoryMB, descriptors           int

	mu       sync.Mutex
	seeds    []string
	machines []*machine
}

// newFleet picks addresses and ports that are free.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 20+pid/250%200, 1+pid%250), memoryMB: 284, descriptors: 4100}
	ports := make([]int, 4)
	for i := range ports {
		l, err := net.Listen("tcp", f.net+".250:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	f.front, f.ready, f.control, f.internal = ports[0], ports[1], ports[2], ports[3]
	return f, nil
}

func (f *fleet) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// add names a machine; it does not start it.
func (f *fleet) add(name, class, zone string, host int) *machine {
	m := &machine{name: name, class: class, ip: fmt.Sprintf("%s.%d", f.net, host), zone: zone, firstStart: true}
	f.machines = append(f.machines, m)
	return m
}

func (f *fleet) setSeeds(machines ...*machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = nil
	for _, m := range machines {
		f.seeds = append(f.seeds, f.addr(m.ip, f.control))
	}
}

// settings returns the settings of a machine, as DEPLOY.md shows them.
func (f *fleet) settings(m *machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	line("node_name", m.name)
	line("machine_class", m.class)
	line("ip", m.ip)
	line("zone", m.zone)
	line("region", "valle-central")
	for _, z := range zones {
		line("zones."+z, "valle-central")
	}
	if m.class == "front" {
		line("role", "entry")
		line("serves", "front")
		line("listen.front", f.addr(m.ip, f.front))
		line("listen.ready", f.addr(m.ip, f.ready))
		line("limits.cpu_share", 0.4)
		line("limits.disk_mb", 0)
		line("loss_counts", false)
	} else {
		line("role", "control")
		line("serves", "control")
		line("listen.control", f.addr(m.ip, f.control))
		line("limits.cpu_share", 0.96)
		line("limits.disk_mb", 128)
		line("data_dir", f.dataDir(m))
		line("loss_counts", true)
	}
	line("port_range", fmt.Sprintf("%d,%d", f.internal, f.internal))
	line("seeds", strings.Join(f.seeds, ","))
	line("first_start", m.firstStart)
	line("limits.cores", 1)
	line("limits.memory_mb", f.memoryMB)
	line("limits.max_fds", f.descriptors)
	line("limits.link_mbps", 1000.0)
	line("discovery", "cloud")
	line("entry", "vip")
	line("beat_interval_ms", 1200)
	line("contracts", "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota")
	line("tolerate.machines", 2)
	line("tolerate.zones", 0)
	line("tolerate.regions", 0)
	for _, s := range boundSettings {
		b.WriteString("bounds." + s + "\n")
	}
	line("config_mode", "highest")
	line("cloud.address", f.list)
	line("cloud.rate_per_s", 47.0)
	line("cloud.duties", "")
	line("cloud.max_lag_ms", 800)
	return b.String()
}

var zones = []string{"heredia", "cartago", "alajuela"}

var boundSettings = []string{"seed_lag_s=3", "reuse_after_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=3000", "grace_s=8",
	"loss_slack_ms=200", "config_ms=2000", "rollback_slack_ms=250", "outer_ms=5000", "strict_revoke=false", "revoke_ms=5000", "budget_ratio=0.2",
	"budget_window_s=10", "budget_slack=58", "quota_window_s=8", "quota_over=0.1", "quota_slack=110000", "recover_s=12", "pass_ms=120",
	"retry_after_s=0", "fence_checked=false", "lease_ms=3000", "thaw_ms=300", "ceiling_window_s=5", "ceiling_over=1.1", "version_ms=5000"}

func (f *fleet) dataDir(m *machine) string { return filepath.Join(f.dir, m.name, "data") }

// write writes the settings file of a machine.
func (f *fleet) write(m *machine) error {
	path := filepath.Join(f.dir, m.name)
	if err := os.MkdirAll(filepath.Join(path, "data"), 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(path, "boot.conf"), []byte(f.settings(m)), 0o644)
}

// start starts the program of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := f.write(m); err != nil {
		return err
	}
	program := "target/jasmine-platform-control"
	if m.class == "front" {
		program = "target/jasmine-platform-entry"
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "-metrics-port=9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINESADDLE_NODE_FILE=" + filepath.Join(f.dir, m.name, "boot.conf")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.done)
	f.rec.printf("%s starts at %s (first_start=%v)", m.name, m.ip, m.firstStart)
	return nil
}

// running reports whether the process of a machine runs.
func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

func (f *fleet) kill(m *machine) {
	if m.running() {
		_ = m.process.Process.Kill()
		<-m.done
		f.rec.printf("%s is killed", m.name)
	}
}

// stop ends all processes that were started, and removes their folder unless REVIEW_KEEP is set.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.running() {
			_ = m.process.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.rec.printf("logs in %s", f.dir)
	}
}

// operator sends the operator's calls.
type operator struct {
	f      *fleet
	client *http.Client
	next   int
}

func newOperator(f *fleet) *operator {
	return &operator{f: f, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// nodes are the machines that serve control and run.
func (o *operator) nodes() []*machine {
	var out []*machine
	for _, m := range o.f.machines {
		if m.class == "core" && m.running() {
			out = append(out, m)
		}
	}
	return out
}

// call makes one call at one node after the other until one gives a clear answer, and returns its status and body, 0 for none
// within the time. It follows a 307 twice.
func (o *operator) call(method, path string, body []byte, within time.Duration) (int, []byte) {
	end := time.Now().Add(within)
	backoff := 100 * time.Millisecond
	for time.Now().Before(end) {
		nodes := o.nodes()
		if len(nodes) == 0 {
			time.Sleep(backoff)
			continue
		}
		o.next++
		m := nodes[o.next%len(nodes)]
		url := "http://" + o.f.addr(m.ip, o.f.control) + path
		status, data, why := 0, []byte(nil), ""
		for hops := 0; hops <= 2; hops++ {
			req, err := http.NewRequest(method, url, bytes.NewReader(body))
			if err != nil {
				return 0, nil
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := o.client.Do(req)
			if err != nil {
				status, why = 0, err.Error()
				break
			}
			data, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, why = resp.StatusCode, strings.TrimSpace(string(data))
			if status != http.StatusTemporaryRedirect {
				break
			}
			url = resp.Header.Get("Location")
		}
		if len(why) > 160 {
			why = why[:160]
		}
		o.f.rec.printf("operator: %s %s at %s: %d %s", method, path, m.name, status, why)
		if status != 0 && status < 500 && status != 408 && status != 429 && status != http.StatusTemporaryRedirect {
			return status, data
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return 0, nil
}

func (o *operator) put(doc document, within time.Duration) int {
	data, _ := json.Marshal(doc)
	status, _ := o.call(http.MethodPost, "/Config.Replace", data, within)
	return status
}

// document is a desired state.
type document struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants,omitempty"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapAimMS        int    `json:"gap_aim_ms,omitempty"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	RatePerS    int      `json:"rate_per_s"`
	Burst       int      `json:"burst"`
}

const (
	callerHost = "ficu95.example"
	plainName  = "wuno96b"
	callerKey  = "i9n73hh2b9wu3fexd9dn"
)

// plainDocument is a desired state with one plain service.
func plainDocument(version int) document {
	return document{
		Version: version,
		Routes: []route{
			{Name: "r-safe", Host: callerHost, PathPrefix: "/safe/", Kind: "safe", TimeoutMS: 3000, TargetLatencyMS: 300, Priority: 2, Service: plainName, MaxAttempts: 2},
			{Name: "r-unsafe", Host: callerHost, PathPrefix: "/unsafe/", Kind: "unsafe", TimeoutMS: 3000, TargetLatencyMS: 300, Priority: 2, Service: plainName, MaxAttempts: 2},
		},
		Services: []service{{Name: plainName, HealthPath: "/health", MaxConns: 110, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []tenant{{Name: "hule930", Keys: []string{callerKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 109124, Burst: 109124}},
	}
}
