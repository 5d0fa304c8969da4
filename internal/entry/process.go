package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/loadshare"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
)

const (
	// dialTimeout bounds the time to open a connection to an endpoint.
	dialTimeout = 600 * time.Millisecond
	// endpointAckTimeout is how long an endpoint's kernel may leave sent bytes unacknowledged.
	endpointAckTimeout = 2 * time.Second
	// maxBodyMemory bounds the memory of the callers' request bodies.
	maxBodyMemory = 64 << 20
	// The memory for callers' request bodies is at most the machine's memory divided by bodyMemoryDivisor, the memory for
	// buffered responses the machine's memory divided by responseMemoryDivisor.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 8
	// connectionDescriptorFraction is the fraction of the file descriptors that callers' connections may use. Connections to
	// endpoints and open files need the others.
	connectionDescriptorFraction = 0.6
	maxBodyBytes                 = 5 << 20
	maxHeaderBytes               = 24 << 10
	headTimeout                  = 5 * time.Second
	requestTimeout               = 15 * time.Second
	idleTimeout                  = 30 * time.Second
	writeTimeout                 = 5 * time.Second
	// revocationMargin is subtracted from the settings' revocation time, within which removed keys must be refused.
	revocationMargin = 600 * time.Millisecond
	// maxReadyAgeFraction is the fraction of the revocation time for which an instance stays ready without a confirmation of
	// its catalog.
	maxReadyAgeFraction = 0.6
	// shutdownAcceptTime is how long an instance that is shutting down continues to accept connections. By then the platform
	// has noticed that it is not ready.
	shutdownAcceptTime = 3 * time.Second
	// shutdownMargin is the time between the abort of the remaining requests and the end of the grace period.
	shutdownMargin = 400 * time.Millisecond
	// janitorInterval is the time between two runs of the janitor.
	janitorInterval = time.Second
)

// Source keeps this instance's state of the fleet synchronized with the platform.
type Source interface {
	loadshare.Feed
	// Serve applies what operators and endpoints publish until the context ends.
	Serve(ctx context.Context) error
}

// Options configures a Process.
type Options struct {
	Settings  *settings.Entry
	Protocol  Protocol
	Source    Source
	State     *fleet.State
	ReadyPath string
	// LoadSettings reads the settings file again.
	LoadSettings func() (*settings.Entry, error)
	Log          zerolog.Logger
}

// Process is an entry instance. It implements daemon.Process.
type Process struct {
	options        Options
	log            zerolog.Logger
	handler        *Handler
	metrics        *Metrics
	client         *engine.Client
	coldLimiter    *limit.ColdLimiter
	fleetShare     *limit.FleetShare
	callers        *httpserver.Server
	readiness      *httpserver.Server
	exporter       *httpserver.Server
	sharer         *loadshare.Sharer
	localScheduler *scheduler.Scheduler
	// schedulers sends requests to the schedulers of the fleet, which include this instance.
	schedulers *scheduler.Client

	shutdownOnce sync.Once
	stopping     chan struct{}
	drained      chan struct{}
}

