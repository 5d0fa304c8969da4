package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/fleet"
)

var _ = Describe("the ranks of a service", func() {
	profile := func(name, service string, priority int) fleet.Profile {
		return fleet.Profile{
			Name: name, Priority: priority, TrafficSplit: []fleet.WeightedService{{Service: service, Weight: 1}},
		}
	}
	catalog := func(profiles ...fleet.Profile) *fleet.Catalog {
		return fleet.NewCatalog(fleet.Catalog{
			Profiles: profiles,
			Services: map[string]*fleet.Service{"model": {Name: "model", Engine: &fleet.Engine{}}, "plain": {Name: "plain"}},
			Teams: map[string]fleet.Team{
				"k0": {Name: "urgent", Priority: 0, HasPriority: true}, "k1": {Name: "usual", Priority: 1, HasPriority: true},
			},
		})
	}
	urgent, usual := fleet.Team{Priority: 0, HasPriority: true}, fleet.Team{Priority: 1, HasPriority: true}

	// Guards against parts that take effect in a deployment whose model profiles are equally urgent.
	It("do not differ because of other services, or of teams alone", func() {
		c := catalog(profile("short", "model", 1), profile("long", "model", 1), profile("booking", "plain", 2))
		Expect(c.IsRanked("model")).To(BeFalse())
		Expect(c.IsRanked("plain")).To(BeFalse())
	})

	// Guards against a profile's priority that goes before the priority of the caller's team.
	It("are ordered by team, then by profile", func() {
		c := catalog(profile("short", "model", 0), profile("long", "model", 2))
		Expect(c.IsRanked("model")).To(BeTrue())
		short, long := &c.Profiles[0], &c.Profiles[1]
		Expect([]int{
			c.Rank("model", short, urgent), c.Rank("model", long, urgent), c.Rank("model", short, usual), c.Rank("model", long, usual),
		}).To(Equal([]int{0, 1, 2, 3}))
	})

	// Guards against a team without a priority that counts as the most urgent one.
	It("of a team without a priority is that of its profile", func() {
		c := catalog(profile("short", "model", 0), profile("long", "model", 2))
		Expect(c.Rank("model", &c.Profiles[1], fleet.Team{})).To(BeNumerically(">=", c.Rank("model", &c.Profiles[1], usual)))
	})

	// Guards against plain services that take part in the modes by priority, and against requests of a plain service that are all
	// taken for equally urgent ones.
	It("of a plain service order its requests without making it a ranked service", func() {
		c := catalog(profile("booking", "plain", 0), profile("export", "plain", 2))
		Expect(c.IsRanked("plain")).To(BeFalse())
		Expect(c.RankCount("plain")).To(Equal(4))
		booking, export := &c.Profiles[0], &c.Profiles[1]
		Expect([]int{
			c.Rank("plain", booking, urgent), c.Rank("plain", export, urgent), c.Rank("plain", booking, usual), c.Rank("plain", export, usual),
		}).To(Equal([]int{0, 1, 2, 3}))
	})

	// Guards against requests of a public profile, which have no team, that count as less urgent than all others.
	It("of a public profile is that of its profile", func() {
		open := profile("status", "plain", 1)
		open.Public = true
		c := catalog(open, profile("booking", "plain", 0), profile("export", "plain", 2))
		Expect(c.Rank("plain", &c.Profiles[0], fleet.Team{})).To(BeNumerically("<", c.Rank("plain", &c.Profiles[2], usual)))
		Expect(c.Rank("plain", &c.Profiles[0], fleet.Team{})).To(BeNumerically(">", c.Rank("plain", &c.Profiles[1], urgent)))
	})

	// Guards against a number of ranks beyond those that engines and endpoints distinguish, and against none at all.
	It("are at least one and at most ten", func() {
		var profiles []fleet.Profile
		for i := range 20 {
			profiles = append(profiles, profile("p", "model", i))
		}
		c := catalog(profiles...)
		Expect(c.RankCount("model")).To(Equal(fleet.MaxRank + 1))
		Expect(c.Rank("model", &c.Profiles[19], usual)).To(Equal(fleet.MaxRank))
		Expect(c.RankCount("plain")).To(Equal(1))
		Expect(c.RankCount("unknown")).To(Equal(1))
	})

	// Guards against parts that take effect in a deployment whose engines have time to spare, and against missing ones in one
	// whose full engines have none.
	It("go with gaps that are tight only if a full pass takes more than half of the shortest one", func() {
		c := catalog(fleet.Profile{
			Name: "short", MaxGap: 200 * time.Millisecond, TrafficSplit: []fleet.WeightedService{{Service: "model", Weight: 1}},
		})
		engine := func(step time.Duration) *fleet.Engine {
			return &fleet.Engine{Slots: 12, MemoryTokens: 450_000, Stride: 50, StepTime: step}
		}
		for step, tight := range map[time.Duration]bool{1900 * time.Microsecond: false, 2100 * time.Microsecond: true} {
			c.Services["model"].Engine = engine(step)
			Expect(fleet.NewCatalog(*c).HasTightGaps("model")).To(Equal(tight))
		}
		Expect(c.HasTightGaps("plain")).To(BeFalse())
	})
})
