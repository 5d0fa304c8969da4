package credit

import (
	"math"
	"time"

	"github.com/acacialift/acacialift/internal/config"
)

const (
	// demandLifetime is the time for which a refused request is treated as demand. It exceeds the retry delays that are
	// returned with refusals for lack of capacity, so that the demand of a waiting team lasts from one retry to the next.
	demandLifetime = time.Second
	// idleTeamRetention is the time without requests after which a team's state is deleted.
	idleTeamRetention = time.Minute
)

// fairness orders teams under contention by start-time fair queueing. A team waits from the time at which its request was
// refused for lack of capacity, although it would fit an empty endpoint, until its next grant or until demandLifetime after
// the latest refusal. A team within its weighted share of the limit is never refused in favor of another team. Above its
// share, a team is served only if no waiting team has received less service per weight.
type fairness struct {
	teams map[string]*teamDemand
}

// teamDemand is the fair-queueing state of one team.
type teamDemand struct {
	// service is the sum of the granted fractions of the endpoint, divided by the team's weight.
	service float64
	// waitingSince is the time of the first refusal since the last grant, waitingUntil the end of the demand.
	waitingSince time.Time
	waitingUntil time.Time
	lastActive   time.Time
}

func (t *teamDemand) waiting(now time.Time) bool { return now.Before(t.waitingUntil) }

// team returns the team's state. The service of an idle team is raised to the smallest service of the waiting teams, so
// that a team cannot build up priority while it has no demand.
func (f *fairness) team(now time.Time, name string, idle bool) *teamDemand {
	t, known := f.teams[name]
	if !known {
		t = &teamDemand{}
		f.teams[name] = t
	}
	if idle && !t.waiting(now) {
		minService := math.Inf(1)
		for other, state := range f.teams {
			if other != name && state.waiting(now) {
				minService = math.Min(minService, state.service)
			}
		}
		if !math.IsInf(minService, 1) {
			t.service = math.Max(t.service, minService)
		}
	}
	t.lastActive = now
	return t
}

// refused records that the team waits for capacity.
func (f *fairness) refused(now time.Time, name string) {
	t := f.teams[name]
	if !t.waiting(now) {
		t.waitingSince = now
	}
	t.waitingUntil = now.Add(demandLifetime)
}

// granted adds to the team's service and ends its demand; cost is the granted fraction of the endpoint divided by the
// team's weight.
func (f *fairness) granted(name string, cost float64) {
	if t, known := f.teams[name]; known {
		t.service += cost
		t.waitingUntil = time.Time{}
	}
}

// precedes reports whether the team is waiting and has priority over the requesting team.
func (t *teamDemand) precedes(now time.Time, requester *teamDemand) bool {
	if !t.waiting(now) || t.service > requester.service {
		return false
	}
	if t.service < requester.service || !requester.waiting(now) {
		return true
	}
	return t.waitingSince.Before(requester.waitingSince)
}

// behind reports whether any waiting team has priority over the requesting team.
func (f *fairness) behind(now time.Time, name string, requester *teamDemand) bool {
	for other, t := range f.teams {
		if other != name && t.precedes(now, requester) {
			return true
		}
	}
	return false
}

func (f *fairness) prune(now time.Time) {
	for name, t := range f.teams {
		if now.Sub(t.lastActive) > idleTeamRetention {
			delete(f.teams, name)
		}
	}
}

// overShare reports whether a grant would raise the team above its share while a waiting team has priority over it. Shares
// are by weight among the requesting team, the waiting teams and those with streams.
func (a *Account) overShare(now time.Time, team string, tokens int64, use usage) bool {
	if !a.capacityFairness.behind(now, team, a.capacityFairness.teams[team]) {
		return false
	}
	totalWeight := a.limits.weight(team)
	for name, t := range a.capacityFairness.teams {
		if name != team && (t.waiting(now) || use.teams[name].Streams > 0) {
			totalWeight += a.limits.weight(name)
		}
	}
	share := a.limits.weight(team) / totalWeight
	limit := a.limit()
	afterGrant := config.Limit{Streams: use.teams[team].Streams + 1, Tokens: use.teams[team].Tokens + tokens}
	if float64(afterGrant.Streams) > share*float64(limit.Streams) {
		return true
	}
	return !a.limits.Plain && float64(afterGrant.Tokens) > share*float64(limit.Tokens)
}

// fairCost returns the fraction of the warm limit that a grant takes: the larger one of its fractions of streams and tokens.
func (a *Account) fairCost(tokens int64) float64 {
	cost := 1 / math.Max(float64(a.limits.Warm.Streams), 1)
	if a.limits.Plain || a.limits.Warm.Tokens <= 0 {
		return cost
	}
	return math.Max(cost, float64(tokens)/float64(a.limits.Warm.Tokens))
}
