// Package manifest reads the manifest, checks it and changes to it, and
// computes the digest that identifies a change.
package manifest

import (
	"fmt"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Problems is the list of all problems found, in the order of the input.
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

// Summary returns the first problems and the number of the rest. It bounds
// what an answer or a log line carries.
func (p Problems) Summary(most int) string {
	if len(p) <= most {
		return p.Error()
	}
	return fmt.Sprintf("%s\nand %d more problems", p[:most].Error(), len(p)-most)
}

// err returns nil when there is no problem.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p *Problems) add(field, remedy, format string, args ...any) {
	*p = append(*p, fault.Newf(fault.KindInvalidManifest, remedy, format, args...).At(field))
}
