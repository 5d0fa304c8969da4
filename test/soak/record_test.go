package soak_test

import (
	"sync"
	"time"
)

// kind is the kind of a request. Its text is the first segment of the request's path.
type kind string

const (
	kindIdempotent    kind = "safe"
	kindNonIdempotent kind = "once"
	// kindResumable is a stream that may be resumed at another endpoint, kindNonResumable a stream that may not.
	kindResumable    kind = "words"
	kindNonResumable kind = "tale"
	// kindVersion uses a route that exists from a certain version of the configuration on.
	kindVersion kind = "v"
)

func (k kind) isRetryable() bool { return k != kindNonIdempotent && k != kindNonResumable }

// request is one request as its caller saw it.
type request struct {
	id   string
	kind kind
	// version is the version of the configuration that added the route; set for kindVersion only.
	version int
	key     string
	path    string
	body    string
	// entry is the index of the instance that got the request, and incarnation the number of its starts until then.
	entry       int
	incarnation int
	deadline    time.Duration

	sent, ended time.Time
	status      int
	// responseBody and seal are those of the response; complete is true if the response was not truncated.
	responseBody, seal string
	complete           bool
	// callerLeft is true if the caller closed the connection before the end of the response.
	callerLeft bool
}

// run is one execution of a request as the endpoint saw it.
type run struct {
	endpoint string
	service  string
	number   int
	path     string
	body     string
	team     string
	deadline time.Duration
	began    time.Time
	// ended is when the endpoint had responded, or had stopped because the connection was closed.
	ended time.Time
	// responseBody is the complete response. lastEventID is the number of the last event that the caller had before a
	// resumed stream.
	responseBody, seal string
	lastEventID        int
	// faulty is true if the endpoint was to lose, truncate or repeat the response on purpose.
	faulty bool
	// namedRate is the request rate that the response names; zero if it names none.
	namedRate float64
}

// arrival is a request that reached an endpoint, executed or not.
type arrival struct {
	endpoint string
	service  string
	id       string
	at       time.Time
	// misdirected is true if the endpoint refused the request because it was meant for another endpoint.
	misdirected bool
}

// span is a time interval, for example of a disturbance. The end of an open interval is zero.
type span struct {
	from, to time.Time
}

// limitSpan is an interval in which an endpoint named a request rate.
type limitSpan struct {
	endpoint  string
	perSecond float64
	span
}

// record holds all observations of one round, which are checked at its end.
type record struct {
	mu           sync.Mutex
	requests     map[string]*request
	runs         map[string][]*run
	arrivals     []arrival
	disturbances map[string][]*span
	// revoked and leaving hold the times at which the store had acknowledged the revocation of a key and the draining of
	// an endpoint.
	revoked map[string]time.Time
	leaving map[string]time.Time
	// cold holds the cold start interval of each endpoint that started cold.
	cold map[string]span
	// limits holds the intervals in which an endpoint named a request rate.
	limits []limitSpan
	// published holds when the store had acknowledged each version of the configuration; element 0 is version 1.
	published []time.Time
	// failures holds failures that are found while the round runs, such as an unexpected exit of a process.
	failures []string
}

func newRecord() *record {
	return &record{
		requests: make(map[string]*request), runs: make(map[string][]*run), disturbances: make(map[string][]*span),
		revoked: make(map[string]time.Time), leaving: make(map[string]time.Time), cold: make(map[string]span),
	}
}

func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *record) addFailure(text string) { r.update(func() { r.failures = append(r.failures, text) }) }

// markDisturbed records that a subject is disturbed from now until the returned function is called.
func (r *record) markDisturbed(subject string) (end func()) {
	s := &span{from: time.Now()}
	r.update(func() { r.disturbances[subject] = append(r.disturbances[subject], s) })
	return func() { r.update(func() { s.to = time.Now() }) }
}

// isUndisturbed reports whether a subject was undisturbed during the whole given interval.
func (r *record) isUndisturbed(subject string, from, to time.Time) bool {
	for _, s := range r.disturbances[subject] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// wasUndisturbed reports whether a request's instance and the endpoints that ran it were undisturbed from the
// stabilityWindow before the request to its end.
func (r *record) wasUndisturbed(q *request) bool {
	from := q.sent.Add(-stabilityWindow)
	if !r.isUndisturbed(entryName(q.entry), from, q.ended) {
		return false
	}
	for _, run := range r.runs[q.id] {
		if run.faulty || !r.isUndisturbed(run.endpoint, from, q.ended) {
			return false
		}
	}
	return true
}
