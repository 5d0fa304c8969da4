package limit

import (
	"sync"
	"time"
)

// RateLimiter tracks the request rates that endpoints in need name in their responses. Such a rate bounds the requests of
// all instances together for as long as the endpoint's responses name it. It is safe for concurrent use.
type RateLimiter struct {
	mu     sync.Mutex
	limits map[uint32]*rateLimit
}

// rateLimit is the latest statement of one endpoint.
type rateLimit struct {
	// perSecond is the rate that the endpoint has named.
	perSecond float64
	// statedAt is the arrival of the latest response that named the rate.
	statedAt time.Time
}

// NewRateLimiter returns a limiter that knows no limit.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{limits: make(map[uint32]*rateLimit)}
}

// Observe records a response that named the rate, in requests per second. It reports whether the rate differs from the one
// that was known.
func (l *RateLimiter) Observe(endpoint uint32, perSecond float64, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		known = &rateLimit{}
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
