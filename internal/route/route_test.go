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

func warmCandidate(name string, queued int64) route.Candidate {
	return route.Candidate{
		Endpoint: name, Owned: true, AcceptsWork: true, PrefillRate: 10_000, LongPrefills: 1,
		Summary: peer.EndpointSummary{
			Endpoint: name, State: peer.EndpointWarm, FreeTokens: 400_000, FreeStreams: 16, QueuedTokens: queued,
		},
	}
}

func idleCandidates(size int) []route.Candidate {
	var candidates []route.Candidate
	for i := range size {
		candidates = append(candidates, warmCandidate(fmt.Sprintf("e%02d", i), 0))
	}
	return candidates
}

func policy(seed uint64) *route.LeastWait { return route.NewLeastWait(rand.New(rand.NewPCG(seed, 0))) }

func endpoints(choices []route.Choice) []string {
	var names []string
	for _, choice := range choices {
		names = append(names, choice.Endpoint)
	}
	return names
}

func request(prompt int64) route.Request {
	return route.Request{Service: "s", Class: peer.ClassOf(prompt), PromptTokens: prompt, OutputTokens: 1_000}
}

var _ = Describe("LeastWait", func() {
	// Guards against short requests that wait in a queue although another endpoint is idle.
	It("orders short requests by expected wait", func() {
		candidates := []route.Candidate{warmCandidate("a", 50_000), warmCandidate("b", 0), warmCandidate("c", 20_000)}
		candidates = append(candidates, warmCandidate("cold", 8_000))
		candidates[3].Summary.State = peer.EndpointCold
		Expect(endpoints(policy(1).Order(request(100), candidates, nil).Choices)).To(Equal([]string{"b", "c", "cold", "a"}))
	})

	// Guards against short requests that wait for a long prefill, and against a full endpoint ahead of one with room.
	It("puts full endpoints last and those with a long prefill before them", func() {
		candidates := []route.Candidate{warmCandidate("full", 0), warmCandidate("long", 0), warmCandidate("busy", 30_000)}
		candidates[0].Summary.FreeStreams = 0
		candidates[1].Summary.LongPrefills = 1
		decision := policy(1).Order(request(100), candidates, nil)
		Expect(endpoints(decision.Choices)).To(Equal([]string{"busy", "long", "full"}))
		Expect(decision.Choices[1].Reason).To(Equal(route.ReasonLongPrefill))
		Expect(decision.Choices[0].Wait).To(Equal(3010 * time.Millisecond))
	})

	// Guards against an endpoint that is chosen for its cached prefix although its queue is longer than the time saved.
	DescribeTable("prefers a cached prefix only if it saves time", func(queued int64, minFirst, maxFirst int) {
		candidates := []route.Candidate{warmCandidate("cached", queued), warmCandidate("other", 0)}
		candidates[0].CachedTokens = 5_000
		r := request(6_000)
		r.Prefix = 7
		first := 0
		for seed := range uint64(40) {
			if policy(seed).Order(r, candidates, nil).Choices[0].Endpoint == "cached" {
				first++
			}
		}
		Expect(first).To(And(BeNumerically(">=", minFirst), BeNumerically("<=", maxFirst)))
	},
		Entry("queue shorter than the time saved", int64(4_500), 40, 40),
		Entry("queue slightly longer than the time saved", int64(5_500), 10, 30),
		Entry("queue much longer than the time saved", int64(9_000), 0, 0),
	)

	// Guards against choices that must not get work, and against a wrong reason in the log line of the decision.
	DescribeTable("skips", func(change func(*route.Candidate), refusals route.Refusals, reason string) {
		candidate := warmCandidate("a", 0)
		change(&candidate)
		for _, p := range []route.Policy{policy(1), leastrequests.New(random(), noRequests), randomtwo.New(random(), noRequests)} {
			decision := p.Order(request(100), []route.Candidate{candidate}, refusals)
			Expect(decision.Choices).To(BeEmpty())
			Expect(decision.Skipped).To(Equal([]route.Skip{{Endpoint: "a", Reason: reason}}))
		}
	},
		Entry("refused", func(*route.Candidate) {}, route.Refusals{"a": "memory"}, route.SkipRefused),
		Entry("out of service", func(c *route.Candidate) { c.AcceptsWork = false }, nil, route.SkipOutOfService),
		Entry("leaving", func(c *route.Candidate) { c.Summary.State = peer.EndpointLeaving }, nil, route.SkipLeaving),
		Entry("without owner", func(c *route.Candidate) { c.Owned = false }, nil, route.SkipNoOwner),
		Entry("old summary", func(c *route.Candidate) { c.Age = 16 * time.Second }, nil, route.SkipStale),
		Entry("cold and full", func(c *route.Candidate) {
			c.Summary.State, c.Summary.FreeTokens = peer.EndpointCold, 500
		}, nil, route.SkipColdFull),
		Entry("cold and filled by grants to this gateway", func(c *route.Candidate) {
			c.Summary.State, c.LocalStreams = peer.EndpointCold, 16
		}, nil, route.SkipColdFull),
	)

	// Guards against gateways that all send their next request to the same endpoint of an idle fleet.
	It("spreads the requests of gateways with the same summaries", func() {
		first := map[string]int{}
		for seed := range uint64(800) {
			first[policy(seed).Order(request(100), idleCandidates(20), nil).Choices[0].Endpoint]++
		}
		Expect(first).To(HaveLen(20))
		for _, count := range first {
			Expect(count).To(BeNumerically("<", 100))
		}
	})

	// Guards against a failure domain that is back in service and whose endpoints stay cold: if requests were spread by
	// free streams, they would get too little work to warm up.
	It("sends endpoints in cold start an equal number of requests if they have room", func() {
		first := 0
		for seed := range uint64(800) {
			candidates := idleCandidates(20)
			for i := range candidates {
				candidates[i].Age = time.Second
				if i < 7 {
					candidates[i].Summary.State, candidates[i].Summary.FreeStreams = peer.EndpointCold, 2
				}
			}
			if choice := policy(seed).Order(request(100), candidates, nil).Choices[0]; choice.State == peer.EndpointCold {
				first++
			}
		}
		Expect(first).To(BeNumerically("~", 800*7/20, 60))
	})

	// Guards against long prompts that are spread over the fleet and delay short ones at all endpoints.
	It("puts endpoints in the same order for the long requests of all gateways", func() {
		candidates := idleCandidates(20)
		order := endpoints(policy(1).Order(request(200_000), candidates, nil).Choices)
		Expect(endpoints(policy(2).Order(request(200_000), candidates, nil).Choices)).To(Equal(order))
		for i := range candidates {
			if candidates[i].Endpoint == order[0] {
				candidates[i].Summary.LongPrefills = 1
			}
		}
		next := policy(3).Order(request(200_000), candidates, nil)
		Expect(next.Choices[0].Endpoint).To(Equal(order[1]))
		Expect(next.Choices[19].Endpoint).To(Equal(order[0]))
		other := request(200_000)
		other.Service = "t"
		Expect(endpoints(policy(1).Order(other, idleCandidates(20), nil).Choices)).NotTo(Equal(order))
	})

	// Guards against a plain service that is considered full because its endpoints have no free tokens.
	It("counts only streams for a plain service", func() {
		candidate := warmCandidate("a", 0)
		candidate.PrefillRate, candidate.Summary.FreeTokens = 0, 0
		r := request(100)
		r.Plain = true
		Expect(policy(1).Order(r, []route.Candidate{candidate}, nil).Choices[0].Reason).To(Equal(route.ReasonLeastWait))
	})
})

