package credit

import (
	"math"
	"time"

	"github.com/acacialift/acacialift/internal/config"
)

const (
	// demandLife is the time for which a refused ask counts as demand. It exceeds the retry hints of the refusals that
	// signal contention, so that a waiting team's demand lasts from one ask to the next.
	demandLife = time.Second
	// idleTeamMemory is the time after which a team without demand is forgotten.
	idleTeamMemory = time.Minute
)

// fairness orders teams under contention. The endpoint is contended for a team while another team's ask that would fit an
// empty endpoint was refused for lack of capacity less than demandLife ago and not granted since. A team within its
// weighted share of the limit is never refused for another's sake. Above its share, a team is served only if no waiting
// team has received less service per weight (start-time fair queueing).
type fairness struct {
	teams map[string]*teamDemand
}

// teamDemand is the fair-queueing state of one team.
type teamDemand struct {
	// service is the sum of granted fractions of the endpoint, divided by the team's weight.
	service float64
	// waitingSince is the first refusal since the last grant; waitingTill is the end of the demand.
	waitingSince time.Time
	waitingTill  time.Time
	active       time.Time
}

func (t *teamDemand) waiting(now time.Time) bool { return now.Before(t.waitingTill) }

// team returns the team's state. A team that was idle starts at the least service of the waiting teams, so that it
// cannot save up service while it has no demand.
func (f *fairness) team(now time.Time, name string, idle bool) *teamDemand {
	t, known := f.teams[name]
	if !known {
		t = &teamDemand{}
		f.teams[name] = t
	}
	if idle && !t.waiting(now) {
		least := math.Inf(1)
		for other, state := range f.teams {
			if other != name && state.waiting(now) {
				least = math.Min(least, state.service)
			}
		}
		if !math.IsInf(least, 1) {
			t.service = math.Max(t.service, least)
		}
	}
	t.active = now
	return t
}

// refused records demand that could not be met.
func (f *fairness) refused(now time.Time, name string) {
	t := f.teams[name]
	if !t.waiting(now) {
		t.waitingSince = now
	}
	t.waitingTill = now.Add(demandLife)
}

// granted records service; share is the granted fraction of the endpoint divided by the team's weight.
func (f *fairness) granted(name string, share float64) {
	if t, known := f.teams[name]; known {
		t.service += share
		t.waitingTill = time.Time{}
	}
}

// before tells whether a waiting team goes before the asking one.
func (t *teamDemand) before(now time.Time, asking *teamDemand) bool {
	if !t.waiting(now) || t.service > asking.service {
		return false
	}
	if t.service < asking.service || !asking.waiting(now) {
		return true
	}
	return t.waitingSince.Before(asking.waitingSince)
}

// behind tells whether a waiting team goes before the asking one.
func (f *fairness) behind(now time.Time, name string, asking *teamDemand) bool {
	for other, t := range f.teams {
		if other != name && t.before(now, asking) {
			return true
		}
	}
	return false
}

func (f *fairness) prune(now time.Time) {
	for name, t := range f.teams {
		if now.Sub(t.active) > idleTeamMemory {
			delete(f.teams, name)
		}
	}
}

// overShare tells whether a grant would take the team beyond its share while another team has a better claim.
func (a *Account) overShare(now time.Time, team string, tokens int64, use usage) bool {
	if !a.fair.behind(now, team, a.fair.teams[team]) {
		return false
	}
	weights := a.limits.weight(team)
	for name, t := range a.fair.teams {
		if name != team && (t.waiting(now) || use.teams[name].Streams > 0) {
			weights += a.limits.weight(name)
		}
	}
	share := a.limits.weight(team) / weights
	limit := a.limit()
	after := config.Limit{Streams: use.teams[team].Streams + 1, Tokens: use.teams[team].Tokens + tokens}
	if float64(after.Streams) > share*float64(limit.Streams) {
		return true
	}
	return !a.limits.Plain && float64(after.Tokens) > share*float64(limit.Tokens)
}

// fairCost returns the fraction of the endpoint that a grant takes, in its scarcer dimension.
func (a *Account) fairCost(tokens int64) float64 {
	cost := 1 / math.Max(float64(a.limits.Warm.Streams), 1)
	if a.limits.Plain || a.limits.Warm.Tokens <= 0 {
		return cost
	}
	return math.Max(cost, float64(tokens)/float64(a.limits.Warm.Tokens))
}
