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
	return newElectorate(region, instances).voterSet(resource)
}

// electorate holds the distinct instances of a region by failure domain. It is prepared once for all resources, because
// an instance list changes the voter sets of hundreds of resources at a time.
type electorate struct {
	domains []string
	names   [][]string
}

// newElectorate takes a name that is listed twice only once.
func newElectorate(region string, instances []config.Instance) *electorate {
	e := &electorate{}
	seen := make(map[string]bool, len(instances))
	position := make(map[string]int)
	for i := range instances {
		in := &instances[i]
		if in.Region != region || seen[in.Name] {
			continue
		}
		seen[in.Name] = true
		at, known := position[in.Domain]
		if !known {
			at = len(e.domains)
			position[in.Domain] = at
			e.domains = append(e.domains, in.Domain)
			e.names = append(e.names, nil)
		}
		e.names[at] = append(e.names[at], in.Name)
	}
	return e
}

// electorates prepares the electorates of all regions.
type electorates struct {
	instances []config.Instance
	byRegion  map[string]*electorate
}

func newElectorates(instances []config.Instance) *electorates {
	return &electorates{instances: instances, byRegion: make(map[string]*electorate)}
}

func (e *electorates) voterSet(resource, region string) []string {
	if e.byRegion[region] == nil {
		e.byRegion[region] = newElectorate(region, e.instances)
	}
	return e.byRegion[region].voterSet(resource)
}

func (e *electorate) voterSet(resource string) []string {
	prefix := []byte(scorePrefix(resource, "instance"))
	var candidates []candidate
	for i, domain := range e.domains {
		domainScore := score(resource, "domain", domain)
		for rank, c := range bestOf(prefix, e.names[i]) {
			c.domain, c.domainScore, c.pair = domain, domainScore, rank/votersPerDomain
			candidates = append(candidates, c)
		}
	}
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

// bestOf returns the MaxVoters best instances of a domain, best first; no voter set takes more from one domain.
func bestOf(prefix []byte, names []string) []candidate {
	best := make([]candidate, 0, MaxVoters+1)
	key := slices.Clone(prefix)
	for _, name := range names {
		key = append(key[:len(prefix)], name...)
		c := candidate{name: name, score: xxhash.Sum64(key)}
		if len(best) == MaxVoters && !better(&c, &best[MaxVoters-1]) {
			continue
		}
		at := len(best)
		for at > 0 && better(&c, &best[at-1]) {
			at--
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), MaxVoters)]
	}
	return best
}

// better orders the instances of one domain by their rank.
func better(a, b *candidate) bool {
	return a.score > b.score || (a.score == b.score && a.name < b.name)
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
	return xxhash.Sum64String(scorePrefix(resource, purpose) + name)
}

func scorePrefix(resource, purpose string) string { return resource + "\x00" + purpose + "\x00" }
