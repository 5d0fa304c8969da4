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
	// holdOffEnd is the time from which voters that started at zero grant claims.
	holdOffEnd = zero.Add(lease.VoterHoldOff)
)

// listOf returns a list of instances. The first character of a name is the digit of the instance's failure domain.
func listOf(revision uint64, names ...string) *config.InstanceList {
	list := &config.InstanceList{Revision: revision}
	for _, name := range names {
		list.Instances = append(list.Instances, config.Instance{Name: name, Domain: "d" + name[:1], Region: "r"})
	}
	return list
}

// newVoters returns a voter for each instance of the list, started at zero.
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

// sendClaims sends the holder's claims to the voters and returns their promises by voter.
func sendClaims(h *lease.Holder, voters map[string]*lease.Voter, now time.Time, wallMS int64) map[string]*peer.Promise {
	promises := map[string]*peer.Promise{}
	for _, out := range h.Claims(now, wallMS) {
		if voter := voters[out.Voter]; voter != nil {
			promises[out.Voter] = voter.Answer(now, wallMS, out.Claim)
		}
	}
	return promises
}

// deliverPromises delivers at most limit promises to the holder in name order of the voters, in reverse order if the limit
// is negative.
func deliverPromises(h *lease.Holder, promises map[string]*peer.Promise, now time.Time, limit int) {
	names := slices.Sorted(maps.Keys(promises))
	if limit < 0 {
		slices.Reverse(names)
	}
	for _, name := range names[:min(max(limit, -limit), len(names))] {
		h.HandlePromise(now, wallZeroMS, name, promises[name])
	}
}

func slotClaim(holder string, sequence uint64, set []string, labelEnd int64) *peer.Claim {
	return &peer.Claim{Holder: holder, Incarnation: 1, Sequence: sequence, Revision: 1, Items: []peer.ClaimItem{
		{Resource: slotResource, VoterSet: lease.HashVoterSet(set), LabelEnd: labelEnd},
	}}
}

var sixInstances = listOf(1, "0a", "0b", "1a", "1b", "2a", "2b")

