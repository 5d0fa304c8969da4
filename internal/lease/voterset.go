package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/config"
)

// candidate is an instance that may become a voter, with the keys by which candidates are sorted.
type candidate struct {
	name        string
	domainScore uint64
	domain      string
	score       uint64
	// round is the candidate's rank in its domain divided by votersPerDomain; candidates of lower rounds come first.
	round int
}

// VoterSet returns the voters of a resource in name order. In rendezvous order of the region's failure domains, it takes
// the two instances of each domain that have the highest rendezvous hashes, until there are six voters. If all domains
// together have fewer, it takes the next two instances of each domain, and so on. The number of voters is then rounded
// down to an even one (unless it is 1), because the majorities of two sets of odd size that differ by one replaced member
// may not intersect.
//
// Adding an instance, removing one, or replacing one by another of the same domain changes at most one member of a
// set of a given size. Leaving instances vote as long as they are listed, so that the announcement of a shutdown changes no
// voter set.
func VoterSet(resource, region string, instances []config.Instance) []string {
	return newRegionInstances(region, instances).voterSet(resource)
}

// regionInstances holds the distinct instances of a region, grouped by failure domain. It is built once for all resources,
// because a new instance list changes the voter sets of hundreds of resources at the same time.
type regionInstances struct {
	domains []string
	names   [][]string
}

// newRegionInstances returns the instances of the region. Of instances with the same name, it includes only the first.
func newRegionInstances(region string, instances []config.Instance) *regionInstances {
	r := &regionInstances{}
	seen := make(map[string]bool, len(instances))
	position := make(map[string]int)
	for i := range instances {
		in := &instances[i]
		if in.Region != region || seen[in.Name] {
			continue
		}
		seen[in.Name] = true
		index, known := position[in.Domain]
		if !known {
			index = len(r.domains)
			position[in.Domain] = index
			r.domains = append(r.domains, in.Domain)
			r.names = append(r.names, nil)
		}
		r.names[index] = append(r.names[index], in.Name)
	}
	return r
}

// instancesByRegion holds an instance list and groups the instances of a region when they are first needed.
type instancesByRegion struct {
	instances []config.Instance
	byRegion  map[string]*regionInstances
}

func newInstancesByRegion(instances []config.Instance) *instancesByRegion {
	return &instancesByRegion{instances: instances, byRegion: make(map[string]*regionInstances)}
}

func (b *instancesByRegion) voterSet(resource, region string) []string {
	if b.byRegion[region] == nil {
		b.byRegion[region] = newRegionInstances(region, b.instances)
	}
	return b.byRegion[region].voterSet(resource)
}

func (r *regionInstances) voterSet(resource string) []string {
	prefix := []byte(scorePrefix(resource, "instance"))
	var candidates []candidate
	for i, domain := range r.domains {
		domainScore := score(resource, "domain", domain)
		for rank, c := range bestInstances(prefix, r.names[i]) {
			c.domain, c.domainScore, c.round = domain, domainScore, rank/votersPerDomain
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.round, b.round),
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

// bestInstances returns the MaxVoters highest ranked instances of a domain in order of rank. No voter set contains more
// instances of one domain.
func bestInstances(prefix []byte, names []string) []candidate {
	best := make([]candidate, 0, MaxVoters+1)
	key := slices.Clone(prefix)
	for _, name := range names {
		key = append(key[:len(prefix)], name...)
		c := candidate{name: name, score: xxhash.Sum64(key)}
		if len(best) == MaxVoters && !ranksHigher(&c, &best[MaxVoters-1]) {
			continue
		}
		index := len(best)
		for index > 0 && ranksHigher(&c, &best[index-1]) {
			index--
		}
		best = slices.Insert(best, index, c)
		best = best[:min(len(best), MaxVoters)]
	}
	return best
}

// ranksHigher reports whether candidate a ranks higher than candidate b of the same domain.
func ranksHigher(a, b *candidate) bool {
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

// HashVoterSet returns the hash of a voter set that peer.ClaimItem carries.
func HashVoterSet(voters []string) uint64 {
	digest := xxhash.New()
	for _, name := range voters {
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// QuorumsIntersect reports whether each quorum of one voter set shares a voter with each quorum of the other.
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

// Preferred returns the name of the instance that should hold a resource: the one with the highest rendezvous hash among
// the live instances of the resource's region that are not leaving. Instances in the resource's failure domain are
// preferred. It returns "" if there is no such instance.
func Preferred(resource string, info Info, live []config.Instance) string {
	best, bestScore, bestInDomain := "", uint64(0), false
	for i := range live {
		in := &live[i]
		if in.Region != info.Region || in.Leaving {
			continue
		}
		inDomain := info.Domain != "" && in.Domain == info.Domain
		if bestInDomain && !inDomain {
			continue
		}
		s := score(resource, "holder", in.Name)
		higher := s > bestScore || (s == bestScore && in.Name < best)
		if best == "" || (inDomain && !bestInDomain) || higher {
			best, bestScore, bestInDomain = in.Name, s, inDomain
		}
	}
	return best
}

func score(resource, purpose, name string) uint64 {
	return xxhash.Sum64String(scorePrefix(resource, purpose) + name)
}

func scorePrefix(resource, purpose string) string { return resource + "\x00" + purpose + "\x00" }
