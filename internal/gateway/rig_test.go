package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/gateway"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/settings"
	"github.com/acacialift/acacialift/internal/strictyaml"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestGateway(t *testing.T) { testkit.RunSpecs(t, "gateway") }

const (
	// eventTimeout is the longest wait for an event. No check depends on how long the wait takes.
	eventTimeout = 30 * time.Second
	peersKey     = "peers-key"
	validFor     = time.Second
	fence        = 77
)

// controller is a scripted controller. It is the controller of the gateway's instance, the owner of all endpoints and the
// home of all keys. The scripts run on the read loop, one at a time. A nil reply means that the reply is lost.
type controller struct {
	address string
	node    *peer.Node

	mu       sync.Mutex
	version  uint64
	revision uint64
	document string
	owners   []peer.OwnerView
	states   []peer.EndpointSummary
	draining bool
	// credit and key return the reply to the n-th credit request or key claim, counted from 1.
	credit func(n int, request peer.CreditRequest) *peer.CreditReply
	key    func(n int, claim peer.KeyClaim) *peer.KeyReply
	// lostEndAcks is the number of key ends, from the first one, that are not acknowledged.
	lostEndAcks    int
	creditRequests []peer.CreditRequest
	granted        []string
	reports        []peer.CreditReportItem
	claims         []peer.KeyClaim
	ends           []peer.KeyEnd
}

func grantCredit() *peer.CreditReply {
	return &peer.CreditReply{Granted: true, ValidFor: validFor, Fence: fence}
}

func refuseCredit(reason string) func(int, peer.CreditRequest) *peer.CreditReply {
	return func(int, peer.CreditRequest) *peer.CreditReply { return &peer.CreditReply{Reason: reason} }
}

func startController() *controller {
	GinkgoHelper()
	c := &controller{
		version: 1,
		credit:  func(int, peer.CreditRequest) *peer.CreditReply { return grantCredit() },
		key: func(int, peer.KeyClaim) *peer.KeyReply {
			return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
		},
	}
	// Another process may bind the address before this one does.
	Eventually(func() error {
		c.address = testkit.FreeAddresses(1)[0]
		return c.listen()
	}, eventTimeout).Should(Succeed())
	DeferCleanup(func() { c.node.Close() })
	return c
}

func (c *controller) listen() error {
	node, err := peer.NewNode(peer.Options{
		Listen: c.address, Handler: c,
		Self: peer.Hello{Key: peersKey, Name: "nadi-1", Incarnation: 1, Role: peer.RoleController},
	})
	if err == nil {
		c.node = node
	}
	return err
}

// Handle implements peer.Handler.
func (c *controller) Handle(_ peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	defer GinkgoRecover()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch envelope.Kind {
	case peer.KindViewRequest:
		request := decode[peer.ViewRequest](envelope)
		return peer.KindView, c.view(request)
	case peer.KindCreditRequest:
		request := decode[peer.CreditRequest](envelope)
		c.creditRequests = append(c.creditRequests, request)
		reply := c.credit(len(c.creditRequests), request)
		if reply == nil {
			return 0, nil
		}
		if reply.Granted {
			c.granted = append(c.granted, request.RequestID)
		}
		return peer.KindCreditReply, *reply
	case peer.KindCreditReport:
		report := decode[peer.CreditReport](envelope)
		report.RestoreIDs()
		c.reports = append(c.reports, report.Items...)
	case peer.KindKeyClaim:
		claim := decode[peer.KeyClaim](envelope)
		c.claims = append(c.claims, claim)
		if reply := c.key(len(c.claims), claim); reply != nil {
			return peer.KindKeyReply, *reply
		}
	case peer.KindKeyEnd:
		c.ends = append(c.ends, decode[peer.KeyEnd](envelope))
		if len(c.ends) > c.lostEndAcks {
			return peer.KindAck, peer.Ack{}
		}
	}
	return 0, nil
}

func decode[M any](envelope *peer.Envelope) M {
	var message M
	Expect(envelope.Decode(&message)).To(Succeed())
	return message
}

func (c *controller) view(request peer.ViewRequest) peer.View {
	view := peer.View{
		Version: c.version, Revision: c.revision, Owners: c.owners, Full: true, Summary: c.states, Draining: c.draining,
	}
	if request.Revision != c.revision {
		view.Document = []byte(c.document)
	}
	return view
}

