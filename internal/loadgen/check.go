package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The kinds of violations of the guarantees to callers.
const (
	// ViolationWrongText is a response that belongs to another request or has wrong content.
	ViolationWrongText = "wrong_text"
	// ViolationLooksComplete is a truncated response that a caller could mistake for a complete one.
	ViolationLooksComplete = "cut_but_looks_complete"
	// ViolationMalformed is a response that is malformed or contradicts itself.
	ViolationMalformed = "malformed_answer"
	// ViolationRanTwice is a key whose request a plain service executed more than once.
	ViolationRanTwice = "ran_twice"
	// ViolationRan is a request that was executed although its outcome was not_run.
	ViolationRan = "not_run_but_executed"
)

// violation is a response that violates a guarantee.
type violation struct {
	kind   string
	detail string
}

func (v *violation) Error() string { return v.kind + ": " + v.detail }

// The outcomes that the load generator adds to those of package outcome.
const (
	// OutcomeOK is a complete and correct response.
	OutcomeOK = "ok"
	// OutcomeViolation is a response that violates a guarantee; its code is the kind of the violation.
	OutcomeViolation = "violation"
	// OutcomeReset is an attempt that failed or timed out before its response was complete.
	OutcomeReset = "reset"
	// OutcomeEndpoint is an error response of the endpoint, without the outcome header.
	OutcomeEndpoint = "endpoint_error"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome string
	stage   string
	code    string
	// violation is set if the outcome is OutcomeViolation.
	violation *violation
	// errorBody is the error response of acacialift itself, or nil.
	errorBody *outcome.BodyError
	// firstToken and tokenGaps are set for streams only.
	firstToken time.Time
	tokenGaps  []time.Duration
}

func violationResult(kind, format string, args ...any) attemptResult {
	v := &violation{kind: kind, detail: fmt.Sprintf(format, args...)}
	return attemptResult{outcome: OutcomeViolation, code: kind, violation: v}
}

func errorResult(body outcome.BodyError) attemptResult {
	return attemptResult{outcome: string(body.Outcome), stage: string(body.Stage), code: body.Code, errorBody: &body}
}

// resetResult is the result of a response whose connection failed in the body.
var resetResult = attemptResult{outcome: OutcomeReset, stage: "body", code: "read"}

// maxErrorBytes is the number of bytes that are read of an error response.
const maxErrorBytes = 64 << 10

// checkError checks a response whose status is not a success.
func checkError(response *http.Response) attemptResult {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return resetResult
	}
	headerOutcome := response.Header.Get(outcome.HeaderName)
	if headerOutcome == "" {
		return attemptResult{outcome: OutcomeEndpoint, code: fmt.Sprint(response.StatusCode)}
	}
	result := checkErrorBody(raw, headerOutcome)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && result.errorBody != nil {
		setDefault(&result.errorBody.RetryAfterMS, int64(seconds)*time.Second.Milliseconds())
	}
	return result
}

func checkErrorBody(raw []byte, headerOutcome string) attemptResult {
	var body outcome.Body
	if err := json.Unmarshal(raw, &body); err != nil {
		return violationResult(ViolationMalformed, "error body: %v", err)
	}
	switch body.Error.Outcome {
	case outcome.NotRun, outcome.Failed, outcome.Unknown:
	default:
		return violationResult(ViolationMalformed, "unknown outcome %q", body.Error.Outcome)
	}
	if headerOutcome != "" && headerOutcome != string(body.Error.Outcome) {
		return violationResult(ViolationMalformed, "outcome %q in the header, %q in the body", headerOutcome, body.Error.Outcome)
	}
	return errorResult(body.Error)
}

// choice holds the checked fields of a choice of a completion.
type choice struct {
	Text    string  `json:"text"`
	Delta   message `json:"delta"`
	Message message `json:"message"`
}

type message struct {
	Content string `json:"content"`
}

type completionBody struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
}

func (b completionBody) text() string {
	var text strings.Builder
	for _, c := range b.Choices {
		text.WriteString(c.Text)
		text.WriteString(c.Delta.Content)
		text.WriteString(c.Message.Content)
	}
	return text.String()
}

// checkCompletion checks a completion that was not streamed.
func checkCompletion(body io.Reader, expected string) attemptResult {
	raw, err := io.ReadAll(body)
	if err != nil {
		return resetResult
	}
	var completion completionBody
	if err := json.Unmarshal(raw, &completion); err != nil {
		return violationResult(ViolationLooksComplete, "the body ended early: %v", err)
	}
	return compareText(completion.text(), expected)
}

