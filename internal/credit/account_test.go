package credit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestCredit(t *testing.T) { testkit.RunSpecs(t, "credit") }

// fixture drives one account without faults.
type fixture struct {
	account *credit.Account
	now     time.Time
	streams map[string]engine.Stream
	next    int
	warm    bool
	start   string
}

// newFixture returns a fixture whose owner acquired the lease two seconds ago and has a fresh report.
func newFixture(limits credit.Limits) *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0), streams: map[string]engine.Stream{}, warm: true, start: "s1"}
	f.account = credit.New(credit.Options{Endpoint: "e", Owner: "o", Limits: limits, AcquiredAt: f.now})
	f.pass(2 * time.Second)
	return f
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.observe(0)
}

func (f *fixture) observe(used int64) {
	report := engine.LoadReport{StartID: f.start, AtMS: f.now.UnixMilli(), Warm: f.warm, UsedTokens: used}
	for _, stream := range f.streams {
		report.Streams = append(report.Streams, stream)
	}
	f.account.EngineReport(f.now, report, f.now)
}

func (f *fixture) ask(team string, prompt, output int64) peer.CreditReply {
	f.next++
	return f.account.Reserve(f.now, peer.CreditRequest{
		RequestID: f.id(), Endpoint: "e", Team: team, PromptTokens: prompt, OutputTokens: output, BudgetLeft: time.Minute,
	}, "g", 1)
}

func (f *fixture) id() string { return fmt.Sprint("r", f.next) }

func (f *fixture) report(id string, state peer.ReportState, firstToken time.Duration) {
	f.reportFrom(1, id, state, firstToken)
}

func (f *fixture) reportFrom(incarnation int64, id string, state peer.ReportState, firstToken time.Duration) {
	item := peer.CreditReportItem{RequestID: id, Endpoint: "e", State: state, PromptTokens: 1_000, FirstToken: firstToken}
	f.account.Report(f.now, peer.CreditReport{Gateway: "g", Incarnation: incarnation, Items: []peer.CreditReportItem{item}})
}

// run asks for a stream and lets the engine list it.
func (f *fixture) run(team string, prompt, output int64) peer.CreditReply {
	reply := f.ask(team, prompt, output)
	if reply.Granted {
		f.report(f.id(), peer.ReportStarted, 0)
		f.streams[f.id()] = engine.Stream{ID: f.id(), Tokens: prompt + output, Phase: engine.PhaseDecode}
		f.pass(time.Millisecond)
	}
	return reply
}

func (f *fixture) end(id string) {
	delete(f.streams, id)
	f.report(id, peer.ReportDone, 0)
}

func (f *fixture) complete(count int) {
	for range count {
		if f.run("warm-up", 100, 0).Granted {
			f.end(f.id())
		}
	}
}

func (f *fixture) state() peer.EndpointState { return f.account.Summary(f.now).State }

// warmFixture returns a fixture at the last step, which takes 3 + 6 + 12 + 16 completions.
func warmFixture() *fixture {
	f := newFixture(modelLimits)
	f.complete(37)
	return f
}