// New opens the listeners of an entry instance.
func New(options Options) (*Process, error) {
	s := options.Settings
	b := s.Bounds
	p := &Process{
		options:  options,
		log:      options.Log,
		metrics:  NewMetrics(),
		stopping: make(chan struct{}),
		drained:  make(chan struct{}),
		client: engine.NewClientWithOptions(engine.ClientOptions{
			Reuse: true, AllowUnframed: true, DialTimeout: dialTimeout, AckTimeout: endpointAckTimeout,
		}),
		fleetShare: limit.NewFleetShare(b.LeastInstances, time.Now()),
	}
	p.coldLimiter = limit.NewColdLimiter(b.ColdFactor, b.ColdSlack, p.fleetShare)
	loadTracker, healthTracker := load.NewTracker(), health.NewTracker()
	handlerOptions := HandlerOptions{
		Protocol: options.Protocol, State: options.State, Load: loadTracker, Health: healthTracker, ColdLimiter: p.coldLimiter,
		Planner:   placement.Planner{IntN: rand.IntN},
		CountsAge: func(now time.Time) time.Duration { return p.sharer.CountsAge(now) },
		Client:    p.client, Domain: s.Domain, Log: options.Log, Metrics: p.metrics,
		RetryBudget: limit.NewRetryBudget(limit.RetryBudgetOptions{
			Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.Std(), Fleet: p.fleetShare,
		}),
	}
	p.localScheduler = scheduler.NewScheduler(scheduler.Options{
		ColdLimiter: limit.NewFleetColdLimiter(b.ColdFactor, b.ColdSlack, func(now time.Time) bool {
			return p.sharer.HasMajority(now)
		}),
		State: options.State, IsSuspect: healthTracker.IsSuspect, Planner: handlerOptions.Planner,
	})
	if memory := memoryBytes(s); memory > 0 {
		handlerOptions.MaxBufferedBytes = min(memory/responseMemoryDivisor, defaultBufferedBytes)
	}
	if b.StrictRevocation {
		handlerOptions.MaxCatalogAge = b.RevocationTime.Std() - revocationMargin
	}
	if err := p.listen(loadTracker, healthTracker); err != nil {
		return p, err
	}
	handlerOptions.Schedulers = p.schedulers
	p.handler = NewHandler(handlerOptions)
	return p, nil
}

// memoryBytes returns the machine's memory; zero if it is not known.
func memoryBytes(s *settings.Entry) int64 { return int64(s.Limits.MemoryMB * (1 << 20)) }

// bodyMemory returns the memory for callers' request bodies.
func bodyMemory(s *settings.Entry) int64 {
	if memory := memoryBytes(s); memory > 0 {
		return min(memory/bodyMemoryDivisor, maxBodyMemory)
	}
	return maxBodyMemory
}

// maxConnections returns the number of callers' connections that the settings and the file descriptors allow.
func maxConnections(s *settings.Entry) int {
	if s.Limits.Descriptors == 0 {
		return s.Bounds.MaxConnections
	}
	return min(s.Bounds.MaxConnections, max(int(connectionDescriptorFraction*s.Limits.Descriptors), 1))
}

// listen opens the listeners and sets up the communication with the peers.
func (p *Process) listen(loadTracker *load.Tracker, healthTracker *health.Tracker) error {
	s := p.options.Settings
	var err error
	if p.callers, err = httpserver.New(httpserver.Options{
		Address: s.Addresses.Callers, Handler: http.HandlerFunc(p.serveCall),
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, MaxBufferedBytes: bodyMemory(s),
		HeadTimeout: headTimeout, RequestTimeout: requestTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		MaxConnections: maxConnections(s),
		OnRefusal: func(e *outcome.Error) {
			p.metrics.Answered(e.Code)
			p.log.Info().Str("code", e.Code).Int("status", e.Status).Msg("request_unreadable")
		},
		OnPanic: func(value any, stack []byte) {
			p.log.Error().Interface("panic", value).Bytes("stack", stack).Msg("handler_panicked")
		},
	}); err != nil {
		return err
	}
	if p.readiness, err = httpserver.New(httpserver.Options{Address: s.Addresses.Readiness, Handler: http.HandlerFunc(p.serveReady)}); err != nil {
		return err
	}
	if p.exporter, err = httpserver.New(httpserver.Options{Address: s.Addresses.Metrics, Handler: p.metrics}); err != nil {
		return err
	}
	p.sharer, err = loadshare.New(loadshare.Options{
		Address: s.Addresses.Peers, Seeds: s.Seeds, Key: s.PeersKey.Reveal(), Instance: s.Instance,
		Load: loadTracker, Health: healthTracker, Feed: p.options.Source, Log: p.log, Capacity: s.Limits.ProcessorShare,
		Placements: &scheduler.Server{Scheduler: p.localScheduler, State: p.options.State, Log: p.log},
	})
	if err != nil {
		return err
	}
	p.schedulers = scheduler.NewClient(scheduler.ClientOptions{
		Self: s.Addresses.Peers, Peers: p.sharer.Node(), Members: p.sharer, Local: p.localScheduler, Load: loadTracker,
		State: p.options.State, Log: p.log,
	})
	return nil
}

