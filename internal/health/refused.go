package health

import "time"

const (
	// coldAfterRefusal is how long an endpoint may be in cold start after it last refused a connection, or was silent, while no new
	// entry can come. Nothing listened at its address then, so that what listens there later has just started, although its published
	// entry is still that of the earlier incarnation. Published cold starts take 3 to 4.5 s, and an endpoint that is down is tried again
	// every few seconds.
	coldAfterRefusal = 10 * time.Second
	// entryRenewalTime is the same while what is published is known to be current: a server writes its new entry, which has another
	// key, within about two seconds. An instance of a large fleet has hardly any share of the requests to a cold endpoint, and would
	// leave an endpoint unused that has refused a connection for another reason.
	entryRenewalTime = 3 * time.Second
)

// Refused records that the endpoint has refused a connection.
func (t *Tracker) Refused(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(endpoint, now).refusedAt = now
}

// Silent records that the endpoint has accepted no connection in time, or has not answered a request.
func (t *Tracker) Silent(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(endpoint, now).silentAt = now
}

// MayBeCold reports whether the endpoint may be in cold start although its entry does not say so. isCurrent is true while what is
// published is known to be current. An endpoint that was silent may have been dark, or a packet was lost: that counts only while no entry
// can tell.
func (t *Tracker) MayBeCold(endpoint uint32, isCurrent bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		return false
	}
	if isCurrent {
		return now.Sub(r.refusedAt) < entryRenewalTime
	}
	return now.Sub(r.refusedAt) < coldAfterRefusal || now.Sub(r.silentAt) < coldAfterRefusal
}