var _ = Describe("VoterSet", func() {
	// Guards against two holders while one instance has an older list than another: the quorums of two lists must intersect
	// if the lists differ by one instance, or by one that was replaced in its domain.
	It("has intersecting quorums before and after one list change", func() {
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

	// Guards against a voter set that has no quorum after the loss of one failure domain.
	It("takes two voters from each of three domains", func() {
		list := listOf(1, "0a", "0b", "0c", "1a", "1b", "1c", "2a", "2b", "2c", "3a", "3b")
		perDomain := map[string]int{}
		for _, name := range lease.VoterSet(slotResource, "r", list.Instances) {
			perDomain[name[:1]]++
		}
		Expect(perDomain).To(HaveLen(3))
		Expect(perDomain).To(HaveEach(2))
	})

	// Guards against an owner outside the endpoint's failure domain: the loss of the owner's domain would then stop endpoints
	// of a healthy domain.
	It("prefers a live holder in the endpoint's domain", func() {
		info := lease.Info{Region: "r", Domain: "d1"}
		Expect(lease.Preferred(endpointResource, info, sixInstances.Instances)).To(HavePrefix("1"))
		live := slices.Clone(sixInstances.Instances)
		live[2].Leaving, live[3].Leaving = true, true
		Expect(lease.Preferred(endpointResource, info, live)).To(MatchRegexp("^[02]"))
		Expect(lease.Preferred(endpointResource, lease.Info{Region: "other"}, live)).To(BeEmpty())
	})

	// Guards against a new voter that grants a claim while a lease from a voter with the previous list is valid.
	It("refuses claims until leases from the previous list have ended", func() {
		old, next := listOf(1, "0a"), listOf(2, "0b")
		newVoter := lease.NewVoter("0b")
		newVoter.SetView(holdOffEnd, wallZeroMS, newIndex(1), next)
		promised := holdOffEnd.Add(lease.ListLagBound)
		a, b := newHolder("a", old), newHolder("b", next)
		deliverPromises(a, sendClaims(a, newVoters(old), promised, wallZeroMS), promised, 1)
		_, held := a.Holds(promised, slotResource)
		Expect(held).To(BeTrue())
		last := promised.Add(lease.LeaseLength - 1)
		deliverPromises(b, sendClaims(b, map[string]*lease.Voter{"0b": newVoter}, last, wallZeroMS), last, 1)
		_, held = b.Holds(last, slotResource)
		Expect(held).To(BeFalse())
	})

	// Documents a limit of the protocol: two holders may have leases on one resource if the instance lists differ by more
	// than docs/leases.md assumes, for longer than VoterHoldOff. The smallest cases are one replaced voter of one and two
	// replaced voters of six.
	DescribeTable("does not protect against lists that differ too much", func(old, new *config.InstanceList) {
		oldVoters, newVoters := newVoters(old), newVoters(new)
		a, b := newHolder("a", old), newHolder("b", new)
		oldSet := lease.VoterSet(slotResource, "r", old.Instances)
		newSet := lease.VoterSet(slotResource, "r", new.Instances)
		Expect(lease.QuorumsIntersect(oldSet, newSet)).To(BeFalse())
		// The instances in both lists have different lists; each holder reaches half of them.
		shared := 0
		for _, name := range oldSet {
			if slices.Contains(newSet, name) {
				delete([]map[string]*lease.Voter{oldVoters, newVoters}[shared%2], name)
				shared++
			}
		}
		deliverPromises(a, sendClaims(a, oldVoters, holdOffEnd, wallZeroMS), holdOffEnd, 6)
		deliverPromises(b, sendClaims(b, newVoters, holdOffEnd, wallZeroMS), holdOffEnd, 6)
		_, aHolds := a.Holds(holdOffEnd, slotResource)
		_, bHolds := b.Holds(holdOffEnd, slotResource)
		Expect([]bool{aHolds, bHolds}).To(Equal([]bool{true, true}))
	},
		Entry("one of one", listOf(1, "0a"), listOf(2, "0b")),
		Entry("two of six", sixInstances, listOf(2, "0a", "0c", "1a", "1c", "2a", "2b")),
	)
})

var _ = Describe("Voter", func() {
	set := lease.VoterSet(slotResource, "r", sixInstances.Instances)
	claimEnd := wallZeroMS + lease.LabelLength.Milliseconds()

	// Guards against promises that violate a rule of the protocol, and against refusals with a wrong reason.
	DescribeTable("refuses", func(reason string, change func(*lease.Voter, *peer.Claim)) {
		// The promise must last as long as a lease on a clock that is 5% slower than the voter's.
		voter, now := newVoters(sixInstances)["0a"], holdOffEnd.Add(lease.LeaseLength*105/100-1)
		claim := slotClaim("h", 2, set, claimEnd)
		change(voter, claim)
		Expect(voter.Answer(now, wallZeroMS, claim).Items[0].Reason).To(Equal(reason))
	},
		Entry("nothing", "", func(*lease.Voter, *peer.Claim) {}),
		Entry("during the hold-off", lease.ReasonHoldOff, func(v *lease.Voter, _ *peer.Claim) {
			*v = *lease.NewVoter("0a")
			v.SetView(zero.Add(lease.LeaseLength*105/100), wallZeroMS, newIndex(1), sixInstances)
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
		Entry("a resource of which it is no voter", lease.ReasonNotVoter, func(v *lease.Voter, _ *peer.Claim) {
			v.SetView(zero, wallZeroMS, newIndex(1), listOf(2, "0b", "0c"))
		}),
		Entry("a resource promised to another holder", lease.ReasonHeld, func(v *lease.Voter, _ *peer.Claim) {
			v.Answer(holdOffEnd, wallZeroMS, slotClaim("other", 1, set, claimEnd))
		}),
		Entry("the same after an outdated release", lease.ReasonHeld, func(v *lease.Voter, _ *peer.Claim) {
			release := slotClaim("other", 1, set, 0)
			release.Items[0].Release = true
			v.Answer(holdOffEnd, wallZeroMS, slotClaim("other", 2, set, claimEnd))
			v.Answer(holdOffEnd, wallZeroMS, release)
		}),
		Entry("nothing after a release", "", func(v *lease.Voter, _ *peer.Claim) {
			release := slotClaim("other", 2, set, 0)
			release.Items[0].Release = true
			v.Answer(holdOffEnd, wallZeroMS, slotClaim("other", 1, set, claimEnd))
			v.Answer(holdOffEnd, wallZeroMS, release)
		}),
		Entry("after a list change too large for intersecting quorums", lease.ReasonHoldOff, func(v *lease.Voter, c *peer.Claim) {
			next := listOf(2, "0a", "0b", "1c", "1d", "2c", "2d")
			v.SetView(holdOffEnd, wallZeroMS, newIndex(1), next)
			c.Items[0].VoterSet = lease.HashVoterSet(lease.VoterSet(slotResource, "r", next.Instances))
		}),
	)

	// Guards against new work on endpoints that operators took out of service: voters must refuse renewals as soon as they
	// have the configuration revision.
	DescribeTable("refuses endpoints", func(reason string, change func(*config.Document)) {
		doc := *newIndex(2).Document
		change(&doc)
		voter := newVoters(sixInstances)["0a"]
		voter.SetView(zero, wallZeroMS, config.NewIndex(&doc), sixInstances)
		claim := slotClaim("h", 1, lease.VoterSet(endpointResource, "r", sixInstances.Instances), 0)
		claim.Revision, claim.Items[0].Resource = 2, endpointResource
		Expect(voter.Answer(holdOffEnd, wallZeroMS, claim).Items[0].Reason).To(Equal(reason))
	},
		Entry("in service", "", func(*config.Document) {}),
		Entry("leaving", lease.ReasonLeaving, func(d *config.Document) { d.Endpoints[0].Leaving = true }),
		Entry("out of service", lease.ReasonOutOfService, func(d *config.Document) { d.Domains[0].OutOfService = true }),
	)

	// Guards against labels that two holders accept, because the voters that promised them to the first one restarted or
	// were replaced one by one.
	It("assumes that labels were promised if the records of promises may be lost", func() {
		voter := newVoters(sixInstances)["0a"]
		floor := func(startMS int64) int64 {
			return startMS + (lease.LabelLength + lease.MaxClockSkew + lease.ListLagBound).Milliseconds()
		}
		report := func(names ...string) int64 {
			claim := slotClaim("h", 1, lease.VoterSet(slotResource, "r", listOf(1, names...).Instances), claimEnd)
			return voter.Answer(holdOffEnd.Add(time.Hour), wallZeroMS, claim).Items[0].LabelEnd
		}
		Expect(report("0a", "0b", "1a", "1b", "2a", "2b")).To(Equal(floor(wallZeroMS)))
		voter.SetView(holdOffEnd, wallZeroMS+10_000, newIndex(1), listOf(2, "0a", "0b", "1a", "1b", "2a", "2c"))
		Expect(report("0a", "0b", "1a", "1b", "2a", "2c")).To(Equal(floor(wallZeroMS)))
		voter.SetView(holdOffEnd, wallZeroMS+20_000, newIndex(1), listOf(3, "0a", "0b", "1a", "1b", "2c", "2d"))
		Expect(report("0a", "0b", "1a", "1b", "2c", "2d")).To(Equal(floor(wallZeroMS + 20_000)))
	})
})

var _ = Describe("Holder", func() {
	var (
		voters map[string]*lease.Voter
		holder *lease.Holder
	)
	BeforeEach(func() { voters, holder = newVoters(sixInstances), newHolder("h", sixInstances) })
	held := func(now time.Time) lease.Lease {
		l, _ := holder.Holds(now, slotResource)
		return l
	}

	// Guards against a lease that lasts longer than the promises because the replies were late.
	It("measures the lease from the time of the claim", func() {
		promises := sendClaims(holder, voters, holdOffEnd, wallZeroMS)
		deliverPromises(holder, promises, holdOffEnd.Add(1900*time.Millisecond), 3)
		Expect(held(holdOffEnd.Add(1900 * time.Millisecond))).To(BeZero())
		deliverPromises(holder, promises, holdOffEnd.Add(1900*time.Millisecond), 4)
		Expect(held(holdOffEnd.Add(lease.LeaseLength - 1)).ValidUntil).To(Equal(holdOffEnd.Add(lease.LeaseLength)))
		Expect(held(holdOffEnd.Add(lease.LeaseLength))).To(BeZero())
	})

	// Guards against labels that are refused unnecessarily, because a restarted voter was in the first quorum.
	It("uses the lowest label start that a quorum reported", func() {
		voters["0a"] = lease.NewVoter("0a")
		voters["0a"].SetView(zero, wallZeroMS+10_000, newIndex(1), sixInstances)
		promises := sendClaims(holder, voters, holdOffEnd, wallZeroMS)
		deliverPromises(holder, promises, holdOffEnd, 4)
		Expect(held(holdOffEnd).LabelStart).To(Equal(wallZeroMS + 10_000 + lease.LabelFloor.Milliseconds()))
		deliverPromises(holder, promises, holdOffEnd, 6)
		Expect(held(holdOffEnd).LabelStart).To(Equal(wallZeroMS + lease.LabelFloor.Milliseconds()))
	})

	// Guards against accepted labels of which only a minority of the voters has a record.
	It("uses a label end that a quorum promised", func() {
		deliverPromises(holder, sendClaims(holder, voters, holdOffEnd, wallZeroMS), holdOffEnd, 6)
		first := held(holdOffEnd).LabelEnd
		later := holdOffEnd.Add(lease.RenewEvery)
		promises := sendClaims(holder, voters, later, wallZeroMS+500)
		deliverPromises(holder, promises, later, 3)
		Expect(held(later).LabelEnd).To(Equal(first))
		deliverPromises(holder, promises, later, 4)
		Expect(held(later).LabelEnd).To(Equal(first + 500))
	})

	// Guards against a quorum that consists of promises for different voter sets or for different attempts.
	DescribeTable("ignores promises from before", func(change func()) {
		promises := sendClaims(holder, voters, holdOffEnd, wallZeroMS)
		deliverPromises(holder, promises, holdOffEnd, 2)
		change()
		deliverPromises(holder, promises, holdOffEnd, 6)
		Expect(held(holdOffEnd)).To(BeZero())
		promises = sendClaims(holder, voters, holdOffEnd, wallZeroMS)
		deliverPromises(holder, promises, holdOffEnd, -3)
		Expect(held(holdOffEnd)).To(BeZero())
	},
		Entry("a list change", func() {
			next := listOf(2, "0a", "0b", "1a", "1b", "2a", "2c")
			holder.SetView(holdOffEnd, newIndex(1), next)
			for _, voter := range voters {
				voter.SetView(holdOffEnd, wallZeroMS, newIndex(1), next)
			}
		}),
		Entry("a restart", func() {
			holder = lease.NewHolder("h", 2)
			holder.SetView(holdOffEnd, newIndex(1), sixInstances)
			holder.Want(holdOffEnd, slotResource)
			holder.Claims(holdOffEnd, wallZeroMS)
		}),
		Entry("a drop", func() {
			holder.Drop(slotResource)
			holder.Want(holdOffEnd, slotResource)
		}),
	)

	// Guards against an owner that acts on an endpoint although its configuration says that the endpoint is leaving.
	It("ends the lease when a configuration revision forbids it", func() {
		deliverPromises(holder, sendClaims(holder, voters, holdOffEnd, wallZeroMS), holdOffEnd, 6)
		l, _ := holder.Holds(holdOffEnd, endpointResource)
		Expect(l.GrantFrom).To(Equal(holdOffEnd.Add(lease.CreditLength * 105 / 100)))
		doc := *newIndex(2).Document
		doc.Endpoints[0].Leaving = true
		holder.SetView(holdOffEnd, config.NewIndex(&doc), sixInstances)
		_, ok := holder.Holds(holdOffEnd, endpointResource)
		Expect(ok).To(BeFalse())
		for _, out := range holder.Claims(holdOffEnd, wallZeroMS) {
			Expect(out.Claim.Items).To(HaveLen(1))
			Expect(out.Claim.Items[0].Release).To(BeTrue())
		}
	})

	// Guards against a separate message per resource, and against renewals that are too frequent.
	It("sends one message per voter every half second", func() {
		Expect(holder.Claims(holdOffEnd, wallZeroMS)).To(HaveLen(6))
		Expect(holder.Claims(holdOffEnd.Add(lease.RenewEvery-1), wallZeroMS)).To(BeEmpty())
		again := holder.Claims(holdOffEnd.Add(lease.RenewEvery), wallZeroMS)
		Expect(again).To(HaveLen(6))
		Expect(again).To(HaveEach(HaveField("Claim.Items", HaveLen(2))))
	})

	// Guards against two holders that each have the promises of half of the voters and block the resource for ever.
	It("resolves a split vote", func() {
		rival := newHolder("rival", sixInstances)
		for i, h := range []*lease.Holder{holder, rival} {
			half := map[string]*lease.Voter{}
			for _, name := range []string{"0a", "0b", "1a", "1b", "2a", "2b"}[3*i : 3*i+3] {
				half[name] = voters[name]
			}
			deliverPromises(h, sendClaims(h, half, holdOffEnd, wallZeroMS), holdOffEnd, 6)
		}
		for now := holdOffEnd; now.Before(holdOffEnd.Add(4 * time.Second)); now = now.Add(tick) {
			first, second := sendClaims(holder, voters, now, wallZeroMS), sendClaims(rival, voters, now, wallZeroMS)
			deliverPromises(holder, first, now, 6)
			deliverPromises(rival, second, now, 6)
			_, a := holder.Holds(now, slotResource)
			_, b := rival.Holds(now, slotResource)
			if a || b {
				return
			}
		}
		Fail("no holder after 4 s")
	})
})
