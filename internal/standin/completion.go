package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the output length of a request that names none.
const defaultMaxTokens = 16

// completionBody is the body of both kinds of completion; chats have messages, the others a prompt.
type completionBody struct {
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// completion is one parsed request.
type completion struct {
	id        string
	chat      bool
	streaming bool
	prompt    []byte
	maxTokens int
	// ownTokens is the share of the prompt that this engine prefills; the rest is imported.
	ownTokens int64
	priority  int
	imports   []segmentReference
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	c, err := parseCompletion(r, chat)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.acceptFenceHeader(w, r) {
		return
	}
	s, err := e.admit(r.Context(), admission{
		id:       c.id,
		priority: c.priority,
		prefill:  c.ownTokens,
		tokens:   c.ownTokens + int64(c.maxTokens),
	})
	if err != nil {
		answerNotAdmitted(w, err)
		return
	}
	defer s.cancel(nil)
	out := &answerWriter{engine: e, ctx: s.ctx, w: w}
	if err := e.run(s, c, out); err != nil {
		e.abandon(s)
		out.fail(err)
		return
	}
	e.finish(s)
}

func answerNotAdmitted(w http.ResponseWriter, err error) {
	if errors.Is(err, errDropped) {
		dropConnection(w)
		return
	}
	refuse(w, http.StatusTooManyRequests, "no_memory", err.Error())
}

// run imports, prefills and decodes one admitted stream.
func (e *Engine) run(s *stream, c completion, out *answerWriter) error {
	if err := importSegments(s.ctx, c); err != nil {
		return err
	}
	e.startPrefill(s)
	select {
	case <-s.prefilled:
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
	if c.streaming {
		return e.decodeStream(s, c, out)
	}
	return e.decodeWhole(s, c, out)
}

func (e *Engine) decodeStream(s *stream, c completion, out *answerWriter) error {
	hash := xxhash.Sum64(c.prompt)
	out.w.Header().Set("Content-Type", "text/event-stream")
	next := time.Now()
	for i := range c.maxTokens {
		// A caller that reads slowly delays its own stream only, and the delay is not caught up.
		next = latest(next, time.Now().Add(-e.options.TokenInterval)).Add(e.options.TokenInterval)
		if sleepUntil(s.ctx, next) != nil {
			return context.Cause(s.ctx)
		}
		event := tokenEvent(c, tokenText(hash, i), i == c.maxTokens-1)
		if err := out.write(event); err != nil {
			return err
		}
		if e.decodeFault(s) {
			return context.Cause(s.ctx)
		}
	}
	return out.write([]byte("data: [DONE]\n\n"))
}

func (e *Engine) decodeWhole(s *stream, c completion, out *answerWriter) error {
	if e.decodeFault(s) {
		return context.Cause(s.ctx)
	}
	end := time.Now().Add(e.options.TokenInterval * time.Duration(c.maxTokens))
	if sleepUntil(s.ctx, end) != nil {
		return context.Cause(s.ctx)
	}
	body := wholeAnswer(c, ExpectedText(c.prompt, c.maxTokens))
	out.w.Header().Set("Content-Type", "application/json")
	out.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return out.write(body)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func parseCompletion(r *http.Request, chat bool) (completion, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return completion{}, err
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return completion{}, err
	}
	c := completion{
		id:        r.Header.Get("X-Request-Id"),
		chat:      chat,
		streaming: body.Stream,
		prompt:    []byte(body.Prompt),
		maxTokens: body.MaxTokens,
	}
	if chat {
		c.prompt = ChatPrompt(body.Messages)
	}
	if c.maxTokens <= 0 {
		c.maxTokens = defaultMaxTokens
	}
	return c, c.parseHeader(r.Header)
}

func (c *completion) parseHeader(header http.Header) error {
	priority, err := intHeader(header, "X-Priority", 0)
	if err != nil {
		return err
	}
	c.priority = int(priority)
	c.ownTokens, err = intHeader(header, "X-Own-Tokens", EstimateTokens(len(c.prompt)))
	if err != nil {
		return err
	}
	c.imports, err = parseImports(header.Get("X-Import"))
	return err
}

func intHeader(header http.Header, name string, absent int64) (int64, error) {
	value := strings.TrimSpace(header.Get(name))
	if value == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, errors.New("header " + name + " is not an integer")
	}
	return n, nil
}

type choiceDelta struct {
	Content string `json:"content"`
}

type choiceMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *choiceDelta   `json:"delta,omitempty"`
	Message      *choiceMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
}

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

func tokenEvent(c completion, text string, last bool) []byte {
	body := answerBody{ID: c.id, Object: "text_completion"}
	choice := answerChoice{}
	if c.chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &choiceDelta{Content: text}
	} else {
		choice.Text = &text
	}
	if last {
		body.end(c, &choice)
	}
	body.Choices = []answerChoice{choice}
	return []byte("data: " + string(mustJSON(body)) + "\n\n")
}

func wholeAnswer(c completion, text string) []byte {
	body := answerBody{ID: c.id, Object: "text_completion"}
	choice := answerChoice{}
	if c.chat {
		body.Object = "chat.completion"
		choice.Message = &choiceMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.end(c, &choice)
	body.Choices = []answerChoice{choice}
	return mustJSON(body)
}

func (b *answerBody) end(c completion, choice *answerChoice) {
	reason := "length"
	choice.FinishReason = &reason
	b.Usage = &answerUsage{PromptTokens: EstimateTokens(len(c.prompt)), CompletionTokens: c.maxTokens}
}
