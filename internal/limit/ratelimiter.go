package limit

import (
	"maps"
	"sync"
	"time"
)

const (
	// slotTime is how long an instance may use a slot, a turn to send one request to a limited endpoint. Without this bound,
	// hundreds of instances that had no request for the endpoint for a while could use their turns at once.
	slotTime = time.Second
	// In a fleet of up to maxExactFleet instances, all are known soon after their start, and an instance uses the share of a fleet
	// without unknown ones. Even if there are half as many again, all together stay within one and a half times the rate, which
	// an endpoint tolerates. In larger fleets turns coincide by chance, which needs that room.
	maxExactFleet = 13
	// minEndpointRate is the least rate that is assumed, in requests per second of the whole fleet. Without any request, no
	// instance would learn that an endpoint no longer names a rate of zero.
	minEndpointRate = 0.1
	// maxInterval bounds the interval of an instance without a share, and minInterval that of one with a share of a rate that limits
	// nothing.
	maxInterval = 24 * time.Hour
	minInterval = time.Microsecond
	// statementLifetime is how long a statement is passed on to other instances. The end of a limit is kept as long, so that
	// all instances learn of it.
	statementLifetime = 10 * time.Second
	// limitRetention is how long a limit holds without a newer statement. An endpoint that is gone makes none.
	limitRetention = 10 * time.Minute
)

// MaxRate is the largest rate that an endpoint may name, in requests per second.
const MaxRate = 1e6

// IsValidRate reports whether an endpoint may name a rate. Others, which are no number or no finite one, are ignored.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= MaxRate }

// Origin tells from which instances a statement has come. Statements are passed on from a member to its aggregator, to the
// other aggregators and to their members, and not further, so that they do not circulate.
type Origin uint8

// The origins, ordered by the distance of the instance that observed the statement.
const (
	// OriginSelf marks statements in responses to requests of this instance.
	OriginSelf Origin = iota
	// OriginMember marks statements that their observer has sent to this instance.
	OriginMember
	// OriginFleet marks statements that came through an aggregator.
	OriginFleet
	originCount
)

// Statement is what an endpoint has said about the rate of its requests.
type Statement struct {
	Endpoint uint32
	// PerSecond is the number of requests per second that the endpoint accepts from all instances together. It has no
	// meaning if None is true.
	PerSecond float64
	// None is true if the endpoint named no rate, after it had named one before.
	None bool
	// Age is the time since the response with the statement arrived. For None, it is the time since the request was sent.
	Age time.Duration
}

// RateLimiter bounds this instance's requests to endpoints that name a request rate in their responses. Such a rate bounds
// the requests of all instances together for as long as the endpoint's responses name it. Each instance uses its share: one
// request per interval. It is safe for concurrent use.
type RateLimiter struct {
	mu     sync.Mutex
	share  *FleetShare
	random func() float64
	limits map[uint32]*rateLimit
	// rejected holds the time of the latest invalid statement of an endpoint.
	rejected map[uint32]time.Time
}

// statement is the latest statement of one origin. Its time is zero if there is none.
type statement struct {
	perSecond float64
	none      bool
	at        time.Time
}

// rateLimit is the state of one endpoint.
type rateLimit struct {
	latest [originCount]statement
	// slotsFrom is the start of this instance's intervals: its last request, or a random time before the first statement, so
	// that instances which learn of the limit together do not send at the same time.
	slotsFrom time.Time
}

// NewRateLimiter returns a limiter that knows no limit. share computes this instance's share of a rate, and random returns
// random numbers in [0, 1).
func NewRateLimiter(share *FleetShare, random func() float64) *RateLimiter {
	return &RateLimiter{share: share, random: random, limits: make(map[uint32]*rateLimit), rejected: make(map[uint32]time.Time)}
}

// Observe records a response that named the rate, in requests per second. It reports whether the rate differs from the one
// that was known.
func (l *RateLimiter) Observe(endpoint uint32, perSecond float64, now time.Time) (changed bool) {
	if !IsValidRate(perSecond) {
		return false
	}
	return l.record(endpoint, OriginSelf, statement{perSecond: perSecond, at: now}, now)
}

// ObserveInvalid records a response with a statement that is ignored. It reports whether it is the endpoint's first one in
// limitRetention.
func (l *RateLimiter) ObserveInvalid(endpoint uint32, now time.Time) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.rejected[endpoint]; found {
		return false
	}
	l.rejected[endpoint] = now
	return true
}

// ObserveNone records a response without a rate to a request that was sent at the given time. It ends the limit if the
// request was sent after the latest statement, and reports whether it did. An earlier request says nothing about the present,
// because its response may have been delayed.
func (l *RateLimiter) ObserveNone(endpoint uint32, sentAt, now time.Time) (ended bool) {
	return l.record(endpoint, OriginSelf, statement{none: true, at: sentAt}, now)
}

