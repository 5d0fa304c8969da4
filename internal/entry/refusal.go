package entry

import (
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The codes of the answers that this package gives itself.
const (
	codeMalformed      = "malformed_request"
	codeNoCatalog      = "configuration_not_loaded"
	codeUnknownProfile = "unknown_profile"
	codeUnknownKey     = "unknown_key"
	codeUnconfirmed    = "configuration_unconfirmed"
	codeStopping       = "stopping"
	codeNoEndpoint     = "no_endpoint"
	codeOverloaded     = "overloaded"
	codeTooLarge       = "prompt_too_large"
	codeNotRun         = "endpoint_refused"
	codeEndpointFailed = "endpoint_failed"
	codeTimeLimit      = "time_limit"
)

// stoppingRetryAfter is the advised delay on an instance that stops: another one serves the caller at once.
const stoppingRetryAfter = 50 * time.Millisecond

// unavailableRetryAfter is the advised delay while the instance lacks what it needs to serve a request.
const unavailableRetryAfter = 500 * time.Millisecond

// failed returns the answer to a request that may have run.
func failed(status int, stage outcome.Stage, code, message string, repeatSafe bool) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Stage: stage, Code: code, Message: message, Status: status, RetrySafe: repeatSafe,
	}
}

// refuseUnavailable returns a refusal of a request that has not run.
func refuseUnavailable(stage outcome.Stage, code, message string, retryAfter time.Duration) *outcome.Error {
	return outcome.Refusal(http.StatusServiceUnavailable, stage, code, message, retryAfter)
}
