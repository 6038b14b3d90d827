// Package manifest reads the manifest, checks it and changes to it, and
// computes the digest that identifies a change.
package manifest

import (
	"fmt"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Problems lists all problems found, in the order of the input.
type Problems []*fault.Error

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, e := range p {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the typed errors visible to errors.As and errors.Is.
func (p Problems) Unwrap() []error {
	out := make([]error, 0, len(p))
	for _, e := range p {
		out = append(out, e)
	}
	return out
}

// Summary returns the first limit problems and the number of the rest. It limits
// the size of a response or a log line.
func (p Problems) Summary(limit int) string {
	if len(p) <= limit {
		return p.Error()
	}
	return fmt.Sprintf("%s\nand %d more problems", p[:limit].Error(), len(p)-limit)
}

// err returns the problems as an error, nil when there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p *Problems) add(field, remedy, format string, args ...any) {
	*p = append(*p, fault.Newf(fault.KindInvalidManifest, remedy, format, args...).At(field))
}