func (p *Process) serveCall(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Serve implements daemon.Process.
func (p *Process) Serve(ctx context.Context) error {
	tree := daemon.NewTree("acacia-entry", p.log)
	for _, service := range []suture.Service{
		daemon.Service{Name: "platform", Run: p.options.Source.Serve},
		daemon.Service{Name: "peers", Run: p.sharer.Serve},
		daemon.Service{Name: "schedulers", Run: p.schedulers.Serve},
		daemon.Service{Name: "callers", Run: p.serveCallers},
		daemon.Service{Name: "readiness", Run: p.readiness.Serve},
		daemon.Service{Name: "metrics", Run: p.exporter.Serve},
		daemon.Service{Name: "janitor", Run: p.runJanitor},
		daemon.Service{Name: "stop", Run: p.awaitShutdown},
	} {
		tree.Add(service)
	}
	p.log.Info().Str("callers", p.options.Settings.Addresses.Callers).Msg("started")
	err := tree.Serve(ctx)
	p.log.Info().Msg("stopped")
	return err
}

// serveCallers accepts callers. A graceful shutdown closes the listener; the service must not be restarted then.
func (p *Process) serveCallers(ctx context.Context) error {
	err := p.callers.Serve(ctx)
	select {
	case <-p.stopping:
		return suture.ErrDoNotRestart
	default:
		return err
	}
}

// serveReady responds to readiness probes with 200 if the instance accepts new connections, otherwise with 503.
func (p *Process) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != p.options.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) isReady() bool {
	select {
	case <-p.stopping:
		return false
	default:
	}
	snapshot := p.options.State.Snapshot()
	if snapshot.Catalog == nil || len(snapshot.Endpoints) == 0 {
		return false
	}
	maxAge := time.Duration(maxReadyAgeFraction * float64(p.options.Settings.Bounds.RevocationTime))
	return clock.Boot()-p.options.State.ConfirmedAt() <= maxAge
}

// StartDrain implements daemon.Process.
func (p *Process) StartDrain(reason string) {
	p.shutdownOnce.Do(func() {
		p.log.Info().Str("reason", reason).Msg("stopping")
		p.sharer.StartLeaving()
		p.handler.StartShutdown(p.options.Settings.Bounds.StopGrace.Std() - shutdownMargin)
		close(p.stopping)
	})
}

// Reload implements daemon.Reloader. It adds new seeds; other settings take effect after a restart only.
func (p *Process) Reload() {
	s, err := p.options.LoadSettings()
	if err != nil {
		p.log.Error().Err(err).Msg("settings_rejected")
		return
	}
	p.sharer.AddSeeds(s.Seeds)
	p.log.Info().Strs("seeds", s.Seeds).Msg("settings_reloaded")
}

// Drained implements daemon.Process.
func (p *Process) Drained() <-chan struct{} { return p.drained }

// awaitShutdown waits for a graceful shutdown and finishes it: connections are accepted for shutdownAcceptTime, then the
// remaining requests may run until the grace period ends.
func (p *Process) awaitShutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-p.stopping:
	}
	grace := p.options.Settings.Bounds.StopGrace.Std() - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(min(shutdownAcceptTime, grace)):
	}
	if err := p.callers.Drain(ctx); err != nil {
		p.log.Warn().Int("connections", p.callers.Connections()).Err(err).Msg("stop_cut_requests")
	}
	close(p.drained)
	return suture.ErrDoNotRestart
}

// runJanitor closes idle connections, deletes old counts of cold starts and updates the gauges, once per janitorInterval.
func (p *Process) runJanitor(ctx context.Context) error {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.client.ExpireIdle()
			p.coldLimiter.Forget(now)
			p.metrics.Gauge("connections", int64(p.callers.Connections()))
			p.metrics.Gauge("buffered_bytes", p.callers.BufferedBytes())
			p.metrics.Gauge("endpoint_dials", p.client.Dials())
			peers := p.sharer.LiveCount(now)
			p.fleetShare.ObservePeers(peers)
			p.metrics.Gauge("peers", int64(peers))
		}
	}
}