// Merge records a statement that another instance has observed. It reports whether the known rate has changed.
func (l *RateLimiter) Merge(s Statement, origin Origin, now time.Time) (changed bool) {
	isValid := s.None || IsValidRate(s.PerSecond)
	if !isValid || s.Age < 0 {
		return false
	}
	return l.record(s.Endpoint, origin, statement{perSecond: s.PerSecond, none: s.None, at: now.Add(-s.Age)}, now)
}

func (l *RateLimiter) record(endpoint uint32, origin Origin, s statement, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		if s.none {
			return false
		}
		known = &rateLimit{}
		l.limits[endpoint] = known
	}
	before := known.newest(OriginFleet)
	if !s.at.After(known.latest[origin].at) || s.none && !s.at.After(before.at) {
		return false
	}
	known.latest[origin] = s
	after := known.newest(OriginFleet)
	if !after.none && (before.none || before.at.IsZero()) {
		known.slotsFrom = now.Add(-time.Duration(l.random() * float64(l.interval(after.perSecond, now))))
	}
	return before.none != after.none || before.perSecond != after.perSecond || before.at.IsZero()
}

// newest returns the latest statement of the origins up to the given one.
func (r *rateLimit) newest(upTo Origin) statement {
	var newest statement
	for _, s := range r.latest[:upTo+1] {
		if s.at.After(newest.at) {
			newest = s
		}
	}
	return newest
}

// interval returns the time between two requests of this instance at which the requests of all instances stay within the
// rate. It is the longest possible one while this instance has no share.
func (l *RateLimiter) interval(perSecond float64, now time.Time) time.Duration {
	share := l.share.Share(now)
	if share*unknownPeersFactor*maxExactFleet >= 1 {
		share *= unknownPeersFactor
	}
	seconds := 1 / (max(perSecond, minEndpointRate) * share)
	return max(time.Duration(min(seconds, maxInterval.Seconds())*float64(time.Second)), minInterval)
}

// isFull reports whether this instance must not send a request now.
func (l *RateLimiter) isFull(r *rateLimit, now time.Time) bool {
	s := r.newest(OriginFleet)
	if s.none {
		return false
	}
	if l.share.Share(now) == 0 {
		return true
	}
	interval, elapsed := l.interval(s.perSecond, now), now.Sub(r.slotsFrom)
	return elapsed < interval || elapsed%interval >= slotTime
}

// Full returns the endpoints to which this instance must not send a request now, because it has used its share of their
// rates. It returns nil if there are none.
func (l *RateLimiter) Full(now time.Time) map[uint32]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var full map[uint32]bool
	for endpoint, r := range l.limits {
		if !l.isFull(r, now) {
			continue
		}
		if full == nil {
			full = make(map[uint32]bool)
		}
		full[endpoint] = true
	}
	return full
}

// Take counts a request that is about to be sent to the endpoint if this instance's share allows it. Otherwise it returns
// false.
func (l *RateLimiter) Take(endpoint uint32, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limits[endpoint]
	switch {
	case r == nil:
	case l.isFull(r, now):
		return false
	default:
		r.slotsFrom = now
	}
	return true
}

// Rate returns the rate that the endpoint has named, in requests per second, and the time since its latest statement. It
// returns false if there is no limit.
func (l *RateLimiter) Rate(endpoint uint32, now time.Time) (perSecond float64, age time.Duration, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limits[endpoint]
	if r == nil {
		return 0, 0, false
	}
	s := r.newest(OriginFleet)
	return s.perSecond, now.Sub(s.at), !s.none
}

// Statements returns the latest statements of the origins up to the given one, without those older than
// statementLifetime.
func (l *RateLimiter) Statements(upTo Origin, now time.Time) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Statement
	for endpoint, r := range l.limits {
		if s := r.newest(upTo); now.Sub(s.at) <= statementLifetime {
			list = append(list, Statement{Endpoint: endpoint, PerSecond: s.perSecond, None: s.none, Age: now.Sub(s.at)})
		}
	}
	return list
}

// Count returns the number of endpoints with a limit.
func (l *RateLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := 0
	for _, r := range l.limits {
		if !r.newest(OriginFleet).none {
			limited++
		}
	}
	return limited
}

// Forget deletes limits that have ended more than statementLifetime ago, and limits without a statement in the last
// limitRetention.
func (l *RateLimiter) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, r := range l.limits {
		s := r.newest(OriginFleet)
		if age := now.Sub(s.at); age > limitRetention || s.none && age > statementLifetime {
			delete(l.limits, endpoint)
		}
	}
	maps.DeleteFunc(l.rejected, func(_ uint32, at time.Time) bool { return now.Sub(at) > limitRetention })
}
