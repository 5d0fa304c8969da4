package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// The YAML tags of the core schema that values of fields may have, and of null, which is rejected.
const (
	tagString = "!!str"
	tagBool   = "!!bool"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagNull   = "!!null"
)

// documentStart is the position of findings about the document itself.
var documentStart = position{line: 1, column: 1}

// TextValue is a type that is decoded from a YAML string.
type TextValue interface {
	SetText(text string) error
}

// Decode reads one YAML document into target, a pointer to a struct with yaml tags, and returns a report of its findings.
// Fields of target that could not be decoded keep their values. Documents of more than maxBytes are rejected.
func Decode(file string, data []byte, maxBytes int, target any) *Report {
	r := newReport(file)
	if len(data) > maxBytes {
		r.reject(documentStart, "", "the document has more than %d bytes", maxBytes)
		return r
	}
	if pos, ok := firstInvalidUTF8(data); ok {
		r.reject(pos, "", "the document is not valid UTF-8")
		return r
	}
	root := r.parse(data)
	if root == nil {
		return r
	}
	r.decodeValue(root, "", reflect.ValueOf(target).Elem())
	return r
}

func firstInvalidUTF8(data []byte) (position, bool) {
	for offset := 0; offset < len(data); {
		char, size := utf8.DecodeRune(data[offset:])
		if char == utf8.RuneError && size == 1 {
			return positionAt(data, offset), true
		}
		offset += size
	}
	return position{}, false
}

// parse returns the root node of the only document in data. If there is none, it adds a finding and returns nil.
func (r *Report) parse(data []byte) *yaml.Node {
	first, second, err := parseNodes(data)
	switch {
	case err != nil:
		message := strings.TrimPrefix(err.Error(), "yaml: ")
		r.reject(locateError(data, err), "", "not valid YAML: %s", errorLine.ReplaceAllString(message, ""))
	case second != nil:
		r.reject(positionOf(second), "", "the file contains more than one YAML document")
	case first == nil || len(first.Content) != 1:
		r.reject(documentStart, "", "the document is empty")
	default:
		return first.Content[0]
	}
	return nil
}

// parseNodes returns the first two documents in data; a missing document is nil.
func parseNodes(data []byte) (first, second *yaml.Node, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the parser panicked: %v", cause)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var nodes [2]yaml.Node
	if err := decoder.Decode(&nodes[0]); err != nil {
		return nil, nil, ignoreEOF(err)
	}
	if err := decoder.Decode(&nodes[1]); err != nil {
		return &nodes[0], nil, ignoreEOF(err)
	}
	return &nodes[0], &nodes[1], nil
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// errorLine matches the line number in an error of yaml.v3. It is removed because it is usually the line where the
// enclosing construct begins, or the line before it.
var errorLine = regexp.MustCompile(`^line \d+: `)

// locateError finds the line of a syntax error. It parses prefixes of data and returns the last line of the shortest prefix
// that causes the same error.
func locateError(data []byte, err error) position {
	lines := bytes.SplitAfter(data, []byte("\n"))
	ends := make([]int, len(lines))
	end := 0
	for i, line := range lines {
		end += len(line)
		ends[i] = end
	}
	i := sort.Search(len(lines)-1, func(i int) bool {
		_, _, prefixErr := parseNodes(data[:ends[i]])
		return prefixErr != nil && prefixErr.Error() == err.Error()
	})
	indentation := len(lines[i]) - len(bytes.TrimLeft(lines[i], " \t"))
	return position{line: i + 1, column: indentation + 1}
}

// positionAt returns the line and column of a byte offset.
func positionAt(data []byte, offset int) position {
	before := data[:offset]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return position{
		line:   bytes.Count(before, []byte("\n")) + 1,
		column: utf8.RuneCount(before[lineStart:]) + 1,
	}
}

func positionOf(node *yaml.Node) position {
	return position{line: max(node.Line, 1), column: max(node.Column, 1)}
}

func (r *Report) decodeValue(node *yaml.Node, path string, target reflect.Value) {
	r.positions[path] = positionOf(node)
	if node.Kind == yaml.AliasNode {
		r.reject(positionOf(node), path, "aliases are not allowed")
		return
	}
	if node.Anchor != "" {
		r.reject(positionOf(node), path, "anchors are not allowed")
		return
	}
	if node.Kind == yaml.ScalarNode && node.ShortTag() == tagNull {
		r.reject(positionOf(node), path, "has no value")
		return
	}
	if text, ok := target.Addr().Interface().(TextValue); ok {
		r.decodeText(node, path, text)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		value := reflect.New(target.Type().Elem())
		r.decodeValue(node, path, value.Elem())
		if !r.rejected[path] {
			target.Set(value)
		}
	case reflect.Struct:
		r.decodeStruct(node, path, target)
	case reflect.Slice:
		r.decodeSlice(node, path, target)
	default:
		r.decodeScalar(node, path, target)
	}
}

func (r *Report) decodeText(node *yaml.Node, path string, target TextValue) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() != tagString {
		r.reject(positionOf(node), path, "must be a string, not %s", describeNode(node))
		return
	}
	if err := target.SetText(node.Value); err != nil {
		r.reject(positionOf(node), path, "%v", err)
	}
}

func (r *Report) decodeStruct(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		r.reject(positionOf(node), path, "must be a mapping, not %s", describeNode(node))
		return
	}
	fields := make(map[string]reflect.Value)
	collectFields(target, fields)
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		fieldPath := join(path, key.Value)
		field, known := fields[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || key.Anchor != "":
			r.add(positionOf(key), path, "a key must be a plain field name")
		case seen[key.Value]:
			r.add(positionOf(key), fieldPath, "the field appears twice")
		case !known:
			r.add(positionOf(key), fieldPath, "unknown field")
		default:
			r.decodeValue(value, fieldPath, field)
		}
		seen[key.Value] = true
	}
}

func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			collectFields(target.Field(i), fields)
			continue
		}
		if name := field.Tag.Get("yaml"); name != "" && name != "-" {
			fields[name] = target.Field(i)
		}
	}
}

func (r *Report) decodeSlice(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		r.reject(positionOf(node), path, "must be a list, not %s", describeNode(node))
		return
	}
	values := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		r.decodeValue(item, fmt.Sprintf("%s[%d]", path, i), values.Index(i))
	}
	target.Set(values)
}

func (r *Report) decodeScalar(node *yaml.Node, path string, target reflect.Value) {
	expected, tags := scalarType(target.Kind())
	if node.Kind != yaml.ScalarNode || !strings.Contains(tags, node.ShortTag()) {
		r.reject(positionOf(node), path, "must be %s, not %s", expected, describeNode(node))
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		r.reject(positionOf(node), path, "must be %s in the range of its type", expected)
	}
}

// scalarType returns the name of a Go kind for messages and the YAML tags that it accepts.
func scalarType(kind reflect.Kind) (name, tags string) {
	switch kind {
	case reflect.String:
		return "a string", tagString
	case reflect.Bool:
		return "true or false", tagBool
	case reflect.Float64:
		return "a number", tagFloat + tagInt
	case reflect.Uint64:
		return "an integer of at least 0", tagInt
	default:
		return "an integer", tagInt
	}
}

func describeNode(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	switch node.ShortTag() {
	case tagString:
		return "a string"
	case tagBool:
		return "a boolean"
	case tagInt:
		return "an integer"
	case tagFloat:
		return "a number"
	default:
		return "a value of type " + node.ShortTag()
	}
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
