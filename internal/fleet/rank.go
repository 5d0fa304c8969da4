package fleet

import (
	"cmp"
	"slices"
)

// MaxRank is the lowest rank. Lower ones count as MaxRank, because engines distinguish ten ranks.
const MaxRank = 9

// urgency is what orders the requests of a service. The team's priority goes first; the profile's orders requests of equally
// urgent teams.
type urgency struct {
	team, profile int
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.profile, b.profile))
}

// urgencyOf returns the urgency of a profile's requests from a team. A team without a priority counts as its profile.
func urgencyOf(profile *Profile, team Team) urgency {
	if !team.HasPriority {
		return urgency{team: profile.Priority, profile: profile.Priority}
	}
	return urgency{team: team.Priority, profile: profile.Priority}
}

// serviceRanks holds the distinct urgencies of a service in their order. ranked is true if the profiles on the service have
// different priorities, and tightGaps if its engines have no time to spare for prefills at full load.
type serviceRanks struct {
	order             []urgency
	ranked, tightGaps bool
}

// ranksOf returns the ranks of the services of a catalog, by name. Plain services have ranks but never count as ranked: the modes
// by priority concern model services only.
func ranksOf(c *Catalog) map[string]serviceRanks {
	teams := make(map[Team]bool)
	for _, team := range c.Teams {
		teams[Team{Priority: team.Priority, HasPriority: team.HasPriority}] = true
	}
	if len(teams) == 0 {
		teams[Team{}] = true
	}
	all := make(map[string]serviceRanks)
	for name, service := range c.Services {
		ranks := ranksOn(c.profilesOn(name), teams)
		ranks.ranked = ranks.ranked && service.Engine != nil
		ranks.tightGaps = hasTightGaps(service.Engine, c.profilesOn(name))
		all[name] = ranks
	}
	return all
}

func ranksOn(profiles []*Profile, teams map[Team]bool) serviceRanks {
	var ranks serviceRanks
	for _, p := range profiles {
		ranks.ranked = ranks.ranked || p.Priority != profiles[0].Priority
		if p.Public {
			// The requests of a public profile have no team.
			ranks.order = append(ranks.order, urgencyOf(p, Team{}))
			continue
		}
		for team := range teams {
			ranks.order = append(ranks.order, urgencyOf(p, team))
		}
	}
	slices.SortFunc(ranks.order, compareUrgency)
	ranks.order = slices.Compact(ranks.order)
	return ranks
}

// profilesOn returns the profiles that send a part of their traffic to a service.
func (c *Catalog) profilesOn(service string) []*Profile {
	var profiles []*Profile
	for i := range c.Profiles {
		p := &c.Profiles[i]
		if slices.ContainsFunc(p.TrafficSplit, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 }) {
			profiles = append(profiles, p)
		}
	}
	return profiles
}

// IsRanked reports whether the profiles on a model service have different priorities.
func (c *Catalog) IsRanked(service string) bool { return c.ranks[service].ranked }

// HasTightGaps reports whether a pass of an engine with all slots and all memory in use takes more than tightGapFraction of the
// shortest max gap on the service.
func (c *Catalog) HasTightGaps(service string) bool { return c.ranks[service].tightGaps }

// tightGapFraction is the fraction of a max gap above which a full pass leaves no room for a prefill of the same length beside it.
const tightGapFraction = 0.5

func hasTightGaps(e *Engine, profiles []*Profile) bool {
	if e == nil {
		return false
	}
	fullPass := e.PassTime(e.Slots, e.MemoryTokens)
	return slices.ContainsFunc(profiles, func(p *Profile) bool {
		return p.MaxGap > 0 && float64(fullPass) > tightGapFraction*float64(p.MaxGap)
	})
}

// Rank returns the rank of a profile's requests from a team among all requests of a service: 0 is the highest, MaxRank the lowest.
func (c *Catalog) Rank(service string, profile *Profile, team Team) int {
	rank, _ := slices.BinarySearchFunc(c.ranks[service].order, urgencyOf(profile, team), compareUrgency)
	return min(rank, MaxRank)
}

// RankCount returns the number of different ranks of a service's requests; one if all are equally urgent.
func (c *Catalog) RankCount(service string) int {
	return min(max(c.UrgencyCount(service), 1), MaxRank+1)
}

// UrgencyCount returns the number of different urgencies of a service's requests. Those beyond the ranks count as MaxRank.
func (c *Catalog) UrgencyCount(service string) int { return len(c.ranks[service].order) }
