package gateway_test

import (
	"bufio"
	"bytes"
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
	// eventLimit bounds the wait for an event; no verdict depends on how much of it is used.
	eventLimit = 30 * time.Second
	peersKey   = "peers-key"
	validFor   = time.Second
	fence      = 77
)

// controller is a scripted controller: the gateway's own one, the owner of all endpoints and the home of all keys.
// Scripts run on the read loop, one at a time; a nil reply stands for a lost one.
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
	// credit and key decide on the n-th message, counted from 1.
	credit func(n int, ask peer.CreditRequest) *peer.CreditReply
	key    func(n int, claim peer.KeyClaim) *peer.KeyReply
	// loseEnds is the number of key ends whose acknowledgement is lost.
	loseEnds int
	asks     []peer.CreditRequest
	granted  []string
	reports  []peer.CreditReportItem
	claims   []peer.KeyClaim
	ends     []peer.KeyEnd
}

func grant() *peer.CreditReply {
	return &peer.CreditReply{Granted: true, ValidFor: validFor, Fence: fence}
}

func refuseCredit(reason string) func(int, peer.CreditRequest) *peer.CreditReply {
	return func(int, peer.CreditRequest) *peer.CreditReply { return &peer.CreditReply{Reason: reason} }
}

func startController() *controller {
	GinkgoHelper()
	c := &controller{
		version: 1,
		credit:  func(int, peer.CreditRequest) *peer.CreditReply { return grant() },
		key: func(int, peer.KeyClaim) *peer.KeyReply {
			return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
		},
	}
	// Another process may take the address between its choice and its use.
	Eventually(func() error {
		c.address = testkit.FreeAddresses(1)[0]
		return c.listen()
	}, eventLimit).Should(Succeed())
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
		ask := decode[peer.ViewRequest](envelope)
		return peer.KindView, c.view(ask)
	case peer.KindCreditRequest:
		ask := decode[peer.CreditRequest](envelope)
		c.asks = append(c.asks, ask)
		reply := c.credit(len(c.asks), ask)
		if reply == nil {
			return 0, nil
		}
		if reply.Granted {
			c.granted = append(c.granted, ask.RequestID)
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
		if len(c.ends) > c.loseEnds {
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

func (c *controller) view(ask peer.ViewRequest) peer.View {
	view := peer.View{
		Version: c.version, Revision: c.revision, Owners: c.owners, Full: true, Summary: c.states, Draining: c.draining,
	}
	if ask.Revision != c.revision {
		view.Document = []byte(c.document)
	}
	return view
}

// publish puts the document into force under the next revision. %ENDPOINTS% stands for the endpoints.
func (c *controller) publish(text string, endpoints ...*endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.revision++
	c.owners, c.states = nil, nil
	// The document must name an endpoint of each service; these have no owner.
	lines := &strings.Builder{}
	for i, service := range []string{"turf", "desk"} {
		fmt.Fprintf(lines, "  - {name: spare-%s, service: %s, address: \"127.0.0.1:%d\", domain: nadi-yard}\n", service, service, i+1)
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

// moveKeys makes the views name another home of all keys.
func (c *controller) moveKeys(address string) {
	c.version++
	owners := append([]peer.OwnerView(nil), c.owners...)
	for i := range owners {
		if strings.HasPrefix(owners[i].Resource, "keys/") {
			owners[i].Address = address
		}
	}
	c.owners = owners
}

// locked runs f while no message is handled.
func (c *controller) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// finals returns the final reports by request id.
func (c *controller) finals() map[string][]peer.ReportState {
	c.mu.Lock()
	defer c.mu.Unlock()
	finals := make(map[string][]peer.ReportState)
	for _, item := range c.reports {
		switch item.State {
		case peer.ReportUnused, peer.ReportDone, peer.ReportFailed, peer.ReportCancelled:
			finals[item.RequestID] = append(finals[item.RequestID], item.State)
		}
	}
	return finals
}

// grantedEnds returns the final reports of the granted credits, in the order of the grants.
func (c *controller) grantedEnds() [][]peer.ReportState {
	finals := c.finals()
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends [][]peer.ReportState
	for _, id := range c.granted {
		ends = append(ends, finals[id])
	}
	return ends
}

// expectAllEnded expects one final report of the state for each granted credit.
func (c *controller) expectAllEnded(state peer.ReportState) {
	GinkgoHelper()
	Eventually(c.grantedEnds, eventLimit).Should(HaveEach(Equal([]peer.ReportState{state})))
}

func (c *controller) askCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asks)
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

// arrival is one connection to an endpoint on which at least one byte arrived.
type arrival struct {
	net.Conn
	reader *bufio.Reader
	// n counts the arrivals of the endpoint from 1.
	n int
}

// request reads one whole request, or returns nil.
func (a *arrival) request() (*http.Request, string) {
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

// reset makes the close of the connection a reset.
func (a *arrival) reset() { _ = a.Conn.(*net.TCPConn).SetLinger(0) }

// awaitClose returns when the gateway has closed the connection.
func (a *arrival) awaitClose() { _, _ = io.Copy(io.Discard, a.reader) }

// endpoint is a scripted endpoint. The script runs for each arrival; the connection is closed after it.
type endpoint struct {
	name, service, address string
	listener               net.Listener

	mu       sync.Mutex
	arrivals int
	open     int
}

func newEndpoint(name, service string, script func(*arrival)) *endpoint {
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

func (e *endpoint) serve(raw net.Conn, script func(*arrival)) {
	defer GinkgoRecover()
	defer raw.Close()
	a := &arrival{Conn: raw, reader: bufio.NewReader(raw)}
	if _, err := a.reader.Peek(1); err != nil {
		return
	}
	e.mu.Lock()
	e.arrivals++
	e.open++
	a.n = e.arrivals
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.open--
	}()
	script(a)
}

func (e *endpoint) seen() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

func (e *endpoint) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// closedEndpoint refuses connections.
func closedEndpoint(name, service string) *endpoint {
	return &endpoint{name: name, service: service, address: testkit.FreeAddresses(1)[0]}
}

func answering(text string) func(*arrival) {
	return func(a *arrival) {
		a.request()
		_, _ = io.WriteString(a, text)
	}
}

func wholeAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// logBuffer collects log lines.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(data)
}

// lines returns the lines with the message.
func (l *logBuffer) lines(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for line := range strings.Lines(l.buffer.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// rig is a gateway in this process with its scripted controller.
type rig struct {
	*controller
	gateway *gateway.Gateway
	log     *logBuffer
	// lag is the balancer's lag.
	lag time.Duration
	// sent counts the requests that reached the gateway's handler.
	sent int
}

// balancerLag is short, because no verdict depends on it.
const balancerLag = 50 * time.Millisecond

func newRig(endpoints ...*endpoint) *rig {
	GinkgoHelper()
	return newRigWithLag(balancerLag, endpoints...)
}

func newRigWithLag(lag time.Duration, endpoints ...*endpoint) *rig {
	GinkgoHelper()
	r := &rig{controller: startController(), log: &logBuffer{}, lag: lag}
	r.publish(document, endpoints...)
	r.start()
	r.awaitRevision()
	DeferCleanup(r.checkEnds)
	return r
}

func (r *rig) start() {
	GinkgoHelper()
	s := &settings.Gateway{
		Common: settings.Common{
			Instance: "nadi-1", Domain: "nadi-yard", Region: "viti-west", BalancerLag: strictyaml.Duration(r.lag),
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
		Eventually(ended, eventLimit).Should(BeClosed())
	})
}

func (r *rig) awaitRevision() {
	GinkgoHelper()
	r.mu.Lock()
	revision := r.revision
	r.mu.Unlock()
	Eventually(r.gateway.Revision, eventLimit).Should(Equal(revision))
}

// checkEnds holds after each test: every granted credit got exactly one final report, and every request exactly one log
// line with its final answer.
func (r *rig) checkEnds() {
	Eventually(func(g Gomega) {
		for _, states := range r.grantedEnds() {
			g.Expect(states).To(HaveLen(1))
		}
		g.Expect(r.log.lines("answer")).To(HaveLen(r.sent))
	}, eventLimit).Should(Succeed())
	for _, line := range r.log.lines("answer") {
		for _, field := range []string{"request_id", "outcome", "stage", "code", "status", "elapsed_ms"} {
			Expect(line).To(HaveKey(field), "%v", line)
		}
	}
	Expect(r.log.lines("handler_panic")).To(BeEmpty())
}

// call describes a caller's request.
type call struct {
	method, path, profile, body, key string
	// team is "planners" if empty.
	team   string
	budget time.Duration
}

func completion(stream bool, budget time.Duration) call {
	return call{
		method: "POST", path: "/v1/completions", profile: "turf-new", budget: budget,
		body: fmt.Sprintf(`{"prompt":"how dry is the lawn","stream":%t}`, stream),
	}
}

func booking(key string, budget time.Duration) call {
	return call{method: "POST", path: "/services/desk/book", profile: "desk-once", body: "visit", key: key, budget: budget}
}

func repeatable(budget time.Duration) call {
	return call{method: "POST", path: "/services/desk/book", profile: "desk-any", body: "visit", budget: budget}
}

func (c call) encode(close bool) string {
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is true if the connection broke before the HTTP answer was whole.
	cut   bool
	error outcome.BodyError
}

// dial opens a caller's connection.
func (r *rig) dial() *net.TCPConn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(eventLimit))).To(Succeed())
	return conn.(*net.TCPConn)
}

// begin sends a request on a connection of its own.
func (r *rig) begin(c call) *net.TCPConn {
	GinkgoHelper()
	conn := r.dial()
	r.sent++
	_, err := io.WriteString(conn, c.encode(true))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func readAnswer(reader *bufio.Reader, method string) answer {
	GinkgoHelper()
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return answer{cut: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: string(body), cut: err != nil}
	text := a.body
	// An error event counts only if it begins an event.
	const errorEvent = "event: error\ndata: "
	if at := strings.LastIndex(text, errorEvent); at == 0 || at > 0 && strings.HasSuffix(text[:at], "\n\n") {
		text = text[at+len(errorEvent):]
	}
	var parsed outcome.Body
	if json.Unmarshal([]byte(text), &parsed) == nil {
		a.error = parsed.Error
	}
	return a
}

// do sends a request and returns its answer.
func (r *rig) do(c call) answer {
	GinkgoHelper()
	conn := r.begin(c)
	defer conn.Close()
	return readAnswer(bufio.NewReader(conn), c.method)
}

// expectAnswer checks the figures of an answer that the gateway gave itself.
func expectAnswer(a answer, want outcome.Outcome, stage outcome.Stage, code string) {
	GinkgoHelper()
	Expect(a.error).To(HaveField("Outcome", want), "%+v", a)
	Expect(a.error).To(HaveField("Stage", stage))
	Expect(a.error).To(HaveField("Code", code))
	Expect(a.error.RequestID).NotTo(BeEmpty())
	if a.status != http.StatusOK {
		Expect(a.header.Get(outcome.HeaderName)).To(Equal(string(want)))
	}
}
