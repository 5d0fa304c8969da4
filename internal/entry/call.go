// Package entry serves callers on an entry instance: it admits requests, places them on endpoints, relays the answers
// and decides what is repeated. What callers and endpoints speak on the wire is the matter of a Dialect.
package entry

import (
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Call is a caller's request.
type Call struct {
	// ID identifies the attempt of the caller.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Path selects the profile together with the host.
	Path string
	// Header holds what is passed on to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty if there is none.
	Key string
	// Budget is the time that the caller waits, from the arrival of the request; zero if it stated none.
	Budget time.Duration
	// PromptTokens and MaxOutput describe the work of a model engine; zero if the caller stated nothing.
	PromptTokens, MaxOutput int64
}

// Delivery is what an endpoint is told besides the call itself.
type Delivery struct {
	Endpoint *fleet.Endpoint
	Helpers  []*fleet.Endpoint
	// Tickets are the memory reserved at helpers.
	Tickets []Ticket
	// Team is the name of the caller's team; empty if the profile needs no key.
	Team string
	// Left is what is left of the time of the request.
	Left time.Duration
	// AfterEvent is the last event that the caller has; empty for a first attempt.
	AfterEvent string
}

// Verdict states what the head of an endpoint's answer means.
type Verdict int

// The verdicts.
const (
	// Accepted answers are passed on.
	Accepted Verdict = iota
	// Foreign answers belong to another request.
	Foreign
	// NotRun means that the endpoint did not run the request and will not.
	NotRun
	// Misdirected means that the address belongs to another endpoint, which did not run the request.
	Misdirected
	// Broken answers are not the endpoint's own; the request may have run.
	Broken
)

// Judgement is the meaning of an answer's head.
type Judgement struct {
	Verdict Verdict
	// Culprit is the address of the endpoint at fault if it is not the one that answered.
	Culprit string
	// Reason explains verdicts other than Accepted.
	Reason string
}

// Advice is what an endpoint says of itself in the head of an answer.
type Advice struct {
	// Leaving endpoints stop soon and must get no further requests.
	Leaving bool
	// Rest is how long the endpoint wants no requests of this instance; zero if it did not say.
	Rest time.Duration
}

// Order is an order to an endpoint.
type Order struct {
	Method, Target string
	Header         http.Header
	Body           []byte
	// Done is the status of an order that was carried out.
	Done int
}

// Dialect translates between calls and what is spoken on the wire.
type Dialect interface {
	// ReadCall returns the call, or an error that says what is wrong with the request.
	ReadCall(r *http.Request, body []byte) (*Call, error)
	// Header returns the header of the request to an endpoint.
	Header(call *Call, d Delivery) http.Header
	// Judge returns the meaning of the head of an answer.
	Judge(call *Call, status int, header http.Header) Judgement
	// Advice returns what an endpoint says of itself in the head of an answer of its own.
	Advice(status int, header http.Header) Advice
	// Reserve returns the order that reserves memory, or renews its reservation, for the given time.
	Reserve(t Ticket, hold time.Duration) Order
	// Release returns the order that gives memory back.
	Release(t Ticket) Order
	// MarkCall adds the call's id to the header of an answer that this instance gives itself.
	MarkCall(id string, header http.Header)
}
