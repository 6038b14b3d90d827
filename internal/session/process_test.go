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

// process is a program that a script runs in the background.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// processes maps names to the background programs of one script.
type processes map[string]*process

// processesKey is the key of processes in the values of a script.
type processesKey struct{}

func backgroundProcesses(ts *testscript.TestScript) processes {
	return ts.Value(processesKey{}).(processes)
}

// start runs a program in the background: start NAME PROGRAM ARGS... Its output
// is appended to NAME.log.
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
	backgroundProcesses(ts)[name] = p
}

// environ returns the environment of a background program: the variables of the
// script that programs read.
func environ(ts *testscript.TestScript) []string {
	out := []string{"TESTSCRIPT_COMMAND="}
	for _, name := range []string{"PATH", "HOME", "WORK", "TMPDIR", "JASMINE_CLUSTER", "JASMINE_SECRET_FILE", "JASMINE_CONTROL"} {
		out = append(out, name+"="+ts.Getenv(name))
	}
	return out
}

// signals are the signals that scripts can send. STOP suspends a process and CONT
// resumes it.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal sends a signal to a background program: signal KILL NAME.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	p, ok := backgroundProcesses(ts)[args[1]]
	if !ok {
		ts.Fatalf("no process %q runs", args[1])
	}
	ts.Check(p.cmd.Process.Signal(signals[args[0]]))
}

// ended waits until a background program has ended: ended NAME. The program must
// have succeeded, or failed if the command is negated.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	p, ok := backgroundProcesses(ts)[args[0]]
	if !ok {
		ts.Fatalf("no process %q runs", args[0])
	}
	select {
	case err := <-p.done:
		delete(backgroundProcesses(ts), args[0])
		if neg != (err != nil) {
			ts.Fatalf("process %s ended with %v\n%s", args[0], err, ts.ReadFile(args[0]+".log"))
		}
	case <-time.After(eventuallyTimeout):
		ts.Fatalf("process %s did not end within %s\n%s", args[0], eventuallyTimeout, ts.ReadFile(args[0]+".log"))
	}
}

// killAll kills the programs that still run at the end of a script.
func (ps processes) killAll() {
	for _, p := range ps {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// fleetPorts names the variables of the listen addresses in the fleet that the
// command fleet starts. The addresses that the control hosts advertise are in A1
// to A3.
var fleetPorts = []string{"C1", "C2", "C3", "P1", "I1", "P2", "I2", "E1", "E2", "S1"}

// fleet starts three control hosts, two entry hosts, two stand-in engines and a
// stand-in service, and applies fleet.yaml. With the argument "forwarded", each
// control host is reached through a forwarder, whose control address is in F1 to
// F3.
func fleet(ts *testscript.TestScript, _ bool, args []string) {
	ports(ts, false, fleetPorts)
	for _, n := range []string{"1", "2", "3"} {
		ts.Setenv("A"+n, ts.Getenv("C"+n))
	}
	if len(args) > 0 && args[0] == "forwarded" {
		ports(ts, false, []string{"A1", "A2", "A3", "F1", "F2", "F3"})
		for _, n := range []string{"1", "2", "3"} {
			start(ts, false, []string{"f" + n, "forward", "-listen", ts.Getenv("A" + n), "-to", ts.Getenv("C" + n), "-control", ts.Getenv("F" + n)})
		}
	}
	addr := func(name string) string { return "http://" + ts.Getenv(strings.Replace(name, "C", "A", 1)) }
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

// control starts a control host: control NUMBER. It passes on the variables
// MEMBERS and PLATFORM_URL.
func control(ts *testscript.TestScript, _ bool, args []string) {
	n := args[0]
	listen, advertised := ts.Getenv("C"+n), ts.Getenv("A"+n)
	if advertised == "" {
		advertised = listen
	}
	start(ts, false, []string{"c" + n, "jasmine-control", "-host", "c" + n, "-failure-domain", "d" + n,
		"-listen", listen, "-advertise", "http://" + advertised, "-data-dir", "data-c" + n, "-members", ts.Getenv("MEMBERS"), "-platform-url", ts.Getenv("PLATFORM_URL")})
}

// entry starts an entry host: entry NUMBER.
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
