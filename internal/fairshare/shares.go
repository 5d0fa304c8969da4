// Package fairshare computes max-min fair shares of teams in engine time. Its functions do no I/O and read no clock.
package fairshare

import (
	"slices"
	"time"
)

const (
	// levelTime is how long a fair share is used before it is computed again. It is much shorter than WindowTime.
	levelTime = 50 * time.Millisecond
	// leastUsage is the usage below which a team without waiting requests is forgotten.
	leastUsage = time.Millisecond
)

// Shares holds the engine time that teams have used in the last WindowTime, and the engine time of their waiting requests.
type Shares struct {
	teams map[uint32]*team
	total Window
	// level is the fair share of a team whose demand exceeds it, as of levelAt.
	level   time.Duration
	levelAt time.Time
	demands []time.Duration
}

type team struct {
	used    Window
	waiting time.Duration
}

// NewShares returns shares without usage.
func NewShares() *Shares { return &Shares{teams: make(map[uint32]*team)} }

// AddWaiting counts the engine time of a request that waits, or, if negative, of one that has stopped waiting.
func (s *Shares) AddWaiting(team uint32, cost time.Duration) {
	t := s.team(team)
	t.waiting = max(t.waiting+cost, 0)
}

// AddUsed counts the engine time of a placed request.
func (s *Shares) AddUsed(team uint32, cost time.Duration, now time.Time) {
	s.team(team).used.Add(cost, now)
	s.total.Add(cost, now)
}

// Excess returns by how much the used and waiting engine time of a team exceeds its fair share; zero if it does not. The
// shares divide the engine time used by all teams. It is only meaningful under shortage, when teams wait.
func (s *Shares) Excess(id uint32, now time.Time) time.Duration {
	t := s.teams[id]
	if t == nil {
		return 0
	}
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= levelTime {
		s.updateLevel(now)
	}
	return max(t.demand(now)-s.level, 0)
}

// Teams returns the number of teams with usage or waiting requests.
func (s *Shares) Teams() int { return len(s.teams) }

func (s *Shares) updateLevel(now time.Time) {
	s.demands = s.demands[:0]
	for id, t := range s.teams {
		if t.waiting == 0 && t.used.Sum(now) < leastUsage {
			delete(s.teams, id)
			continue
		}
		s.demands = append(s.demands, t.demand(now))
	}
	s.level, s.levelAt = Level(s.total.Sum(now), s.demands), now
}

func (s *Shares) team(id uint32) *team {
	t := s.teams[id]
	if t == nil {
		t = &team{}
		s.teams[id] = t
	}
	return t
}

func (t *team) demand(now time.Time) time.Duration { return t.used.Sum(now) + t.waiting }

// Level returns the max-min fair share: the amount such that the capacity is used up if each demand gets at most this
// amount. It returns the largest demand if the capacity suffices for all. It sorts the demands.
func Level(capacity time.Duration, demands []time.Duration) time.Duration {
	slices.Sort(demands)
	for i, demand := range demands {
		share := capacity / time.Duration(len(demands)-i)
		if demand > share {
			return share
		}
		capacity -= demand
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}
