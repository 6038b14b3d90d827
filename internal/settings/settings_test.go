package settings

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

func secretFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "secret")
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against an invalid setting that is accepted at start and fails only
// later, when nobody watches the host.
func TestBadSettingsNameTheFlag(t *testing.T) {
	secret := secretFile(t, "0123456789abcdef")
	valid := map[string]string{
		"cluster": "c", "host": "h1", "failure-domain": "d1", "secret-file": secret,
		"listen": "127.0.0.1:1", "advertise": "http://127.0.0.1:1", "data-dir": "data",
		"members": "h1=http://127.0.0.1:1@d1,h2=http://127.0.0.1:2@d2",
	}
	for _, tc := range []struct{ flag, value, want string }{
		{"host", "", "invalid_setting: host: it is not set; set -host or JASMINE_HOST"},
		{"host", "H 1", `invalid_setting: host: "H 1" is not a valid name`},
		{"listen", "localhost:80", `listen: "localhost" is not an IP address`},
		{"advertise", "http://example.com:80", `advertise: "example.com" is not an IP address`},
		{"advertise", "http://127.0.0.1:1/x", "remove the path, query and user"},
		{"data-dir", "", "data-dir: it is not set"},
		{"members", "h2=http://127.0.0.1:2@d2", `members: host "h1"`},
		{"members", "h1", "write it as HOST=URL@FAILURE-DOMAIN"},
		{"members", "h1=http://127.0.0.1:1@d1,h1=http://127.0.0.1:1@d1", "named twice"},
		{"log-level", "loud", `log-level: "loud" is not a log level`},
		{"secret-file", secretFile(t, "short"), "secret-file: the secret has 5 bytes"},
		{"secret-file", "", "neither a secret nor TLS files are set"},
		{"tls-cert", "x", "only 1 of 3 TLS files are set"},
		{"nonsense", "1", "run the program with -h"},
	} {
		var args []string
		for k, v := range valid {
			if k != tc.flag {
				args = append(args, "-"+k, v)
			}
		}
		args = append(args, "-"+tc.flag, tc.value)
		_, err := ParseControl(args, io.Discard)
		must.Error(t, err, must.Sprint(tc.flag, tc.value))
		must.True(t, fault.Is(err, fault.KindInvalidSetting), must.Sprint(err))
		must.True(t, strings.Contains(err.Error(), tc.want), must.Sprintf("-%s %q: got %v, want %q in it", tc.flag, tc.value, err, tc.want))
	}
}

// Guards against a variable that overrides its flag or is ignored: the host
// would run with other settings than the operator gave.
func TestFlagTakesPrecedenceOverVariable(t *testing.T) {
	t.Setenv("JASMINE_CLUSTER", "from-variable")
	t.Setenv("JASMINE_HOST", "from-variable")
	t.Setenv("JASMINE_FAILURE_DOMAIN", "d1")
	t.Setenv("JASMINE_SECRET_FILE", secretFile(t, "0123456789abcdef"))
	t.Setenv("JASMINE_CONTROL", "http://127.0.0.1:1, http://127.0.0.1:2/")
	got, err := ParseEntry([]string{"-host", "from-flag", "-advertise", "http://127.0.0.1:3"}, io.Discard)
	must.NoError(t, err)
	must.Eq(t, "from-flag", got.Host)
	must.Eq(t, "from-variable", got.Cluster)
	must.Eq(t, []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}, got.SyncFrom)
}
