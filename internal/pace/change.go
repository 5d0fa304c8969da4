package pace

import "time"

// Reason states why a slow start began.
type Reason string

// The reasons of slow starts.
const (
	// Started is an endpoint that was unknown before.
	Started Reason = "started"
	// LeftColdStart is the end of a cold start.
	LeftColdStart Reason = "left_cold_start"
	// Recovered is an endpoint that is no longer suspect.
	Recovered Reason = "recovered"
	// Probe is the probe of a slow endpoint, NoLongerSlow a slow endpoint whose latest answers were on time.
	Probe        Reason = "probe"
	NoLongerSlow Reason = "no_longer_slow"
)

// Event names a change of an endpoint's pace.
type Event string

// The changes of an endpoint's pace.
const (
	BecameSlow   Event = "slow"
	BecameNormal Event = "normal"
	StartBegan   Event = "slow_start_began"
	StartEnded   Event = "slow_start_ended"
)

// maxChanges bounds the changes that wait for TakeChanges.
const maxChanges = 256

// Change is a change of an endpoint's pace.
type Change struct {
	Endpoint uint32
	At       time.Time
	Event    Event
	// Factor is the slowdown, and Evidence the number of answers that show it, for BecameSlow.
	Factor   float64
	Evidence int
	// Reason and Window describe a slow start.
	Reason Reason
	Window int
}

func (t *Tracker) change(c Change) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}

// TakeChanges returns the changes since the last call, at most maxChanges.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// Counts returns the number of slow endpoints and of endpoints in a slow start.
func (t *Tracker) Counts() (slow, starting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.factor > 0 {
			slow++
		}
		if r.window.active() {
			starting++
		}
	}
	return slow, starting
}
