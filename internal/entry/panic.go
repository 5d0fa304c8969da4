package entry

import (
	"errors"
	"net/http"

	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
)

// codePanicked is the code of a request whose processing has panicked.
const codePanicked = "internal_error"

// errPanicked means that the processing has panicked on a goroutine of its own.
var errPanicked = errors.New("internal error")

// endPanicked ends a request whose processing has panicked. x is nil if the request was not understood yet. If a part of the response
// was sent, the connection is reset. A refusal states that the request has not run and never will, hence it is sent only if
// no attempt has begun to send the request.
func (h *Handler) endPanicked(w http.ResponseWriter, x *exchange, value any) {
	if value == http.ErrAbortHandler {
		panic(value)
	}
	h.panics.Record("request", value)
	if !httpserver.DropUnsent(w) {
		httpserver.Abort(w)
		if x != nil {
			x.logEnd("cut", 0, codePanicked)
		}
		return
	}
	if h.shutdown.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	refusal := refuseUnavailable(outcome.StageAdmission, codePanicked, "an internal error ended the request", unavailableRetryAfter)
	if x == nil {
		h.options.Metrics.CountError(refusal.Code)
		refusal.WriteMillisecondsTo(w)
		return
	}
	if x.sent > 0 {
		isRetryable := x.profile != nil && x.profile.Retryable()
		refusal = unknownOutcome(
			http.StatusInternalServerError, outcome.StagePrefill, codePanicked, "an internal error ended the request", isRetryable,
		)
	}
	x.endWithError(refusal)
}

// withoutPanic runs an action on a goroutine of its own, where a panic would end the process.
func (x *exchange) withoutPanic(action func() error) error {
	err := errPanicked
	x.handler.panics.Recover("control request", func() { err = action() })
	return err
}
