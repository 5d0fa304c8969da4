package lease_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/testkit"
)

// Guards against an optimization of VoterSet that changes its result: controllers of two versions would then have different
// voter sets and refuse each other's claims.
func TestVoterSetFollowsTheRule(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		var instances []config.Instance
		for range rapid.IntRange(0, 40).Draw(t, "instances") {
			instances = append(instances, config.Instance{
				Name:   fmt.Sprintf("i%d", rapid.IntRange(0, 60).Draw(t, "name")),
				Domain: fmt.Sprintf("d%d", rapid.IntRange(0, 4).Draw(t, "domain")),
				Region: rapid.SampledFrom([]string{"r", "r", "s"}).Draw(t, "region"),
			})
		}
		resource := rapid.SampledFrom([]string{"endpoint/a", "endpoint/b", "keys/desk/7"}).Draw(t, "resource")
		got, want := lease.VoterSet(resource, "r", instances), voterSetByRule(resource, "r", instances)
		if !slices.Equal(got, want) {
			t.Fatalf("voters are %v, want %v", got, want)
		}
	})
}

// voterSetByRule is a simple reference implementation of VoterSet that sorts all instances of the region.
func voterSetByRule(resource, region string, instances []config.Instance) []string {
	type candidate struct {
		name, domain       string
		score, domainScore uint64
		pair               int
	}
	score := func(purpose, name string) uint64 {
		return xxhash.Sum64String(resource + "\x00" + purpose + "\x00" + name)
	}
	var all []candidate
	for _, in := range instances {
		listed := func(c candidate) bool { return c.name == in.Name }
		if in.Region == region && !slices.ContainsFunc(all, listed) {
			all = append(all, candidate{
				name: in.Name, domain: in.Domain, score: score("instance", in.Name), domainScore: score("domain", in.Domain),
			})
		}
	}
	byScore := func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) }
	slices.SortFunc(all, byScore)
	taken := make(map[string]int)
	for i := range all {
		all[i].pair = taken[all[i].domain] / 2
		taken[all[i].domain]++
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.pair, b.pair), cmp.Compare(b.domainScore, a.domainScore),
			cmp.Compare(a.domain, b.domain), byScore(a, b))
	})
	count := min(len(all), lease.MaxVoters)
	if count > 1 {
		count -= count % 2
	}
	names := make([]string, 0, count)
	for _, c := range all[:count] {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return names
}

// BenchmarkSetView measures how long a voter takes to apply an instance list of 340 instances, the size expected in two
// years, with 600 endpoints.
func BenchmarkSetView(b *testing.B) {
	document := &config.Document{Revision: 1}
	for i := range 7 {
		document.Domains = append(document.Domains, config.Domain{Name: fmt.Sprintf("d%d", i), Region: "r"})
	}
	document.Services = []config.Service{{Name: "m", Kind: config.KindModel, Region: "r"}}
	for i := range 600 {
		document.Endpoints = append(document.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("endpoint-%03d", i), Service: "m", Domain: fmt.Sprintf("d%d", i%7),
		})
	}
	list := &config.InstanceList{Revision: 1}
	for i := range 340 {
		list.Instances = append(list.Instances, config.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Domain: fmt.Sprintf("d%d", i%7), Region: "r",
		})
	}
	index := config.NewIndex(document)
	for b.Loop() {
		lease.NewVoter("entry-000").SetView(zero, wallZeroMS, index, list)
	}
}
