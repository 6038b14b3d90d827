package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// MaxFileBytes is the largest size of a manifest file. 28,000 adapters take about
// 4 MB.
const MaxFileBytes = 32 << 20

// maxDepth is the deepest nesting of the input. A manifest is 5 levels deep.
const maxDepth = 32

// Load reads and checks a manifest file.
func Load(path string) (*apiv1.Manifest, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidManifest, "the manifest file cannot be opened", "name a file that can be read").At(path)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidManifest, "the manifest file cannot be read", "name a file that can be read").At(path)
	}
	m, err := Read(data)
	if err != nil {
		return nil, err
	}
	return m, Check(m)
}

// Read decodes a manifest in YAML or JSON with the field names of the proto
// file. It rejects unknown fields, duplicate fields and values of the wrong type.
// It does not check the content; Check does.
func Read(data []byte) (*apiv1.Manifest, error) {
	if len(data) > MaxFileBytes {
		return nil, fault.Newf(fault.KindInvalidManifest, "split the fleet or send changes instead of a manifest",
			"the manifest is larger than %d bytes", MaxFileBytes).At("manifest")
	}
	tree, err := decodeTree(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidManifest, "the manifest is neither YAML nor JSON", "correct the syntax").At("manifest")
	}
	m := &apiv1.Manifest{}
	var problems Problems
	w := treeWalker{problems: &problems}
	w.message("", tree, m.ProtoReflect().Descriptor())
	if len(problems) > 0 {
		return nil, problems
	}
	encoded, err := json.Marshal(tree)
	if err == nil {
		err = protojson.Unmarshal(encoded, m)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidManifest, "the manifest has a value of the wrong type", "correct the value").At("manifest")
	}
	return m, nil
}

// decodeTree decodes JSON when the text starts with a brace, and YAML otherwise.
func decodeTree(data []byte) (any, error) {
	if bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{")) {
		return decodeJSON(data)
	}
	return decodeYAML(data)
}

func decodeYAML(data []byte) (any, error) {
	if err := checkNesting(data); err != nil {
		return nil, err
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, fmt.Errorf("the file contains %d documents, not one", len(file.Docs))
	}
	v := &aliasVisitor{}
	ast.Walk(v, file.Docs[0].Body)
	if v.found {
		// Nested aliases can expand a small file to any size.
		return nil, fmt.Errorf("anchors, aliases and tags are not supported")
	}
	var tree any
	if err := yaml.NodeToValue(file.Docs[0].Body, &tree); err != nil {
		return nil, err
	}
	return tree, nil
}

// checkNesting limits the nesting of YAML before it is parsed, because the parser
// recurses without a limit.
func checkNesting(data []byte) error {
	depth, dashes := 0, 0
	for _, b := range data {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		case '\n':
			dashes = 0
		case '-', '?':
			dashes++
		}
		if depth > maxDepth {
			return fmt.Errorf("brackets are nested deeper than %d", maxDepth)
		}
		if dashes > 1024 {
			return fmt.Errorf("a line contains more than 1024 dashes")
		}
	}
	return nil
}

type aliasVisitor struct{ found bool }

func (v *aliasVisitor) Visit(n ast.Node) ast.Visitor {
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		v.found = true
		return nil
	}
	return v
}

// decodeJSON decodes one JSON value and rejects duplicate names, which
// encoding/json would accept without an error.
func decodeJSON(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := jsonValue(dec, 0)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("text follows the manifest at offset %d", dec.InputOffset())
	}
	return tree, nil
}

func jsonValue(dec *json.Decoder, depth int) (any, error) {
	tok, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("values are nested deeper than %d at offset %d", maxDepth, dec.InputOffset())
	}
	switch tok {
	case json.Delim('{'):
		return jsonObject(dec, depth)
	case json.Delim('['):
		list := []any{}
		for dec.More() {
			v, err := jsonValue(dec, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := dec.Token()
		return list, err
	}
	return tok, nil
}

func jsonObject(dec *json.Decoder, depth int) (any, error) {
	object := map[string]any{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := tok.(string)
		if _, ok := object[name]; ok {
			return nil, fmt.Errorf("name %q occurs twice at offset %d", name, dec.InputOffset())
		}
		if object[name], err = jsonValue(dec, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := dec.Token()
	return object, err
}
