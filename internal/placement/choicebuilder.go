package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/pace"
)

// choiceBuilder collects the endpoints of one choice.
type choiceBuilder struct {
	engine *fleet.Engine
	choice Choice
	chosen map[*fleet.Endpoint]bool
}

// newChoiceBuilder returns a builder whose choice has a primary endpoint and no helpers.
func newChoiceBuilder(e *fleet.Engine, primary *Candidate, part, predicted time.Duration) *choiceBuilder {
	return &choiceBuilder{
		engine: e,
		choice: Choice{Primary: primary.Endpoint, Part: part, Predicted: predicted, shares: []pace.Share{primary.share(predicted)}},
		chosen: map[*fleet.Endpoint]bool{primary.Endpoint: true},
	}
}

// addHelper adds a helper, and raises the predicted time to the first event if the helper finishes its part last.
func (b *choiceBuilder) addHelper(helper *Candidate) {
	b.chosen[helper.Endpoint] = true
	b.choice.Helpers = append(b.choice.Helpers, helper.Endpoint)
	predicted := splitFirstEvent(b.engine, helper, b.choice.Part)
	b.choice.shares = append(b.choice.shares, helper.share(predicted))
	b.choice.Predicted = max(b.choice.Predicted, predicted)
}

// addHelpers adds helpers until the given number of endpoints, including the primary, prefill the prompt. It returns false
// if next returns nil.
func (b *choiceBuilder) addHelpers(endpoints int, next func() *Candidate) bool {
	for len(b.choice.Helpers) < endpoints-1 {
		helper := next()
		if helper == nil {
			return false
		}
		b.addHelper(helper)
	}
	return true
}

// earliestHelper returns the unchosen candidate with the earliest predicted first event. It skips candidates that fitsSplit
// excludes for the part and the fraction, and returns nil if none remains. A doubtful candidate helps only if no other one can.
func earliestHelper(
	e *fleet.Engine, candidates []Candidate, chosen map[*fleet.Endpoint]bool, part time.Duration, fraction float64,
) *Candidate {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if chosen[c.Endpoint] || !c.mayHelp() || !fitsSplit(e, c, part, fraction) {
			continue
		}
		if best == nil || best.isDoubtful() && !c.isDoubtful() ||
			best.isDoubtful() == c.isDoubtful() && firstEvent(e, c, part) < firstEvent(e, best, part) {
			best = c
		}
	}
	return best
}
