package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// assembly collects the endpoints of one choice.
type assembly struct {
	engine *fleet.Engine
	choice Choice
	taken  map[*fleet.Endpoint]bool
}

// newAssembly returns a choice of its first endpoint alone.
func newAssembly(e *fleet.Engine, first *Candidate, part, predicted time.Duration) *assembly {
	return &assembly{
		engine: e,
		choice: Choice{Primary: first.Endpoint, Part: part, Predicted: predicted},
		taken:  map[*fleet.Endpoint]bool{first.Endpoint: true},
	}
}

// add makes an endpoint a helper.
func (a *assembly) add(helper *Candidate) {
	a.taken[helper.Endpoint] = true
	a.choice.Helpers = append(a.choice.Helpers, helper.Endpoint)
	a.choice.Predicted = max(a.choice.Predicted, sharedFirstEvent(a.engine, helper, a.choice.Part))
}

// fill adds helpers until the prompt has the given number of readers, and reports whether there were enough of them.
func (a *assembly) fill(readers int, next func() *Candidate) bool {
	for len(a.choice.Helpers) < readers-1 {
		helper := next()
		if helper == nil {
			return false
		}
		a.add(helper)
	}
	return true
}

// earliestReader returns the untaken candidate that can read the part first without breaking a pause, or the part of the
// time that others have left.
func earliestReader(e *fleet.Engine, candidates []Candidate, taken map[*fleet.Endpoint]bool, part time.Duration, share float64) *Candidate {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if taken[c.Endpoint] || !fitsShared(e, c, part, share) {
			continue
		}
		if best == nil || firstEvent(e, c, part) < firstEvent(e, best, part) {
			best = c
		}
	}
	return best
}
