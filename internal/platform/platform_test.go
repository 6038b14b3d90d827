package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// A damaged list that is taken for an empty one would send new work to hosts
// that are leaving.
func TestFetch(t *testing.T) {
	for _, row := range []struct {
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
			w.WriteHeader(row.status)
			_, _ = w.Write([]byte(row.body))
		}))
		l, err := NewClient(srv.URL, srv.Client().Transport).Fetch(t.Context())
		srv.Close()
		if row.kind != "" {
			must.Eq(t, row.kind, fault.KindOf(err))
			continue
		}
		must.NoError(t, err)
		must.Eq(t, row.leaving, l.Leaving())
	}
}
