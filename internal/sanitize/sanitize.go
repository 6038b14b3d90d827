// Package sanitize selects the headers and query values of a caller's request
// that may reach a backend server, and the response headers that may reach the
// caller.
package sanitize

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// hopByHop headers describe one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// credentials are the headers that carry the caller's key.
var credentials = []string{"Authorization", "X-Api-Key", "Api-Key"}

// reserved headers are set only by the entry host. A caller that sets them could
// impersonate another request or the entry host.
var reserved = []string{
	"X-Request-Id", "X-Jasmine-Reason", "X-Jasmine-Run", "X-Jasmine-Replayed", "X-Fencing-Number",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip", "Expect",
}

// queryKeys are the query parameters in which callers send keys.
var queryKeys = map[string]bool{
	"key": true, "api_key": true, "api-key": true, "apikey": true, "access_token": true, "token": true,
	"authorization": true, "x-api-key": true,
}

// Key returns the key of a request and reports whether the request presents one.
// It reads Authorization or, without that header, X-Api-Key; a header that occurs
// twice is refused. A key in the query is not accepted, because URLs end up in
// logs.
func Key(h http.Header) (string, bool) {
	if values := h.Values("Authorization"); len(values) > 0 {
		scheme, key, ok := strings.Cut(values[0], " ")
		key = strings.TrimSpace(key)
		return key, ok && len(values) == 1 && strings.EqualFold(scheme, "Bearer") && key != ""
	}
	values := h.Values("X-Api-Key")
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// RemoveHopByHop removes the hop-by-hop headers, including those that the
// Connection header names.
func RemoveHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// Request returns the headers of a request to a backend server. key is the
// caller's key, or empty; a header that contains it is removed.
func Request(h http.Header, key string) http.Header {
	out := h.Clone()
	RemoveHopByHop(out)
	for _, name := range credentials {
		out.Del(name)
	}
	for _, name := range reserved {
		out.Del(name)
	}
	for name, values := range out {
		if contains(name, key) {
			delete(out, name)
			continue
		}
		for _, v := range values {
			if contains(v, key) {
				delete(out, name)
				break
			}
		}
	}
	return out
}

// Response returns those headers of a backend server's response that are sent to
// the caller.
func Response(h http.Header) http.Header {
	out := h.Clone()
	RemoveHopByHop(out)
	for _, name := range reserved {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// Query returns the raw query without the parameters that carry keys. It returns
// false for a query that cannot be parsed, because a backend server might parse
// it differently.
func Query(raw, key string) (string, bool) {
	if raw == "" {
		return "", true
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", false
	}
	removed := false
	for name, list := range values {
		drop := queryKeys[strings.ToLower(name)] || contains(name, key)
		for _, v := range list {
			drop = drop || contains(v, key)
		}
		if drop {
			delete(values, name)
			removed = true
		}
	}
	if !removed {
		return raw, true
	}
	return values.Encode(), true
}

// ContainsKey reports whether text contains the caller's key.
func ContainsKey(text, key string) bool { return contains(text, key) }

// contains reports whether text contains the key. It ignores keys shorter than 8
// bytes, which would match by chance.
func contains(text, key string) bool {
	return len(key) >= 8 && strings.Contains(text, key)
}
