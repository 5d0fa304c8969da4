package loadgen

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newPlanOptions(seed uint64, requests int) Options {
	o := Options{Gateways: []string{"g"}, Requests: requests, Rate: 100, Seed: seed, Profiles: []string{"a", "b"}}
	Expect(o.prepare()).To(Succeed())
	return o
}

var _ = Describe("plan", func() {
	// Guards against runs that cannot be compared because equal options and seeds give different plans.
	It("is the same for the same options and seed, in order of arrival", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o := newPlanOptions(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 200).Draw(t, "requests"))
			jobs := plan(o)
			again := plan(o)
			for i := range jobs {
				if jobs[i] != again[i] || (i > 0 && jobs[i].at < jobs[i-1].at) {
					t.Fatalf("job %d differs or is out of order", i)
				}
			}
		})
	})

	// Guards against prompts that are larger than one engine's memory but are sent with a profile that has no group.
	It("uses the profile of a class", func() {
		o := newPlanOptions(1, 100)
		o.Classes = []Class{{Name: "long", Tokens: 1000, Share: 1, Profile: "grouped"}}
		for _, j := range plan(o) {
			Expect(j.profile).To(Equal("grouped"))
		}
	})

	// Guards against a comparison of loads with and without long prompts in which the short prompts differ too.
	It("leaves out long prompts and nothing else", func() {
		o := newPlanOptions(1, 1000)
		all := plan(o)
		o.WithoutLong = true
		short := plan(o)
		Expect(len(short)).To(BeNumerically("<", len(all)))
		for _, j := range all {
			if j.class.Tokens <= longClassTokens {
				Expect(short[0]).To(Equal(j))
				short = short[1:]
			}
		}
		Expect(short).To(BeEmpty())
	})

	// Guards against a mix without the long prompts or the large teams whose effect is measured.
	It("has one long prompt in fifty and a few large teams", func() {
		long := 0
		teams := make(map[string]int)
		jobs := plan(newPlanOptions(1, 50_000))
		for _, j := range jobs {
			teams[j.team]++
			if j.class.Tokens > longClassTokens {
				long++
			}
		}
		Expect(long).To(BeNumerically("~", 1000, 100))
		Expect(teams).To(HaveLen(10))
		Expect(teams["team-01"]).To(BeNumerically("~", 12_000, 600))
		Expect(teams["team-10"]).To(BeNumerically("~", 2_000, 300))
	})

	// Guards against prompts whose length differs from that of their class, or that are the same for two requests.
	It("gives each job a prompt of its class's length", func() {
		o := newPlanOptions(1, 2)
		p := newPrompts(o)
		seen := make(map[string]bool)
		for _, class := range o.Classes {
			prefix, shared := p.parts(job{index: class.Tokens, class: class})
			Expect(len(prefix) + len(shared)).To(Equal(class.Tokens * bytesPerToken))
			seen[string(prefix)] = true
		}
		Expect(seen).To(HaveLen(len(o.Classes)))
	})

	// Guards against a run that starts with invalid options.
	It("reports all errors in the options together", func() {
		err := (&Options{Rate: -1}).prepare()
		Expect(err).To(MatchError(And(ContainSubstring("gateway"), ContainSubstring("rate"), ContainSubstring("profile"))))
	})
})