// publish makes the document the current configuration with the next revision. %ENDPOINTS% is replaced by the endpoints.
func (c *controller) publish(text string, endpoints ...*endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.revision++
	c.owners, c.states = nil, nil
	// The document must contain an endpoint for each service. These spare endpoints have no owner.
	lines := &strings.Builder{}
	for i, service := range []string{"turf", "desk"} {
		fmt.Fprintf(lines, "  - {name: spare-%s, service: %s, address: \"127.0.0.1:%d\", domain: nadi-yard}\n",
			service, service, i+1)
	}
	for _, e := range endpoints {
		fmt.Fprintf(lines, "  - {name: %s, service: %s, address: %q, domain: nadi-yard}\n", e.name, e.service, e.address)
		c.owners = append(c.owners, peer.OwnerView{
			Resource: "endpoint/" + e.name, Instance: "nadi-1", Address: c.address,
		})
		c.states = append(c.states, peer.EndpointSummary{
			Endpoint: e.name, Owner: "nadi-1", State: peer.EndpointWarm, FreeTokens: 400_000, FreeStreams: 16,
		})
	}
	for slot := range 64 {
		c.owners = append(c.owners, peer.OwnerView{
			Resource: fmt.Sprintf("keys/desk/%d", slot), Instance: "nadi-1", Address: c.address,
		})
	}
	c.document = fmt.Sprintf("revision: %d\n", c.revision) + strings.Replace(text, "%ENDPOINTS%", lines.String(), 1)
}

// moveKeyHomes changes the home of all keys in the view to the address. The caller holds the lock.
func (c *controller) moveKeyHomes(address string) {
	c.version++
	owners := append([]peer.OwnerView(nil), c.owners...)
	for i := range owners {
		if strings.HasPrefix(owners[i].Resource, "keys/") {
			owners[i].Address = address
		}
	}
	c.owners = owners
}

// withLock runs f with the lock held, while no message is handled.
func (c *controller) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// finalReports returns the reported final states by request ID.
func (c *controller) finalReports() map[string][]peer.ReportState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make(map[string][]peer.ReportState)
	for _, item := range c.reports {
		switch item.State {
		case peer.ReportUnused, peer.ReportDone, peer.ReportFailed, peer.ReportCancelled:
			states[item.RequestID] = append(states[item.RequestID], item.State)
		}
	}
	return states
}

// grantedFinalReports returns the reported final states of each granted credit, in the order of the grants.
func (c *controller) grantedFinalReports() [][]peer.ReportState {
	states := c.finalReports()
	c.mu.Lock()
	defer c.mu.Unlock()
	var granted [][]peer.ReportState
	for _, id := range c.granted {
		granted = append(granted, states[id])
	}
	return granted
}

// expectFinalState expects exactly one final report for each granted credit, with the given state.
func (c *controller) expectFinalState(state peer.ReportState) {
	GinkgoHelper()
	Eventually(c.grantedFinalReports, eventTimeout).Should(HaveEach(Equal([]peer.ReportState{state})))
}

func (c *controller) creditRequestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.creditRequests)
}

func (c *controller) keyEnds() []peer.KeyEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]peer.KeyEnd(nil), c.ends...)
}

const document = `domains:
  - {name: nadi-yard, region: viti-west}
models:
  - {name: turf-8b}
services:
  - name: turf
    kind: model
    region: viti-west
    model: turf-8b
    warm: {streams: 16, tokens: 400000}
    cold: {streams: 2, tokens: 40000}
    prefill_rate: 50000
  - name: desk
    kind: plain
    region: viti-west
    warm: {streams: 32}
    cold: {streams: 4}
endpoints:
%ENDPOINTS%profiles:
  - {name: turf-new, service: turf, default_budget: 20s, max_budget: 60s, max_output_tokens: 64}
  - {name: desk-once, service: desk, default_budget: 20s, max_budget: 60s}
  - {name: desk-any, service: desk, default_budget: 20s, max_budget: 60s, idempotent: true}
teams:
  - {name: planners}
`

// attempt is a connection to an endpoint on which the endpoint received at least one byte.
type attempt struct {
	net.Conn
	reader *bufio.Reader
	// n is the number of the attempt at this endpoint, from 1.
	n int
}

