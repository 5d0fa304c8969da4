package placement

import (
	"slices"
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

// isDoubtful reports whether the endpoint is slow, or in a slow start and may turn out to be.
func (c *Candidate) isDoubtful() bool { return c.isSlow() || c.Window > 0 }

// isWindowUsed reports whether the window of an endpoint in a slow start is used up.
func (c *Candidate) isWindowUsed() bool { return c.Window > 0 && c.Streams >= c.Window }

// mayHelp reports whether the endpoint may prefill a part of a prompt. In a slow start it prefills one part at a time.
func (c *Candidate) mayHelp() bool {
	return c.Window == 0 || !c.isWindowUsed() && c.PrefillBacklog == 0
}

// preferredOrSlow returns the candidates that are neither cold nor suspect; nil if none of them is slow.
func preferredOrSlow(candidates []Candidate) []Candidate {
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.isSlow() }) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Cold || c.Suspect })
}

// anyDoubtful reports whether one of the candidates is doubtful.
func anyDoubtful(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].isDoubtful() {
			return true
		}
	}
	return false
}

// SetPace sets what is known of the pace of the endpoint.
func (c *Candidate) SetPace(p pace.Pace) {
	c.Slowdown, c.Window, c.Probe = p.Slowdown, p.Window, p.Probe
}

// share returns the share of the endpoint in a request.
func (c *Candidate) share(predicted time.Duration) pace.Share {
	return pace.Share{Endpoint: c.Endpoint.Key(), Predicted: predicted, Slowdown: c.Slowdown}
}

// withProbes returns the candidates for a short prompt, for which an endpoint that is probed counts as fast as predicted.
func withProbes(candidates []Candidate) []Candidate {
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Probe }) {
		return candidates
	}
	probed := slices.Clone(candidates)
	for i := range probed {
		if probed[i].Probe {
			probed[i].Slowdown = 1
		}
	}
	return probed
}

// Shares returns the share of each endpoint, the primary first.
func (c Choice) Shares() []pace.Share { return c.shares }
