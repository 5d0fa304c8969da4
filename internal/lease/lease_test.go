package lease_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLease(t *testing.T) { testkit.RunSpecs(t, "lease") }

var (
	zero = time.Unix(0, 0)
	// spoken is a time at which voters that started at zero answer claims.
	spoken = zero.Add(lease.VoterHoldOff)
)

// listOf returns a list of instances, each written as its domain's digit and a letter.
func listOf(revision uint64, names ...string) *config.InstanceList {
	list := &config.InstanceList{Revision: revision}
	for _, name := range names {
		list.Instances = append(list.Instances, config.Instance{Name: name, Domain: "d" + name[:1], Region: "r"})
	}
	return list
}

// newVoters returns a started voter for each instance of the list.
func newVoters(list *config.InstanceList) map[string]*lease.Voter {
	voters := map[string]*lease.Voter{}
	for _, in := range list.Instances {
		voters[in.Name] = lease.NewVoter(in.Name)
		voters[in.Name].SetView(zero, wallZeroMS, newIndex(1), list)
	}
	return voters
}

func newHolder(name string, list *config.InstanceList) *lease.Holder {
	h := lease.NewHolder(name, 1)
	h.SetView(zero, newIndex(1), list)
	for _, resource := range resources {
		h.Want(zero, resource)
	}
	return h
}

// ask sends the holder's claims to the voters and returns their answers.
func ask(h *lease.Holder, voters map[string]*lease.Voter, now time.Time, wallMS int64) map[string]*peer.Promise {
	answers := map[string]*peer.Promise{}
	for _, out := range h.Claims(now, wallMS) {
		if voter := voters[out.Voter]; voter != nil {
			answers[out.Voter] = voter.Answer(now, wallMS, out.Claim)
		}
	}
	return answers
}

// take gives the holder the first answers in name order, or the last ones if the limit is negative.
func take(h *lease.Holder, answers map[string]*peer.Promise, now time.Time, limit int) {
	names := slices.Sorted(maps.Keys(answers))
	if limit < 0 {
		slices.Reverse(names)
	}
	for _, name := range names[:min(max(limit, -limit), len(names))] {
		h.HandlePromise(now, wallZeroMS, name, answers[name])
	}
}

func slotClaim(holder string, sequence uint64, set []string, labelEnd int64) *peer.Claim {
	return &peer.Claim{Holder: holder, Incarnation: 1, Sequence: sequence, Revision: 1, Items: []peer.ClaimItem{
		{Resource: slotResource, VoterSet: lease.HashVoterSet(set), LabelEnd: labelEnd},
	}}
}

var six = listOf(1, "0a", "0b", "1a", "1b", "2a", "2b")

