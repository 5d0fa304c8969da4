package route_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
	"github.com/acacialift/acacialift/internal/route/leastrequests"
	"github.com/acacialift/acacialift/internal/route/randomtwo"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestRoute(t *testing.T) { testkit.RunSpecs(t, "route") }

func candidate(name string, queued int64) route.Candidate {
	return route.Candidate{
		Endpoint: name, Owned: true, AcceptsWork: true, PrefillRate: 10_000, LongPrefills: 1,
		Summary: peer.EndpointSummary{
			Endpoint: name, State: peer.EndpointWarm, FreeTokens: 400_000, FreeStreams: 16, QueuedTokens: queued,
		},
	}
}

func fleet(size int) []route.Candidate {
	var all []route.Candidate
	for i := range size {
		all = append(all, candidate(fmt.Sprintf("e%02d", i), 0))
	}
	return all
}

func policy(seed uint64) *route.LeastWait { return route.NewLeastWait(rand.New(rand.NewPCG(seed, 0))) }

func names(choices []route.Choice) []string {
	var all []string
	for _, choice := range choices {
		all = append(all, choice.Endpoint)
	}
	return all
}

func request(prompt int64) route.Request {
	return route.Request{Service: "s", Class: peer.ClassOf(prompt), PromptTokens: prompt, OutputTokens: 1_000}
}

