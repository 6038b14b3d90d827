package manifest

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

var update = flag.Bool("update", false, "rewrite docs/manifest.schema.json")

const schemaPath = "../../docs/manifest.schema.json"

// With a schema that differs from the messages, editors would accept fields that
// Read rejects.
func TestSchema(t *testing.T) {
	defs := map[string]any{}
	root := messageSchema((&apiv1.Manifest{}).ProtoReflect().Descriptor(), defs)
	root["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	root["title"] = "jasminesaddle manifest"
	root["$defs"] = defs
	want, err := json.MarshalIndent(root, "", "  ")
	must.NoError(t, err)
	want = append(want, '\n')
	if *update {
		must.NoError(t, os.WriteFile(schemaPath, want, 0o644))
	}
	got, err := os.ReadFile(schemaPath)
	must.NoError(t, err)
	must.Eq(t, string(want), string(got), must.Sprint("run go test ./internal/manifest -run TestSchema -update"))
}

func messageSchema(md protoreflect.MessageDescriptor, defs map[string]any) map[string]any {
	properties := map[string]any{}
	for i := range md.Fields().Len() {
		fd := md.Fields().Get(i)
		s := valueSchema(fd, defs)
		if fd.IsList() {
			s = map[string]any{"type": "array", "items": s}
		}
		properties[fd.TextName()] = s
	}
	return map[string]any{"type": "object", "additionalProperties": false, "properties": properties}
}

func valueSchema(fd protoreflect.FieldDescriptor, defs map[string]any) map[string]any {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		name := string(fd.Message().Name())
		if _, ok := defs[name]; !ok {
			defs[name] = messageSchema(fd.Message(), defs)
		}
		return map[string]any{"$ref": "#/$defs/" + name}
	case protoreflect.EnumKind:
		var names []string
		for i := 1; i < fd.Enum().Values().Len(); i++ {
			names = append(names, string(fd.Enum().Values().Get(i).Name()))
		}
		return map[string]any{"enum": names}
	case protoreflect.BoolKind:
		return map[string]any{"type": "boolean"}
	case protoreflect.Uint32Kind:
		return map[string]any{"type": "integer", "minimum": 0, "maximum": 1<<32 - 1}
	case protoreflect.Uint64Kind:
		return map[string]any{"type": "integer", "minimum": 0}
	}
	return map[string]any{"type": "string"}
}
