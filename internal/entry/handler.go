package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/budget"
	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// HandlerOptions configures a Handler.
type HandlerOptions struct {
	Protocol    Protocol
	State       *fleet.State
	Load        *load.Tracker
	Health      *health.Tracker
	RetryBudget *limit.RetryBudget
	Planner     placement.Planner
	ColdLimiter *limit.ColdLimiter
	Client      *engine.Client
	// Schedulers places requests for model services in larger fleets; nil if this instance places all of its own.
	Schedulers Schedulers
	// CountsAge returns the greatest age of the other instances' counts in the load tracker.
	CountsAge func(now time.Time) time.Duration
	// Domain is the failure domain of this instance.
	Domain string
	// MaxCatalogAge is the longest time without confirmation of the catalog in which keys are accepted; zero means that
	// keys are accepted however old the catalog is.
	MaxCatalogAge time.Duration
	// MaxBufferedBytes bounds the memory of all responses that are buffered until they are complete; zero means the default.
	MaxBufferedBytes int64
	Log              zerolog.Logger
	Metrics          *Metrics
}

// defaultHeldBytes is the memory for held answers if the machine's memory is not known.
const defaultHeldBytes = 32 << 20

// Schedulers are the instances that place requests on the shards of a service.
type Schedulers interface {
	// Enabled reports whether schedulers place the requests now.
	Enabled(now time.Time) bool
	// Place sends a request to the scheduler of a shard. It reports false if there was no usable reply.
	Place(ctx context.Context, ask scheduler.PlaceRequest) (scheduler.PlaceResult, bool)
}

// Handler answers callers.
type Handler struct {
	options HandlerOptions
	// answers is the memory for held answers.
	answers *budget.Budget
	// stopAt is the boot-time at which requests still running will be cut; zero unless a planned stop has begun.
	stopAt atomic.Int64
	// started is the time at which the instance began to get acquainted with the others.
	started time.Time
}

// NewHandler returns a handler.
func NewHandler(options HandlerOptions) *Handler {
	if options.MaxBufferedBytes == 0 {
		options.MaxBufferedBytes = defaultHeldBytes
	}
	return &Handler{options: options, answers: budget.New(options.MaxBufferedBytes), started: time.Now()}
}

// StartShutdown begins a graceful shutdown. Requests that still run at its end are aborted. From now on responses close
// their connections, and requests that would not end in time are refused.
func (h *Handler) StartShutdown(until time.Duration) { h.stopAt.Store(int64(clock.Boot() + until)) }

// untilStop returns the time until the end of a graceful shutdown.
func (h *Handler) untilStop() (time.Duration, bool) {
	at := h.stopAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(at) - clock.Boot(), true
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if _, stopping := h.untilStop(); stopping {
		w.Header().Set("Connection", "close")
	}
	call, err := h.options.Protocol.ReadCall(r, bodyOf(r))
	if err != nil {
		refusal := outcome.Refusal(http.StatusBadRequest, outcome.StageAdmission, codeMalformed, err.Error(), 0)
		h.options.Log.Info().Str("code", refusal.Code).Str("reason", err.Error()).Msg("request_refused")
		h.options.Metrics.Answered(refusal.Code)
		refusal.WriteMillisecondsTo(w)
		return
	}
	x := &exchange{handler: h, call: call, w: w, received: received}
	x.run(r.Context())
}

func bodyOf(r *http.Request) []byte {
	if body, ok := r.Body.(*httpserver.Body); ok {
		return body.Bytes()
	}
	return nil
}
