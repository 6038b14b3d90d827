package quickstart

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// TestRun checks that the first command in the README succeeds and that every step
// gives the responses that the README describes.
func TestRun(t *testing.T) {
	var out strings.Builder
	err := Run(t.Context(), Options{Dir: t.TempDir(), Out: &out, Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)})
	must.NoError(t, err, must.Sprint(out.String()))
	must.StrContains(t, out.String(), "all answers as expected")
}
