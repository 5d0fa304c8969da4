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

// The kinds of a violation of what callers are promised.
const (
	// ViolationWrongText is an answer that is not the one to its request.
	ViolationWrongText = "wrong_text"
	// ViolationLooksComplete is a truncated answer that a caller could take for a whole one.
	ViolationLooksComplete = "cut_but_looks_complete"
	// ViolationMalformed is a final answer whose parts contradict each other.
	ViolationMalformed = "malformed_answer"
	// ViolationRanTwice is a key that a plain service executed more than once.
	ViolationRanTwice = "ran_twice"
	// ViolationRan is a request that was answered not_run and was executed.
	ViolationRan = "not_run_but_executed"
)

// violation is the error of an answer that breaks a promise.
type violation struct {
	kind   string
	detail string
}

func (v *violation) Error() string { return v.kind + ": " + v.detail }

// Outcomes that the tool adds to those of the outcome package.
const (
	// OutcomeOK is a whole and right answer.
	OutcomeOK = "ok"
	// OutcomeViolation is an answer that breaks a promise; its code is the kind of the violation.
	OutcomeViolation = "violation"
	// OutcomeReset is an exchange that ended without a final answer or a terminal event.
	OutcomeReset = "reset"
	// OutcomeEndpoint is an error that an endpoint answered itself.
	OutcomeEndpoint = "endpoint_error"
)

// verdict is the result of one attempt.
type verdict struct {
	outcome string
	stage   string
	code    string
	// violation is set if the outcome is OutcomeViolation.
	violation *violation
	// final is acacialift's own answer, if there was one.
	final *outcome.BodyError
	// firstToken and tokenGaps are measured on streams; zero and empty otherwise.
	firstToken time.Time
	tokenGaps  []time.Duration
}

func violated(kind, format string, args ...any) verdict {
	v := &violation{kind: kind, detail: fmt.Sprintf(format, args...)}
	return verdict{outcome: OutcomeViolation, code: kind, violation: v}
}

func finalVerdict(body outcome.BodyError) verdict {
	return verdict{outcome: string(body.Outcome), stage: string(body.Stage), code: body.Code, final: &body}
}

// resetVerdict is that of an answer whose connection broke in the body.
var resetVerdict = verdict{outcome: OutcomeReset, stage: "body", code: "read"}

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// checkError judges an answer whose status is not a success.
func checkError(answer *http.Response) verdict {
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	if err != nil {
		return resetVerdict
	}
	claimed := answer.Header.Get(outcome.HeaderName)
	if claimed == "" {
		return verdict{outcome: OutcomeEndpoint, code: fmt.Sprint(answer.StatusCode)}
	}
	v := checkFinal(raw, claimed)
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && v.final != nil {
		setDefault(&v.final.RetryAfterMS, int64(seconds)*time.Second.Milliseconds())
	}
	return v
}

func checkFinal(raw []byte, claimed string) verdict {
	var body outcome.Body
	if err := json.Unmarshal(raw, &body); err != nil {
		return violated(ViolationMalformed, "error body: %v", err)
	}
	switch body.Error.Outcome {
	case outcome.NotRun, outcome.Failed, outcome.Unknown:
	default:
		return violated(ViolationMalformed, "unknown outcome %q", body.Error.Outcome)
	}
	if claimed != "" && claimed != string(body.Error.Outcome) {
		return violated(ViolationMalformed, "header says %q, body says %q", claimed, body.Error.Outcome)
	}
	return finalVerdict(body.Error)
}

// choice is the part of an answer's choice that the check reads.
type choice struct {
	Text    string `json:"text"`
	Delta   part   `json:"delta"`
	Message part   `json:"message"`
}

