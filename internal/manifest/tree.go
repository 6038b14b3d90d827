package manifest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// treeWalker checks a decoded file against the message types, so that a problem
// is reported with its field path instead of an offset in the JSON that the file
// is converted to.
type treeWalker struct {
	problems *Problems
}

func (w *treeWalker) message(fieldPath string, value any, md protoreflect.MessageDescriptor) {
	object, ok := value.(map[string]any)
	if !ok {
		w.wrongType(fieldPath, value, "a mapping")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field := strings.TrimPrefix(fieldPath+"."+name, ".")
		fd := md.Fields().ByTextName(name)
		if fd == nil {
			w.problems.add(field, "use one of "+fieldNames(md), "the field is unknown")
			continue
		}
		if object[name] == nil {
			w.problems.add(field, "give a value or remove the field", "the field has no value")
			continue
		}
		w.field(field, object[name], fd)
	}
}

func (w *treeWalker) field(fieldPath string, value any, fd protoreflect.FieldDescriptor) {
	if !fd.IsList() {
		w.single(fieldPath, value, fd)
		return
	}
	list, ok := value.([]any)
	if !ok {
		w.wrongType(fieldPath, value, "a list")
		return
	}
	for i, v := range list {
		w.single(indexed(fieldPath, i), v, fd)
	}
}

func (w *treeWalker) single(fieldPath string, value any, fd protoreflect.FieldDescriptor) {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		w.message(fieldPath, value, fd.Message())
	case protoreflect.StringKind:
		if _, ok := value.(string); !ok {
			w.wrongType(fieldPath, value, "text; put quotes around a number or a date")
		}
	case protoreflect.BoolKind:
		if _, ok := value.(bool); !ok {
			w.wrongType(fieldPath, value, "true or false")
		}
	case protoreflect.EnumKind:
		name, ok := value.(string)
		if !ok || fd.Enum().Values().ByName(protoreflect.Name(name)) == nil {
			w.wrongType(fieldPath, value, "one of "+enumNames(fd.Enum()))
		}
	case protoreflect.Uint32Kind:
		w.number(fieldPath, value, 32)
	case protoreflect.Uint64Kind:
		w.number(fieldPath, value, 64)
	default:
		w.wrongType(fieldPath, value, "a value of type "+fd.Kind().String())
	}
}

func (w *treeWalker) number(fieldPath string, value any, bits int) {
	text := ""
	switch v := value.(type) {
	case json.Number:
		text = v.String()
	case uint64:
		text = strconv.FormatUint(v, 10)
	case string:
		// The JSON form of proto messages writes 64-bit numbers as text.
		if bits == 64 {
			text = v
		}
	}
	if _, err := strconv.ParseUint(text, 10, bits); err != nil {
		w.wrongType(fieldPath, value, fmt.Sprintf("a whole number of at most %d bits", bits))
	}
}

func (w *treeWalker) wrongType(fieldPath string, value any, want string) {
	if fieldPath == "" {
		fieldPath = "manifest"
	}
	kind := fmt.Sprintf("%.40v", value)
	switch value.(type) {
	case map[string]any:
		kind = "a mapping"
	case []any:
		kind = "a list"
	case nil:
		kind = "empty"
	}
	w.problems.add(fieldPath, "give "+want, "the value is %s", kind)
}

func fieldNames(md protoreflect.MessageDescriptor) string {
	names := make([]string, 0, md.Fields().Len())
	for i := range md.Fields().Len() {
		names = append(names, md.Fields().Get(i).TextName())
	}
	return strings.Join(names, ", ")
}

// enumNames lists the names of an enum except the unspecified one.
func enumNames(ed protoreflect.EnumDescriptor) string {
	var names []string
	for i := 1; i < ed.Values().Len(); i++ {
		names = append(names, string(ed.Values().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}
