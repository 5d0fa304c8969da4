package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/pace"
)

// slowed returns a predicted time of the endpoint with its slowdown.
func (c *Candidate) slowed(predicted time.Duration) time.Duration {
	if c.Slowdown <= 1 {
		return predicted
	}
	return time.Duration(c.Slowdown * float64(predicted))
}

// isSlow reports whether the endpoint is slower than predicted.
func (c *Candidate) isSlow() bool { return c.Slowdown > 1 }

// isWindowUsed reports whether the window of an endpoint in a slow start is used up.
func (c *Candidate) isWindowUsed() bool { return c.Window > 0 && c.Streams >= c.Window }

// mayHelp reports whether the endpoint may prefill a part of a prompt. In a slow start it prefills one part at a time.
func (c *Candidate) mayHelp() bool {
	return c.Window == 0 || !c.isWindowUsed() && c.PrefillBacklog == 0
}

// anySlow reports whether one of the candidates is slow.
func anySlow(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].isSlow() {
			return true
		}
	}
	return false
}

// SetPace sets the slowdown and the window of the endpoint.
func (c *Candidate) SetPace(p pace.Pace) { c.Slowdown, c.Window = p.Slowdown, p.Window }
