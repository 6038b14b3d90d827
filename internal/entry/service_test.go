package entry

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// A plain service must get the caller's request without the route's prefix and
// the hop-by-hop headers, and a response to another request must be rejected.
func TestServicePassedThrough(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		req := f.request(f.t.Context(), "PUT", "/files/a%20b/c?x=1&y=2", keyRed, "content")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "1")
		req.Header.Set("X-Kept", "2")
		r := f.do(req)
		must.Eq(t, 200, r.status)
		must.StrContains(t, r.body, `"method":"PUT","path":"/a b/c","query":"x=1\u0026y=2"`)
		headers := f.service.State().Record.Headers
		must.MapContainsKey(t, headers, "X-Kept")
		must.MapNotContainsKey(t, headers, "X-Hop")
		must.MapNotContainsKey(t, headers, "Authorization")
		f.service.SetFaults(standin.Faults{WrongEcho: 1})
		must.Eq(t, "answer_mismatch", f.do(f.request(f.t.Context(), "GET", "/files/x", keyRed, "")).reason())
		f.service.SetFaults(standin.Faults{DropResponse: 1})
		start := time.Now()
		must.Eq(t, "outcome_unknown", f.do(f.request(f.t.Context(), "GET", "/files/x", keyRed, "")).run())
		must.Less(t, time.Second, time.Since(start), must.Sprint("a retry waited for another server of a pool of one"))
	})
}

// A response that is cut after its first byte must not look complete to the
// caller.
func TestCutServiceAnswer(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		f.service.SetFaults(standin.Faults{Endless: 1})
		resp, err := f.caller.Do(f.request(f.t.Context(), "GET", "/files/x", keyRed, ""))
		must.NoError(t, err)
		defer resp.Body.Close()
		_, err = io.ReadFull(resp.Body, make([]byte, 100_000))
		must.NoError(t, err)
		f.service.Restart()
		_, err = io.Copy(io.Discard, resp.Body)
		must.Error(t, err, must.Sprint("a truncated response looked complete"))
	})
}

// A non-repeatable call on a reused connection would be lost if that connection
// is dead, so that each call needs a new connection.
func TestNonRepeatableFreshConnection(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		must.Eq(t, 200, f.post("/files/x", keyRed, "").status)
		must.Positive(t, f.service.Silence())
		must.Eq(t, 200, f.pay(f.t.Context(), "k1", "x").status)
	})
}

// Requests with ambiguous targets or credentials must be refused before anything
// is sent.
func TestServiceRefusals(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		for _, path := range []string{"/files//x", "/files/x/../../v1/models", "/files/x%5Cy", "/f%69les/x", "/files/x?a=%zz"} {
			r := f.post(path, keyRed, "")
			must.Eq(t, 400, r.status, must.Sprint(path, r.body))
			must.Eq(t, "not_run", r.run())
		}
		req := f.request(f.t.Context(), "POST", "/files/x", "", "")
		req.Header["Authorization"] = []string{"Bearer " + keyRed, "Bearer " + keyBlue}
		must.Eq(t, 401, f.do(req).status)
		must.Zero(t, f.service.State().Record.Executions)
		large := f.request(f.t.Context(), "POST", "/files/x", keyRed, "")
		large.Header.Set("X-Large", strings.Repeat("x", 64<<10))
		must.Eq(t, 431, f.do(large).status)
		time.Sleep(time.Second)
	})
}
