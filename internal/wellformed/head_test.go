package wellformed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a folded line that is missed, or seen where there is none, because of how the bytes arrive.
func TestFoldedLineIsFoundInPieces(t *testing.T) {
	for text, folded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n body":                        false,
		"HTTP/1.1 200 OK\r\n\r\n\tbody\r\n x":                         false,
		"HTTP/1.1 200 OK\nA: b c\nB:\n\n x":                           false,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n": true,
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n body":  false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                       true,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n":                   true,
		"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                            true,
		"HTTP/1.1 200 OK\nA: b\n \n\n":                                true,
	} {
		for first := range len(text) + 1 {
			for second := first; second <= len(text); second++ {
				var s HeadScanner
				s.Scan([]byte(text[:first]))
				s.Scan([]byte(text[first:second]))
				s.Scan([]byte(text[second:]))
				must.Eq(t, folded, s.folded, must.Sprintf("%q in pieces at %d and %d", text, first, second))
			}
		}
	}
}
