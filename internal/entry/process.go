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
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/quarantine"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
)

const (
	// dialTimeout bounds the time to open a connection to an endpoint.
	dialTimeout = 600 * time.Millisecond
	// endpointAckTimeout is how long an endpoint's kernel may leave sent bytes unacknowledged.
	endpointAckTimeout = 2 * time.Second
	// maxStatusConnections and maxStatusBodyBytes bound what the readiness and the metrics ports accept.
	maxStatusConnections = 256
	maxStatusBodyBytes   = 4 << 10
	// maxBodyMemory bounds the memory of the callers' request bodies; defaultBufferedBytes bounds that of buffered
	// responses.
	maxBodyMemory = 64 << 20
	// If the settings state the memory that the process may use (limits.memory_mb), the memory for callers' request bodies
	// is also at most that value divided by bodyMemoryDivisor, and the memory for buffered responses at most that value
	// divided by responseMemoryDivisor.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 8
	// connectionDescriptorFraction is the fraction of the file descriptors that callers' connections may use. Connections to
	// endpoints and open files need the others.
	connectionDescriptorFraction = 0.6
	// The limits of callers' connections; see httpserver.Options.
	maxBodyBytes   = 5 << 20
	maxHeaderBytes = 24 << 10
	headTimeout    = 5 * time.Second
	requestTimeout = 15 * time.Second
	idleTimeout    = 30 * time.Second
	writeTimeout   = 5 * time.Second
	// Revoked keys must be refused within the settings' revocation time. With StrictRevocation, an instance refuses all keys
	// once the last confirmation of its catalog is older than the revocation time less revocationMargin.
	revocationMargin = 600 * time.Millisecond
)

// Source keeps Options.State in sync with what the platform publishes. As a loadshare.Feed, it also passes the published
// state on to peers and accepts it from them.
type Source interface {
	loadshare.Feed
	// Serve applies what operators and endpoints publish until the context ends.
	Serve(ctx context.Context) error
}

// Options configures a Process.
type Options struct {
	Settings *settings.Entry
	Protocol Protocol
	Source   Source
	State    *fleet.State
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// LoadSettings reads the settings file again.
	LoadSettings func() (*settings.Entry, error)
	Log          zerolog.Logger
}

// Process is an entry instance. It implements daemon.Process.
type Process struct {
	options         Options
	log             zerolog.Logger
	handler         *Handler
	metrics         *Metrics
	panics          *panics.Recorder
	pauses          *clock.PauseDetector
	client          *engine.Client
	coldLimiter     *limit.ColdLimiter
	rateLimiter     *limit.RateLimiter
	quarantine      *quarantine.Tracker
	fleetShare      *limit.FleetShare
	callerServer    *httpserver.Server
	readinessServer *httpserver.Server
	metricsServer   *httpserver.Server
	sharer          *loadshare.Sharer
	localScheduler  *scheduler.Scheduler
	// schedulerClient sends place requests to the schedulers of the fleet, which include this instance.
	schedulerClient *scheduler.Client

	// gaugedShards holds the shards that have a gauge of waiting requests.
	gaugedShards map[scheduler.Shard]bool

	shutdownOnce sync.Once
	stopping     chan struct{}
	drained      chan struct{}
}

