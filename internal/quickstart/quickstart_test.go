package quickstart

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// The README's first command must answer, stream and refuse as it says.
func TestRun(t *testing.T) {
	var out strings.Builder
	err := Run(t.Context(), Options{Dir: t.TempDir(), Out: &out, Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)})
	must.NoError(t, err, must.Sprint(out.String()))
	must.StrContains(t, out.String(), "all answers as expected")
}
