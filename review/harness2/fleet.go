package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// host is one process of the system with the loopback address that stands for its machine.
type host struct {
	name, role, ip, zone string
	settings             string
	// memoryMB is the memory of the machine; a process that needs more is killed.
	memoryMB int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet is a small deployment: the system's own processes, and the platform that this program plays.
type fleet struct {
	dir      string
	record   *record
	hosts    []*host
	platform *platform
	client   *http.Client
}

// Ports are the same on all machines of a deployment.
var (
	frontPort, readyPort, controlPort, listPort, firstPeerPort int
)

// bounds are those of the site file that the claims name.
const bounds = `tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
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

// choosePorts picks ports that are free on the loopback addresses of the deployment.
func choosePorts(ips []string) error {
	for range 50 {
		first := 20000 + rand.IntN(20000)
		if portsFree(ips, first) {
			frontPort, readyPort, controlPort, listPort, firstPeerPort = first, first+1, first+2, first+3, first+4
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func portsFree(ips []string, first int) bool {
	for _, ip := range ips {
		for p := first; p < first+6; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// active is the deployment of the running case.
var active atomic.Pointer[fleet]

// closeActive ends the processes of the running case.
func closeActive() {
	if f := active.Load(); f != nil {
		f.close()
	}
}

// newFleet prepares a deployment of control and entry hosts in a temporary folder.
func newFleet(rec *record, controls, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "jasmine-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec, client: &http.Client{Timeout: 2 * time.Second}}
	net2, net3 := 20+rand.IntN(200), rand.IntN(200)
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net2, net3, n) }
	var ips []string
	zones := []string{"heredia", "cartago", "alajuela"}
	for i := range controls {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("core-%d", i+1), role: "core", ip: ip(10 + i), zone: zones[i%3], memoryMB: 280})
	}
	for i := range entries {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: ip(40 + i), zone: zones[i%3], memoryMB: 284})
	}
	for _, h := range f.hosts {
		ips = append(ips, h.ip)
	}
	listIP := ip(5)
	if err := choosePorts(append(ips, listIP)); err != nil {
		return nil, err
	}
	f.platform = &platform{address: net.JoinHostPort(listIP, strconv.Itoa(listPort)), serverIP: func(n int) string { return ip(100 + n) }}
	active.Store(f)
	return f, f.platform.start()
}

func (f *fleet) writeSettings(h *host, firstStart bool) error {
	var seeds []string
	for _, c := range f.hosts {
		if c.role == "core" && len(seeds) < 3 {
			seeds = append(seeds, net.JoinHostPort(c.ip, strconv.Itoa(controlPort)))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=%s\nmachine_class=%s\nip=%s\nzone=%s\nregion=valle-central\n", h.name, h.role, h.role, h.ip, h.zone)
	b.WriteString("zones.heredia=valle-central\nzones.cartago=valle-central\nzones.alajuela=valle-central\n")
	if h.role == "front" {
		fmt.Fprintf(&b, "serves=front\nlisten.front=%s:%d\nlisten.ready=%s:%d\nloss_counts=false\nlimits.disk_mb=0\n", h.ip, frontPort, h.ip, readyPort)
		b.WriteString("limits.cpu_share=0.4\nlimits.max_fds=4100\n")
	} else {
		fmt.Fprintf(&b, "serves=control\nlisten.control=%s:%d\nloss_counts=true\nlimits.disk_mb=128\ndata_dir=%s\n", h.ip, controlPort, filepath.Join(f.dir, "data-"+h.name))
		b.WriteString("limits.cpu_share=0.96\nlimits.max_fds=4096\n")
	}
	fmt.Fprintf(&b, "limits.cores=1\nlimits.memory_mb=%d\nlimits.link_mbps=1000.0\n", h.memoryMB)
	fmt.Fprintf(&b, "port_range=%d,%d\nseeds=%s\nfirst_start=%v\n", firstPeerPort, firstPeerPort+1, strings.Join(seeds, ","), firstStart)
	b.WriteString("discovery=cloud\nentry=vip\nbeat_interval_ms=1200\nconfig_mode=highest\n")
	b.WriteString("contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota\n")
	b.WriteString(bounds)
	fmt.Fprintf(&b, "cloud.address=%s\ncloud.rate_per_s=47.0\ncloud.duties=\ncloud.max_lag_ms=800\n", f.platform.address)
	h.settings = filepath.Join(f.dir, h.name+".conf")
	return os.WriteFile(h.settings, []byte(b.String()), 0o600)
}

// programOf returns the command of the deploy file for a class of machines.
func programOf(role string) []string {
	if role == "front" {
		return []string{"target/jasmine-platform-entry", "-metrics-port=9464"}
	}
	return []string{"target/jasmine-platform-control", "-metrics-port=9464"}
}

// start starts the process of a host.
func (f *fleet) start(h *host, firstStart bool) error {
	if err := f.writeSettings(h, firstStart); err != nil {
		return err
	}
	if h.role == "core" {
		if err := os.MkdirAll(filepath.Join(f.dir, "data-"+h.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := programOf(h.role)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "JASMINESADDLE_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	f.record.logf("process %s started (pid %d)", h.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		f.record.logf("process %s ended: %s", h.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) running() bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// startAll starts all hosts, puts the document in force and waits until all entry hosts are ready.
func (f *fleet) startAll(document map[string]any) error {
	for _, h := range f.hosts {
		if err := f.start(h, true); err != nil {
			return err
		}
	}
	if err := f.replaceConfig(document, 20*time.Second); err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	for _, h := range f.entries() {
		for !f.ready(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	return nil
}

func (f *fleet) entries() []*host  { return f.byRole("front") }
func (f *fleet) controls() []*host { return f.byRole("core") }

func (f *fleet) byRole(role string) []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.role == role {
			out = append(out, h)
		}
	}
	return out
}

func (f *fleet) ready(h *host) bool {
	resp, err := f.client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replaceConfig sends a desired state until one control host acknowledges it.
func (f *fleet) replaceConfig(document map[string]any, patience time.Duration) error {
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	end, last := time.Now().Add(patience), ""
	for time.Now().Before(end) {
		for _, h := range f.controls() {
			resp, err := f.client.Post(fmt.Sprintf("http://%s:%d/Config.Replace", h.ip, controlPort), "application/json", bytes.NewReader(data))
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.record.logf("desired state %v acknowledged by %s", document["version"], h.name)
				return nil
			}
			last = resp.Status + " " + string(text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no control host acknowledged the desired state: %s", last)
}

// close ends all processes of the deployment and removes its folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.mu.Lock()
		ended := h.ended
		h.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	f.platform.close()
	_ = os.RemoveAll(f.dir)
}

// residentMB returns the memory of a process in MB, 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
