package entry

import (
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The codes of the error responses that this package creates.
const (
	codeMalformed       = "malformed_request"
	codeNoCatalog       = "configuration_not_loaded"
	codeUnknownProfile  = "unknown_profile"
	codeUnknownKey      = "unknown_key"
	codeUnconfirmed     = "configuration_unconfirmed"
	codeStopping        = "stopping"
	codeNoEndpoint      = "no_endpoint"
	codeOverloaded      = "overloaded"
	codeTooLarge        = "prompt_too_large"
	codeEndpointRefused = "endpoint_refused"
	codeEndpointFailed  = "endpoint_failed"
	codeTimeLimit       = "time_limit"
	codePartQuarantined = "part_quarantined"
)

// stoppingRetryAfter is the Retry-After of an instance that is shutting down. It is short because another instance can serve
// the caller immediately.
const stoppingRetryAfter = 50 * time.Millisecond

// unavailableRetryAfter is the Retry-After while the configuration is missing, unconfirmed or lacks the profile's service.
const unavailableRetryAfter = 500 * time.Millisecond

// unknownOutcome returns the error response for a request that may have run.
func unknownOutcome(status int, stage outcome.Stage, code, message string, retrySafe bool) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Stage: stage, Code: code, Message: message, Status: status, RetrySafe: retrySafe,
	}
}

// refuseUnavailable returns the 503 response for a request that has not run.
func refuseUnavailable(stage outcome.Stage, code, message string, retryAfter time.Duration) *outcome.Error {
	return outcome.Refusal(http.StatusServiceUnavailable, stage, code, message, retryAfter)
}
