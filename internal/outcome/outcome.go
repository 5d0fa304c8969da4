// Package outcome defines the machine-readable error response that acacialift sends if it does not forward the response of
// an endpoint.
package outcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states what is known about the execution of a request.
type Outcome string

const (
	// NotRun means that no endpoint has started the request and none will.
	NotRun Outcome = "not_run"
	// Failed means that the request has run, completely or partially, and has ended.
	Failed Outcome = "failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Stage is the last stage that a request reached.
type Stage string

// The stages of a request, in order.
const (
	StageAdmission  Stage = "admission"
	StageCreditWait Stage = "credit_wait"
	StageConnect    Stage = "connect"
	StagePrefill    Stage = "prefill"
	StageDecode     Stage = "decode"
)

// HeaderName is the response header that carries the outcome.
const HeaderName = "X-Acacia-Outcome"

// Error is an error response that acacialift creates itself.
type Error struct {
	// Outcome is what the caller is told about the execution of the request.
	Outcome Outcome
	// Stage is the last stage that the request reached.
	Stage Stage
	// Code is a stable identifier of the reason, such as "unknown_profile".
	Code string
	// Message explains the reason to a person. It never contains addresses or keys.
	Message string
	// Status is the HTTP status code.
	Status int
	// RetrySafe is true if sending the request again cannot run it twice.
	RetrySafe bool
	// RetryAfter is the delay after which a retry can succeed; zero if none is advised.
	RetryAfter time.Duration
	// RequestID identifies the request in the decision log.
	RequestID string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %s", e.Outcome, e.Stage, e.Code, e.Message)
}

// Body is the JSON form of an Error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of a Body.
type BodyError struct {
	Outcome      Outcome `json:"outcome"`
	Stage        Stage   `json:"stage"`
	Code         string  `json:"code"`
	Message      string  `json:"message"`
	RetrySafe    bool    `json:"repeat_safe"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
}

// JSON returns the body of the error response.
func (e *Error) JSON() []byte {
	body := Body{Error: BodyError{
		Outcome:      e.Outcome,
		Stage:        e.Stage,
		Code:         e.Code,
		Message:      e.Message,
		RetrySafe:    e.RetrySafe,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    e.RequestID,
	}}
	encoded, err := json.Marshal(body)
	if err != nil {
		// Marshalling a struct of strings, integers and booleans cannot fail.
		panic(err)
	}
	return encoded
}

// WriteTo writes the complete HTTP response. Retry-After is in whole seconds, rounded up.
func (e *Error) WriteTo(w http.ResponseWriter) {
	e.write(w, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
}

// WriteMillisecondsTo is like WriteTo, but Retry-After is in seconds with three decimals, for callers that accept fractions.
func (e *Error) WriteMillisecondsTo(w http.ResponseWriter) {
	e.write(w, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
}

func (e *Error) write(w http.ResponseWriter, retryAfter string) {
	body := e.JSON()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderName, string(e.Outcome))
	if e.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(e.Status)
	// A write error means that the caller has disconnected. The server then closes the connection.
	_, _ = w.Write(body)
}

// Refusal returns a NotRun error at the given stage. A retry is safe because no endpoint has started the request.
func Refusal(status int, stage Stage, code, message string, retryAfter time.Duration) *Error {
	return &Error{
		Outcome:    NotRun,
		Stage:      stage,
		Code:       code,
		Message:    message,
		Status:     status,
		RetrySafe:  true,
		RetryAfter: retryAfter,
	}
}
