package wellformed

import "github.com/cockroachdb/errors"

// FoldScanner looks for folded lines in a head as its bytes arrive. net/http takes a line that begins with a blank for more
// of the field before, whose value then changes; a name that begins with a blank looks the same. A gateway may refuse such a
// response (RFC 9112, section 5.2).
type FoldScanner struct {
	started   bool // the status line has been read
	lineBegun bool
	ended     bool
	folded    bool
}

// Scan scans the next bytes, which may go beyond the head.
func (s *FoldScanner) Scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\n':
			s.ended = s.started && !s.lineBegun
			s.started, s.lineBegun = true, false
		case b == '\r':
		default:
			s.folded = s.folded || s.started && !s.lineBegun && (b == ' ' || b == '\t')
			s.lineBegun = true
		}
	}
}

// Err returns an error if there was a folded line.
func (s *FoldScanner) Err() error {
	if s.folded {
		return errors.Wrap(ErrMalformed, "folded line")
	}
	return nil
}
