package wellformed

import (
	"cmp"
	"net/http"

	"github.com/cockroachdb/errors"
)

// HeadScanner scans the lines of a head as its bytes arrive, for what net/http passes over:
//   - It takes a line that begins with a blank for more of the field before, whose value then changes; a name that begins
//     with a blank looks the same. A gateway may refuse such a response (RFC 9112, section 5.2).
//   - It drops a transfer coding from a response of HTTP/1.0 and takes the coded body for the body. The framing of such a
//     response is faulty (RFC 9112, section 6.1).
type HeadScanner struct {
	started bool // the status line has been read
	ended   bool
	// column is the number of bytes of the line, and matched that of the first bytes of its name that are those of
	// transferEncoding.
	column, matched int

	folded, coded bool
}

// transferEncoding is the name of a field in lower case, with its colon.
const transferEncoding = "transfer-encoding:"

// Scan scans the next bytes, which may go beyond the head.
func (s *HeadScanner) Scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\n':
			s.ended = s.started && s.column == 0
			s.started, s.column, s.matched = true, 0, 0
		case b != '\r':
			s.scanLine(b)
		}
	}
}

func (s *HeadScanner) scanLine(b byte) {
	if s.started && s.column == 0 && (b == ' ' || b == '\t') {
		s.folded = true
	}
	if s.matched == s.column && s.matched < len(transferEncoding) && lower(b) == transferEncoding[s.matched] {
		s.matched++
		s.coded = s.coded || s.matched == len(transferEncoding)
	}
	s.column++
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// Check checks the head of a response, final or informational, that was scanned and then parsed.
func (s *HeadScanner) Check(head *http.Response) error {
	switch {
	case s.folded:
		return errors.Wrap(ErrMalformed, "folded line")
	case s.coded && !head.ProtoAtLeast(1, 1):
		return errors.Wrapf(ErrMalformed, "transfer coding in %s", head.Proto)
	}
	return cmp.Or(checkVersion(head), checkStatus(head.StatusCode), Fields(head.Header))
}
