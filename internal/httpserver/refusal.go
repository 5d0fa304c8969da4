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

// budgetRetryAfter is the Retry-After of refusals for lack of capacity: an exhausted body budget or too many pipelined
// requests.
const budgetRetryAfter = time.Second

// The error codes of the server's own refusals.
const (
	CodeMalformed        = "malformed_request"
	CodeHeaderTooLarge   = "header_too_large"
	CodeBodyTooLarge     = "body_too_large"
	CodeBodyBudget       = "body_budget_exhausted"
	CodeVersion          = "unsupported_version"
	CodeExpectation      = "unsupported_expectation"
	CodeSlowRequest      = "request_too_slow"
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
		"the buffered request bodies exceed the limit", budgetRetryAfter)
}

func refusePipelined() *outcome.Error {
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, CodeTooManyPipelined,
		"too many pipelined requests wait on the connection", budgetRetryAfter)
}

// refusalOf returns the refusal of a request that could not be received, or nil if the connection has ended.
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
		return refuse(http.StatusRequestTimeout, CodeSlowRequest, "the request did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return nil
}