func noRequests(string) int { return 0 }

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

var _ = Describe("Baselines", func() {
	requests := func(endpoint string) int { return int(endpoint[2] - '0') }

	// Guards against baselines with a wrong order, which would make the comparison with LeastWait meaningless.
	It("put the least loaded endpoint, or the less loaded of two random ones, first", func() {
		Expect(endpoints(leastrequests.New(random(), requests).Order(request(100), idleCandidates(4), nil).Choices)).
			To(Equal([]string{"e00", "e01", "e02", "e03"}))
		p := randomtwo.New(random(), requests)
		first := map[string]int{}
		for range 600 {
			choices := p.Order(request(100), idleCandidates(4), nil).Choices
			Expect(choices).To(HaveLen(4))
			first[choices[0].Endpoint]++
		}
		// The least loaded of four endpoints is among two random ones half of the time; the most loaded one is never first.
		Expect(first["e00"]).To(BeNumerically("~", 300, 50))
		Expect(first["e03"]).To(BeZero())
	})
})

// Guards against a group whose members are out of order, lack room for their segments, or whose segments do not add up to
// the prompt.
func TestGroupCoversThePrompt(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		r := request(rapid.Int64Range(1, 2_000_000).Draw(t, "prompt"))
		size := rapid.IntRange(0, 8).Draw(t, "size")
		candidates := idleCandidates(rapid.IntRange(0, 10).Draw(t, "fleet"))
		withRoom := 0
		for i := range candidates {
			candidates[i].Summary.FreeTokens = rapid.Int64Range(0, 600_000).Draw(t, "free")
			if size > 0 && candidates[i].Summary.FreeTokens >= (r.PromptTokens+int64(size)-1)/int64(size)+r.OutputTokens {
				withRoom++
			}
		}
		members, err := route.ChooseGroup(r, size, candidates, nil)
		if size == 0 || withRoom < size {
			var groupError *route.GroupError
			if !errors.As(err, &groupError) || groupError.Found != withRoom {
				t.Fatalf("error %v, want a group error with %d endpoints", err, withRoom)
			}
			return
		}
		if err != nil || len(members) != size {
			t.Fatalf("%d members and error %v, want %d members", len(members), err, size)
		}
		total, minFirst := int64(0), members[size-1].PromptTokens
		for i, member := range members {
			total += member.PromptTokens
			if member.PromptTokens-minFirst > 1 || member.PromptTokens < minFirst || (i > 0) != (member.OutputTokens == 0) ||
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

// Guards against a policy whose order contains a candidate twice, omits one or contains one that has refused the request.
func TestEachCandidateAppearsOnce(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		candidates := idleCandidates(rapid.IntRange(0, 12).Draw(t, "fleet"))
		refusals := route.Refusals{}
		want := []string{}
		for i := range candidates {
			candidates[i].Summary.QueuedTokens = rapid.Int64Range(0, 100_000).Draw(t, "queued")
			candidates[i].Summary.LongPrefills = rapid.IntRange(0, 1).Draw(t, "long")
			candidates[i].Age = time.Duration(rapid.IntRange(0, 15).Draw(t, "age")) * time.Second
			if rapid.Bool().Draw(t, "refused") {
				refusals[candidates[i].Endpoint] = "memory"
			} else {
				want = append(want, candidates[i].Endpoint)
			}
		}
		r := request(rapid.Int64Range(1, 300_000).Draw(t, "prompt"))
		for _, p := range []route.Policy{policy(1), leastrequests.New(random(), noRequests), randomtwo.New(random(), noRequests)} {
			got := endpoints(p.Order(r, candidates, refusals).Choices)
			sort.Strings(got)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

var _ = Describe("Prefixes", func() {
	// Guards against affinity to a prefix that the engine no longer has in its cache, and against a table that grows without
	// limit.
	It("deletes expired entries, those of restarted endpoints and those above the maximum", func() {
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
