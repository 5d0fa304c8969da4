// Package entry serves callers on an entry instance: it admits requests, places them on endpoints, relays the responses
// and decides about retries. A Protocol defines the wire format of callers and endpoints.
package entry

import (
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/quarantine"
)

// Call is a caller's request.
type Call struct {
	// ID is the request id that the caller sent. It identifies one attempt of the caller.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Path and Host select the profile.
	Path string
	// Header holds the headers that are forwarded to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty if there is none.
	Key string
	// Budget is how long the caller waits, counted from the arrival of the request; zero if the caller stated nothing.
	Budget time.Duration
	// LastEventID is the id of the event after which the caller resumes a stream; empty if it does not.
	LastEventID string
	// PromptTokens and MaxOutput are the tokens of the prompt and of the longest output; zero if the caller stated nothing.
	PromptTokens, MaxOutput int64
	// Prompt is what the parts of the prompt are known by.
	Prompt quarantine.Prompt
}

// Dispatch is what an endpoint receives in addition to the call itself.
type Dispatch struct {
	Endpoint *fleet.Endpoint
	Helpers  []*fleet.Endpoint
	// Reservations are the memory reserved at helpers.
	Reservations []Reservation
	// Team is the name of the caller's team; empty if the profile needs no key.
	Team string
	// TimeLeft is the remaining time of the request.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the caller has; empty if it has none.
	LastEventID string
	// Rank is the rank of the request on its service, 0 to fleet.MaxRank; 0 is the highest. It is sent only if Ranked is true: the
	// profiles of the service have different priorities.
	Rank   int
	Ranked bool
}

// Verdict states what the head of an endpoint's response means.
type Verdict int

// The verdicts.
const (
	// Accepted responses are forwarded to the caller.
	Accepted Verdict = iota
	// Mismatched responses belong to another request.
	Mismatched
	// NotRun means that the endpoint did not run the request and will not.
	NotRun
	// Misdirected means that the address belongs to another endpoint, which did not run the request.
	Misdirected
	// Invalid responses are not forwarded, because the endpoint may not have created them; the request may have run.
	Invalid
)

// Classification is the result of classifying a response's head.
type Classification struct {
	Verdict Verdict
	// FaultyAddress is the address of the endpoint that the response names as faulty; empty if it names none.
	FaultyAddress string
	// Reason explains verdicts other than Accepted.
	Reason string
	// NamesCall is true if the response states the id of the call.
	NamesCall bool
}

// EndpointStatus is what an endpoint states about itself in the head of a response.
type EndpointStatus struct {
	// Leaving is true if the endpoint is shutting down and must get no further requests.
	Leaving bool
	// BackOff is the time for which this instance must send the endpoint no requests; zero if the endpoint stated nothing.
	BackOff time.Duration
	// MaxRate is the number of requests per second that the endpoint accepts from all instances together. HasMaxRate is
	// false if the endpoint stated none.
	MaxRate    float64
	HasMaxRate bool
	// InvalidMaxRate is what the endpoint stated instead of a valid number; empty if it did not.
	InvalidMaxRate string
}

// ControlRequest is a request to reserve or release memory of an endpoint.
type ControlRequest struct {
	Method, Target string
	Header         http.Header
	Body           []byte
	// SuccessStatus is the HTTP status of the response if the endpoint has executed the request.
	SuccessStatus int
}

// Protocol translates between calls and their wire format.
type Protocol interface {
	// ReadCall returns the call, or an error that describes the invalid part of the request.
	ReadCall(r *http.Request, body []byte) (*Call, error)
	// Header returns the header of the request to an endpoint.
	Header(call *Call, d Dispatch) http.Header
	// Classify evaluates the head of a response.
	Classify(call *Call, status int, header http.Header) Classification
	// EndpointStatus returns what an endpoint states about itself in the head of a response that it has created.
	EndpointStatus(status int, header http.Header) EndpointStatus
	// Reserve returns the control request that reserves memory, or renews its reservation, for a duration.
	Reserve(reservation Reservation, duration time.Duration) ControlRequest
	// Release returns the control request that releases memory.
	Release(reservation Reservation) ControlRequest
	// IncarnationTarget returns the target of a GET request whose response states which incarnation of an endpoint has sent it. It
	// is empty if the endpoint has none.
	IncarnationTarget(e *fleet.Endpoint, s *fleet.Service) string
	// StatesIncarnation reports whether that response states the start of the endpoint, and not only an id that a successor may have.
	StatesIncarnation(e *fleet.Endpoint, s *fleet.Service) bool
	// Incarnation evaluates the response to such a request: FoundSame, FoundOther, or FoundRejected if the endpoint was too busy.
	Incarnation(e *fleet.Endpoint, s *fleet.Service, response *engine.Response) EndpointFinding
	// SetCallID adds the call's id to the header of a response that this instance creates itself.
	SetCallID(id string, header http.Header)
}
