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

// RefusedHeader is set to "not_run" on answers to requests that the engine did not start.
const RefusedHeader = "X-Refused"

const refusedNotRun = "not_run"

// EngineOptions configures an Engine.
type EngineOptions struct {
	// Address is the listening IP:port.
	Address string
	// PrefillRate is the prefill speed in tokens per second, shared among the prompts in prefill; 0 takes no time.
	PrefillRate float64
	// TokenInterval is the time between two generated tokens of one stream.
	TokenInterval time.Duration
	// MemoryTokens is the KV memory; a request reserves its prompt and its allowed output.
	MemoryTokens int64
	// WarmupRequests is the number of completed requests that ends a cold start; 0 starts warm.
	WarmupRequests int
	// ColdStreams and ColdTokens bound the work that a cold engine bears; more makes it fall over. 0 means no bound.
	ColdStreams int
	ColdTokens  int64
	// FallDowntime is the time for which a fallen engine drops every connection.
	FallDowntime time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// Leak keeps the memory of a stream whose connection closed until an order cancels the stream.
	Leak bool
	// Fencing tells whether a fencing number below the highest seen is refused.
	Fencing config.Fencing
}

// The causes that end a stream early.
var (
	errCancelledByOrder = errors.New("cancelled by an order")
	errDropped          = errors.New("connection dropped")
)

// stream is one admitted request or exported segment. The engine's mutex guards its fields.
type stream struct {
	id       string
	tokens   int64
	phase    string
	admitted time.Time
	priority int
	// prefillLeft is the number of prompt tokens still to be processed; prefilled is closed when it reaches zero.
	prefillLeft int64
	prefilled   chan struct{}
	// ctx ends when the stream is cancelled, dropped, or its connection closes; its cause tells which.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// segment is set for segments of group prompts.
	segment *segmentContent
}

// Engine is a fake model engine.
type Engine struct {
	options EngineOptions
	server  *httpserver.Server
	wake    chan struct{}

	mu          sync.Mutex
	startID     string
	starts      int
	cold        bool
	completed   int
	downUntil   time.Time
	streams     map[*stream]struct{}
	prefilling  []*stream
	usedTokens  int64
	fence       int64
	model, role string
	faults      Faults
	unsilenced  chan struct{}
	reportLag   time.Duration
	reports     []LoadReport
	stats       EngineStats
}

// EngineStats counts what an engine did since its process started.
type EngineStats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	// Closed counts streams that ended because the caller's connection closed.
	Closed int `json:"closed"`
	// Falls counts cold starts ended by too much work, Deaths those ordered over the control endpoint.
	Falls           int   `json:"falls"`
	Deaths          int   `json:"deaths"`
	PeakTokens      int64 `json:"peak_tokens"`
	PeakColdStreams int   `json:"peak_cold_streams"`
	PeakColdTokens  int64 `json:"peak_cold_tokens"`
	Segments        int   `json:"segments"`
	// LastStartMS is the wall-clock time of the last start of a request or segment in ms.
	LastStartMS int64 `json:"last_start_ms"`
	Imported    int   `json:"imported"`
	Orders      int   `json:"orders"`
	StaleOrders int   `json:"stale_orders"`
	// Executions counts the started requests by X-Request-Id, without segments.
	Executions map[string]int `json:"executions"`

	StartID    string `json:"start_id"`
	Cold       bool   `json:"cold"`
	UsedTokens int64  `json:"used_tokens"`
	Streams    int    `json:"streams"`
	Model      string `json:"model"`
	Role       string `json:"role"`
}

// NewEngine returns an engine that listens at once and answers after Serve is called.
func NewEngine(options EngineOptions) (*Engine, error) {
	e := &Engine{
		options:    options,
		wake:       make(chan struct{}, 1),
		streams:    make(map[*stream]struct{}),
		unsilenced: make(chan struct{}),
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

// restart begins a cold start with a new start identity. The caller holds the mutex, except in NewEngine.
func (e *Engine) restart() {
	e.starts++
	e.startID = fmt.Sprintf("%d-%d", time.Now().UnixMilli(), e.starts)
	e.turnCold()
}

func (e *Engine) turnCold() {
	e.completed = 0
	e.cold = e.options.WarmupRequests > 0
}

// fall drops all streams, frees all memory and restarts the engine after its downtime. The caller holds the mutex.
func (e *Engine) fall() {
	for s := range e.streams {
		s.cancel(errDropped)
	}
	clear(e.streams)
	e.prefilling = nil
	e.usedTokens = 0
	e.downUntil = time.Now().Add(e.options.FallDowntime)
	e.restart()
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// admission is what a request asks of the engine.
type admission struct {
	id       string
	priority int
	// prefill is the number of tokens to process, tokens the memory to reserve.
	prefill int64
	tokens  int64
	segment *segmentContent
}

// errNoMemory refuses a request that does not fit into the free KV memory.
var errNoMemory = errors.New("not enough free KV memory")

// admit reserves memory and puts the stream into prefill. A cold engine that gets too much falls over.
func (e *Engine) admit(ctx context.Context, a admission) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usedTokens+a.tokens > e.options.MemoryTokens {
		e.stats.Refused++
		return nil, errNoMemory
	}
	s := &stream{
		id:          a.id,
		tokens:      a.tokens,
		phase:       PhasePrefill,
		admitted:    time.Now(),
		priority:    a.priority,
		prefillLeft: a.prefill,
		prefilled:   make(chan struct{}),
		segment:     a.segment,
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	e.countStart(s)
	e.streams[s] = struct{}{}
	e.usedTokens += s.tokens
	e.recordPeaks()
	if e.overloadedCold() {
		e.stats.Falls++
		e.fall()
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

// runningStreams counts the streams without exported segments, which need memory only.
func (e *Engine) runningStreams() int {
	n := 0
	for s := range e.streams {
		if s.phase != PhaseExported {
			n++
		}
	}
	return n
}

func (e *Engine) overloadedCold() bool {
	if !e.cold {
		return false
	}
	tooMany := e.options.ColdStreams > 0 && e.runningStreams() > e.options.ColdStreams
	tooLarge := e.options.ColdTokens > 0 && e.usedTokens > e.options.ColdTokens
	return tooMany || tooLarge
}

// free removes a stream and its memory; it is safe to repeat. The caller holds the mutex.
func (e *Engine) free(s *stream) {
	if _, ok := e.streams[s]; !ok {
		return
	}
	delete(e.streams, s)
	e.removePrefill(s)
	e.usedTokens -= s.tokens
}

// finish ends a stream whose answer was sent whole.
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

// abandon ends a stream early. A leaking engine keeps the memory if the caller's connection closed.
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
		e.removePrefill(s)
		return
	}
	e.free(s)
}

// cancelByID ends all streams with the id, and exported segments too, and reports whether there was one.
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

// routes answers everything under /standin even when the engine is down or silent.
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

// dropConnection closes the connection without an answer or in the middle of one.
func dropConnection(w http.ResponseWriter) {
	httpserver.Abort(w)
}
