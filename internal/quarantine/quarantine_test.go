package quarantine

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// mark records the mark "fingerprint server startID [sole]".
func mark(t *Table, text string, now time.Time) (uint32, bool) {
	f := strings.Fields(text)
	return t.RecordCrash(&apiv1.CrashMark{
		Fingerprint: []byte(f[0]), BackendServer: f[1], StartId: f[2], SoleSuspect: len(f) > 3,
	}, now)
}

// A request that keeps crashing servers must be quarantined, and a request
// that happened to be in flight must not.
func TestRule(t *testing.T) {
	for name, c := range map[string]struct {
		marks      string // separated by commas; the result of the last one is checked
		crashes    uint32
		quarantine bool
	}{
		"one crash":                    {"a s1 1 sole", 1, false},
		"two crashes, sole suspect":    {"a s1 1 sole, a s2 1 sole", 2, true},
		"two crashes with others":      {"a s1 1, b s1 1, a s2 1", 2, false},
		"three crashes with others":    {"a s1 1, a s2 1, a s3 1", 3, true},
		"same server twice":            {"a s1 1 sole, a s1 2 sole", 2, false},
		"same server three times":      {"a s1 1 sole, a s1 2 sole, a s1 3 sole", 3, true},
		"same server, with others":     {"a s1 1, a s1 2, a s1 3, a s1 4", 4, false},
		"first crash on two hosts":     {"b s1 1 sole, a s1 1 sole, a s2 1 sole", 2, false},
		"repeated mark":                {"a s1 1 sole, a s1 1 sole, a s1 1 sole", 1, false},
		"other host has a suspect too": {"b s3 1 sole, a s1 1 sole, b s2 1 sole, a s2 1 sole", 2, false},
		"first mark beside a suspect":  {"b s3 1, b s1 1 sole, a s1 1 sole, a s2 1 sole", 2, false},
		"ordinary crash of the same":   {"b s3 1, a s1 1 sole, a s2 1 sole", 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Options{})
			var crashes uint32
			var quarantine bool
			for m := range strings.SplitSeq(c.marks, ",") {
				crashes, quarantine = mark(table, m, epoch)
			}
			must.Eq(t, c.crashes, crashes)
			must.Eq(t, c.quarantine, quarantine)
		})
	}
}

// The table must not grow without limit, and a flood of marks must not evict
// the fingerprint with the most crashes.
func TestLimitAndExpiry(t *testing.T) {
	table := NewTable(Options{MaxFingerprints: 10})
	mark(table, "bad s1 1", epoch)
	mark(table, "bad s2 1", epoch)
	for i := range 100 {
		mark(table, "f"+strconv.Itoa(i)+" s1 1", epoch.Add(time.Second))
	}
	must.Len(t, 10, table.Suspects(epoch))
	must.Eq(t, "bad", string(table.Suspects(epoch)[0].GetFingerprint()))
	must.Len(t, 0, table.Suspects(epoch.Add(time.Hour+time.Second)))
	must.MapEmpty(t, table.byCrash)
}
