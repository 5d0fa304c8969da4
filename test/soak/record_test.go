package soak_test

import (
	"sync"
	"time"
)

// kind is a kind of request. It is the first part of the request's path.
type kind string

const (
	kindSafe kind = "safe"
	kindOnce kind = "once"
	// kindWords is a stream that may be resumed at another endpoint, kindTale one that may not.
	kindWords kind = "words"
	kindTale  kind = "tale"
	// kindVersion asks a route that exists from one version of the configuration on.
	kindVersion kind = "v"
)

func (k kind) mayRepeat() bool { return k != kindOnce && k != kindTale }

// request is what a caller saw of one request.
type request struct {
	id   string
	kind kind
	// version is the version of the configuration that brought the route.
	version int
	key     string
	path    string
	body    string
	// entry is the instance that was asked, and incarnation the number of its starts until then.
	entry       int
	incarnation int
	deadline    time.Duration

	sent, ended time.Time
	status      int
	// text and seal are the answer's; whole tells that the answer had its end.
	text, seal string
	whole      bool
	// left tells that the caller closed the connection before the end.
	left bool
}

// run is what an endpoint saw of one request that it began to work on.
type run struct {
	endpoint string
	service  string
	number   int
	path     string
	body     string
	team     string
	deadline time.Duration
	began    time.Time
	// ended is when the endpoint stopped work, because it had answered or because the caller had left.
	ended time.Time
	// text is the whole answer, and from the number of the last event that the caller had before.
	text, seal string
	from       int
	spoiled    bool
}

// arrival is a request that reached an endpoint, run or not.
type arrival struct {
	endpoint string
	service  string
	id       string
	at       time.Time
	// refused tells that the endpoint turned it away as another instance than the one meant.
	refused bool
}

// span is a time during which something was disturbed. An open span has no end.
type span struct {
	from, to time.Time
}

// record holds all that was seen in one round. Verdicts are given at its end.
type record struct {
	mu       sync.Mutex
	requests map[string]*request
	runs     map[string][]*run
	arrivals []arrival
	spans    map[string][]*span
	// revoked and leaving hold when the store had acknowledged that a key was taken away and an endpoint was leaving.
	revoked map[string]time.Time
	leaving map[string]time.Time
	// cold holds the endpoints' times of cold start.
	cold map[string]span
	// published holds when the store had acknowledged each version of the configuration, the first one being 1.
	published []time.Time
	// faults holds what was seen apart from requests, for instance a process that ended by itself.
	faults []string
}

func newRecord() *record {
	return &record{
		requests: make(map[string]*request), runs: make(map[string][]*run), spans: make(map[string][]*span),
		revoked: make(map[string]time.Time), leaving: make(map[string]time.Time), cold: make(map[string]span),
	}
}

func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *record) fault(text string) { r.update(func() { r.faults = append(r.faults, text) }) }

// disturb notes that a subject is disturbed from now on, until the returned function is called.
func (r *record) disturb(subject string) (end func()) {
	s := &span{from: time.Now()}
	r.update(func() { r.spans[subject] = append(r.spans[subject], s) })
	return func() { r.update(func() { s.to = time.Now() }) }
}

// isCalm reports that a subject was not disturbed at any time between two moments.
func (r *record) isCalm(subject string, from, to time.Time) bool {
	for _, s := range r.spans[subject] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// wasCalm is isCalm for a request's instance and the endpoints that it reached, from the stability window before it.
func (r *record) wasCalm(q *request) bool {
	from := q.sent.Add(-stabilityWindow)
	if !r.isCalm(entrySubject(q.entry), from, q.ended) {
		return false
	}
	for _, n := range r.runs[q.id] {
		if n.spoiled || !r.isCalm(n.endpoint, from, q.ended) {
			return false
		}
	}
	return true
}
