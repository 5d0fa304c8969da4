package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/quarantine"
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform"
)

func TestEntry(t *testing.T) { testkit.RunSpecs(t, "entry") }

const (
	// waitTimeout bounds how long a test waits for a condition. How long the wait takes within this bound has no effect on
	// the result.
	waitTimeout = 20 * time.Second
	callID      = "9c41d07be2a35f68"
	teamKey     = "key-of-the-team"
	healthPath  = "/health"
	// endpointStarted is the start time of all endpoints in Unix milliseconds.
	endpointStarted = 1_770_000_000_000
	// sealedHeaders are the headers of a valid response to the request with callID.
	sealedHeaders = "Acacialift-Request-Id: " + callID + "\r\nAcacialift-Response-Seal: seal\r\n"
)

// receivedRequest is a request that reached an endpoint.
type receivedRequest struct {
	request *http.Request
	body    string
}

// fakeEndpoint responds to each request with the next script. The last script is used for all later requests.
type fakeEndpoint struct {
	listener net.Listener

	mu              sync.Mutex
	scripts         []func(net.Conn, receivedRequest)
	received        []receivedRequest
	controlRequests []receivedRequest
	// controlStatus is the status of the responses to control requests.
	controlStatus int
	// controlHeader is a header line of these responses; it may be empty.
	controlHeader string
	connections   int
	// id and started, in Unix milliseconds, are how the endpoint names its incarnation. newRig sets the id.
	id      string
	started int64
	// isSilent makes the endpoint accept connections and answer nothing on them, isClosing makes it close them at once.
	isSilent, isClosing bool
	// checkResponse replaces the responses to health checks and requests for a report unless it is empty; %SELF is replaced by the id.
	// checkDelay is the time before each of these responses; it must not change once the endpoint is used.
	checkResponse string
	checkDelay    time.Duration
	// checks counts these requests.
	checks int
	// open holds the connections that are open.
	open map[net.Conn]bool
}

func newEndpoint(scripts ...func(net.Conn, receivedRequest)) *fakeEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEndpoint{listener: listener, scripts: scripts, controlStatus: http.StatusOK, started: endpointStarted, open: make(map[net.Conn]bool)}
	go e.accept(listener)
	DeferCleanup(func() { _ = listener.Close() })
	return e
}

func (e *fakeEndpoint) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections++
		e.open[conn] = true
		// A connection that a process accepted ends with it.
		isSilent, isClosing := e.isSilent, e.isClosing || listener != e.listener
		e.mu.Unlock()
		switch {
		case isClosing:
			e.closeConnection(conn)
		case !isSilent:
			go e.serve(conn)
		}
	}
}

func (e *fakeEndpoint) serve(conn net.Conn) {
	defer e.closeConnection(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		switch request.URL.Path {
		case "/v1/order":
			e.respondToControl(conn, receivedRequest{request: request, body: string(body)})
			continue
		case healthPath, "/v1/report":
			e.respondWithIncarnation(conn)
			continue
		}
		script := e.nextScript(receivedRequest{request: request, body: string(body)})
		script(conn, receivedRequest{request: request, body: string(body)})
	}
}

func (e *fakeEndpoint) closeConnection(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, conn)
	_ = conn.Close()
}

// crash ends the endpoint like the end of its process: all connections are closed and new ones are refused.
func (e *fakeEndpoint) crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.open {
		_ = conn.Close()
	}
}

func (e *fakeEndpoint) respondToControl(conn net.Conn, r receivedRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.controlRequests = append(e.controlRequests, r)
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\n{}", e.controlStatus, e.controlHeader)
}

// respondWithIncarnation responds to a health check and to a request for a report with what the endpoint is known by in both.
func (e *fakeEndpoint) respondWithIncarnation(conn net.Conn) {
	time.Sleep(e.checkDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checks++
	if e.checkResponse != "" {
		_, _ = io.WriteString(conn, strings.ReplaceAll(e.checkResponse, "%SELF", e.id))
		return
	}
	body := fmt.Sprintf(`{"stage":"combined","born":%d}`, e.started)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, len(body), body)
}

func (e *fakeEndpoint) nextScript(r receivedRequest) func(net.Conn, receivedRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, r)
	script := e.scripts[0]
	if len(e.scripts) > 1 {
		e.scripts = e.scripts[1:]
	}
	return script
}

// checkCount returns the number of health checks and requests for a report.
func (e *fakeEndpoint) checkCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checks
}

// connectionCount returns the number of connections that were opened to the endpoint.
func (e *fakeEndpoint) connectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

func (e *fakeEndpoint) requests() []receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedRequest(nil), e.received...)
}

func (e *fakeEndpoint) controlBodies() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var bodies []string
	for _, r := range e.controlRequests {
		bodies = append(bodies, r.body)
	}
	return bodies
}

// respond returns a script that sends fixed bytes, in which %ID is replaced by the id of the request.
func respond(response string) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "%ID", r.request.Header.Get("Acacialift-Request-Id")))
	}
}

// respondAndClose returns a script that sends fixed bytes and closes the connection.
func respondAndClose(response string) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		respond(response)(conn, r)
		_ = conn.Close()
	}
}

// respondAndReset returns a script that sends fixed bytes, waits 20 ms for their arrival and resets the connection.
func respondAndReset(response string) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		respond(response)(conn, r)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// neverRespond sends nothing until the connection closes.
func neverRespond(conn net.Conn, _ receivedRequest) { _, _ = conn.Read(make([]byte, 1)) }