type part struct {
	Content string `json:"content"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
}

func (b answerBody) text() string {
	var text strings.Builder
	for _, c := range b.Choices {
		text.WriteString(c.Text)
		text.WriteString(c.Delta.Content)
		text.WriteString(c.Message.Content)
	}
	return text.String()
}

// checkWhole judges an answer that was not streamed.
func checkWhole(body io.Reader, expected string) verdict {
	raw, err := io.ReadAll(body)
	if err != nil {
		return resetVerdict
	}
	var answer answerBody
	if err := json.Unmarshal(raw, &answer); err != nil {
		return violated(ViolationLooksComplete, "the body ended early: %v", err)
	}
	return compareText(answer.text(), expected)
}

func compareText(got, expected string) verdict {
	if got == expected {
		return verdict{outcome: OutcomeOK}
	}
	if strings.HasPrefix(expected, got) {
		return violated(ViolationLooksComplete, "%d of %d bytes of text", len(got), len(expected))
	}
	return violated(ViolationWrongText, "%s", difference(got, expected))
}

func difference(got, expected string) string {
	at := 0
	for at < len(got) && at < len(expected) && got[at] == expected[at] {
		at++
	}
	const context = 20
	return fmt.Sprintf("text differs at byte %d: %.*q instead of %.*q", at, context, got[at:], context, expected[at:])
}

// streamCheck judges a stream of server-sent events.
type streamCheck struct {
	expected string
	now      func() time.Time

	received int
	id       string
	sawDone  bool
	// failure is the verdict of an error event; nothing but the end of the body may follow it.
	failure   *verdict
	last      time.Time
	first     time.Time
	gaps      []time.Duration
	eventName string
}

// run reads the stream to its end.
func (s *streamCheck) run(body io.Reader) verdict {
	v := s.read(bufio.NewReader(body))
	v.firstToken = s.first
	v.tokenGaps = s.gaps
	return v
}

func (s *streamCheck) read(reader *bufio.Reader) verdict {
	for {
		line, err := reader.ReadString('\n')
		if err == nil {
			if v, ended := s.readLine(strings.TrimRight(line, "\r\n")); ended {
				return v
			}
			continue
		}
		if s.failure != nil {
			return *s.failure
		}
		if errors.Is(err, io.EOF) && line == "" {
			return s.atCleanEnd()
		}
		if errors.Is(err, io.EOF) {
			return violated(ViolationLooksComplete, "the body ended inside an event")
		}
		return resetVerdict
	}
}

func (s *streamCheck) atCleanEnd() verdict {
	if !s.sawDone {
		return violated(ViolationLooksComplete, "the body ended without a terminal event")
	}
	return verdict{outcome: OutcomeOK}
}

// readLine returns a verdict if the line decides it.
func (s *streamCheck) readLine(line string) (verdict, bool) {
	if line == "" {
		s.eventName = ""
		return verdict{}, false
	}
	if name, ok := strings.CutPrefix(line, "event:"); ok {
		s.eventName = strings.TrimSpace(name)
		return verdict{}, false
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return verdict{}, false
	}
	data = strings.TrimSpace(data)
	switch {
	case s.sawDone:
		return violated(ViolationMalformed, "an event follows the terminal event"), true
	case s.failure != nil:
		return violated(ViolationLooksComplete, "event %.80q follows an error event", data), true
	case s.eventName == "error":
		final := checkFinal([]byte(data), "")
		s.failure = &final
		return verdict{}, false
	case data == "[DONE]":
		s.sawDone = true
		return s.atDone()
	default:
		return s.readToken(data)
	}
}

func (s *streamCheck) atDone() (verdict, bool) {
	if s.received < len(s.expected) {
		return violated(ViolationLooksComplete, "terminal event after %d of %d bytes of text",
			s.received, len(s.expected)), true
	}
	return verdict{}, false
}

func (s *streamCheck) readToken(data string) (verdict, bool) {
	now := s.now()
	var event answerBody
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return violated(ViolationMalformed, "event %.80q: %v", data, err), true
	}
	if s.first.IsZero() {
		s.first = now
		s.id = event.ID
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
	if event.ID != s.id {
		return violated(ViolationWrongText, "an event of stream %q in stream %q", event.ID, s.id), true
	}
	text := event.text()
	rest := s.expected[s.received:]
	if !strings.HasPrefix(rest, text) {
		return violated(ViolationWrongText, "after %d bytes: %s", s.received, difference(text, rest)), true
	}
	s.received += len(text)
	return verdict{}, false
}
