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
	// maxMaxTokens is more output than any model gives; profiles set lower limits.
	maxMaxTokens = 1 << 20

	prefixBytes = 4 << 10

	// BytesPerToken is the length of a token in the estimate of a prompt's tokens.
	BytesPerToken = 4
)

// EstimateTokens returns the estimated tokens of a prompt: its bytes divided by BytesPerToken, rounded up.
func EstimateTokens(bytes int64) int64 { return (bytes + BytesPerToken - 1) / BytesPerToken }

// parseBody reads the fields that admission needs. Fields that it does not know are left to the engine.
func (req *Request) parseBody() *outcome.Error {
	if !utf8.Valid(req.Body) {
		return refuse(CodeInvalidUTF8, "the body is not valid UTF-8")
	}
	if !json.Valid(req.Body) {
		return refuse(CodeMalformedJSON, "the body is not a JSON document")
	}
	values, refused := fields(req.Body, "prompt", "messages", "max_tokens", "stream")
	if refused != nil {
		return refused
	}
	prompt := &promptText{}
	if req.Kind == KindChat {
		refused = prompt.addMessages(values["messages"])
	} else {
		refused = prompt.addPrompt(values["prompt"])
	}
	if refused != nil {
		return refused
	}
	req.PromptTokens = EstimateTokens(prompt.bytes)
	req.PrefixHash = xxhash.Sum64(prompt.prefix)
	if refused := req.parseStream(values["stream"]); refused != nil {
		return refused
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
	return refuse(CodeWrongType, "stream is not a boolean")
}

func (req *Request) parseMaxTokens(value []byte) *outcome.Error {
	text := string(value)
	if text == "" || text == "null" {
		return nil
	}
	digits := strings.TrimPrefix(text, "-")
	if strings.Trim(digits, "0123456789") != "" {
		return refuse(CodeWrongType, "max_tokens is not a whole number")
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 1 || count > maxMaxTokens {
		return refuse(CodeInvalidMaxTokens, "max_tokens is not from 1 to "+strconv.Itoa(maxMaxTokens))
	}
	req.MaxTokens = count
	return nil
}

// promptText accumulates the length and the first bytes of a prompt.
type promptText struct {
	bytes  int64
	prefix []byte
}

func add[T string | []byte](p *promptText, text T) {
	p.bytes += int64(len(text))
	if room := prefixBytes - len(p.prefix); room > 0 {
		p.prefix = append(p.prefix, text[:min(room, len(text))]...)
	}
}

// addString adds a JSON string, or reports that the value is none. A string without escapes is not copied, one with
// escapes once.
func (p *promptText) addString(value []byte) bool {
	if content, ok := plainString(value); ok {
		add(p, content)
		return true
	}
	if len(value) == 0 || value[0] != '"' {
		return false
	}
	var decoded string
	if err := json.Unmarshal(value, &decoded); err != nil {
		return false
	}
	add(p, decoded)
	return true
}

func (p *promptText) addPrompt(value []byte) *outcome.Error {
	if isNull(value) {
		return refuse(CodeMissingPrompt, "the prompt is missing")
	}
	if !p.addString(value) {
		return refuse(CodeWrongType, "the prompt is not a string")
	}
	if p.bytes == 0 {
		return refuse(CodeMissingPrompt, "the prompt is empty")
	}
	return nil
}

func (p *promptText) addMessages(value []byte) *outcome.Error {
	if isNull(value) {
		return refuse(CodeMissingMessages, "the messages are missing")
	}
	if value[0] != '[' {
		return refuse(CodeWrongType, "the messages are not an array")
	}
	count := 0
	for _, message := range elements(value) {
		count++
		if refused := p.addMessage(message); refused != nil {
			return refused
		}
	}
	if count == 0 {
		return refuse(CodeMissingMessages, "there are no messages")
	}
	return nil
}

func (p *promptText) addMessage(message []byte) *outcome.Error {
	values, refused := fields(message, "role", "content")
	if refused != nil {
		return refused
	}
	if isNull(values["role"]) || !p.addString(values["role"]) {
		return refuse(CodeWrongType, "the role of a message is not a string")
	}
	add(p, "\n")
	if refused := p.addContent(values["content"]); refused != nil {
		return refused
	}
	add(p, "\n")
	return nil
}

// addContent adds a string or an array of parts of type text.
func (p *promptText) addContent(value []byte) *outcome.Error {
	if p.addString(value) {
		return nil
	}
	if len(value) == 0 || value[0] != '[' {
		return refuse(CodeWrongType, "the content of a message is neither a string nor an array of parts")
	}
	for _, part := range elements(value) {
		values, refused := fields(part, "type", "text")
		if refused != nil {
			return refused
		}
		if stringValue(values["type"]) != "text" {
			return refuse(CodeUnsupportedContent, "a content part is not of type text")
		}
		if !p.addString(values["text"]) {
			return refuse(CodeWrongType, "the text of a content part is not a string")
		}
	}
	return nil
}

func isNull(value []byte) bool { return len(value) == 0 || bytes.Equal(value, []byte("null")) }
