package session

import (
	"regexp"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	tokensLine  = regexp.MustCompile(`(?m)^tokens +(\d+)$`)
	elapsedLine = regexp.MustCompile(`(?m)^elapsed_ms +(\d+)$`)
)

// withinRate checks that the tokens of several load runs together do not exceed a
// rate and a burst: within-rate RATE BURST LOG... The runs start together, so
// that the longest one determines the time.
func withinRate(ts *testscript.TestScript, _ bool, args []string) {
	rate, burst := number(ts, args[0]), number(ts, args[1])
	var tokens, elapsed int
	for _, log := range args[2:] {
		text := ts.ReadFile(log)
		tokens += firstNumber(ts, tokensLine, text)
		elapsed = max(elapsed, firstNumber(ts, elapsedLine, text))
	}
	limit := burst + rate*elapsed/1000
	ts.Logf("%d tokens in %d ms, limit %d", tokens, elapsed, limit)
	if tokens == 0 || tokens > limit {
		ts.Fatalf("%d tokens in %d ms, the rate and burst allow %d", tokens, elapsed, limit)
	}
}

func firstNumber(ts *testscript.TestScript, line *regexp.Regexp, text string) int {
	m := line.FindStringSubmatch(text)
	if m == nil {
		ts.Fatalf("no line matches %q in\n%s", line, text)
	}
	return number(ts, m[1])
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
