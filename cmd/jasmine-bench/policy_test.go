package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/bench"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Guards against invalid settings that are accepted and ignored.
func TestInvalidSettings(t *testing.T) {
	for _, args := range []string{"-policies nosuch", "-deployments Z", "-seeds 0", "-duration 5s", "-plot x.gif -seeds 1 -duration 30s -policies jasmine -deployments A"} {
		t.Run(args, func(t *testing.T) {
			err := rootCommand(&bytes.Buffer{}).ParseAndRun(context.Background(), append([]string{"policy"}, strings.Fields(args)...))
			must.Eq(t, fault.KindInvalidSetting, fault.KindOf(err))
		})
	}
}

// Guards against output that is not one JSON line per run, and an empty plot.
func TestJSONAndPlot(t *testing.T) {
	var out bytes.Buffer
	plot := filepath.Join(t.TempDir(), "plot.png")
	args := []string{"policy", "-json", "-seeds", "2", "-duration", "30s", "-policies", "jasmine", "-deployments", "A", "-plot", plot}
	must.NoError(t, rootCommand(&out).ParseAndRun(context.Background(), args))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 2, lines)
	for i, line := range lines {
		var r bench.Result
		must.NoError(t, json.Unmarshal([]byte(line), &r))
		must.Eq(t, uint64(i+1), r.Seed)
	}
	info, err := os.Stat(plot)
	must.NoError(t, err)
	must.Positive(t, info.Size())
}
