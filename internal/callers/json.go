package callers

import (
	"bytes"
	"encoding/json"
	"iter"
	"slices"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The functions in this file walk a document that json.Valid has accepted, and return parts of it without copying them.
// encoding/json would copy a long prompt and match field names regardless of case. Of two fields with the same name it would
// take the last, where an engine may take the first.

// objectFields returns the values of the named fields of an object. It refuses values that are not objects, and objects in
// which a named field occurs more than once.
func objectFields(object []byte, names ...string) (map[string][]byte, *outcome.Error) {
	object = bytes.TrimSpace(object)
	if len(object) == 0 || object[0] != '{' {
		return nil, newRefusal(CodeWrongType, "the body, a message or a content part is not an object")
	}
	values := make(map[string][]byte, len(names))
	for key, value := range elements(object) {
		name := stringValue(key)
		if !slices.Contains(names, name) {
			continue
		}
		if _, present := values[name]; present {
			return nil, newRefusal(CodeDuplicateField, "the field "+name+" occurs more than once")
		}
		values[name] = value
	}
	return values, nil
}

// elements yields the elements of an array with nil keys, or the values of an object with their quoted names as keys.
func elements(container []byte) iter.Seq2[[]byte, []byte] {
	isObject := container[0] == '{'
	return func(yield func(key, value []byte) bool) {
		remaining := skipSpace(container[1:])
		for remaining[0] != ']' && remaining[0] != '}' {
			var key []byte
			if isObject {
				end := valueEnd(remaining)
				key = remaining[:end]
				remaining = skipSpace(skipSpace(remaining[end:])[1:])
			}
			end := valueEnd(remaining)
			if !yield(key, remaining[:end]) {
				return
			}
			remaining = skipSpace(remaining[end:])
			if remaining[0] == ',' {
				remaining = skipSpace(remaining[1:])
			}
		}
	}
}

func skipSpace(text []byte) []byte { return bytes.TrimLeft(text, " \t\r\n") }

// valueEnd returns the length of the value at the beginning of the text.
func valueEnd(text []byte) int {
	switch text[0] {
	case '"':
		return stringEnd(text)
	case '{', '[':
		return containerEnd(text)
	}
	if end := bytes.IndexAny(text, ",]} \t\r\n"); end >= 0 {
		return end
	}
	return len(text)
}

func stringEnd(text []byte) int {
	for at := 1; ; {
		at += bytes.IndexAny(text[at:], `"\`)
		if text[at] == '"' {
			return at + 1
		}
		at += 2
	}
}

func containerEnd(text []byte) int {
	depth := 0
	for at := 0; ; at++ {
		switch text[at] {
		case '"':
			at += stringEnd(text[at:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return at + 1
			}
		}
	}
}

// plainString returns the content of a JSON string, or false if the value is not a string or contains escapes.
func plainString(value []byte) ([]byte, bool) {
	if len(value) == 0 || value[0] != '"' || bytes.IndexByte(value, '\\') >= 0 {
		return nil, false
	}
	return value[1 : len(value)-1], true
}

// stringValue returns a copy of the content of a JSON string, or the empty string for other types.
func stringValue(value []byte) string {
	if content, ok := plainString(value); ok {
		return string(content)
	}
	var decoded string
	if err := json.Unmarshal(value, &decoded); err != nil {
		return ""
	}
	return decoded
}
