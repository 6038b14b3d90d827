package wellformed

import (
	"cmp"
	"net/http"

	"github.com/cockroachdb/errors"
)

// HeadScanner scans the lines of a head, and of informational ones before it, as their bytes arrive, for what net/http passes
// over:
//   - It takes a line that begins with a blank for more of the field before, whose value then changes; a name that begins
//     with a blank looks the same. A gateway may refuse such a response (RFC 9112, section 5.2).
//   - It drops a transfer coding from a response of HTTP/1.0 and takes the coded body for the body. The framing of such a
//     response is faulty (RFC 9112, section 6.1).
type HeadScanner struct {
	started bool // the status line has been read
	ended   bool
	// firstDigit is that of the status.
	firstDigit byte
	// column is the number of bytes of the line so far, and matched how many of them are those of transferEncoding.
	column, matched int

	folded, coded bool
}

const (
	// transferEncoding is the name of a field in lower case, with its colon.
	transferEncoding = "transfer-encoding:"
	// statusColumn is where the status begins.
	statusColumn = len("HTTP/1.1 ")
	// informationalDigit is the first digit of informational statuses.
	informationalDigit = '1'
)

// Scan scans the next bytes, which may go beyond the head.
func (s *HeadScanner) Scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\n':
			s.endLine()
		case b != '\r':
			s.scanLine(b)
		}
	}
}

func (s *HeadScanner) endLine() {
	switch {
	case !s.started || s.column > 0:
		s.started, s.column, s.matched = true, 0, 0
	case s.firstDigit == informationalDigit:
		*s = HeadScanner{folded: s.folded, coded: s.coded}
	default:
		s.ended = true
	}
}

func (s *HeadScanner) scanLine(b byte) {
	if !s.started && s.column >= statusColumn && s.firstDigit == 0 && b != ' ' {
		s.firstDigit = b
	}
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

// Check checks a head, final or informational, that was scanned and then parsed.
func (s *HeadScanner) Check(head *http.Response) error {
	switch {
	case s.folded:
		return errors.Wrap(ErrMalformed, "folded line")
	case s.coded && !head.ProtoAtLeast(1, 1):
		return errors.Wrapf(ErrMalformed, "transfer coding in %s", head.Proto)
	}
	return cmp.Or(checkVersion(head), checkStatus(head.StatusCode), Fields(head.Header))
}
