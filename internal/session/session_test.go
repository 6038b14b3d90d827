// Package session tests the real programs end to end with testscript files. Each
// script starts the processes that it needs, causes a failure and checks what
// callers, operators and backend servers saw.
package session

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminesaddle/jasminesaddle/internal/commands"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
	"github.com/jasminesaddle/jasminesaddle/internal/program"
)

var update = flag.Bool("update", false, "rewrite golden files")

// eventuallyTimeout bounds the wait for a condition. It is far above the expected
// time, so that a busy machine does not fail a test, and is no statement about
// speed.
const eventuallyTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jasmine-control": func() { program.Main(commands.Control) },
		"jasmine-entry":   func() { program.Main(commands.Entry) },
		"jasminectl":      func() { program.Main(commands.Operator) },
		"standin-engine":  func() { program.Main(commands.StandinEngine) },
		"standin-service": func() { program.Main(commands.StandinService) },
		"jasmine-load":    func() { program.Main(loadRun) },
		"call":            func() { program.Main(call) },
		"forward":         func() { program.Main(forward) },
		"platform-list":   func() { program.Main(platformList) },
		"change-many":     func() { program.Main(changeMany) },
	})
}

// maxParallelScripts bounds the scripts that run at once. Each has about eight
// processes, whose leases expire if the machine is too busy.
const maxParallelScripts = 6

func TestSessions(t *testing.T) {
	running := make(chan struct{}, maxParallelScripts)
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":       ports,
			"expand":      expand,
			"eventually":  eventually,
			"normalize":   normalize,
			"start":       start,
			"signal":      signal,
			"ended":       ended,
			"fleet":       fleet,
			"control":     control,
			"entry":       entry,
			"leader":      leader,
			"within-rate": withinRate,
			"authority":   authority,
			"certificate": certificate,
			"capture":     capture,
		},
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			all := processes{}
			env.Values[processesKey{}] = all
			env.Defer(all.killAll)
			env.Setenv("LOOPBACK", loopback())
			env.Setenv("BIN", strings.Split(env.Getenv("PATH"), string(os.PathListSeparator))[0])
			env.Setenv("JASMINE_CLUSTER", "golden")
			env.Setenv("HASH_NORTH", manifest.HashKey("jsk_north_0123456789abcdef"))
			env.Setenv("HASH_SOUTH", manifest.HashKey("jsk_south_0123456789abcdef"))
			env.Setenv("JASMINE_SECRET_FILE", env.WorkDir+"/secret")
			return os.WriteFile(env.WorkDir+"/secret", []byte("golden-session-secret-0123"), 0o600)
		},
	})
}

// ports sets each named variable to a free address. Each script uses its own
// loopback IP address: on 127.0.0.1, an outgoing connection of another script
// could take a free port before the program listens on it.
func ports(ts *testscript.TestScript, neg bool, args []string) {
	ip := ts.Getenv("LOOPBACK")
	var open []net.Listener
	for _, name := range args {
		l, err := net.Listen("tcp", ip+":0")
		ts.Check(err)
		open = append(open, l)
		ts.Setenv(name, l.Addr().String())
	}
	// The listeners are closed only after the last one is open, so that no port is
	// assigned twice.
	for _, l := range open {
		ts.Check(l.Close())
	}
}

// loopback returns a random IP address of the loopback network.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// expand replaces the variables in files: expand FILE...
func expand(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// eventually repeats a command until its output matches an expression:
// eventually REGEXP COMMAND...
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: eventually REGEXP COMMAND...")
	}
	want := regexp.MustCompile(args[0])
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if want.MatchString(out) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no output of %s matched %q within %s: %v\n%s", strings.Join(args[1:], " "), args[0], eventuallyTimeout, err, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// leader sets LEADER to the name of the leader among the control hosts and
// FOLLOWER to that of another control host. For both, the variables with the
// suffix _N hold the number and those with _DISK the disk identity. LEADER_URL is
// the leader's URL, and LEADER_FORWARD the control address of its forwarder.
func leader(ts *testscript.TestScript, _ bool, _ []string) {
	eventually(ts, false, []string{`leader=true`, "jasminectl", "status"})
	number := func(host string) string { return strings.TrimPrefix(host, "c") }
	for _, line := range strings.Split(ts.ReadFile("stdout"), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "member" {
			continue
		}
		if !strings.Contains(line, "leader=true") {
			ts.Setenv("FOLLOWER", fields[1])
			ts.Setenv("FOLLOWER_N", number(fields[1]))
			ts.Setenv("FOLLOWER_DISK", strings.TrimPrefix(fields[len(fields)-1], "disk="))
			continue
		}
		ts.Setenv("LEADER", fields[1])
		ts.Setenv("LEADER_N", number(fields[1]))
		ts.Setenv("LEADER_URL", "http://"+ts.Getenv("A"+number(fields[1])))
		ts.Setenv("LEADER_FORWARD", ts.Getenv("F"+number(fields[1])))
		ts.Setenv("LEADER_DISK", strings.TrimPrefix(fields[len(fields)-1], "disk="))
	}
}

// normalizers replace the values that differ between runs. They keep the order of
// lines.
var normalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "ADDR"},
	{regexp.MustCompile(`e\d-[0-9a-z]+-[0-9a-z]+`), "REQUEST"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`heard=\d+ms`), "heard=MS"},
	{regexp.MustCompile(`disk=[0-9a-f]+`), "disk=ID"},
	{regexp.MustCompile(`(term|commit|match)( |=)\d+`), "$1${2}N"},
	{regexp.MustCompile(`(level|lent|spent)=\d+`), "$1=N"},
	{regexp.MustCompile(`\b[0-9a-f]{12}\b`), "DIGEST"},
	{regexp.MustCompile(`leader [a-z]\d\b`), "leader HOST"},
	{regexp.MustCompile(`leader=(true|false)`), "leader=B"},
	{regexp.MustCompile(`within \d+(\.\d+)?s`), "within S"},
}

// normalize copies a file, which may be stdout or stderr of the last command, and
// replaces the values that differ between runs: normalize FROM TO.
func normalize(ts *testscript.TestScript, neg bool, args []string) {
	text := ts.ReadFile(args[0])
	for _, n := range normalizers {
		text = n.pattern.ReplaceAllString(text, n.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
