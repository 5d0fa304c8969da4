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
	// prefixBytes is the length of the part of a prompt that is unique to a request.
	prefixBytes    = 32
	minPromptBytes = 2 * prefixBytes
)

// promptAlphabet needs no escaping in JSON.
const promptAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789 "

// prompts generates prompts that consist of a unique prefix and the start of one shared long text. Separate texts for all
// requests in flight would not fit into memory, because a million tokens are 4 MB.
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

// parts returns the unique prefix and the shared part of a job's prompt.
func (p *prompts) parts(j job) (prefix, shared []byte) {
	prefix = fmt.Appendf(nil, "%016x %014d ", p.seed, j.index)
	return prefix, p.text[:j.class.Tokens*bytesPerToken-prefixBytes]
}

// expected returns the text that the response must have.
func (p *prompts) expected(j job) string {
	prefix, shared := p.parts(j)
	return standin.ExpectedTextOfParts(j.tokens, prefix, shared)
}

// body returns the job's request body and its length. It does not copy the shared part of the prompt.
func (p *prompts) body(j job) (io.Reader, int64) {
	prefix, shared := p.parts(j)
	head := fmt.Sprintf(`{"max_tokens":%d,"stream":%t,`, j.tokens, j.streaming)
	tail := `"}`
	if j.chat {
		head += `"messages":[{"role":"user","content":"`
		tail = `"}]}`
	} else {
		head += `"prompt":"`
	}
	parts := [][]byte{[]byte(head), prefix, shared, []byte(tail)}
	readers := make([]io.Reader, len(parts))
	var length int64
	for i, part := range parts {
		readers[i] = bytes.NewReader(part)
		length += int64(len(part))
	}
	return io.MultiReader(readers...), length
}