// sealedResponse returns a complete and valid response with a body.
func sealedResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %%ID\r\nAcacialift-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nAcacialift-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func streamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece\n\n", id) }

// rig runs the handler of an entry instance on a real HTTP server, with fake endpoints.
type rig struct {
	state   *fleet.State
	handler *entry.Handler
	load    *load.Tracker
	server  *httpserver.Server
	catalog fleet.Catalog
}

type rigOption func(*fleet.Catalog, *entry.HandlerOptions)

// newRig starts a rig with one service on the given endpoints and a profile for each kind of request.
func newRig(endpoints []*fakeEndpoint, options ...rigOption) *rig {
	r := &rig{state: fleet.NewState(), load: load.NewTracker()}
	r.catalog = fleet.Catalog{
		Version: 1,
		Profiles: []fleet.Profile{
			profile("/once/", fleet.NonIdempotent, 1), profile("/unsafe/", fleet.NonIdempotent, 2),
			profile("/safe/", fleet.Idempotent, 2), profile("/stream/", fleet.Streaming, 2),
			resumable(profile("/resume/", fleet.Streaming, 2)),
		},
		Services: map[string]*fleet.Service{"pool": {Name: "pool", HealthPath: healthPath}},
		Teams:    map[string]fleet.Team{teamKey: {Name: "team-1"}},
	}
	longAgo := time.Now().Add(-time.Hour)
	handlerOptions := entry.HandlerOptions{
		Protocol: platform.Protocol{}, State: r.state, Load: r.load, Health: health.NewTracker(),
		RetryBudget: limit.NewRetryBudget(limit.RetryBudgetOptions{
			Ratio: 1, Slack: 1000, Window: 10 * time.Second, Fleet: limit.NewFleetShare(1, longAgo),
		}),
		ColdLimiter: limit.NewColdLimiter(1.5, 5, limit.NewFleetShare(1, longAgo)),
		RateLimiter: limit.NewRateLimiter(limit.NewFleetShare(1, longAgo), rand.Float64),
		Planner:     placement.Planner{IntN: rand.IntN},
		Quarantine:  quarantine.NewTracker(),
		CountsAge:   func(time.Time) time.Duration { return 0 },
		Client: engine.NewClientWithOptions(engine.ClientOptions{
			Reuse: true, AllowUnframed: true, DialTimeout: time.Second,
		}),
		Domain: "yard-1", Log: zerolog.Nop(), Metrics: entry.NewMetrics(),
	}
	for _, option := range options {
		option(&r.catalog, &handlerOptions)
	}
	r.state.SetCatalog(fleet.NewCatalog(r.catalog))
	r.state.Confirm(fleet.Confirmation{At: clock.Boot()})
	for i, e := range endpoints {
		e.id = fmt.Sprintf("i-%d", i)
		r.state.PutEndpoint(&fleet.Endpoint{
			ID: e.id, Started: endpointStarted, Service: "pool", Address: e.listener.Addr().String(), Domain: "yard-1", Slots: 4,
		})
	}
	r.handler = entry.NewHandler(handlerOptions)
	var err error
	r.server, err = httpserver.New(httpserver.Options{Address: "127.0.0.1:0", Handler: r.handler})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = r.server.Serve(context.Background()) }()
	DeferCleanup(r.server.Close)
	return r
}

func profile(prefix string, kind fleet.Kind, attempts int) fleet.Profile {
	return fleet.Profile{
		Name: prefix, Host: "calls.example", PathPrefix: prefix, Kind: kind, MaxAttempts: attempts,
		TrafficSplit: []fleet.WeightedService{{Service: "pool", Weight: 1}},
		TimeLimit:    10 * time.Second, Objective: time.Second, MaxGap: time.Second,
	}
}

func resumable(p fleet.Profile) fleet.Profile {
	p.Resumable = true
	return p
}

// withTeams makes the rig require keys.
func withTeams(c *fleet.Catalog, _ *entry.HandlerOptions) { c.HasTeams = true }

// withEngine makes the endpoints model engines.
func withEngine(c *fleet.Catalog, _ *entry.HandlerOptions) {
	c.Services["pool"].Engine = &fleet.Engine{
		Slots: 4, MemoryTokens: 100_000, Stride: 34, StepTime: time.Millisecond, PrefillRate: 154_000,
	}
}

// withLongObjective makes the endpoints engines with little memory beside the longest prompts, which may take long.
func withLongObjective(c *fleet.Catalog, o *entry.HandlerOptions) {
	withEngine(c, o)
	for i := range c.Profiles {
		c.Profiles[i].Objective = 10 * time.Second
	}
}

// reply is a response as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	// closes is true if the response announces the close of the connection.
	closes bool
	// err is set if the response did not arrive completely.
	err error
}

func (r *rig) newRequest(ctx context.Context, path string, headers ...string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.server.Address()+path, strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "calls.example"
	request.Header.Set("Acacialift-Request-Id", callID)
	request.Header.Set("Acacialift-Deadline-Ms", "8000")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// call sends a request on a new connection, which may be kept, and reads the complete response.
func (r *rig) call(path string, headers ...string) reply {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r.newRequest(context.Background(), path, headers...))
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

// totalRequests returns the number of requests that have reached the endpoints.
func totalRequests(endpoints ...*fakeEndpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.requests())
	}
	return n
}
