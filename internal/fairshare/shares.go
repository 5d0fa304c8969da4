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
	// maxTeams is the number of teams above which those that can be forgotten are looked for also without shortage.
	maxTeams = 1000
)

// Shares holds the engine time that teams have used in the last WindowTime, and the engine time of their waiting requests.
type Shares struct {
	teams map[uint32]*Team
	total Window
	// level is the fair share of a team whose demand exceeds it, as of updatedAt.
	level     time.Duration
	updatedAt time.Time
	demands   []time.Duration
}

// Team is the engine time of one team.
type Team struct {
	shares  *Shares
	used    Window
	waiting time.Duration
	// usedAtUpdate is the sum of used when the shares were updated.
	usedAtUpdate time.Duration
}

// NewShares returns shares without usage.
func NewShares() *Shares { return &Shares{teams: make(map[uint32]*Team)} }

// Team returns a team. It is forgotten once it has neither usage nor waiting requests.
func (s *Shares) Team(id uint32) *Team {
	t := s.teams[id]
	if t == nil {
		t = &Team{shares: s}
		s.teams[id] = t
	}
	return t
}

// AddWaiting counts the engine time of a request that waits, or, if negative, of one that has stopped waiting.
func (t *Team) AddWaiting(cost time.Duration) { t.waiting = max(t.waiting+cost, 0) }

// AddUsed counts the engine time of a placed request.
func (t *Team) AddUsed(cost time.Duration, now time.Time) {
	t.used.Add(cost, now)
	t.shares.total.Add(cost, now)
	if len(t.shares.teams) > maxTeams {
		t.shares.Update(now)
	}
}

// Excess returns by how much the used and waiting engine time of a team exceeds its fair share as of the last update; zero if it
// does not. The shares divide the engine time used by all teams. The excess is only meaningful under shortage, when teams wait.
func (t *Team) Excess() time.Duration { return max(t.usedAtUpdate+t.waiting-t.shares.level, 0) }

// Excess returns the excess of a team now; zero for an unknown team.
func (s *Shares) Excess(id uint32, now time.Time) time.Duration {
	s.Update(now)
	if t := s.teams[id]; t != nil {
		return t.Excess()
	}
	return 0
}

// Update computes the fair share, unless it was computed in the last levelTime.
func (s *Shares) Update(now time.Time) {
	if s.updatedAt.IsZero() || now.Sub(s.updatedAt) >= levelTime {
		s.updateLevel(now)
	}
}

// Teams returns the number of teams with usage or waiting requests.
func (s *Shares) Teams() int { return len(s.teams) }

func (s *Shares) updateLevel(now time.Time) {
	s.demands = s.demands[:0]
	for id, t := range s.teams {
		t.usedAtUpdate = t.used.Sum(now)
		if t.waiting == 0 && t.usedAtUpdate < leastUsage {
			delete(s.teams, id)
			continue
		}
		s.demands = append(s.demands, t.usedAtUpdate+t.waiting)
	}
	s.level, s.updatedAt = Level(s.total.Sum(now), s.demands), now
}

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