var _ = Describe("VoterSet", func() {
	// Guards against two holders while one instance has an older list than another: quorums of lists that differ by one
	// instance, or by one replaced inside its domain, intersect.
	It("keeps quorums intersecting over one change", func() {
		rapid.Check(GinkgoTB(), func(rt *rapid.T) {
			var names []string
			for i := range rapid.IntRange(2, 12).Draw(rt, "size") {
				names = append(names, fmt.Sprintf("%d%d", rapid.IntRange(0, 3).Draw(rt, "domain"), i))
			}
			resource := fmt.Sprintf("endpoint/%d", rapid.Int().Draw(rt, "resource"))
			before := lease.VoterSet(resource, "r", listOf(1, names...).Instances)
			changes := map[string][]string{
				"remove": names[1:],
				"add":    append(slices.Clone(names), fmt.Sprintf("%dx", rapid.IntRange(0, 3).Draw(rt, "domain"))),
				"swap":   append(slices.Clone(names[1:]), names[0][:1]+"x"),
			}
			for kind, changed := range changes {
				after := lease.VoterSet(resource, "r", listOf(2, changed...).Instances)
				if !lease.QuorumsIntersect(before, after) {
					rt.Fatalf("%s: quorums of %v and %v may be disjoint", kind, before, after)
				}
			}
		})
	})

	// Guards against a voter set that one lost domain leaves without a quorum.
	It("takes two voters from each of three domains", func() {
		list := listOf(1, "0a", "0b", "0c", "1a", "1b", "1c", "2a", "2b", "2c", "3a", "3b")
		perDomain := map[string]int{}
		for _, name := range lease.VoterSet(slotResource, "r", list.Instances) {
			perDomain[name[:1]]++
		}
		Expect(perDomain).To(HaveLen(3))
		Expect(perDomain).To(HaveEach(2))
	})

	// Guards against an owner outside the endpoint's domain, whose loss would stop a healthy domain's endpoints.
	It("prefers a live holder inside the domain", func() {
		info := lease.Info{Region: "r", Domain: "d1"}
		Expect(lease.Preferred(endpointResource, info, six.Instances)).To(HavePrefix("1"))
		live := slices.Clone(six.Instances)
		live[2].Leaving, live[3].Leaving = true, true
		Expect(lease.Preferred(endpointResource, info, live)).To(MatchRegexp("^[02]"))
		Expect(lease.Preferred(endpointResource, lease.Info{Region: "other"}, live)).To(BeEmpty())
	})

	// Guards against a new voter that speaks while a lease from a voter with the previous list is valid.
	It("is silent until leases from the previous list have ended", func() {
		old, next := listOf(1, "0a"), listOf(2, "0b")
		fresh := lease.NewVoter("0b")
		fresh.SetView(spoken, wallZeroMS, newIndex(1), next)
		promised := spoken.Add(lease.ListLagBound)
		a, b := newHolder("a", old), newHolder("b", next)
		take(a, ask(a, newVoters(old), promised, wallZeroMS), promised, 1)
		_, held := a.Holds(promised, slotResource)
		Expect(held).To(BeTrue())
		last := promised.Add(lease.LeaseLength - 1)
		take(b, ask(b, map[string]*lease.Voter{"0b": fresh}, last, wallZeroMS), last, 1)
		_, held = b.Holds(last, slotResource)
		Expect(held).To(BeFalse())
	})

	// Documents the limit: with lists further apart than the assumption of docs/leases.md for longer than the silence,
	// two holders hold one resource. The smallest cases are one replaced voter of one and two replaced of six.
	DescribeTable("does not protect against lists too far apart", func(old, new *config.InstanceList) {
		oldVoters, newVoters := newVoters(old), newVoters(new)
		a, b := newHolder("a", old), newHolder("b", new)
		oldSet := lease.VoterSet(slotResource, "r", old.Instances)
		newSet := lease.VoterSet(slotResource, "r", new.Instances)
		Expect(lease.QuorumsIntersect(oldSet, newSet)).To(BeFalse())
		// The instances in both lists have different views; half of them answer each holder.
		shared := 0
		for _, name := range oldSet {
			if slices.Contains(newSet, name) {
				delete([]map[string]*lease.Voter{oldVoters, newVoters}[shared%2], name)
				shared++
			}
		}
		take(a, ask(a, oldVoters, spoken, wallZeroMS), spoken, 6)
		take(b, ask(b, newVoters, spoken, wallZeroMS), spoken, 6)
		_, aHolds := a.Holds(spoken, slotResource)
		_, bHolds := b.Holds(spoken, slotResource)
		Expect([]bool{aHolds, bHolds}).To(Equal([]bool{true, true}))
	},
		Entry("one of one", listOf(1, "0a"), listOf(2, "0b")),
		Entry("two of six", six, listOf(2, "0a", "0c", "1a", "1c", "2a", "2b")),
	)
})

