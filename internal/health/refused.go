package health

import "time"

// coldAfterRefusal is how long an endpoint may be in cold start after it last refused a connection. Nothing listened at its address
// then, so that what listens there later has just started, although its published entry may still be that of the earlier
// incarnation. Published cold starts take 3 to 4.5 s, and an endpoint that is down is tried again every few seconds.
const coldAfterRefusal = 10 * time.Second

// Refused records that the endpoint has refused a connection.
func (t *Tracker) Refused(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(endpoint, now).refusedAt = now
}

// MayBeCold reports whether the endpoint may be in cold start although its entry does not say so.
func (t *Tracker) MayBeCold(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	return r != nil && !r.refusedAt.IsZero() && now.Sub(r.refusedAt) < coldAfterRefusal
}
