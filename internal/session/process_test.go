package session

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a program that a script started in the background.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// processes holds the background programs of one script by name.
type processes map[string]*process

type processesKey struct{}

func running(ts *testscript.TestScript) processes {
	return ts.Value(processesKey{}).(processes)
}

// start runs a program in the background: start NAME PROGRAM ARGS... Its output
// goes to NAME.log.
func start(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	path, err := exec.LookPath(filepath.Join(ts.Getenv("BIN"), args[1]))
	ts.Check(err)
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer log.Close()
	cmd := exec.Command(path, args[2:]...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = environ(ts)
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	running(ts)[name] = p
}

// environ gives the script's variables that the programs read.
func environ(ts *testscript.TestScript) []string {
	out := []string{"TESTSCRIPT_COMMAND="}
	for _, name := range []string{"PATH", "HOME", "WORK", "TMPDIR", "JASMINE_CLUSTER", "JASMINE_SECRET_FILE", "JASMINE_CONTROL"} {
		out = append(out, name+"="+ts.Getenv(name))
	}
	return out
}

// signals that scripts send. STOP and CONT freeze a process and let it go on.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal sends a signal to a background program: signal KILL NAME.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	p, ok := running(ts)[args[1]]
	if !ok {
		ts.Fatalf("no process %q runs", args[1])
	}
	ts.Check(p.cmd.Process.Signal(signals[args[0]]))
}

// ended waits for a background program. It must have succeeded, or failed when
// the command is negated.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	p, ok := running(ts)[args[0]]
	if !ok {
		ts.Fatalf("no process %q runs", args[0])
	}
	select {
	case err := <-p.done:
		delete(running(ts), args[0])
		if neg != (err != nil) {
			ts.Fatalf("process %s ended with %v\n%s", args[0], err, ts.ReadFile(args[0]+".log"))
		}
	case <-time.After(eventuallyBound):
		ts.Fatalf("process %s did not end within %s\n%s", args[0], eventuallyBound, ts.ReadFile(args[0]+".log"))
	}
}

// killAll ends what a script left running.
func (all processes) killAll() {
	for _, p := range all {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// fleetPorts are the addresses of the fleet that the command fleet starts.
var fleetPorts = []string{"C1", "C2", "C3", "P1", "I1", "P2", "I2", "E1", "E2", "S1"}

// fleet starts three control hosts, two entry hosts, two stand-in engines and a
// stand-in service, and applies fleet.yaml.
func fleet(ts *testscript.TestScript, _ bool, _ []string) {
	ports(ts, false, fleetPorts)
	addr := func(name string) string { return "http://" + ts.Getenv(name) }
	ts.Setenv("JASMINE_CONTROL", strings.Join([]string{addr("C1"), addr("C2"), addr("C3")}, ","))
	ts.Setenv("MEMBERS", "c1="+addr("C1")+"@d1,c2="+addr("C2")+"@d2,c3="+addr("C3")+"@d3")
	for _, n := range []string{"1", "2"} {
		start(ts, false, []string{"e" + n, "standin-engine", "-listen", ts.Getenv("E" + n), "-slots", "2", "-token-time", "2ms"})
	}
	start(ts, false, []string{"s1", "standin-service", "-listen", ts.Getenv("S1"), "-delay", "20ms"})
	for _, n := range []string{"1", "2", "3"} {
		control(ts, false, []string{n})
	}
	for _, n := range []string{"1", "2"} {
		entry(ts, false, []string{n})
	}
	ts.Check(os.WriteFile(ts.MkAbs("fleet.yaml"), []byte(os.Expand(fleetManifest, ts.Getenv)), 0o600))
	eventually(ts, false, []string{`host h1 .*live=true(.|\n)*host h2 .*live=true`, "jasminectl", "status"})
	ts.Check(ts.Exec("jasminectl", "apply", "-number", "1", "-author", "ana", "-wait", "30s", "fleet.yaml"))
}

// control starts the control host with the number. The variables MEMBERS and
// PLATFORM_URL are passed on.
func control(ts *testscript.TestScript, _ bool, args []string) {
	n := args[0]
	listen := ts.Getenv("C" + n)
	start(ts, false, []string{"c" + n, "jasmine-control", "-host", "c" + n, "-failure-domain", "d" + n,
		"-listen", listen, "-advertise", "http://" + listen, "-data-dir", "data-c" + n, "-members", ts.Getenv("MEMBERS"), "-platform-url", ts.Getenv("PLATFORM_URL")})
}

// entry starts the entry host with the number.
func entry(ts *testscript.TestScript, _ bool, args []string) {
	n := args[0]
	start(ts, false, []string{"h" + n, "jasmine-entry", "-host", "h" + n, "-failure-domain", "d" + n,
		"-listen", ts.Getenv("P" + n), "-internal-listen", ts.Getenv("I" + n), "-advertise", "http://" + ts.Getenv("I"+n),
		"-balancer-delay", "1s"})
}

// fleetManifest is the configuration of the fleet.
const fleetManifest = `cluster: golden
base_models: [{name: base}]
adapters:
  - {name: glaze, base_model: base, default_version: "2", versions: [{version: "1", weights: a/1}, {version: "2", weights: a/2}]}
  - {name: loom, base_model: base, default_version: "1", versions: [{version: "1", weights: b/1}]}
teams:
  - {name: north, rate: {tokens_per_second: 50000, burst_tokens: 200000}}
  - {name: south, rate: {tokens_per_second: 50000, burst_tokens: 200000}}
keys:
  - {id: north, team: north, sha256: "$HASH_NORTH"}
  - {id: south, team: south, sha256: "$HASH_SOUTH"}
routes:
  - {name: questions, path: /v1, kind: ROUTE_KIND_MODEL, class: ROUTE_CLASS_INTERACTIVE, pool: assistant}
  - {name: booking, path: /booking, kind: ROUTE_KIND_SERVICE, class: ROUTE_CLASS_INTERACTIVE, pool: registration, non_repeatable: true}
  - {name: public, path: /public, kind: ROUTE_KIND_SERVICE, class: ROUTE_CLASS_INTERACTIVE, pool: registration, open: true}
backend_servers:
  - {name: engine-1, address: "http://$E1", failure_domain: d1, kind: BACKEND_KIND_ENGINE, pool: assistant, base_model: base, slots: 2, max_batch: 16}
  - {name: engine-2, address: "http://$E2", failure_domain: d2, kind: BACKEND_KIND_ENGINE, pool: assistant, base_model: base, slots: 2, max_batch: 16}
  - {name: service-1, address: "http://$S1", failure_domain: d1, kind: BACKEND_KIND_SERVICE, pool: registration}
`
