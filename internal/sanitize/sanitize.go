// Package sanitize decides which headers and query values of a caller's request
// may reach a backend server, and which of an answer may reach the caller.
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

// credentials carry the caller's key.
var credentials = []string{"Authorization", "X-Api-Key", "Api-Key"}

// reserved headers are set by the entry host only. A caller that sets them
// could pass for another request or for the entry host.
var reserved = []string{
	"X-Request-Id", "X-Jasmine-Reason", "X-Jasmine-Run", "X-Jasmine-Replayed", "X-Fencing-Number",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip", "Expect",
}

// queryKeys are the query parameters under which callers present keys.
var queryKeys = map[string]bool{
	"key": true, "api_key": true, "api-key": true, "apikey": true, "access_token": true, "token": true,
	"authorization": true, "x-api-key": true,
}

// Key returns the key that a request presents in Authorization or X-Api-Key.
// A key in the query is not accepted, as addresses end up in logs.
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

// RemoveHopByHop removes the headers that describe one connection, also those
// that Connection names.
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

// Request returns the headers that go to a backend server. key is what the
// caller presented, or empty; no value that contains it is passed on.
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
		if holds(name, key) {
			delete(out, name)
			continue
		}
		for _, v := range values {
			if holds(v, key) {
				delete(out, name)
				break
			}
		}
	}
	return out
}

// Response returns the headers of a backend server's answer that go to the
// caller.
func Response(h http.Header) http.Header {
	out := h.Clone()
	RemoveHopByHop(out)
	for _, name := range reserved {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// Query returns the raw query without the parameters that carry keys. It
// reports false when the query cannot be parsed, as a backend server might then
// read it in another way.
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
		drop := queryKeys[strings.ToLower(name)] || holds(name, key)
		for _, v := range list {
			drop = drop || holds(v, key)
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

// ContainsKey reports whether text contains the presented key.
func ContainsKey(text, key string) bool { return holds(text, key) }

// holds ignores very short keys, which match by chance.
func holds(text, key string) bool {
	return len(key) >= 8 && strings.Contains(text, key)
}