func compareText(got, expected string) attemptResult {
	if got == expected {
		return attemptResult{outcome: OutcomeOK}
	}
	if strings.HasPrefix(expected, got) {
		return violationResult(ViolationLooksComplete, "%d of %d bytes of text", len(got), len(expected))
	}
	return violationResult(ViolationWrongText, "%s", difference(got, expected))
}

func difference(got, expected string) string {
	at := 0
	for at < len(got) && at < len(expected) && got[at] == expected[at] {
		at++
	}
	const context = 20
	return fmt.Sprintf("text differs at byte %d: %.*q instead of %.*q", at, context, got[at:], context, expected[at:])
}

// streamChecker checks a stream of server-sent events.
type streamChecker struct {
	expected string
	now      func() time.Time

	receivedBytes int
	streamID      string
	sawDone       bool
	// failure is the result of an error event; no other event may follow it.
	failure    *attemptResult
	lastToken  time.Time
	firstToken time.Time
	gaps       []time.Duration
	eventName  string
}

// run reads the stream to its end.
func (s *streamChecker) run(body io.Reader) attemptResult {
	result := s.readLines(bufio.NewReader(body))
	result.firstToken = s.firstToken
	result.tokenGaps = s.gaps
	return result
}

func (s *streamChecker) readLines(reader *bufio.Reader) attemptResult {
	for {
		line, err := reader.ReadString('\n')
		if err == nil {
			if result, ended := s.checkLine(strings.TrimRight(line, "\r\n")); ended {
				return result
			}
			continue
		}
		if s.failure != nil {
			return *s.failure
		}
		if errors.Is(err, io.EOF) && line == "" {
			return s.checkEnd()
		}
		if errors.Is(err, io.EOF) {
			return violationResult(ViolationLooksComplete, "the body ended inside an event")
		}
		return resetResult
	}
}

func (s *streamChecker) checkEnd() attemptResult {
	if !s.sawDone {
		return violationResult(ViolationLooksComplete, "the body ended without a terminal event")
	}
	return attemptResult{outcome: OutcomeOK}
}

// checkLine returns a result and true if the line decides the result of the stream.
func (s *streamChecker) checkLine(line string) (attemptResult, bool) {
	if line == "" {
		s.eventName = ""
		return attemptResult{}, false
	}
	if name, ok := strings.CutPrefix(line, "event:"); ok {
		s.eventName = strings.TrimSpace(name)
		return attemptResult{}, false
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return attemptResult{}, false
	}
	data = strings.TrimSpace(data)
	switch {
	case s.sawDone:
		return violationResult(ViolationMalformed, "an event follows the terminal event"), true
	case s.failure != nil:
		return violationResult(ViolationLooksComplete, "event %.80q follows an error event", data), true
	case s.eventName == "error":
		result := checkErrorBody([]byte(data), "")
		s.failure = &result
		return attemptResult{}, false
	case data == "[DONE]":
		s.sawDone = true
		return s.checkTerminalEvent()
	default:
		return s.checkToken(data)
	}
}

func (s *streamChecker) checkTerminalEvent() (attemptResult, bool) {
	if s.receivedBytes < len(s.expected) {
		return violationResult(ViolationLooksComplete, "terminal event after %d of %d bytes of text",
			s.receivedBytes, len(s.expected)), true
	}
	return attemptResult{}, false
}

func (s *streamChecker) checkToken(data string) (attemptResult, bool) {
	now := s.now()
	var event completionBody
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return violationResult(ViolationMalformed, "event %.80q: %v", data, err), true
	}
	if s.firstToken.IsZero() {
		s.firstToken = now
		s.streamID = event.ID
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastToken))
	}
	s.lastToken = now
	if event.ID != s.streamID {
		return violationResult(ViolationWrongText, "an event of stream %q in stream %q", event.ID, s.streamID), true
	}
	text := event.text()
	remaining := s.expected[s.receivedBytes:]
	if !strings.HasPrefix(remaining, text) {
		return violationResult(ViolationWrongText, "after %d bytes: %s", s.receivedBytes, difference(text, remaining)), true
	}
	s.receivedBytes += len(text)
	return attemptResult{}, false
}