var _ = Describe("LeastWait", func() {
	// Guards against short requests that queue although another endpoint is free.
	It("orders short requests by expected wait", func() {
		all := []route.Candidate{candidate("a", 50_000), candidate("b", 0), candidate("c", 20_000)}
		all = append(all, candidate("cold", 8_000))
		all[3].Summary.State = peer.EndpointCold
		Expect(names(policy(1).Order(request(100), all, nil).Choices)).To(Equal([]string{"b", "c", "cold", "a"}))
	})

	// Guards against short requests behind a long prefill, and a full endpoint asked before one with room.
	It("asks endpoints with a long prefill late and full ones last", func() {
		all := []route.Candidate{candidate("full", 0), candidate("long", 0), candidate("busy", 30_000)}
		all[0].Summary.FreeStreams = 0
		all[1].Summary.LongPrefills = 1
		decision := policy(1).Order(request(100), all, nil)
		Expect(names(decision.Choices)).To(Equal([]string{"busy", "long", "full"}))
		Expect(decision.Choices[1].Reason).To(Equal(route.ReasonLongPrefill))
		Expect(decision.Choices[0].Wait).To(Equal(3010 * time.Millisecond))
	})

	// Guards against a cached prefix that is followed into a queue longer than the time it saves.
	DescribeTable("follows a cached prefix only while it pays", func(queued int64, least, most int) {
		all := []route.Candidate{candidate("cached", queued), candidate("other", 0)}
		all[0].CachedTokens = 5_000
		r := request(6_000)
		r.Prefix = 7
		first := 0
		for seed := range uint64(40) {
			if policy(seed).Order(r, all, nil).Choices[0].Endpoint == "cached" {
				first++
			}
		}
		Expect(first).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
		Entry("queue shorter than the time saved", int64(4_500), 40, 40),
		Entry("queue slightly longer", int64(5_500), 10, 30),
		Entry("queue much longer", int64(9_000), 0, 0),
	)

	// Guards against candidates that must not get work, and against the wrong reason in the decision log.
	DescribeTable("skips", func(change func(*route.Candidate), refusals route.Refusals, reason string) {
		one := candidate("a", 0)
		change(&one)
		for _, p := range []route.Policy{policy(1), leastrequests.New(source(), none), randomtwo.New(source(), none)} {
			decision := p.Order(request(100), []route.Candidate{one}, refusals)
			Expect(decision.Choices).To(BeEmpty())
			Expect(decision.Skipped).To(Equal([]route.Skip{{Endpoint: "a", Reason: reason}}))
		}
	},
		Entry("refused", func(*route.Candidate) {}, route.Refusals{"a": "memory"}, route.SkipRefused),
		Entry("out of service", func(c *route.Candidate) { c.AcceptsWork = false }, nil, route.SkipOutOfService),
		Entry("leaving", func(c *route.Candidate) { c.Summary.State = peer.EndpointLeaving }, nil, route.SkipLeaving),
		Entry("without owner", func(c *route.Candidate) { c.Owned = false }, nil, route.SkipNoOwner),
		Entry("old view", func(c *route.Candidate) { c.Age = 16 * time.Second }, nil, route.SkipStale),
		Entry("cold and full", func(c *route.Candidate) {
			c.Summary.State, c.Summary.FreeTokens = peer.EndpointCold, 500
		}, nil, route.SkipColdFull),
		Entry("cold and filled by own grants", func(c *route.Candidate) {
			c.Summary.State, c.OwnStreams = peer.EndpointCold, 16
		}, nil, route.SkipColdFull),
	)

	// Guards against eight gateways that send their next requests to the same endpoint of an idle fleet.
	It("spreads gateways with the same view", func() {
		first := map[string]int{}
		for seed := range uint64(800) {
			first[policy(seed).Order(request(100), fleet(20), nil).Choices[0].Endpoint]++
		}
		Expect(first).To(HaveLen(20))
		for _, count := range first {
			Expect(count).To(BeNumerically("<", 100))
		}
	})

	// Guards against a returned failure domain whose endpoints stay cold, because their few free streams give them little
	// work to warm up with.
	It("gives endpoints in cold start with room their share", func() {
		first := 0
		for seed := range uint64(800) {
			all := fleet(20)
			for i := range all {
				all[i].Age = time.Second
				if i < 7 {
					all[i].Summary.State, all[i].Summary.FreeStreams = peer.EndpointCold, 2
				}
			}
			if choice := policy(seed).Order(request(100), all, nil).Choices[0]; choice.State == peer.EndpointCold {
				first++
			}
		}
		Expect(first).To(BeNumerically("~", 800*7/20, 60))
	})

	// Guards against long prompts spread over the fleet, where they delay short ones everywhere.
	It("concentrates long requests in one order for all gateways", func() {
		all := fleet(20)
		order := names(policy(1).Order(request(200_000), all, nil).Choices)
		Expect(names(policy(2).Order(request(200_000), all, nil).Choices)).To(Equal(order))
		for i := range all {
			if all[i].Endpoint == order[0] {
				all[i].Summary.LongPrefills = 1
			}
		}
		next := policy(3).Order(request(200_000), all, nil)
		Expect(next.Choices[0].Endpoint).To(Equal(order[1]))
		Expect(next.Choices[19].Endpoint).To(Equal(order[0]))
		other := request(200_000)
		other.Service = "t"
		Expect(names(policy(1).Order(other, fleet(20), nil).Choices)).NotTo(Equal(order))
	})

	// Guards against a plain service that counts as full because it has no tokens.
	It("counts only streams for a plain service", func() {
		one := candidate("a", 0)
		one.PrefillRate, one.Summary.FreeTokens = 0, 0
		r := request(100)
		r.Plain = true
		Expect(policy(1).Order(r, []route.Candidate{one}, nil).Choices[0].Reason).To(Equal(route.ReasonLeastWait))
	})
})

func none(string) int { return 0 }

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

var _ = Describe("Baselines", func() {
	streams := func(endpoint string) int { return int(endpoint[2] - '0') }

	// Guards against baselines that make the comparison easy by a wrong order.
	It("put the least loaded, or the better of two, first", func() {
		Expect(names(leastrequests.New(source(), streams).Order(request(100), fleet(4), nil).Choices)).
			To(Equal([]string{"e00", "e01", "e02", "e03"}))
		p := randomtwo.New(source(), streams)
		first := map[string]int{}
		for range 600 {
			choices := p.Order(request(100), fleet(4), nil).Choices
			Expect(choices).To(HaveLen(4))
			first[choices[0].Endpoint]++
		}
		// The best of four is among two random ones half of the time, the worst never wins.
		Expect(first["e00"]).To(BeNumerically("~", 300, 50))
		Expect(first["e03"]).To(BeZero())
	})
})

// Guards against a group whose members are out of order, too small, repeated, or do not cover the prompt exactly once.
func TestGroupCoversThePrompt(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		r := request(rapid.Int64Range(1, 2_000_000).Draw(t, "prompt"))
		size := rapid.IntRange(0, 8).Draw(t, "size")
		all := fleet(rapid.IntRange(0, 10).Draw(t, "fleet"))
		room := 0
		for i := range all {
			all[i].Summary.FreeTokens = rapid.Int64Range(0, 600_000).Draw(t, "free")
			if size > 0 && all[i].Summary.FreeTokens >= (r.PromptTokens+int64(size)-1)/int64(size)+r.OutputTokens {
				room++
			}
		}
		members, err := route.ChooseGroup(r, size, all, nil)
		if size == 0 || room < size {
			var groupError *route.GroupError
			if !errors.As(err, &groupError) || groupError.Found != room {
				t.Fatalf("error %v, want a group error with %d endpoints", err, room)
			}
			return
		}
		if err != nil || len(members) != size {
			t.Fatalf("%d members and error %v, want %d members", len(members), err, size)
		}
		total, least := int64(0), members[size-1].PromptTokens
		for i, member := range members {
			total += member.PromptTokens
			if member.PromptTokens-least > 1 || member.PromptTokens < least || (i > 0) != (member.OutputTokens == 0) ||
				member.FreeTokens < member.PromptTokens+member.OutputTokens {
				t.Fatalf("member %d is %+v", i, member)
			}
		}
		sorted := sort.SliceIsSorted(members, func(i, j int) bool { return members[i].Endpoint < members[j].Endpoint })
		if total != r.PromptTokens || !sorted {
			t.Fatalf("members %+v cover %d of %d tokens", members, total, r.PromptTokens)
		}
	})
}