var _ = Describe("Voter", func() {
	set := lease.VoterSet(slotResource, "r", six.Instances)
	claimEnd := wallZeroMS + lease.LabelLength.Milliseconds()

	// Guards against promises that break one of the rules, or that give the holder a wrong reason.
	DescribeTable("refuses", func(reason string, change func(*lease.Voter, *peer.Claim)) {
		// The promise covers a lease on a clock 5% slower than the voter's.
		voter, now := newVoters(six)["0a"], spoken.Add(lease.LeaseLength*105/100-1)
		claim := slotClaim("h", 2, set, claimEnd)
		change(voter, claim)
		Expect(voter.Answer(now, wallZeroMS, claim).Items[0].Reason).To(Equal(reason))
	},
		Entry("nothing", "", func(*lease.Voter, *peer.Claim) {}),
		Entry("during the silence", lease.ReasonHoldOff, func(v *lease.Voter, _ *peer.Claim) {
			*v = *lease.NewVoter("0a")
			v.SetView(zero.Add(lease.LeaseLength*105/100), wallZeroMS, newIndex(1), six)
		}),
		Entry("a lower revision", lease.ReasonRevision, func(_ *lease.Voter, c *peer.Claim) { c.Revision = 0 }),
		Entry("another voter set", lease.ReasonVoterSet, func(_ *lease.Voter, c *peer.Claim) { c.Items[0].VoterSet++ }),
		Entry("no label", lease.ReasonLabel, func(_ *lease.Voter, c *peer.Claim) { c.Items[0].LabelEnd = 0 }),
		Entry("a label too far ahead", lease.ReasonLabel, func(_ *lease.Voter, c *peer.Claim) {
			c.Items[0].LabelEnd = claimEnd + lease.MaxClockSkew.Milliseconds() + 1
		}),
		Entry("an unknown resource", lease.ReasonUnknownResource, func(_ *lease.Voter, c *peer.Claim) {
			c.Items[0].Resource = "keys/desk/64"
		}),
		Entry("a resource of others", lease.ReasonNotVoter, func(v *lease.Voter, _ *peer.Claim) {
			v.SetView(zero, wallZeroMS, newIndex(1), listOf(2, "0b", "0c"))
		}),
		Entry("another holder", lease.ReasonHeld, func(v *lease.Voter, _ *peer.Claim) {
			v.Answer(spoken, wallZeroMS, slotClaim("other", 1, set, claimEnd))
		}),
		Entry("another holder after a late release", lease.ReasonHeld, func(v *lease.Voter, _ *peer.Claim) {
			release := slotClaim("other", 1, set, 0)
			release.Items[0].Release = true
			v.Answer(spoken, wallZeroMS, slotClaim("other", 2, set, claimEnd))
			v.Answer(spoken, wallZeroMS, release)
		}),
		Entry("no longer after a release", "", func(v *lease.Voter, _ *peer.Claim) {
			release := slotClaim("other", 2, set, 0)
			release.Items[0].Release = true
			v.Answer(spoken, wallZeroMS, slotClaim("other", 1, set, claimEnd))
			v.Answer(spoken, wallZeroMS, release)
		}),
		Entry("with a list too far from the last", lease.ReasonHoldOff, func(v *lease.Voter, c *peer.Claim) {
			next := listOf(2, "0a", "0b", "1c", "1d", "2c", "2d")
			v.SetView(spoken, wallZeroMS, newIndex(1), next)
			c.Items[0].VoterSet = lease.HashVoterSet(lease.VoterSet(slotResource, "r", next.Instances))
		}),
	)

	// Guards against new work on endpoints that operators took out: renewals end with the revision.
	DescribeTable("refuses endpoints", func(reason string, change func(*config.Document)) {
		doc := *newIndex(2).Document
		change(&doc)
		voter := newVoters(six)["0a"]
		voter.SetView(zero, wallZeroMS, config.NewIndex(&doc), six)
		claim := slotClaim("h", 1, lease.VoterSet(endpointResource, "r", six.Instances), 0)
		claim.Revision, claim.Items[0].Resource = 2, endpointResource
		Expect(voter.Answer(spoken, wallZeroMS, claim).Items[0].Reason).To(Equal(reason))
	},
		Entry("in service", "", func(*config.Document) {}),
		Entry("leaving", lease.ReasonLeaving, func(d *config.Document) { d.Endpoints[0].Leaving = true }),
		Entry("out of service", lease.ReasonOutOfService, func(d *config.Document) { d.Domains[0].OutOfService = true }),
	)

	// Guards against labels accepted twice after the voters that promised them restarted or were replaced one by one.
	It("assumes promised labels where memory may be lost", func() {
		voter := newVoters(six)["0a"]
		floor := func(bootMS int64) int64 {
			return bootMS + (lease.LabelLength + lease.MaxClockSkew + lease.ListLagBound).Milliseconds()
		}
		report := func(names ...string) int64 {
			claim := slotClaim("h", 1, lease.VoterSet(slotResource, "r", listOf(1, names...).Instances), claimEnd)
			return voter.Answer(spoken.Add(time.Hour), wallZeroMS, claim).Items[0].LabelEnd
		}
		Expect(report("0a", "0b", "1a", "1b", "2a", "2b")).To(Equal(floor(wallZeroMS)))
		voter.SetView(spoken, wallZeroMS+10_000, newIndex(1), listOf(2, "0a", "0b", "1a", "1b", "2a", "2c"))
		Expect(report("0a", "0b", "1a", "1b", "2a", "2c")).To(Equal(floor(wallZeroMS)))
		voter.SetView(spoken, wallZeroMS+20_000, newIndex(1), listOf(3, "0a", "0b", "1a", "1b", "2c", "2d"))
		Expect(report("0a", "0b", "1a", "1b", "2c", "2d")).To(Equal(floor(wallZeroMS + 20_000)))
	})
})

