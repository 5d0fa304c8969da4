package entry

import (
	"context"
	"net/http"
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
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/quarantine"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
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
	RateLimiter *limit.RateLimiter
	Client      *engine.Client
	// Pauses notices pauses of this process; the default notices none.
	Pauses *clock.PauseDetector
	// Quarantine holds the evidence about parts of prompts under which endpoints crash.
	Quarantine *quarantine.Tracker
	// Pace tracks the pace of endpoints; nil if it is off. PaceMode states for which services it is used.
	Pace     *pace.Tracker
	PaceMode settings.Mode
	// Schedulers places requests for model services in larger fleets; if nil, this instance places all its requests itself.
	Schedulers Schedulers
	// Queue states for which services requests wait in queues while there is no capacity. With ModeOn, requests of higher rank go
	// first under shortage of slots on plain services too.
	Queue settings.Mode
	// CountsAge returns the greatest age of the other instances' counts in the load tracker.
	CountsAge func(now time.Time) time.Duration
	// Domain is the failure domain of this instance.
	Domain string
	// MaxCatalogAge is the greatest time since the last confirmation of the catalog at which keys are still accepted. If
	// zero, keys are accepted at any age of the catalog.
	MaxCatalogAge time.Duration
	// ReturnTimes states for which services the Retry-After of refusals is taken from a schedule.
	ReturnTimes settings.Mode
	// HasMajority reports whether this instance reaches more than half of the fleet; if nil, it does not.
	HasMajority func(now time.Time) bool
	// MaxBufferedBytes bounds the memory of all buffered responses; zero selects the default.
	MaxBufferedBytes int64
	Log              zerolog.Logger
	Metrics          *Metrics
	// Panics records panics; if nil, the handler uses a recorder of its own with Log and Metrics.
	Panics *panics.Recorder
}

// defaultBufferedBytes bounds the memory for buffered responses. If the settings state the memory that the process may use,
// the bound may be lower (responseMemoryDivisor).
const defaultBufferedBytes = 32 << 20

// Schedulers sends requests to the instances that schedule the shards of a service.
type Schedulers interface {
	// Enabled reports whether schedulers currently place the requests.
	Enabled(now time.Time) bool
	// Place sends a request to the scheduler of a shard. It returns false if there was no usable reply.
	Place(ctx context.Context, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool)
}

// Handler serves callers: it admits and places their requests and forwards the responses of the endpoints.
type Handler struct {
	options HandlerOptions
	// responseMemory bounds the memory of all buffered responses.
	responseMemory *budget.Budget
	// numbering is what the streams of each service have shown about the numbers of their events.
	numbering serviceNumbering
	// unframed is which services have sent responses without length and chunks.
	unframed unframedServices
	shutdown shutdown
	// returns holds the return times of the refusals that this instance decides.
	returns returnSchedules
	panics  *panics.Recorder
	// localQueue holds the requests that wait where no scheduler decides.
	localQueue *scheduler.LocalQueue
	// started is the time at which the instance began to discover its peers.
	started time.Time
}

// NewHandler returns a handler.
func NewHandler(options HandlerOptions) *Handler {
	if options.MaxBufferedBytes == 0 {
		options.MaxBufferedBytes = defaultBufferedBytes
	}
	if options.Pauses == nil {
		options.Pauses = &clock.PauseDetector{}
	}
	if options.Panics == nil {
		options.Panics = panics.NewRecorder(options.Log, options.Metrics.Panicked)
	}
	h := &Handler{
		options: options, responseMemory: budget.New(options.MaxBufferedBytes), started: time.Now(), panics: options.Panics,
		localQueue: scheduler.NewLocalQueue(options.Planner, options.Panics),
	}
	h.shutdown.init()
	h.returns.mode, h.returns.metrics = options.ReturnTimes, options.Metrics
	return h
}

// StartShutdown begins a graceful shutdown that ends after the grace time. Requests that still run shortly before are ended. From
// now on responses close their connections, and requests that would not end in time are refused.
func (h *Handler) StartShutdown(grace time.Duration) { h.shutdown.start(grace) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	var x *exchange
	defer func() {
		if value := recover(); value != nil {
			h.endPanicked(w, x, value)
		}
	}()
	if h.shutdown.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	call, err := h.options.Protocol.ReadCall(r, bodyOf(r))
	if err != nil {
		refusal := outcome.Refusal(http.StatusBadRequest, outcome.StageAdmission, codeMalformed, err.Error(), 0)
		h.options.Log.Info().Str("code", refusal.Code).Str("reason", err.Error()).Msg("request_refused")
		h.options.Metrics.CountError(refusal.Code)
		refusal.WriteMillisecondsTo(w)
		return
	}
	x = &exchange{handler: h, call: call, w: w, received: received}
	x.run(r.Context())
}

func bodyOf(r *http.Request) []byte {
	if body, ok := r.Body.(*httpserver.Body); ok {
		return body.Bytes()
	}
	return nil
}