// New creates a process and opens its listeners.
func New(options Options) (*Process, error) {
	s := options.Settings
	b := s.Bounds
	p := &Process{
		options:  options,
		log:      options.Log,
		metrics:  NewMetrics(),
		stopping: make(chan struct{}),
		drained:  make(chan struct{}),

		gaugedShards: make(map[scheduler.Shard]bool),
		client: engine.NewClientWithOptions(engine.ClientOptions{
			Reuse: true, AllowUnframed: true, DialTimeout: dialTimeout, AckTimeout: endpointAckTimeout,
		}),
		fleetShare: limit.NewFleetShare(b.LeastInstances, time.Now()),
		quarantine: quarantine.NewTracker(),
	}
	p.panics = panics.NewRecorder(options.Log, p.metrics.Panicked)
	p.pauses = clock.NewPauseDetector()
	p.coldLimiter = limit.NewColdLimiter(b.ColdFactor, b.ColdSlack, p.fleetShare)
	p.rateLimiter = limit.NewRateLimiter(p.fleetShare, rand.Float64)
	loadTracker, healthTracker := load.NewTracker(), health.NewTracker()
	// The functions below that use p.sharer are called only after listen has set it.
	handlerOptions := HandlerOptions{
		Protocol: options.Protocol, State: options.State, Load: loadTracker, Health: healthTracker, ColdLimiter: p.coldLimiter,
		RateLimiter: p.rateLimiter, Quarantine: p.quarantine,
		Planner:   placement.Planner{IntN: rand.IntN},
		CountsAge: func(now time.Time) time.Duration { return p.sharer.CountsAge(now) },
		Queue:     s.Scheduling.Queue,
		Client:    p.client, Pauses: p.pauses, Domain: s.Domain, Log: options.Log, Metrics: p.metrics, Panics: p.panics,
		ReturnTimes: s.Scheduling.ReturnTimes,
		HasMajority: func(now time.Time) bool { return p.sharer.HasMajority(now) },
		RetryBudget: limit.NewRetryBudget(limit.RetryBudgetOptions{
			Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.Std(), Fleet: p.fleetShare,
		}),
	}
	if s.Scheduling.Pace != settings.ModeOff && s.Scheduling.Pace != "" {
		handlerOptions.Pace, handlerOptions.PaceMode = pace.NewTracker(), s.Scheduling.Pace
	}
	p.localScheduler = scheduler.NewScheduler(scheduler.Options{
		ColdLimiter: limit.NewFleetColdLimiter(b.ColdFactor, b.ColdSlack, func(now time.Time) bool {
			return p.sharer.HasMajority(now)
		}),
		State: options.State, IsSuspect: healthTracker.IsSuspect, Planner: handlerOptions.Planner,
		Returns: returnOptions(s.Scheduling.ReturnTimes, p.metrics),
		Pace:    handlerOptions.Pace, PaceMode: handlerOptions.PaceMode,
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
	handlerOptions.Schedulers = p.schedulerClient
	p.handler = NewHandler(handlerOptions)
	return p, nil
}

// memoryBytes returns the memory that the process may use; zero if it is not known.
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

// newStatusServer returns a server of the readiness or the metrics, whose requests need no body.
func newStatusServer(address string, handler http.Handler) (*httpserver.Server, error) {
	return httpserver.New(httpserver.Options{
		Address: address, Handler: handler, MaxBodyBytes: maxStatusBodyBytes, MaxBufferedBytes: maxStatusConnections * maxStatusBodyBytes,
		MaxConnections: maxStatusConnections,
	})
}

// listen creates the servers, the sharer and the scheduler client, and opens their listeners.
func (p *Process) listen(loadTracker *load.Tracker, healthTracker *health.Tracker) error {
	s := p.options.Settings
	var err error
	if p.callerServer, err = httpserver.New(httpserver.Options{
		Address: s.Addresses.Callers, Handler: http.HandlerFunc(p.serveCall),
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, MaxBufferedBytes: bodyMemory(s),
		HeadTimeout: headTimeout, RequestTimeout: requestTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		MaxConnections: maxConnections(s),
		OnRefusal: func(e *outcome.Error) {
			p.metrics.CountError(e.Code)
			p.log.Info().Str("code", e.Code).Int("status", e.Status).Msg("request_unreadable")
		},
		OnPanic: func(value any, _ []byte) {
			p.panics.Record("connection", value)
		},
	}); err != nil {
		return err
	}
	if p.readinessServer, err = newStatusServer(s.Addresses.Readiness, http.HandlerFunc(p.serveReady)); err != nil {
		return err
	}
	if p.metricsServer, err = newStatusServer(s.Addresses.Metrics, p.metrics); err != nil {
		return err
	}
	p.sharer, err = loadshare.New(loadshare.Options{
		Address: s.Addresses.Peers, Seeds: s.Seeds, Key: s.PeersKey.Reveal(), Instance: s.Instance,
		Load: loadTracker, Health: healthTracker, Rates: p.rateLimiter, Quarantine: p.quarantine,
		EndpointID: p.options.State.EndpointID, Feed: p.options.Source, Catalog: p.options.State, Pauses: p.pauses,
		Log: p.log, Panics: p.panics, Capacity: s.Limits.ProcessorShare,
		Placements: &scheduler.Server{
			Self: s.Addresses.Peers, Load: loadTracker, Scheduler: p.localScheduler, State: p.options.State, Log: p.log,
		},
	})
	if err != nil {
		return err
	}
	p.schedulerClient = scheduler.NewClient(scheduler.ClientOptions{
		Self: s.Addresses.Peers, Peers: p.sharer.Node(), Members: p.sharer, Local: p.localScheduler, Load: loadTracker,
		State: p.options.State, Log: p.log, Panics: p.panics, HasQueue: p.hasQueue,
	})
	return nil
}

// serveCall calls the handler, which New creates after the callers' server.
func (p *Process) serveCall(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Serve implements daemon.Process.
func (p *Process) Serve(ctx context.Context) error {
	tree := daemon.NewTree("acacia-entry", p.log)
	for _, service := range []suture.Service{
		daemon.Service{Name: "platform", Run: p.options.Source.Serve},
		daemon.Service{Name: "peers", Run: p.sharer.Serve},
		daemon.Service{Name: "schedulers", Run: p.schedulerClient.Serve},
		daemon.Service{Name: "callers", Run: p.serveCallers},
		daemon.Service{Name: "readiness", Run: p.readinessServer.Serve},
		daemon.Service{Name: "metrics", Run: p.metricsServer.Serve},
		daemon.Service{Name: "janitor", Run: p.runMaintenance},
		daemon.Service{Name: "stop", Run: p.awaitShutdown},
	} {
		tree.Add(service)
	}
	p.log.Info().Str("callers", p.options.Settings.Addresses.Callers).Msg("started")
	err := tree.Serve(ctx)
	p.log.Info().Msg("stopped")
	return err
}

// serveCallers accepts callers. After a graceful shutdown has closed the listener, the supervisor must not restart it.
func (p *Process) serveCallers(ctx context.Context) error {
	err := p.callerServer.Serve(ctx)
	select {
	case <-p.stopping:
		return suture.ErrDoNotRestart
	default:
		return err
	}
}