var _ = Describe("Account", func() {
	// Guards against a ramp that rises on fewer completions than a whole step, or past the last step.
	It("doubles on a whole step of completed work", func() {
		f := newFixture(modelLimits)
		f.complete(2)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
		f.complete(1)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(6))
		Expect(f.state()).To(Equal(peer.EndpointWarming))
		f.complete(18)
		Expect(f.account.Summary(f.now).FreeTokens).To(Equal(int64(320_000)))
		f.complete(16)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(16))
		Expect(f.state()).To(Equal(peer.EndpointWarm))
	})

	// Guards against a step without the engine's word, which made a cold engine fall over, and against a report that
	// raises a limit by itself.
	It("needs completed work and a warm report for each step", func() {
		f := newFixture(modelLimits)
		f.pass(time.Second)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.warm = false
		f.complete(60)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.warm = true
		f.pass(time.Second)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.complete(1)
		Expect(f.state()).To(Equal(peer.EndpointWarming))
		f.complete(6 + 12 + 16)
		Expect(f.state()).To(Equal(peer.EndpointWarm))
	})

	// Guards against an endpoint that stays warm although something speaks against it.
	DescribeTable("returns to the first step", func(doubt func(f *fixture), want peer.EndpointState) {
		f := warmFixture()
		Expect(f.state()).To(Equal(peer.EndpointWarm))
		doubt(f)
		Expect(f.state()).To(Equal(want))
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 3))
	},
		Entry("failed request", func(f *fixture) {
			f.run("a", 1_000, 0)
			f.report(f.id(), peer.ReportFailed, 0)
		}, peer.EndpointCold),
		Entry("new start id", func(f *fixture) {
			f.start = "s2"
			f.pass(time.Second)
		}, peer.EndpointCold),
		Entry("new start id in a report that is not newer", func(f *fixture) {
			f.start = "s2"
			f.observe(0)
		}, peer.EndpointCold),
		Entry("report that is not warm any more", func(f *fixture) {
			f.warm = false
			f.pass(time.Second)
		}, peer.EndpointCold),
		Entry("two failed reads", func(f *fixture) {
			f.account.ReportFailed(f.now)
			f.account.ReportFailed(f.now)
		}, peer.EndpointCold),
		Entry("stale report", func(f *fixture) { f.now = f.now.Add(credit.UnknownAfter + 1) }, peer.EndpointUnknown),
		Entry("first token far beyond the prefill rate", func(f *fixture) {
			limits := modelLimits
			limits.PrefillRate = 10_000
			f.account.SetLimits(limits)
			f.run("a", 10_000, 0)
			f.report(f.id(), peer.ReportPrefill, 6*time.Second)
		}, peer.EndpointCold),
	)

	// Guards against one lost packet, a caller that leaves or a usual latency costing the ramp.
	It("stays warm without real doubt", func() {
		f := warmFixture()
		f.account.ReportFailed(f.now)
		limits := modelLimits
		limits.PrefillRate = 10_000
		f.account.SetLimits(limits)
		f.run("a", 10_000, 0)
		f.report(f.id(), peer.ReportPrefill, 2*time.Second)
		f.report(f.id(), peer.ReportCancelled, 0)
		Expect(f.state()).To(Equal(peer.EndpointWarm))
	})

	// Guards against a stale endpoint that counts as healthy.
	It("grants the cold limit after 5 s without a report and nothing after 15 s", func() {
		f := warmFixture()
		f.now = f.now.Add(credit.UnknownAfter + 1)
		for range 3 {
			Expect(f.ask("a", 100, 0).Granted).To(BeTrue())
		}
		Expect(f.ask("a", 100, 0).Reason).To(Equal(credit.ReasonColdLimit))
		f.now = f.now.Add(credit.MaxReportAge)
		Expect(f.ask("a", 100, 0).Reason).To(Equal(credit.ReasonUnknown))
	})

	// Guards against a new owner that grants while a credit of the earlier one may yet become a stream: gateway clocks may
	// be 5% slow and the engine takes time to list a stream.
	It("grants only after a report that is later than the last hand-over", func() {
		f := &fixture{now: time.Unix(1_000_000, 0), start: "s1"}
		f.account = credit.New(credit.Options{Endpoint: "e", Limits: modelLimits, AcquiredAt: f.now})
		f.pass(1299 * time.Millisecond)
		f.now = f.now.Add(time.Second)
		Expect(f.ask("a", 1, 1).Reason).To(Equal(credit.ReasonAcquiring))
		f.observe(0)
		Expect(f.ask("a", 1, 1).Granted).To(BeTrue())
	})

	// Guards against memory that is granted twice, by short prompts beside long ones or as memory nobody accounts for.
	It("never grants more than the engine's memory", func() {
		f := warmFixture()
		for range 3 {
			Expect(f.run("a", 90_000, 8_000).Granted).To(BeTrue())
		}
		Expect(f.ask("a", 90_000, 0).Reason).To(Equal(credit.ReasonMemory))
		for range 8 {
			Expect(f.run("a", 8_000, 4_000).Granted).To(BeTrue())
		}
		Expect(f.ask("a", 8_000, 4_000).Reason).To(Equal(credit.ReasonMemory))
		Expect(f.run("a", 8_000, 0).Granted).To(BeTrue())
		f.now = f.now.Add(time.Second)
		f.observe(399_000)
		Expect(f.ask("a", 1_500, 0).Reason).To(Equal(credit.ReasonMemory))
	})

	// Guards against a stream in the report that is taken for a leak because the report lags behind the end.
	It("ignores a lagging listing of an ended stream and reports a late one as an orphan", func() {
		f := newFixture(modelLimits)
		f.run("a", 1_000, 0)
		f.report(f.id(), peer.ReportDone, 0)
		f.pass(500 * time.Millisecond)
		f.report(f.id(), peer.ReportHeld, 0)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
		f.streams[f.id()] = engine.Stream{ID: f.id(), Tokens: 1_000, Phase: engine.PhaseDecode}
		f.pass(time.Second)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(2))
		Expect(f.account.Orphans(f.now)).To(BeEmpty())
		f.pass(credit.HolderTimeout)
		Expect(f.account.Orphans(f.now)).To(Equal([]string{f.id()}))
		Expect(f.account.Orphans(f.now)).To(Equal([]string{f.id()}))
		f.streams = nil
		f.pass(time.Second)
		Expect(f.account.Orphans(f.now)).To(BeEmpty())
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
	})

	// Guards against the cancellation of a stream that a live gateway holds, and against holdings of a replaced gateway
	// process that arrive late and keep its streams.
	It("takes a stream for an orphan only if no live gateway holds it", func() {
		f := newFixture(modelLimits)
		f.run("a", 1_000, 0)
		stream := f.id()
		for range 8 {
			f.pass(time.Second)
			f.report(stream, peer.ReportHeld, 0)
			Expect(f.account.Orphans(f.now)).To(BeEmpty())
		}
		f.reportFrom(2, "new", peer.ReportHeld, 0)
		for range 5 {
			f.pass(time.Second)
			f.report(stream, peer.ReportHeld, 0)
		}
		Expect(f.account.Orphans(f.now)).To(Equal([]string{stream}))
	})

	// Guards against the loss of a reservation whose engine is slow to accept the request.
	It("keeps a reservation that its gateway holds before the engine lists it", func() {
		f := newFixture(modelLimits)
		f.ask("a", 1_000, 0)
		for range 4 {
			f.report(f.id(), peer.ReportStarted, 0)
			f.report(f.id(), peer.ReportUnused, 0)
			f.pass(time.Second)
			Expect(f.account.Summary(f.now).FreeStreams).To(Equal(2))
		}
		f.pass(credit.HolderTimeout)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
	})

	// Guards against a second long prefill beside one whose cancellation was lost.
	It("counts a cancelled long prefill until the engine has dropped it", func() {
		f := warmFixture()
		Expect(f.ask("a", 101_000, 0).Granted).To(BeTrue())
		f.report(f.id(), peer.ReportCancelled, 0)
		Expect(f.ask("a", 101_000, 0).Reason).To(Equal(credit.ReasonLongPrefills))
		f.pass(2 * time.Second)
		Expect(f.ask("a", 101_000, 0).Granted).To(BeTrue())
	})

	// Guards against a new owner that forgets streams which their gateway has ended but the engine goes on with.
	It("counts a cancelled stream of an earlier owner and an exported segment", func() {
		f := newFixture(modelLimits)
		f.report("cancelled", peer.ReportCancelled, 0)
		f.report("segment", peer.ReportDone, 0)
		f.streams["cancelled"] = engine.Stream{ID: "cancelled", Tokens: 1_000, Phase: engine.PhasePrefill}
		f.streams["segment"] = engine.Stream{ID: "segment", Tokens: 1_000, Phase: engine.PhaseExported}
		f.pass(100 * time.Millisecond)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(1))
	})

	// Guards against a group member's segment whose memory is granted again before it is imported.
	It("keeps an exported segment after its end", func() {
		f := newFixture(modelLimits)
		f.account.Reserve(f.now, peer.CreditRequest{
			RequestID: "member", Endpoint: "e", PromptTokens: 30_000, BudgetLeft: time.Minute, Group: true,
		}, "g", 1)
		f.report("member", peer.ReportDone, time.Second)
		Expect(f.account.Summary(f.now).FreeTokens).To(Equal(int64(10_000)))
	})

	// Guards against refusals that do not tell the gateway what to do next.
	DescribeTable("refuses with a reason", func(change func(*fixture, *peer.CreditRequest), reason string) {
		f := newFixture(modelLimits)
		ask := peer.CreditRequest{RequestID: "x", Endpoint: "e", PromptTokens: 1_000, BudgetLeft: time.Second}
		change(f, &ask)
		Expect(f.account.Reserve(f.now, ask, "g", 1).Reason).To(Equal(reason))
	},
		Entry("other endpoint", func(_ *fixture, a *peer.CreditRequest) { a.Endpoint = "other" }, credit.ReasonNotOwner),
		Entry("negative tokens", func(_ *fixture, a *peer.CreditRequest) { a.OutputTokens = -1 }, credit.ReasonBadRequest),
		Entry("leaving", func(f *fixture, _ *peer.CreditRequest) { f.account.SetLeaving(true) }, credit.ReasonLeaving),
		Entry("repeated id", func(f *fixture, a *peer.CreditRequest) {
			f.account.Reserve(f.now, *a, "g", 1)
		}, credit.ReasonDuplicate),
		Entry("budget spent", func(_ *fixture, a *peer.CreditRequest) { a.BudgetLeft = 0 }, credit.ReasonBudget),
		Entry("prefill longer than the budget", func(f *fixture, _ *peer.CreditRequest) {
			limits := modelLimits
			limits.PrefillRate = 900
			f.account.SetLimits(limits)
		}, credit.ReasonBudget),
	)

	// Guards against a revision that raises the limit in force without completed work.
	It("keeps the limit in force when a revision changes the warm limit", func() {
		f := warmFixture()
		limits := modelLimits
		limits.Warm = config.Limit{Streams: 64, Tokens: 800_000}
		f.account.SetLimits(limits)
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 16))
		limits.Cold.Streams = 6
		f.account.SetLimits(limits)
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 16))
	})

	// Guards against plain services that need engine reports, and against streams that a dead gateway keeps.
	It("counts only streams for a plain service", func() {
		limits := credit.Limits{Plain: true, Cold: config.Limit{Streams: 1}, Warm: config.Limit{Streams: 1}}
		f := &fixture{now: time.Unix(1_000_000, 0)}
		f.account = credit.New(credit.Options{Endpoint: "e", Limits: limits, AcquiredAt: f.now})
		f.now = f.now.Add(2 * time.Second)
		Expect(f.ask("a", 1_000, 0).Reason).To(Equal(credit.ReasonAcquiring))
		f.now = f.now.Add(time.Second)
		Expect(f.ask("a", 1_000, 0).Granted).To(BeTrue())
		f.report(f.id(), peer.ReportStarted, 0)
		Expect(f.ask("a", 1_000, 0).Reason).To(Equal(credit.ReasonStreams))
		f.account.GatewayDead("g", 1)
		f.now = f.now.Add(credit.HolderTimeout)
		Expect(f.ask("a", 1_000, 0).Granted).To(BeTrue())
		f.report(f.id(), peer.ReportDone, 0)
		Expect(f.ask("a", 1_000, 0).Granted).To(BeTrue())
	})

	// Guards against a stream that stays idle because both teams would exceed their shares with it.
	It("gives the odd stream to the team with the least service", func() {
		f := newFixture(modelLimits)
		for range 3 {
			Expect(f.ask("a", 100, 0).Granted).To(BeTrue())
		}
		Expect(f.ask("b", 100, 0).Reason).To(Equal(credit.ReasonColdLimit))
		f.report("r1", peer.ReportUnused, 0)
		f.report("r2", peer.ReportUnused, 0)
		Expect(f.ask("a", 100, 0).Reason).To(Equal(credit.ReasonTeamShare))
		Expect(f.ask("b", 100, 0).Granted).To(BeTrue())
		Expect(f.ask("a", 100, 0).Granted).To(BeTrue())
		f.report(f.id(), peer.ReportUnused, 0)
		Expect(f.ask("a", 100, 0).Granted).To(BeTrue())
		Expect(f.ask("a", 100, 0).Granted).To(BeFalse())
		f.report("r3", peer.ReportUnused, 0)
		Expect(f.ask("b", 100, 0).Granted).To(BeTrue())
	})

	// Guards against a team that takes each place for a long prefill as soon as it is free.
	It("lets waiting teams take turns with long prefills", func() {
		f := warmFixture()
		Expect(f.ask("a", 101_000, 0).Granted).To(BeTrue())
		first := f.id()
		Expect(f.ask("b", 101_000, 0).Reason).To(Equal(credit.ReasonLongPrefills))
		f.report(first, peer.ReportDone, 0)
		Expect(f.ask("a", 101_000, 0).Reason).To(Equal(credit.ReasonTeamShare))
		Expect(f.ask("a", 100, 0).Granted).To(BeTrue())
		Expect(f.ask("b", 101_000, 0).Granted).To(BeTrue())
	})

	// Guards against an idle endpoint that a single team may not fill.
	It("lets one team fill an idle endpoint", func() {
		f := warmFixture()
		for range 16 {
			f.run("a", 100, 0)
		}
		Expect(f.account.Summary(f.now).FreeStreams).To(BeZero())
	})
})

