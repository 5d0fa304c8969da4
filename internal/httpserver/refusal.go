package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/wire"
)

// capacityRetryAfter is the Retry-After of refusals because the memory for request bodies is used up or too many requests
// are pipelined.
const capacityRetryAfter = time.Second

// The error codes of refusals that the server, not the handler, creates.
const (
	CodeMalformed        = "malformed_request"
	CodeHeaderTooLarge   = "header_too_large"
	CodeBodyTooLarge     = "body_too_large"
	CodeBodyBudget       = "body_budget_exhausted"
	CodeVersion          = "unsupported_version"
	CodeExpectation      = "unsupported_expectation"
	CodeRequestTooSlow   = "request_too_slow"
	CodeTooManyPipelined = "too_many_pipelined"
)

func refuse(status int, code, message string) *outcome.Error {
	return outcome.Refusal(status, outcome.StageAdmission, code, message, 0)
}

func refuseBodySize() *outcome.Error {
	return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the request body exceeds the limit")
}

func refuseBudget() *outcome.Error {
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, CodeBodyBudget,
		"the memory for request bodies is used up", capacityRetryAfter)
}

func refusePipelined() *outcome.Error {
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, CodeTooManyPipelined,
		"too many pipelined requests on the connection", capacityRetryAfter)
}

// refusalOf returns the refusal for an error of receiving a request, or nil if no response can be sent after the error.
func refusalOf(err error) *outcome.Error {
	var malformed *wire.MalformedError
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &malformed):
		return refuse(http.StatusBadRequest, CodeMalformed, malformed.Reason)
	case errors.Is(err, wire.ErrHeadTooLarge):
		return refuse(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "the request header exceeds the limit")
	case errors.Is(err, wire.ErrVersion):
		return refuse(http.StatusHTTPVersionNotSupported, CodeVersion, "the HTTP version is not supported")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, CodeRequestTooSlow, "the request did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return nil
}
