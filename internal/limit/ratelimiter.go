package limit

import (
	"sync"
	"time"
)

const (
	// slotTime is how long an instance may use a slot, a turn to send one request to a limited endpoint. Without this bound,
	// hundreds of instances that had no request for the endpoint for a while could use their turns at once.
	slotTime = time.Second
	// minEndpointRate is the least rate that is assumed, in requests per second of the whole fleet. Without any request, no
	// instance would learn that an endpoint no longer names a rate of zero.
	minEndpointRate = 0.1
	// limitRetention is how long a limit holds without a newer statement. An endpoint that is gone makes none.
	limitRetention = 10 * time.Minute
)

// RateLimiter bounds this instance's requests to endpoints that name a request rate in their responses. Such a rate bounds
// the requests of all instances together for as long as the endpoint's responses name it. Each instance uses its share: one
// request per interval. It is safe for concurrent use.
type RateLimiter struct {
	mu     sync.Mutex
	share  *FleetShare
	random func() float64
	limits map[uint32]*rateLimit
}

// rateLimit is the limit of one endpoint.
type rateLimit struct {
	// perSecond is the rate that the endpoint has named.
	perSecond float64
	// statedAt is the arrival of the latest response that named the rate.
	statedAt time.Time
	// slotsFrom is the start of this instance's intervals: its last request, or a random time before the first statement, so
	// that instances which learn of the limit together do not send at the same time.
	slotsFrom time.Time
}

// NewRateLimiter returns a limiter that knows no limit. share computes this instance's share of a rate, and random returns
// random numbers in [0, 1).
func NewRateLimiter(share *FleetShare, random func() float64) *RateLimiter {
	return &RateLimiter{share: share, random: random, limits: make(map[uint32]*rateLimit)}
}

// Observe records a response that named the rate, in requests per second. It reports whether the rate differs from the one
// that was known.
func (l *RateLimiter) Observe(endpoint uint32, perSecond float64, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		known = &rateLimit{slotsFrom: now.Add(-time.Duration(l.random() * float64(l.interval(perSecond, now))))}
		l.limits[endpoint] = known
		changed = true
	}
	changed = changed || known.perSecond != perSecond
	known.perSecond, known.statedAt = perSecond, now
	return changed
}

// ObserveNone records a response without a rate to a request that was sent at the given time. It ends the limit if the
// request was sent after the latest statement, and reports whether it did. An earlier request says nothing about the present,
// because its response may have been delayed.
func (l *RateLimiter) ObserveNone(endpoint uint32, sentAt time.Time) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil || !sentAt.After(known.statedAt) {
		return false
	}
	delete(l.limits, endpoint)
	return true
}

// interval returns the time between two requests of this instance at which the requests of all instances stay within the
// rate. It is the longest possible one while this instance has no share.
func (l *RateLimiter) interval(perSecond float64, now time.Time) time.Duration {
	seconds := 1 / (max(perSecond, minEndpointRate) * l.share.Share(now))
	return time.Duration(min(seconds, limitRetention.Seconds()) * float64(time.Second))
}

// isFull reports whether this instance must not send a request now.
func (l *RateLimiter) isFull(r *rateLimit, now time.Time) bool {
	if l.share.Share(now) == 0 {
		return true
	}
	interval, elapsed := l.interval(r.perSecond, now), now.Sub(r.slotsFrom)
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
	known := l.limits[endpoint]
	if known == nil {
		return 0, 0, false
	}
	return known.perSecond, now.Sub(known.statedAt), true
}

// Count returns the number of endpoints with a limit.
func (l *RateLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}

// Forget deletes limits without a statement in the last limitRetention.
func (l *RateLimiter) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, known := range l.limits {
		if now.Sub(known.statedAt) > limitRetention {
			delete(l.limits, endpoint)
		}
	}
}
