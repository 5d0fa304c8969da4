package loadgen

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/acacialift/acacialift/internal/standin"
)

const (
	bytesPerToken = 4
	// prefixBytes is the length of the part of a prompt that differs from request to request.
	prefixBytes    = 32
	minPromptBytes = 2 * prefixBytes
)

// promptAlphabet needs no escaping in JSON.
const promptAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789 "

// prompts holds one long text, generated once, of which every prompt is a unique prefix and a shared rest. A million
// tokens are 4 MB, so that prompts of their own for all requests in flight would not fit into memory.
type prompts struct {
	seed uint64
	text []byte
}

func newPrompts(o Options) *prompts {
	longest := 0
	for _, class := range o.Classes {
		longest = max(longest, class.Tokens*bytesPerToken)
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	text := make([]byte, longest)
	for i := range text {
		text[i] = promptAlphabet[random.IntN(len(promptAlphabet))]
	}
	return &prompts{seed: o.Seed, text: text}
}

// parts returns the two parts of a job's prompt.
func (p *prompts) parts(j job) (prefix, rest []byte) {
	prefix = fmt.Appendf(nil, "%016x %014d ", p.seed, j.index)
	return prefix, p.text[:j.class.Tokens*bytesPerToken-prefixBytes]
}

// expected returns the text that the answer must have.
func (p *prompts) expected(j job) string {
	prefix, rest := p.parts(j)
	return standin.ExpectedTextOfParts(j.tokens, prefix, rest)
}

// body returns the job's request body and its length without joining the prompt's parts.
func (p *prompts) body(j job) (io.Reader, int64) {
	prefix, rest := p.parts(j)
	head := fmt.Sprintf(`{"max_tokens":%d,"stream":%t,`, j.tokens, j.streaming)
	tail := `"}`
	if j.chat {
		head += `"messages":[{"role":"user","content":"`
		tail = `"}]}`
	} else {
		head += `"prompt":"`
	}
	parts := [][]byte{[]byte(head), prefix, rest, []byte(tail)}
	readers := make([]io.Reader, len(parts))
	var length int64
	for i, part := range parts {
		readers[i] = bytes.NewReader(part)
		length += int64(len(part))
	}
	return io.MultiReader(readers...), length
}
