// Package wellformed refuses responses of backend servers that net/http accepts although they are no HTTP responses.
package wellformed

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = errors.New("the response is malformed")

// Status checks the status of a response, which may be informational (RFC 9110, section 15). A response that switches
// protocols is refused: entry hosts never ask for that.
func Status(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %03d", code)
	}
	return nil
}

// FinalStatus checks the status of a response that is not informational.
func FinalStatus(code int) error {
	if code < minFinalStatus {
		return errors.Wrapf(ErrMalformed, "final status %03d", code)
	}
	return Status(code)
}
