package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/httpserver"
)

// The phases of a stream in a load report.
const (
	PhasePrefill  = "prefill"
	PhaseDecode   = "decode"
	PhaseExported = "exported"
)

// RefusedHeader is set to "not_run" in responses to requests that the engine did not start.
const RefusedHeader = "X-Refused"

const refusedNotRun = "not_run"

// EngineOptions configures an Engine.
type EngineOptions struct {
	// Address is the listening IP:port.
	Address string
	// PrefillRate is the prefill rate in tokens per second, shared by all prompts in prefill. With 0, prefill takes no time.
	PrefillRate float64
	// TokenInterval is the time between two generated tokens of one stream.
	TokenInterval time.Duration
	// MemoryTokens is the KV cache size in tokens. A request reserves its prompt and its maximum output.
	MemoryTokens int64
	// WarmupRequests is the number of completed requests that ends a cold start; 0 starts warm.
	WarmupRequests int
	// ColdStreams and ColdTokens are the maximum load that a cold engine can handle; above it, the engine crashes. 0 means no
	// bound.
	ColdStreams int
	ColdTokens  int64
	// CrashDowntime is the time after a crash for which the engine drops every connection.
	CrashDowntime time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// Leak keeps the memory of a stream whose connection was closed until an order cancels the stream.
	Leak bool
	// Fencing determines whether requests and orders with a fencing number below the highest one seen are refused.
	Fencing config.Fencing
}

// The causes for which the engine cancels a stream.
var (
	errCancelledByOrder = errors.New("cancelled by an order")
	errDropped          = errors.New("connection dropped")
)

// stream is one admitted request or exported segment. The engine's mutex guards its fields.
type stream struct {
	id             string
	reservedTokens int64
	phase          string
	admitted       time.Time
	priority       int
	// prefillRemaining is the number of prompt tokens that are not yet prefilled. prefillDone is closed when it reaches
	// zero.
	prefillRemaining int64
	prefillDone      chan struct{}
	// ctx ends when the stream is cancelled or dropped, or when its connection closes. Its cause distinguishes these cases.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// segment is set only for segments of prompts that a group of engines prefills.
	segment *segmentContent
}

// Engine is a fake model engine.
type Engine struct {
	options EngineOptions
	server  *httpserver.Server
	wake    chan struct{}

	mu           sync.Mutex
	startID      string
	starts       int
	cold         bool
	completed    int
	downUntil    time.Time
	streams      map[*stream]struct{}
	prefillQueue []*stream
	usedTokens   int64
	fence        int64
	model, role  string
	faults       Faults
	// responsive is closed and replaced when the fault Unresponsive is cleared.
	responsive    chan struct{}
	reportLag     time.Duration
	reportHistory []LoadReport
	stats         EngineStats
}

// EngineStats counts what an engine did since its process started.
type EngineStats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	// Closed counts the streams that ended because the caller's connection closed.
	Closed int `json:"closed"`
	// ColdCrashes counts the crashes of a cold engine under too much load, InjectedCrashes those requested over the
	// control endpoint.
	ColdCrashes     int   `json:"falls"`
	InjectedCrashes int   `json:"deaths"`
	PeakTokens      int64 `json:"peak_tokens"`
	PeakColdStreams int   `json:"peak_cold_streams"`
	PeakColdTokens  int64 `json:"peak_cold_tokens"`
	Segments        int   `json:"segments"`
	// LastStartMS is the Unix time in ms at which the last request or segment was started.
	LastStartMS int64 `json:"last_start_ms"`
	Imported    int   `json:"imported"`
	Orders      int   `json:"orders"`
	StaleOrders int   `json:"stale_orders"`
	// Executions counts the started requests by X-Request-Id; segments are not included.
	Executions map[string]int `json:"executions"`

	StartID    string `json:"start_id"`
	Cold       bool   `json:"cold"`
	UsedTokens int64  `json:"used_tokens"`
	Streams    int    `json:"streams"`
	Model      string `json:"model"`
	Role       string `json:"role"`
}

// NewEngine returns an engine that already listens. It responds once Serve is called.
func NewEngine(options EngineOptions) (*Engine, error) {
	e := &Engine{
		options:    options,
		wake:       make(chan struct{}, 1),
		streams:    make(map[*stream]struct{}),
		responsive: make(chan struct{}),
		reportLag:  options.ReportLag,
	}
	e.stats.Executions = make(map[string]int)
	e.restart()
	server, err := httpserver.New(httpserver.Options{Address: options.Address, Handler: e.routes()})
	if err != nil {
		return nil, err
	}
	e.server = server
	return e, nil
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.server.Address() }

// Serve runs the engine until the context ends.
func (e *Engine) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.runPrefill(ctx)
	go e.runReports(ctx)
	return e.server.Serve(ctx)
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Executions = make(map[string]int, len(e.stats.Executions))
	for id, n := range e.stats.Executions {
		stats.Executions[id] = n
	}
	stats.StartID = e.startID
	stats.Cold = e.cold
	stats.UsedTokens = e.usedTokens
	stats.Streams = len(e.streams)
	stats.Model = e.model
	stats.Role = e.role
	return stats
}

// restart begins a cold start with a new start ID. The caller holds the mutex, except in NewEngine.
func (e *Engine) restart() {
	e.starts++
	e.startID = fmt.Sprintf("%d-%d", time.Now().UnixMilli(), e.starts)
	e.beginColdStart()
}

