package callers

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/outcome"
)

const (
	// maxOutputTokens is more than any model can generate. A profile may set a lower limit.
	maxOutputTokens = 1 << 20

	prefixHashBytes = 4 << 10

	// BytesPerToken is the assumed length of a token in the estimate of a prompt's tokens.
	BytesPerToken = 4
)

// EstimateTokens returns the estimated number of tokens of a prompt: its bytes divided by BytesPerToken, rounded up.
func EstimateTokens(bytes int64) int64 { return (bytes + BytesPerToken - 1) / BytesPerToken }

// parseBody parses the fields that admission needs. All other fields are left to the engine.
func (req *Request) parseBody() *outcome.Error {
	if !utf8.Valid(req.Body) {
		return newRefusal(CodeInvalidUTF8, "the body is not valid UTF-8")
	}
	if !json.Valid(req.Body) {
		return newRefusal(CodeMalformedJSON, "the body is not a JSON document")
	}
	values, refusal := objectFields(req.Body, "prompt", "messages", "max_tokens", "stream")
	if refusal != nil {
		return refusal
	}
	prompt := &promptText{}
	if req.Kind == KindChat {
		refusal = prompt.addMessages(values["messages"])
	} else {
		refusal = prompt.addPrompt(values["prompt"])
	}
	if refusal != nil {
		return refusal
	}
	req.PromptTokens = EstimateTokens(prompt.bytes)
	req.PrefixHash = xxhash.Sum64(prompt.prefix)
	if refusal := req.parseStream(values["stream"]); refusal != nil {
		return refusal
	}
	return req.parseMaxTokens(values["max_tokens"])
}

func (req *Request) parseStream(value []byte) *outcome.Error {
	switch string(value) {
	case "", "null", "false":
		return nil
	case "true":
		req.Stream = true
		return nil
	}
	return newRefusal(CodeWrongType, "stream is not a boolean")
}

func (req *Request) parseMaxTokens(value []byte) *outcome.Error {
	text := string(value)
	if text == "" || text == "null" {
		return nil
	}
	digits := strings.TrimPrefix(text, "-")
	if strings.Trim(digits, "0123456789") != "" {
		return newRefusal(CodeWrongType, "max_tokens is not an integer")
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 1 || count > maxOutputTokens {
		return newRefusal(CodeInvalidMaxTokens, "max_tokens is not in the range from 1 to "+strconv.Itoa(maxOutputTokens))
	}
	req.MaxTokens = count
	return nil
}

// promptText accumulates the length of a prompt and its first prefixHashBytes bytes.
type promptText struct {
	bytes  int64
	prefix []byte
}

func addText[T string | []byte](p *promptText, text T) {
	p.bytes += int64(len(text))
	if remaining := prefixHashBytes - len(p.prefix); remaining > 0 {
		p.prefix = append(p.prefix, text[:min(remaining, len(text))]...)
	}
}

// addString adds a JSON string, or returns false if the value is not a string. A string without escapes is not copied; a
// string with escapes is copied once.
func (p *promptText) addString(value []byte) bool {
	if content, ok := plainString(value); ok {
		addText(p, content)
		return true
	}
	if len(value) == 0 || value[0] != '"' {
		return false
	}
	var decoded string
	if err := json.Unmarshal(value, &decoded); err != nil {
		return false
	}
	addText(p, decoded)
	return true
}

func (p *promptText) addPrompt(value []byte) *outcome.Error {
	if isNull(value) {
		return newRefusal(CodeMissingPrompt, "the prompt is missing")
	}
	if !p.addString(value) {
		return newRefusal(CodeWrongType, "the prompt is not a string")
	}
	if p.bytes == 0 {
		return newRefusal(CodeMissingPrompt, "the prompt is empty")
	}
	return nil
}

func (p *promptText) addMessages(value []byte) *outcome.Error {
	if isNull(value) {
		return newRefusal(CodeMissingMessages, "the messages are missing")
	}
	if value[0] != '[' {
		return newRefusal(CodeWrongType, "the messages are not an array")
	}
	count := 0
	for _, message := range elements(value) {
		count++
		if refusal := p.addMessage(message); refusal != nil {
			return refusal
		}
	}
	if count == 0 {
		return newRefusal(CodeMissingMessages, "the array of messages is empty")
	}
	return nil
}

func (p *promptText) addMessage(message []byte) *outcome.Error {
	values, refusal := objectFields(message, "role", "content")
	if refusal != nil {
		return refusal
	}
	if isNull(values["role"]) || !p.addString(values["role"]) {
		return newRefusal(CodeWrongType, "the role of a message is not a string")
	}
	addText(p, "\n")
	if refusal := p.addContent(values["content"]); refusal != nil {
		return refusal
	}
	addText(p, "\n")
	return nil
}

// addContent adds the content of a message: a string or an array of parts of type text.
func (p *promptText) addContent(value []byte) *outcome.Error {
	if p.addString(value) {
		return nil
	}
	if len(value) == 0 || value[0] != '[' {
		return newRefusal(CodeWrongType, "the content of a message is neither a string nor an array of parts")
	}
	for _, part := range elements(value) {
		values, refusal := objectFields(part, "type", "text")
		if refusal != nil {
			return refusal
		}
		if stringValue(values["type"]) != "text" {
			return newRefusal(CodeUnsupportedContent, "a content part is not of type text")
		}
		if !p.addString(values["text"]) {
			return newRefusal(CodeWrongType, "the text of a content part is not a string")
		}
	}
	return nil
}

func isNull(value []byte) bool { return len(value) == 0 || bytes.Equal(value, []byte("null")) }
