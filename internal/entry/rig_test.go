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
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform"
)

func TestEntry(t *testing.T) { testkit.RunSpecs(t, "entry") }

const (
	// eventLimit bounds the wait for an event; no verdict depends on how much of it is used.
	eventLimit = 20 * time.Second
	callID     = "9c41d07be2a35f68"
	teamKey    = "key-of-the-team"
	sealed     = "Acacialift-Request-Id: " + callID + "\r\nAcacialift-Response-Seal: seal\r\n"
)

// arrival is a request that reached an endpoint.
type arrival struct {
	request *http.Request
	body    string
}

// fakeEndpoint answers each request by the next script; the last script is used again.
type fakeEndpoint struct {
	listener net.Listener

	mu       sync.Mutex
	scripts  []func(net.Conn, arrival)
	arrivals []arrival
	orders   []arrival
	// orderStatus is the status of the answer to orders.
	orderStatus int
	connections int
}

func newEndpoint(scripts ...func(net.Conn, arrival)) *fakeEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEndpoint{listener: listener, scripts: scripts, orderStatus: http.StatusOK}
	go e.accept()
	DeferCleanup(func() { _ = listener.Close() })
	return e
}

func (e *fakeEndpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections++
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *fakeEndpoint) serve(conn net.Conn) {
	defer conn.Close()
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
		if request.URL.Path == "/v1/order" {
			e.answerOrder(conn, arrival{request: request, body: string(body)})
			continue
		}
		script := e.next(arrival{request: request, body: string(body)})
		script(conn, arrival{request: request, body: string(body)})
	}
}

func (e *fakeEndpoint) answerOrder(conn net.Conn, a arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, a)
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}", e.orderStatus)
}

func (e *fakeEndpoint) next(a arrival) func(net.Conn, arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	script := e.scripts[0]
	if len(e.scripts) > 1 {
		e.scripts = e.scripts[1:]
	}
	return script
}

func (e *fakeEndpoint) reached() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

func (e *fakeEndpoint) ordered() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var bodies []string
	for _, o := range e.orders {
		bodies = append(bodies, o.body)
	}
	return bodies
}

// text answers with fixed bytes; %ID stands for the id of the request.
func text(answer string) func(net.Conn, arrival) {
	return func(conn net.Conn, a arrival) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "%ID", a.request.Header.Get("Acacialift-Request-Id")))
	}
}

// ended answers with fixed bytes and closes the connection.
func ended(answer string) func(net.Conn, arrival) {
	return func(conn net.Conn, a arrival) {
		text(answer)(conn, a)
		_ = conn.Close()
	}
}

// reset answers with fixed bytes, lets them arrive and resets the connection.
func reset(answer string) func(net.Conn, arrival) {
	return func(conn net.Conn, a arrival) {
		text(answer)(conn, a)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// silent never answers.
func silent(conn net.Conn, _ arrival) { _, _ = conn.Read(make([]byte, 1)) }

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %%ID\r\nAcacialift-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nAcacialift-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func streamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece\n\n", id) }

// rig is an entry instance's handler on a real server, in front of fake endpoints.
type rig struct {
	state   *fleet.State
	handler *entry.Handler
	book    *load.Tracker
	server  *httpserver.Server
	catalog fleet.Catalog
}

type rigOption func(*fleet.Catalog, *entry.HandlerOptions)

// newRig serves the kinds of profiles on one service with the given endpoints.
func newRig(endpoints []*fakeEndpoint, options ...rigOption) *rig {
	r := &rig{state: fleet.NewState(), book: load.NewTracker()}
	r.catalog = fleet.Catalog{
		Version: 1,
		Profiles: []fleet.Profile{
			profile("/once/", fleet.NonIdempotent, 1), profile("/unsafe/", fleet.NonIdempotent, 2),
			profile("/safe/", fleet.Idempotent, 2), profile("/stream/", fleet.Streaming, 2),
			resumable(profile("/resume/", fleet.Streaming, 2)),
		},
		Services: map[string]*fleet.Service{"pool": {Name: "pool"}},
		Teams:    map[string]fleet.Team{teamKey: {Name: "team-1"}},
	}
	long := time.Now().Add(-time.Hour)
	handlerOptions := entry.HandlerOptions{
		Protocol: platform.Protocol{}, State: r.state, Load: r.book, Health: health.NewTracker(),
		RetryBudget: limit.NewRetryBudget(limit.RetryBudgetOptions{
			Ratio: 1, Slack: 1000, Window: 10 * time.Second, Fleet: limit.NewFleetShare(1, long),
		}),
		ColdLimiter: limit.NewColdLimiter(1.5, 5, limit.NewFleetShare(1, long)),
		Planner:     placement.Planner{IntN: rand.IntN},
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
	r.state.Confirm(clock.Boot())
	for i, e := range endpoints {
		r.state.PutEndpoint(&fleet.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Service: "pool", Address: e.listener.Addr().String(), Domain: "yard-1", Slots: 4,
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
		Name: prefix, Host: "calls.example", PathPrefix: prefix, Kind: kind, Attempts: attempts,
		TrafficSplit: []fleet.WeightedService{{Service: "pool", Weight: 1}},
		TimeLimit:    10 * time.Second, Objective: time.Second, MaxGap: time.Second,
	}
}

func resumable(p fleet.Profile) fleet.Profile {
	p.Resumable = true
	return p
}

// withTeams makes keys necessary.
func withTeams(c *fleet.Catalog, _ *entry.HandlerOptions) { c.HasTeams = true }

// withEngine makes the endpoints model engines.
func withEngine(c *fleet.Catalog, _ *entry.HandlerOptions) {
	c.Services["pool"].Engine = &fleet.Engine{
		Slots: 4, MemoryTokens: 100_000, Stride: 34, StepTime: time.Millisecond, PrefillRate: 154_000,
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// closes is true if the answer ends its connection.
	closes bool
	// err is set if the answer did not arrive whole.
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

// call sends a request on a connection of its own and reads the whole answer.
func (r *rig) call(path string, headers ...string) reply {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r.newRequest(context.Background(), path, headers...))
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

func total(endpoints ...*fakeEndpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.reached())
	}
	return n
}