// readRequest reads a complete request and returns it with its body, or nil if it is truncated or malformed.
func (a *attempt) readRequest() (*http.Request, string) {
	r, err := http.ReadRequest(a.reader)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, ""
	}
	return r, string(body)
}

// reset makes a later close reset the connection.
func (a *attempt) reset() { _ = a.Conn.(*net.TCPConn).SetLinger(0) }

// awaitClose blocks until the gateway has closed the connection.
func (a *attempt) awaitClose() { _, _ = io.Copy(io.Discard, a.reader) }

// endpoint is a scripted endpoint. The script runs once for each attempt, and the connection is closed when it returns.
type endpoint struct {
	name, service, address string
	listener               net.Listener

	mu           sync.Mutex
	attempts     int
	openAttempts int
}

func newEndpoint(name, service string, script func(*attempt)) *endpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &endpoint{name: name, service: service, address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(raw, script)
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return e
}

func (e *endpoint) serve(raw net.Conn, script func(*attempt)) {
	defer GinkgoRecover()
	defer raw.Close()
	a := &attempt{Conn: raw, reader: bufio.NewReader(raw)}
	if _, err := a.reader.Peek(1); err != nil {
		return
	}
	e.mu.Lock()
	e.attempts++
	e.openAttempts++
	a.n = e.attempts
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.openAttempts--
	}()
	script(a)
}

func (e *endpoint) attemptCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts
}

func (e *endpoint) openAttemptCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openAttempts
}

// refusingEndpoint returns an endpoint whose address refuses connections.
func refusingEndpoint(name, service string) *endpoint {
	return &endpoint{name: name, service: service, address: testkit.FreeAddresses(1)[0]}
}

func respondWith(text string) func(*attempt) {
	return func(a *attempt) {
		a.readRequest()
		_, _ = io.WriteString(a, text)
	}
}

func completeResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, len(body), body)
}

// logBuffer collects the log lines of a gateway.
type logBuffer struct{ testkit.LogBuffer }

// lines returns the fields of the lines with the given message.
func (l *logBuffer) lines(message string) []map[string]any {
	var found []map[string]any
	for line := range strings.Lines(l.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// rig is a gateway that runs in the test process, with its scripted controller.
type rig struct {
	*controller
	gateway *gateway.Gateway
	log     *logBuffer
	// balancerLag is the load balancer's lag in the gateway's settings.
	balancerLag time.Duration
	// sent counts the requests that reached the gateway's handler.
	sent int
}

// balancerLag is the load balancer's lag of most tests. It is short, because none of their checks depends on it.
const balancerLag = 50 * time.Millisecond

func newRig(endpoints ...*endpoint) *rig {
	GinkgoHelper()
	return newRigWithLag(balancerLag, endpoints...)
}

func newRigWithLag(lag time.Duration, endpoints ...*endpoint) *rig {
	GinkgoHelper()
	r := &rig{controller: startController(), log: &logBuffer{}, balancerLag: lag}
	r.publish(document, endpoints...)
	r.start()
	r.awaitRevision()
	DeferCleanup(r.checkFinalReports)
	return r
}

func (r *rig) start() {
	GinkgoHelper()
	s := &settings.Gateway{
		Common: settings.Common{
			Instance: "nadi-1", Domain: "nadi-yard", Region: "viti-west", BalancerLag: strictyaml.Duration(r.balancerLag),
		},
		Addresses: settings.GatewayAddresses{Callers: "127.0.0.1:0", Controller: r.address},
		Keys:      settings.GatewayKeys{Peers: peersKey},
	}
	g, err := gateway.New(s, zerolog.New(r.log))
	Expect(err).NotTo(HaveOccurred())
	r.gateway = g
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = g.Serve(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, eventTimeout).Should(BeClosed())
	})
}

func (r *rig) awaitRevision() {
	GinkgoHelper()
	r.mu.Lock()
	revision := r.revision
	r.mu.Unlock()
	Eventually(r.gateway.Revision, eventTimeout).Should(Equal(revision))
}

