package fairshare

import (
	"math"
	"time"
)

// Window sums engine time. The weight of an amount decreases exponentially with its age; the zero value is empty.
type Window struct {
	sum float64 // ns
	at  time.Time
}

// WindowTime is the time constant of a Window.
const WindowTime = 10 * time.Second

// Add adds an amount.
func (w *Window) Add(amount time.Duration, now time.Time) {
	w.sum = float64(w.Sum(now)) + float64(amount)
	w.at = now
}

// Sum returns the weighted sum.
func (w *Window) Sum(now time.Time) time.Duration {
	if w.sum == 0 {
		return 0
	}
	age := max(now.Sub(w.at), 0)
	return time.Duration(w.sum * math.Exp(-float64(age)/float64(WindowTime)))
}