var _ = Describe("LoadReport", func() {
	// Guards against a lagging report that counts as fresh because the clocks differ.
	It("dates a sample not later than it was taken", func() {
		now := time.UnixMilli(10_000)
		at, err := (&engine.LoadReport{AtMS: 9_000}).SampleTime(now)
		Expect(err).NotTo(HaveOccurred())
		Expect(now.Sub(at)).To(Equal(time.Second + engine.MaxClockSkew))
		_, err = (&engine.LoadReport{AtMS: 10_300}).SampleTime(now)
		Expect(err).To(MatchError(ContainSubstring("ahead")))
	})
})

// Guards against long and medium prompts that take the share of short ones, at any step and before the engine lists them.
func TestLongPromptsLeaveTheShortShare(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(modelLimits)
		f.complete(uniform(t, "completed", 40))
		for range 20 {
			prompt := prompts[5+uniform(t, "prompt", len(prompts)-6)]
			if uniform(t, "listed", 1) == 1 {
				f.run("a", prompt, 0)
			} else {
				f.ask("a", prompt, 0)
			}
		}
		if reply := f.ask("b", 8_000, 2_000); !reply.Granted {
			t.Fatalf("short prompt refused: %s", reply.Reason)
		}
	})
}

// Guards against a team that others keep from its share: they ask all the time, and always first. It must get a stream
// within two request lifetimes and its retry interval, as only its share of the streams needs to drain.
func TestTeamIsNotStarved(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		limits := modelLimits
		limits.Weights = map[string]int{"a": 1 + uniform(t, "weight a", 4), "b": 1 + uniform(t, "weight b", 4)}
		f := newFixture(limits)
		f.complete(37 * uniform(t, "warm", 1))
		lifetime := 1 + uniform(t, "lifetime", 4)
		prompt := prompts[uniform(t, "prompt", 3)]
		ends := map[int][]string{}
		last := 0
		for tick := range 300 {
			for _, id := range ends[tick] {
				f.end(id)
			}
			f.pass(200 * time.Millisecond)
			for range 16 {
				if f.run("a", prompt, 0).Granted {
					ends[tick+5*lifetime] = append(ends[tick+5*lifetime], f.id())
				}
			}
			if tick > 20 && f.run("b", 100, 0).Granted {
				f.end(f.id())
				last = tick
			}
			if tick > 20 && tick-max(last, 20) > 10*lifetime+5 {
				t.Fatalf("tick %d: team b got its last stream at tick %d", tick, last)
			}
		}
	})
}
