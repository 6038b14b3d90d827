// Package wellformed refuses responses of backend servers that net/http accepts although they are no HTTP/1 responses.
package wellformed

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	majorVersion   = 1
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = errors.New("the response is malformed")

// Response checks the head of a parsed response that is not informational.
func Response(head *http.Response) error {
	return cmp.Or(checkVersion(head), Relayed(head.StatusCode, head.Header))
}

// Relayed checks the status and the fields of a response that another host relays.
func Relayed(status int, h http.Header) error {
	if status < minFinalStatus {
		return errors.Wrapf(ErrMalformed, "final status %03d", status)
	}
	return cmp.Or(checkStatus(status), Fields(h))
}

func checkVersion(head *http.Response) error {
	if head.ProtoMajor != majorVersion {
		return errors.Wrapf(ErrMalformed, "version %s", head.Proto)
	}
	return nil
}

// checkStatus checks a status (RFC 9110, section 15). A response that switches protocols is refused: entry hosts never ask
// for that.
func checkStatus(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %03d", code)
	}
	return nil
}

// Fields checks the names of the fields of a head or of trailers (RFC 9110, section 5.1). net/http accepts blanks in them.
func Fields(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isNoTokenChar) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// isNoTokenChar reports whether a name cannot contain the character (RFC 9110, section 5.6.2).
func isNoTokenChar(r rune) bool {
	letterOrDigit := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
