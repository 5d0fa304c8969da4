package pace

import "time"

const (
	// The first window of a slow start is a startDivisor-th of the slots, at least minStartWindow.
	startDivisor   = 4
	minStartWindow = 2
	// minWindow is the least window. An endpoint with it still shows whether it answers on time.
	minWindow = 1
	// quietTime is the time without an answer after which a window doubles. Otherwise a window that is used up by long
	// responses, or by requests of instances that do not report, would block its endpoint.
	quietTime = time.Second
	// halvingInterval is the least time between two halvings: the requests of one round are late for one reason.
	halvingInterval = 150 * time.Millisecond
	// maxStartTime bounds a slow start. An endpoint that is not slow gets all its slots after it.
	maxStartTime = 10 * time.Second
)

// window bounds the in-flight requests of an endpoint during a slow start. The zero value is not active.
type window struct {
	size    float64
	slots   int
	reason  Reason
	began   time.Time
	changed time.Time
	halved  time.Time
}

func (w *window) active() bool { return w.size > 0 }

func startWindow(slots int) float64 { return float64(max(slots/startDivisor, minStartWindow)) }

// begin starts a slow start. It does not make an active window larger.
func (w *window) begin(size float64, slots int, reason Reason, now time.Time) {
	if w.active() {
		size = min(size, w.size)
	}
	*w = window{size: size, slots: slots, reason: reason, began: now, changed: now}
}

// onTime grows the window by one, so that it doubles with each round of answers on time.
func (w *window) onTime(now time.Time) {
	if w.active() {
		w.size, w.changed = w.size+1, now
	}
}

// late halves the window.
func (w *window) late(now time.Time) {
	if w.active() && now.Sub(w.halved) >= halvingInterval {
		w.size = max(w.size/2, minWindow)
		w.changed, w.halved = now, now
	}
}

// advance applies the time that has passed. It returns true if the slow start ends now.
func (w *window) advance(now time.Time) bool {
	if !w.active() {
		return false
	}
	for now.Sub(w.changed) >= quietTime && w.size < float64(w.slots) {
		w.size *= 2
		w.changed = w.changed.Add(quietTime)
	}
	if w.size < float64(w.slots) && now.Sub(w.began) < maxStartTime {
		return false
	}
	w.size = 0
	return true
}

// limit returns the number of requests that the endpoint may have; zero if it is not bounded.
func (w *window) limit() int { return int(w.size) }