var _ = Describe("Holder", func() {
	var (
		voters map[string]*lease.Voter
		holder *lease.Holder
	)
	BeforeEach(func() { voters, holder = newVoters(six), newHolder("h", six) })
	held := func(now time.Time) lease.Lease {
		l, _ := holder.Holds(now, slotResource)
		return l
	}

	// Guards against a lease that outlasts the promises because an answer was late.
	It("counts the lease from the claim", func() {
		answers := ask(holder, voters, spoken, wallZeroMS)
		take(holder, answers, spoken.Add(1900*time.Millisecond), 3)
		Expect(held(spoken.Add(1900 * time.Millisecond))).To(BeZero())
		take(holder, answers, spoken.Add(1900*time.Millisecond), 4)
		Expect(held(spoken.Add(lease.LeaseLength - 1)).ValidUntil).To(Equal(spoken.Add(lease.LeaseLength)))
		Expect(held(spoken.Add(lease.LeaseLength))).To(BeZero())
	})

	// Guards against needless refusals of labels because a restarted voter answered among the first.
	It("takes the lowest start that a quorum reported", func() {
		voters["0a"] = lease.NewVoter("0a")
		voters["0a"].SetView(zero, wallZeroMS+10_000, newIndex(1), six)
		answers := ask(holder, voters, spoken, wallZeroMS)
		take(holder, answers, spoken, 4)
		Expect(held(spoken).LabelStart).To(Equal(wallZeroMS + 10_000 + lease.LabelFloor.Milliseconds()))
		take(holder, answers, spoken, 6)
		Expect(held(spoken).LabelStart).To(Equal(wallZeroMS + lease.LabelFloor.Milliseconds()))
	})

	// Guards against accepting labels that only a minority remembers.
	It("uses a label end that a quorum promised", func() {
		take(holder, ask(holder, voters, spoken, wallZeroMS), spoken, 6)
		first := held(spoken).LabelEnd
		later := spoken.Add(lease.RenewEvery)
		answers := ask(holder, voters, later, wallZeroMS+500)
		take(holder, answers, later, 3)
		Expect(held(later).LabelEnd).To(Equal(first))
		take(holder, answers, later, 4)
		Expect(held(later).LabelEnd).To(Equal(first + 500))
	})

	// Guards against a quorum made of promises for different voter sets or for a tenure that was given up.
	DescribeTable("ignores answers from before", func(change func()) {
		answers := ask(holder, voters, spoken, wallZeroMS)
		take(holder, answers, spoken, 2)
		change()
		take(holder, answers, spoken, 6)
		Expect(held(spoken)).To(BeZero())
		answers = ask(holder, voters, spoken, wallZeroMS)
		take(holder, answers, spoken, -3)
		Expect(held(spoken)).To(BeZero())
	},
		Entry("a list change", func() {
			next := listOf(2, "0a", "0b", "1a", "1b", "2a", "2c")
			holder.SetView(spoken, newIndex(1), next)
			for _, voter := range voters {
				voter.SetView(spoken, wallZeroMS, newIndex(1), next)
			}
		}),
		Entry("a restart", func() {
			holder = lease.NewHolder("h", 2)
			holder.SetView(spoken, newIndex(1), six)
			holder.Want(spoken, slotResource)
			holder.Claims(spoken, wallZeroMS)
		}),
		Entry("a drop", func() {
			holder.Drop(slotResource)
			holder.Want(spoken, slotResource)
		}),
	)

	// Guards against an owner that acts on an endpoint after it learned that operators took it out.
	It("ends the lease with the configuration revision", func() {
		take(holder, ask(holder, voters, spoken, wallZeroMS), spoken, 6)
		l, _ := holder.Holds(spoken, endpointResource)
		Expect(l.GrantFrom).To(Equal(spoken.Add(lease.CreditLength * 105 / 100)))
		doc := *newIndex(2).Document
		doc.Endpoints[0].Leaving = true
		holder.SetView(spoken, config.NewIndex(&doc), six)
		_, ok := holder.Holds(spoken, endpointResource)
		Expect(ok).To(BeFalse())
		for _, out := range holder.Claims(spoken, wallZeroMS) {
			Expect(out.Claim.Items).To(HaveLen(1))
			Expect(out.Claim.Items[0].Release).To(BeTrue())
		}
	})

	// Guards against more than one message per voter and renewal.
	It("batches claims and renews every half second", func() {
		Expect(holder.Claims(spoken, wallZeroMS)).To(HaveLen(6))
		Expect(holder.Claims(spoken.Add(lease.RenewEvery-1), wallZeroMS)).To(BeEmpty())
		again := holder.Claims(spoken.Add(lease.RenewEvery), wallZeroMS)
		Expect(again).To(HaveLen(6))
		Expect(again).To(HaveEach(HaveField("Claim.Items", HaveLen(2))))
	})

	// Guards against two claimants that keep half of the voters each and block the resource for ever.
	It("resolves a split vote", func() {
		rival := newHolder("rival", six)
		for i, h := range []*lease.Holder{holder, rival} {
			half := map[string]*lease.Voter{}
			for _, name := range []string{"0a", "0b", "1a", "1b", "2a", "2b"}[3*i : 3*i+3] {
				half[name] = voters[name]
			}
			take(h, ask(h, half, spoken, wallZeroMS), spoken, 6)
		}
		for now := spoken; now.Before(spoken.Add(4 * time.Second)); now = now.Add(tick) {
			first, second := ask(holder, voters, now, wallZeroMS), ask(rival, voters, now, wallZeroMS)
			take(holder, first, now, 6)
			take(rival, second, now, 6)
			_, a := holder.Holds(now, slotResource)
			_, b := rival.Holds(now, slotResource)
			if a || b {
				return
			}
		}
		Fail("no holder after 4 s")
	})
})
