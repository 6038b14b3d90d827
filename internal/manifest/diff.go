package manifest

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// DiffText describes ops for operators, one line per entity or changed field:
//
//   - adapters pirate
//   - keys k1
//     ~ teams blue: rate.burst_tokens: 100 -> 200
func DiffText(s *config.Snapshot, ops []*apiv1.Op) string {
	var b strings.Builder
	for _, op := range ops {
		it, ok := opItem(op)
		if !ok {
			continue
		}
		old, exists := lookup(s, it.id)
		switch {
		case it.put == nil:
			fmt.Fprintf(&b, "- %s\n", it.id)
		case !exists:
			fmt.Fprintf(&b, "+ %s\n", it.id)
		default:
			for _, line := range fieldDiff("", old.ProtoReflect(), it.put.ProtoReflect()) {
				fmt.Fprintf(&b, "~ %s: %s\n", it.id, line)
			}
		}
	}
	return b.String()
}

// fieldDiff returns one line per field that differs, in the order of the
// proto file. Lists are compared as a whole.
func fieldDiff(prefix string, old, next protoreflect.Message) []string {
	var lines []string
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		a, b := old.Get(fd), next.Get(fd)
		if a.Equal(b) {
			continue
		}
		name := prefix + fd.TextName()
		if fd.Kind() == protoreflect.MessageKind && !fd.IsList() {
			lines = append(lines, fieldDiff(name+".", a.Message(), b.Message())...)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, valueText(fd, a), valueText(fd, b)))
	}
	return lines
}

func valueText(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.IsList() {
		parts := make([]string, 0, v.List().Len())
		for i := range v.List().Len() {
			parts = append(parts, singleText(fd, v.List().Get(i)))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return singleText(fd, v)
}

func singleText(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.EnumKind:
		return string(fd.Enum().Values().ByNumber(v.Enum()).Name())
	case protoreflect.MessageKind:
		if av, ok := v.Message().Interface().(*apiv1.AdapterVersion); ok {
			return av.GetVersion() + "=" + av.GetWeights()
		}
		return string(fd.Message().Name())
	}
	if text := v.String(); text != "" {
		return text
	}
	return `""`
}