// checkFinalReports runs after each test. It checks that each granted credit got exactly one final report, and each
// request exactly one log line for its response.
func (r *rig) checkFinalReports() {
	Eventually(func(g Gomega) {
		for _, states := range r.grantedFinalReports() {
			g.Expect(states).To(HaveLen(1))
		}
		g.Expect(r.log.lines("answer")).To(HaveLen(r.sent))
	}, eventTimeout).Should(Succeed())
	for _, line := range r.log.lines("answer") {
		for _, field := range []string{"request_id", "outcome", "stage", "code", "status", "elapsed_ms"} {
			Expect(line).To(HaveKey(field), "%v", line)
		}
	}
	Expect(r.log.lines("handler_panic")).To(BeEmpty())
}

// callerRequest is a request as a caller sends it.
type callerRequest struct {
	method, path, profile, body, key string
	// team is "planners" if empty.
	team   string
	budget time.Duration
}

func completion(stream bool, budget time.Duration) callerRequest {
	return callerRequest{
		method: "POST", path: "/v1/completions", profile: "turf-new", budget: budget,
		body: fmt.Sprintf(`{"prompt":"how dry is the lawn","stream":%t}`, stream),
	}
}

func booking(key string, budget time.Duration) callerRequest {
	return callerRequest{
		method: "POST", path: "/services/desk/book", profile: "desk-once", body: "visit", key: key, budget: budget,
	}
}

func idempotentBooking(budget time.Duration) callerRequest {
	return callerRequest{method: "POST", path: "/services/desk/book", profile: "desk-any", body: "visit", budget: budget}
}

func (c callerRequest) encode(close bool) string {
	var b strings.Builder
	team := cmp.Or(c.team, "planners")
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: gateway\r\nX-Acacia-Team: %s\r\n", c.method, c.path, team)
	fmt.Fprintf(&b, "X-Acacia-Profile: %s\r\n", c.profile)
	if c.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.key)
	}
	if c.budget > 0 {
		fmt.Fprintf(&b, "X-Acacia-Budget-Ms: %d\r\n", c.budget.Milliseconds())
	}
	if close {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	return b.String()
}

// callerResponse is the response as the caller received it.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// truncated is true if the connection ended before the HTTP response was complete.
	truncated bool
	error     outcome.BodyError
}

// dial opens a caller's connection.
func (r *rig) dial() *net.TCPConn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	return conn.(*net.TCPConn)
}

// begin sends a request on a new connection, which it returns.
func (r *rig) begin(c callerRequest) *net.TCPConn {
	GinkgoHelper()
	conn := r.dial()
	r.sent++
	_, err := io.WriteString(conn, c.encode(true))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func readResponse(reader *bufio.Reader, method string) callerResponse {
	GinkgoHelper()
	request := &http.Request{Method: method}
	httpResponse, err := http.ReadResponse(reader, request)
	if err != nil {
		return callerResponse{truncated: true}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	response := callerResponse{
		status: httpResponse.StatusCode, header: httpResponse.Header, body: string(body), truncated: err != nil,
	}
	text := response.body
	// The text of an error event inside another event is not an error event.
	const errorEvent = "event: error\ndata: "
	if at := strings.LastIndex(text, errorEvent); at == 0 || at > 0 && strings.HasSuffix(text[:at], "\n\n") {
		text = text[at+len(errorEvent):]
	}
	var parsed outcome.Body
	if json.Unmarshal([]byte(text), &parsed) == nil {
		response.error = parsed.Error
	}
	return response
}

// do sends a request on a new connection and returns the response.
func (r *rig) do(c callerRequest) callerResponse {
	GinkgoHelper()
	conn := r.begin(c)
	defer conn.Close()
	return readResponse(bufio.NewReader(conn), c.method)
}

// expectGatewayError checks the outcome, stage and code of a final response that the gateway itself sent.
func expectGatewayError(response callerResponse, want outcome.Outcome, stage outcome.Stage, code string) {
	GinkgoHelper()
	Expect(response.error).To(HaveField("Outcome", want), "%+v", response)
	Expect(response.error).To(HaveField("Stage", stage))
	Expect(response.error).To(HaveField("Code", code))
	Expect(response.error.RequestID).NotTo(BeEmpty())
	if response.status != http.StatusOK {
		Expect(response.header.Get(outcome.HeaderName)).To(Equal(string(want)))
	}
}