// Guards against a policy that asks a candidate twice, loses one or asks a refused one.
func TestEachCandidateAppearsOnce(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(0, 12).Draw(t, "fleet"))
		refusals := route.Refusals{}
		want := []string{}
		for i := range all {
			all[i].Summary.QueuedTokens = rapid.Int64Range(0, 100_000).Draw(t, "queued")
			all[i].Summary.LongPrefills = rapid.IntRange(0, 1).Draw(t, "long")
			all[i].Age = time.Duration(rapid.IntRange(0, 15).Draw(t, "age")) * time.Second
			if rapid.Bool().Draw(t, "refused") {
				refusals[all[i].Endpoint] = "memory"
			} else {
				want = append(want, all[i].Endpoint)
			}
		}
		r := request(rapid.Int64Range(1, 300_000).Draw(t, "prompt"))
		for _, p := range []route.Policy{policy(1), leastrequests.New(source(), none), randomtwo.New(source(), none)} {
			got := names(p.Order(r, all, refusals).Choices)
			sort.Strings(got)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

var _ = Describe("Prefixes", func() {
	// Guards against affinity to a cache that is gone, and against a table that grows without bound.
	It("forgets old prefixes, restarted endpoints and the excess", func() {
		p := route.NewPrefixes()
		now := time.Unix(1_000_000, 0)
		p.Note(now, 1, "a", 500)
		p.Note(now, 1, "b", 600)
		Expect(p.Cached(now, 1, "a")).To(Equal(int64(500)))
		p.Forget("a")
		Expect(p.Cached(now, 1, "a")).To(BeZero())
		Expect(p.Cached(now.Add(5*time.Minute+1), 1, "b")).To(BeZero())
		for prefix := range uint64(5_000) {
			p.Note(now, prefix, "c", 1)
		}
		kept := 0
		for prefix := range uint64(5_000) {
			kept += int(p.Cached(now, prefix, "c"))
		}
		Expect(kept).To(BeNumerically("<=", 4_096))
	})
})
