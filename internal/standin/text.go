// Package standin contains small fakes of the systems around acacialift: the platform, a model engine and a plain service.
// They are used only by tests, by measurements and by the examples in the README.
package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the prompt length in bytes that is estimated as one token: bytes / 4, rounded up.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a prompt of the given length in bytes.
func EstimateTokens(bytes int) int64 {
	return int64((bytes + bytesPerToken - 1) / bytesPerToken)
}

// ExpectedText returns the text that an engine generates for a prompt. The prompt is the value of the field "prompt", or
// the result of ChatPrompt.
func ExpectedText(prompt []byte, tokens int) string {
	return ExpectedTextOfParts(tokens, prompt)
}

// ExpectedTextOfParts is ExpectedText for a prompt given in parts, which avoids joining long prompts.
func ExpectedTextOfParts(tokens int, parts ...[]byte) string {
	digest := xxhash.New()
	for _, part := range parts {
		// Digest.Write never fails.
		_, _ = digest.Write(part)
	}
	hash := digest.Sum64()
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(hash, i))
	}
	return b.String()
}

// tokenText returns the text of one generated token, nine bytes long.
func tokenText(promptHash uint64, index int) string {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], promptHash)
	binary.BigEndian.PutUint64(key[8:], uint64(index))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(key[:])))
}

// ChatMessage is one message of a chat completion.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt of a chat: the contents of the messages, joined by line feeds.
func ChatPrompt(messages []ChatMessage) []byte {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return []byte(strings.Join(contents, "\n"))
}
