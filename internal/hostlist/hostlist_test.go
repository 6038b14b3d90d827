package hostlist

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// An invalid list must be an error. If it were read as an empty list, leaving hosts
// would get new requests.
func TestFetch(t *testing.T) {
	for _, tc := range []struct {
		body    string
		status  int
		leaving []string
		kind    fault.Kind
	}{
		{`{"hosts":[{"name":"b","state":"leaving"},{"name":"a","state":"leaving"},{"name":"c","state":"live"}]}`, 200, []string{"a", "b"}, ""},
		{`{"hosts":[{"name":"b","state":"gone"}]}`, 200, nil, fault.KindInvalidMessage},
		{`{"hosts":[`, 200, nil, fault.KindInvalidMessage},
		{`{}`, 503, nil, fault.KindUnavailable},
		{strings.Repeat(" ", maxListBytes+1), 200, nil, fault.KindInvalidMessage},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		l, err := NewClient(srv.URL, srv.Client().Transport).Fetch(t.Context())
		srv.Close()
		if tc.kind != "" {
			must.Eq(t, tc.kind, fault.KindOf(err), must.Sprintf("body %.40q", tc.body))
			continue
		}
		must.NoError(t, err, must.Sprintf("body %.40q", tc.body))
		must.Eq(t, tc.leaving, l.Leaving())
	}
}

// The platform's list is untrusted input. No content may cause a panic, and an
// accepted host must have a name and a known state.
func FuzzDecode(f *testing.F) {
	for _, body := range []string{
		`{"hosts":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]}`,
		`{"hosts":[{"name":"","state":"live"}]}`, `{"hosts":null}`, `{"hosts":[`, `[]`, `{"hosts":[{"name":1}]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := Decode(bytes.NewReader(body))
		if err != nil {
			return
		}
		for _, h := range l.Hosts {
			if h.Name == "" || (h.State != StateLive && h.State != StateLeaving) {
				t.Fatalf("accepted %+v from %q", h, body)
			}
		}
	})
}
