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

// defaultMaxTokens is the output length of a request without max_tokens.
const defaultMaxTokens = 16

// completionBody is the body of a completion request: chat completions have messages, other completions a prompt.
type completionBody struct {
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// completion is a parsed completion request.
type completion struct {
	id        string
	chat      bool
	streaming bool
	prompt    []byte
	maxTokens int
	// ownTokens is the number of prompt tokens that this engine prefills; the remaining ones are imported.
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
		id:             c.id,
		priority:       c.priority,
		prefillTokens:  c.ownTokens,
		reservedTokens: c.ownTokens + int64(c.maxTokens),
	})
	if err != nil {
		refuseAdmission(w, err)
		return
	}
	defer s.cancel(nil)
	out := &responseWriter{engine: e, ctx: s.ctx, w: w}
	if err := e.run(s, c, out); err != nil {
		e.abandon(s)
		out.fail(err)
		return
	}
	e.finish(s)
}

func refuseAdmission(w http.ResponseWriter, err error) {
	if errors.Is(err, errDropped) {
		dropConnection(w)
		return
	}
	refuse(w, http.StatusTooManyRequests, "no_memory", err.Error())
}

// run imports, prefills and decodes one admitted stream.
func (e *Engine) run(s *stream, c completion, out *responseWriter) error {
	if err := importSegments(s.ctx, c); err != nil {
		return err
	}
	e.startPrefill(s)
	select {
	case <-s.prefillDone:
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
	if c.streaming {
		return e.decodeStream(s, c, out)
	}
	return e.decodeBuffered(s, c, out)
}

func (e *Engine) decodeStream(s *stream, c completion, out *responseWriter) error {
	hash := xxhash.Sum64(c.prompt)
	out.w.Header().Set("Content-Type", "text/event-stream")
	next := time.Now()
	for i := range c.maxTokens {
		// A caller that reads slowly delays only its own stream. After a delay, tokens are sent at the usual interval, not
		// in a burst.
		next = latest(next, time.Now().Add(-e.options.TokenInterval)).Add(e.options.TokenInterval)
		if sleepUntil(s.ctx, next) != nil {
			return context.Cause(s.ctx)
		}
		event := tokenEvent(c, tokenText(hash, i), i == c.maxTokens-1)
		if err := out.write(event); err != nil {
			return err
		}
		if e.applyDecodeFault(s) {
			return context.Cause(s.ctx)
		}
	}
	return out.write([]byte("data: [DONE]\n\n"))
}

func (e *Engine) decodeBuffered(s *stream, c completion, out *responseWriter) error {
	if e.applyDecodeFault(s) {
		return context.Cause(s.ctx)
	}
	end := time.Now().Add(e.options.TokenInterval * time.Duration(c.maxTokens))
	if sleepUntil(s.ctx, end) != nil {
		return context.Cause(s.ctx)
	}
	body := completionResponse(c, ExpectedText(c.prompt, c.maxTokens))
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

// intHeader returns the integer value of a header, or fallback if the header is missing or empty.
func intHeader(header http.Header, name string, fallback int64) (int64, error) {
	value := strings.TrimSpace(header.Get(name))
	if value == "" {
		return fallback, nil
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

type responseChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Delta        *choiceDelta   `json:"delta,omitempty"`
	Message      *choiceMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type responseUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
}

type responseBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Choices []responseChoice `json:"choices"`
	Usage   *responseUsage   `json:"usage,omitempty"`
}

func tokenEvent(c completion, text string, last bool) []byte {
	body := responseBody{ID: c.id, Object: "text_completion"}
	choice := responseChoice{}
	if c.chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &choiceDelta{Content: text}
	} else {
		choice.Text = &text
	}
	if last {
		body.setFinish(c, &choice)
	}
	body.Choices = []responseChoice{choice}
	return []byte("data: " + string(mustJSON(body)) + "\n\n")
}

func completionResponse(c completion, text string) []byte {
	body := responseBody{ID: c.id, Object: "text_completion"}
	choice := responseChoice{}
	if c.chat {
		body.Object = "chat.completion"
		choice.Message = &choiceMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.setFinish(c, &choice)
	body.Choices = []responseChoice{choice}
	return mustJSON(body)
}

func (b *responseBody) setFinish(c completion, choice *responseChoice) {
	reason := "length"
	choice.FinishReason = &reason
	b.Usage = &responseUsage{PromptTokens: EstimateTokens(len(c.prompt)), CompletionTokens: c.maxTokens}
}