func (e *Engine) beginColdStart() {
	e.completed = 0
	e.cold = e.options.WarmupRequests > 0
}

// crash drops all streams, frees all memory and restarts the engine, which is down for CrashDowntime. The caller holds the
// mutex.
func (e *Engine) crash() {
	for s := range e.streams {
		s.cancel(errDropped)
	}
	clear(e.streams)
	e.prefillQueue = nil
	e.usedTokens = 0
	e.downUntil = time.Now().Add(e.options.CrashDowntime)
	e.restart()
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// admission describes a request or segment for which admission is requested.
type admission struct {
	id       string
	priority int
	// prefillTokens is the number of tokens to prefill, reservedTokens the KV memory to reserve.
	prefillTokens  int64
	reservedTokens int64
	segment        *segmentContent
}

// errNoMemory is returned for a request that does not fit into the free KV memory.
var errNoMemory = errors.New("not enough free KV memory")

// admit reserves memory for a new stream in the prefill phase. It crashes a cold engine that exceeds its limits.
func (e *Engine) admit(ctx context.Context, a admission) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usedTokens+a.reservedTokens > e.options.MemoryTokens {
		e.stats.Refused++
		return nil, errNoMemory
	}
	s := &stream{
		id:               a.id,
		reservedTokens:   a.reservedTokens,
		phase:            PhasePrefill,
		admitted:         time.Now(),
		priority:         a.priority,
		prefillRemaining: a.prefillTokens,
		prefillDone:      make(chan struct{}),
		segment:          a.segment,
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	e.countStart(s)
	e.streams[s] = struct{}{}
	e.usedTokens += s.reservedTokens
	e.recordPeaks()
	if e.coldOverloaded() {
		e.stats.ColdCrashes++
		e.crash()
		return nil, errDropped
	}
	return s, nil
}

func (e *Engine) countStart(s *stream) {
	e.stats.LastStartMS = s.admitted.UnixMilli()
	if s.segment != nil {
		e.stats.Segments++
		return
	}
	e.stats.Started++
	e.stats.Executions[s.id]++
}

func (e *Engine) recordPeaks() {
	e.stats.PeakTokens = max(e.stats.PeakTokens, e.usedTokens)
	if e.cold {
		e.stats.PeakColdStreams = max(e.stats.PeakColdStreams, e.runningStreams())
		e.stats.PeakColdTokens = max(e.stats.PeakColdTokens, e.usedTokens)
	}
}

// runningStreams counts the streams except exported segments, which use memory but no compute.
func (e *Engine) runningStreams() int {
	n := 0
	for s := range e.streams {
		if s.phase != PhaseExported {
			n++
		}
	}
	return n
}

func (e *Engine) coldOverloaded() bool {
	if !e.cold {
		return false
	}
	tooMany := e.options.ColdStreams > 0 && e.runningStreams() > e.options.ColdStreams
	tooLarge := e.options.ColdTokens > 0 && e.usedTokens > e.options.ColdTokens
	return tooMany || tooLarge
}

// free removes a stream and frees its memory. It is idempotent. The caller holds the mutex.
func (e *Engine) free(s *stream) {
	if _, ok := e.streams[s]; !ok {
		return
	}
	delete(e.streams, s)
	e.dequeuePrefill(s)
	e.usedTokens -= s.reservedTokens
}

// finish ends a stream whose response was sent completely.
func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[s]; !ok {
		return
	}
	e.free(s)
	e.stats.Finished++
	e.completed++
	if e.completed >= e.options.WarmupRequests {
		e.cold = false
	}
}

// abandon ends a stream whose response is incomplete. With the option Leak, the memory stays reserved if the caller's
// connection closed.
func (e *Engine) abandon(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cause := context.Cause(s.ctx)
	if errors.Is(cause, errCancelledByOrder) || errors.Is(cause, errDropped) {
		e.free(s)
		return
	}
	e.stats.Closed++
	if e.options.Leak {
		e.dequeuePrefill(s)
		return
	}
	e.free(s)
}

// cancelByID cancels all streams with the ID, including exported segments, and returns true if there was at least one.
func (e *Engine) cancelByID(id string, segmentsOnly bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for s := range e.streams {
		if s.id != id || (segmentsOnly && s.segment == nil) {
			continue
		}
		found = true
		s.cancel(errCancelledByOrder)
		e.free(s)
		e.stats.Cancelled++
	}
	return found
}

// routes returns the handler of the engine. Paths under /standin respond even if the engine is down or unresponsive.
func (e *Engine) routes() http.Handler {
	public := http.NewServeMux()
	public.HandleFunc("POST /v1/completions", e.serveCompletion)
	public.HandleFunc("POST /v1/chat/completions", e.serveChat)
	public.HandleFunc("POST /v1/segments", e.serveSegment)
	public.HandleFunc("POST /v1/segments/{id}/import", e.serveImport)
	public.HandleFunc("GET /load", e.serveLoad)
	public.HandleFunc("POST /orders", e.serveOrder)

	all := http.NewServeMux()
	all.HandleFunc("GET /standin/stats", e.serveStats)
	all.HandleFunc("POST /standin/control", e.serveControl)
	all.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			dropConnection(w)
			return
		}
		public.ServeHTTP(w, r)
	})
	return all
}

// dropConnection closes the connection without a response or in the middle of one.
func dropConnection(w http.ResponseWriter) {
	httpserver.Abort(w)
}
