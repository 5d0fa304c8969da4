package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/config"
)

// candidate is an instance that may become a voter, with the sort keys of the choice.
type candidate struct {
	name        string
	domainScore uint64
	domain      string
	score       uint64
	// pair is the candidate's rank in its domain divided by votersPerDomain.
	pair int
}

// VoterSet returns the voters of a resource in name order. Each failure domain of the region gives its two best
// instances by rendezvous hash, in rendezvous order of the domains, until six are found; if the domains have fewer,
// each gives two more. The count is then rounded down to an even one (unless it is 1), because the majorities of two
// sets of odd size that differ by one replaced member need not intersect.
//
// Adding an instance, removing one, or replacing one by another of the same domain changes at most one member of a
// set of given size. Leaving instances vote while they are listed, so that announcing a stop changes no set.
func VoterSet(resource, region string, instances []config.Instance) []string {
	candidates := candidatesOf(resource, region, instances)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.pair, b.pair),
			cmp.Compare(b.domainScore, a.domainScore),
			cmp.Compare(a.domain, b.domain),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.name, b.name),
		)
	})
	names := make([]string, 0, MaxVoters)
	for _, c := range candidates[:voterCount(len(candidates))] {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return names
}

// candidatesOf returns the region's instances with their pair numbers. A name listed twice counts once.
func candidatesOf(resource, region string, instances []config.Instance) []candidate {
	candidates := make([]candidate, 0, len(instances))
	seen := make(map[string]bool, len(instances))
	for i := range instances {
		in := &instances[i]
		if in.Region != region || seen[in.Name] {
			continue
		}
		seen[in.Name] = true
		candidates = append(candidates, candidate{
			name:        in.Name,
			domainScore: score(resource, "domain", in.Domain),
			domain:      in.Domain,
			score:       score(resource, "instance", in.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	taken := make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		c.pair = taken[c.domain] / votersPerDomain
		taken[c.domain]++
	}
	return candidates
}

func voterCount(candidates int) int {
	count := min(candidates, MaxVoters)
	if count > 1 {
		count -= count % 2
	}
	return count
}

// Quorum returns the number of promises that a holder needs from n voters: floor(n/2)+1.
func Quorum(n int) int { return n/2 + 1 }

// HashVoterSet returns the hash of a voter set for peer.ClaimItem.
func HashVoterSet(voters []string) uint64 {
	digest := xxhash.New()
	for _, name := range voters {
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// QuorumsIntersect tells whether each quorum of one voter set shares a voter with each quorum of the other.
func QuorumsIntersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	union := len(a)
	for _, name := range b {
		if !slices.Contains(a, name) {
			union++
		}
	}
	return Quorum(len(a))+Quorum(len(b)) > union
}

// Preferred returns the name of the instance that should hold a resource: the one with the highest rendezvous hash
// among the live ones of the resource's region that are not leaving, inside the resource's failure domain if one is
// live there. It returns "" if there is none.
func Preferred(resource string, info Info, live []config.Instance) string {
	best, bestScore, bestInside := "", uint64(0), false
	for i := range live {
		in := &live[i]
		if in.Region != info.Region || in.Leaving {
			continue
		}
		inside := info.Domain != "" && in.Domain == info.Domain
		if bestInside && !inside {
			continue
		}
		s := score(resource, "holder", in.Name)
		better := s > bestScore || (s == bestScore && in.Name < best)
		if best == "" || (inside && !bestInside) || better {
			best, bestScore, bestInside = in.Name, s, inside
		}
	}
	return best
}

func score(resource, purpose, name string) uint64 {
	return xxhash.Sum64String(resource + "\x00" + purpose + "\x00" + name)
}
