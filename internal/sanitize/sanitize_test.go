package sanitize

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

const key = "key-of-the-caller"

// Guards against passing a caller's key on to a backend server, which could then
// use it.
func TestRequestHoldsNoKey(t *testing.T) {
	h := http.Header{
		"Authorization": {"Bearer " + key},
		"X-Api-Key":     {key},
		"Cookie":        {"session=" + key},
		"X-Copy":        {"a", "b " + key},
		"Connection":    {"close, X-Hop", "X-Other"},
		"X-Hop":         {"1"},
		"X-Other":       {"1"},
		"Te":            {"trailers"},
		"X-Request-Id":  {"forged"},
		"Accept":        {"text/plain"},
	}
	must.Eq(t, http.Header{"Accept": {"text/plain"}}, Request(h, key))
	must.Eq(t, "Bearer "+key, h.Get("Authorization"), must.Sprint("the caller's headers changed"))
}

// Guards against a key in the query, since URLs end up in logs, and against a
// query that two parsers read differently.
func TestQuery(t *testing.T) {
	for raw, want := range map[string]string{
		"":                             "",
		"b=2&a=1":                      "b=2&a=1",
		"a=1&API_KEY=x&b=2":            "a=1&b=2",
		"a=1&x=" + key:                 "a=1",
		"a=1&%6bey=x":                  "a=1",
		"x=key%2Dof%2Dthe%2Dcaller&a=": "a=",
	} {
		got, ok := Query(raw, key)
		must.True(t, ok, must.Sprint(raw))
		must.Eq(t, want, got, must.Sprint(raw))
	}
	for _, raw := range []string{"a=%zz", "a=1;api_key=2"} {
		_, ok := Query(raw, key)
		must.False(t, ok, must.Sprint(raw))
	}
}

// Guards against accepting two credentials: a request could be authenticated by
// one and charged to the team of the other.
func TestKey(t *testing.T) {
	for name, tc := range map[string]struct {
		header http.Header
		want   string
	}{
		"bearer":        {http.Header{"Authorization": {"bearer " + key}}, key},
		"api key":       {http.Header{"X-Api-Key": {key}}, key},
		"two":           {http.Header{"Authorization": {"Bearer a", "Bearer b"}}, ""},
		"other scheme":  {http.Header{"Authorization": {"Basic abc"}, "X-Api-Key": {key}}, ""},
		"empty":         {http.Header{"Authorization": {"Bearer "}}, ""},
		"nothing":       {http.Header{}, ""},
		"two in x-keys": {http.Header{"X-Api-Key": {"a", "b"}}, ""},
	} {
		got, ok := Key(tc.header)
		must.Eq(t, tc.want != "", ok, must.Sprint(name))
		if ok {
			must.Eq(t, tc.want, got, must.Sprint(name))
		}
	}
}
