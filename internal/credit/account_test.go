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

// fixture simulates an engine and a gateway for one account, without faults.
type fixture struct {
	account *credit.Account
	now     time.Time
	streams map[string]engine.Stream
	lastID  int
	warm    bool
	startID string
}

// newFixture returns a fixture whose owner acquired the lease two seconds ago and has a current report.
func newFixture(limits credit.Limits) *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0), streams: map[string]engine.Stream{}, warm: true, startID: "s1"}
	f.account = credit.New(credit.Options{Endpoint: "e", Owner: "o", Limits: limits, AcquiredAt: f.now})
	f.advance(2 * time.Second)
	return f
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.reportLoad(0)
}

func (f *fixture) reportLoad(used int64) {
	report := engine.LoadReport{StartID: f.startID, AtMS: f.now.UnixMilli(), Warm: f.warm, UsedTokens: used}
	for _, stream := range f.streams {
		report.Streams = append(report.Streams, stream)
	}
	f.account.EngineReport(f.now, report, f.now)
}

func (f *fixture) reserve(team string, prompt, output int64) peer.CreditReply {
	f.lastID++
	return f.account.Reserve(f.now, peer.CreditRequest{
		RequestID: f.requestID(), Endpoint: "e", Team: team, PromptTokens: prompt, OutputTokens: output, BudgetLeft: time.Minute,
	}, "g", 1)
}

func (f *fixture) requestID() string { return fmt.Sprint("r", f.lastID) }

func (f *fixture) report(id string, state peer.ReportState, firstToken time.Duration) {
	f.reportFrom(1, id, state, firstToken)
}

func (f *fixture) reportFrom(incarnation int64, id string, state peer.ReportState, firstToken time.Duration) {
	item := peer.CreditReportItem{RequestID: id, Endpoint: "e", State: state, PromptTokens: 1_000, FirstToken: firstToken}
	f.account.Report(f.now, peer.CreditReport{Gateway: "g", Incarnation: incarnation, Items: []peer.CreditReportItem{item}})
}

// startStream reserves a stream and, if it is granted, lets the engine list it as decoding.
func (f *fixture) startStream(team string, prompt, output int64) peer.CreditReply {
	reply := f.reserve(team, prompt, output)
	if reply.Granted {
		f.report(f.requestID(), peer.ReportStarted, 0)
		f.streams[f.requestID()] = engine.Stream{ID: f.requestID(), Tokens: prompt + output, Phase: engine.PhaseDecode}
		f.advance(time.Millisecond)
	}
	return reply
}

func (f *fixture) finish(id string) {
	delete(f.streams, id)
	f.report(id, peer.ReportDone, 0)
}

func (f *fixture) complete(count int) {
	for range count {
		if f.startStream("warm-up", 100, 0).Granted {
			f.finish(f.requestID())
		}
	}
}

func (f *fixture) state() peer.EndpointState { return f.account.Summary(f.now).State }

// warmFixture returns a fixture at the last step of the ramp, which needs 3 + 6 + 12 + 16 completed requests.
func warmFixture() *fixture {
	f := newFixture(modelLimits)
	f.complete(37)
	return f
}

var _ = Describe("Account", func() {
	// Guards against a ramp that raises the limit after less completed work than the step requires, or above the last
	// step.
	It("doubles the limit after a whole step of completed work", func() {
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

	// Guards against a step without a warm report, which once overloaded a cold engine, and against a report that raises
	// the limit without completed work.
	It("needs completed work and a warm report for each step", func() {
		f := newFixture(modelLimits)
		f.advance(time.Second)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.warm = false
		f.complete(60)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.warm = true
		f.advance(time.Second)
		Expect(f.state()).To(Equal(peer.EndpointCold))
		f.complete(1)
		Expect(f.state()).To(Equal(peer.EndpointWarming))
		f.complete(6 + 12 + 16)
		Expect(f.state()).To(Equal(peer.EndpointWarm))
	})

	// Guards against an endpoint that stays warm after an event that shows that its engine may be cold.
	DescribeTable("returns to the first step", func(change func(f *fixture), want peer.EndpointState) {
		f := warmFixture()
		Expect(f.state()).To(Equal(peer.EndpointWarm))
		change(f)
		Expect(f.state()).To(Equal(want))
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 3))
	},
		Entry("failed request", func(f *fixture) {
			f.startStream("a", 1_000, 0)
			f.report(f.requestID(), peer.ReportFailed, 0)
		}, peer.EndpointCold),
		Entry("new start id", func(f *fixture) {
			f.startID = "s2"
			f.advance(time.Second)
		}, peer.EndpointCold),
		Entry("new start id in a report that is not newer", func(f *fixture) {
			f.startID = "s2"
			f.reportLoad(0)
		}, peer.EndpointCold),
		Entry("report that is not warm any more", func(f *fixture) {
			f.warm = false
			f.advance(time.Second)
		}, peer.EndpointCold),
		Entry("two failed reads", func(f *fixture) {
			f.account.ReportFailed(f.now)
			f.account.ReportFailed(f.now)
		}, peer.EndpointCold),
		Entry("stale report", func(f *fixture) { f.now = f.now.Add(credit.UnknownAfter + 1) }, peer.EndpointUnknown),
		Entry("first token much later than the prefill rate predicts", func(f *fixture) {
			limits := modelLimits
			limits.PrefillRate = 10_000
			f.account.SetLimits(limits)
			f.startStream("a", 10_000, 0)
			f.report(f.requestID(), peer.ReportPrefill, 6*time.Second)
		}, peer.EndpointCold),
	)

	// Guards against a ramp that is reset by one lost packet, by a caller that disconnects or by a normal latency.
	It("stays warm after one failed read, a cancellation or a normal latency", func() {
		f := warmFixture()
		f.account.ReportFailed(f.now)
		limits := modelLimits
		limits.PrefillRate = 10_000
		f.account.SetLimits(limits)
		f.startStream("a", 10_000, 0)
		f.report(f.requestID(), peer.ReportPrefill, 2*time.Second)
		f.report(f.requestID(), peer.ReportCancelled, 0)
		Expect(f.state()).To(Equal(peer.EndpointWarm))
	})

	// Guards against an endpoint without recent reports that is treated as healthy.
	It("grants the cold limit after 5 s without a report and nothing after 15 s", func() {
		f := warmFixture()
		f.now = f.now.Add(credit.UnknownAfter + 1)
		for range 3 {
			Expect(f.reserve("a", 100, 0).Granted).To(BeTrue())
		}
		Expect(f.reserve("a", 100, 0).Reason).To(Equal(credit.ReasonColdLimit))
		f.now = f.now.Add(credit.MaxReportAge)
		Expect(f.reserve("a", 100, 0).Reason).To(Equal(credit.ReasonUnknown))
	})

	// Guards against a new owner that grants while a gateway may still dispatch a request on a credit of the earlier
	// owner: gateway clocks may be 5% slow and the engine takes time to list a stream.
	It("grants only after a report that is later than the last possible dispatch", func() {
		f := &fixture{now: time.Unix(1_000_000, 0), startID: "s1"}
		f.account = credit.New(credit.Options{Endpoint: "e", Limits: modelLimits, AcquiredAt: f.now})
		f.advance(1299 * time.Millisecond)
		f.now = f.now.Add(time.Second)
		Expect(f.reserve("a", 1, 1).Reason).To(Equal(credit.ReasonAcquiring))
		f.reportLoad(0)
		Expect(f.reserve("a", 1, 1).Granted).To(BeTrue())
	})

	// Guards against memory that is granted twice: to short prompts while long ones use it, or while the engine uses it
	// for something other than its listed streams.
	It("never grants more than the engine's memory", func() {
		f := warmFixture()
		for range 3 {
			Expect(f.startStream("a", 90_000, 8_000).Granted).To(BeTrue())
		}
		Expect(f.reserve("a", 90_000, 0).Reason).To(Equal(credit.ReasonMemory))
		for range 8 {
			Expect(f.startStream("a", 8_000, 4_000).Granted).To(BeTrue())
		}
		Expect(f.reserve("a", 8_000, 4_000).Reason).To(Equal(credit.ReasonMemory))
		Expect(f.startStream("a", 8_000, 0).Granted).To(BeTrue())
		f.now = f.now.Add(time.Second)
		f.reportLoad(399_000)
		Expect(f.reserve("a", 1_500, 0).Reason).To(Equal(credit.ReasonMemory))
	})

	// Guards against a stream that is considered leaked because the engine's report still lists it right after its end.
	It("ignores an ended stream in a lagging report and returns one listed later as an orphan", func() {
		f := newFixture(modelLimits)
		f.startStream("a", 1_000, 0)
		f.report(f.requestID(), peer.ReportDone, 0)
		f.advance(500 * time.Millisecond)
		f.report(f.requestID(), peer.ReportHeld, 0)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
		f.streams[f.requestID()] = engine.Stream{ID: f.requestID(), Tokens: 1_000, Phase: engine.PhaseDecode}
		f.advance(time.Second)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(2))
		Expect(f.account.Orphans(f.now)).To(BeEmpty())
		f.advance(credit.HolderTimeout)
		Expect(f.account.Orphans(f.now)).To(Equal([]string{f.requestID()}))
		Expect(f.account.Orphans(f.now)).To(Equal([]string{f.requestID()}))
		f.streams = nil
		f.advance(time.Second)
		Expect(f.account.Orphans(f.now)).To(BeEmpty())
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
	})

	// Guards against the cancellation of a stream that a live gateway holds, and against late reports of a replaced
	// gateway process that keep its streams from becoming orphans.
	It("treats a stream as an orphan only if no live gateway holds it", func() {
		f := newFixture(modelLimits)
		f.startStream("a", 1_000, 0)
		stream := f.requestID()
		for range 8 {
			f.advance(time.Second)
			f.report(stream, peer.ReportHeld, 0)
			Expect(f.account.Orphans(f.now)).To(BeEmpty())
		}
		f.reportFrom(2, "new", peer.ReportHeld, 0)
		for range 5 {
			f.advance(time.Second)
			f.report(stream, peer.ReportHeld, 0)
		}
		Expect(f.account.Orphans(f.now)).To(Equal([]string{stream}))
	})

	// Guards against a reservation that is released because the engine is slow to accept the request.
	It("keeps an unlisted reservation while its gateway holds it", func() {
		f := newFixture(modelLimits)
		f.reserve("a", 1_000, 0)
		for range 4 {
			f.report(f.requestID(), peer.ReportStarted, 0)
			f.report(f.requestID(), peer.ReportUnused, 0)
			f.advance(time.Second)
			Expect(f.account.Summary(f.now).FreeStreams).To(Equal(2))
		}
		f.advance(credit.HolderTimeout)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(3))
	})

	// Guards against a second long prefill while the engine still runs one whose cancellation was lost.
	It("counts a cancelled long prefill until the engine no longer lists it", func() {
		f := warmFixture()
		Expect(f.reserve("a", 101_000, 0).Granted).To(BeTrue())
		f.report(f.requestID(), peer.ReportCancelled, 0)
		Expect(f.reserve("a", 101_000, 0).Reason).To(Equal(credit.ReasonLongPrefills))
		f.advance(2 * time.Second)
		Expect(f.reserve("a", 101_000, 0).Granted).To(BeTrue())
	})

	// Guards against a new owner that ignores streams which the engine still runs after their gateway has ended them.
	It("counts a cancelled stream of an earlier owner and an exported segment", func() {
		f := newFixture(modelLimits)
		f.report("cancelled", peer.ReportCancelled, 0)
		f.report("segment", peer.ReportDone, 0)
		f.streams["cancelled"] = engine.Stream{ID: "cancelled", Tokens: 1_000, Phase: engine.PhasePrefill}
		f.streams["segment"] = engine.Stream{ID: "segment", Tokens: 1_000, Phase: engine.PhaseExported}
		f.advance(100 * time.Millisecond)
		Expect(f.account.Summary(f.now).FreeStreams).To(Equal(1))
	})

	// Guards against a grant of the memory of a group member's segment before the segment is imported.
	It("keeps an exported segment after its end", func() {
		f := newFixture(modelLimits)
		f.account.Reserve(f.now, peer.CreditRequest{
			RequestID: "member", Endpoint: "e", PromptTokens: 30_000, BudgetLeft: time.Minute, Group: true,
		}, "g", 1)
		f.report("member", peer.ReportDone, time.Second)
		Expect(f.account.Summary(f.now).FreeTokens).To(Equal(int64(10_000)))
	})

	// Guards against wrong refusal reasons, from which the gateway decides what to do next.
	DescribeTable("refuses with a reason", func(change func(*fixture, *peer.CreditRequest), reason string) {
		f := newFixture(modelLimits)
		request := peer.CreditRequest{RequestID: "x", Endpoint: "e", PromptTokens: 1_000, BudgetLeft: time.Second}
		change(f, &request)
		Expect(f.account.Reserve(f.now, request, "g", 1).Reason).To(Equal(reason))
	},
		Entry("other endpoint", func(_ *fixture, r *peer.CreditRequest) { r.Endpoint = "other" }, credit.ReasonNotOwner),
		Entry("negative tokens", func(_ *fixture, r *peer.CreditRequest) { r.OutputTokens = -1 }, credit.ReasonBadRequest),
		Entry("leaving", func(f *fixture, _ *peer.CreditRequest) { f.account.SetLeaving(true) }, credit.ReasonLeaving),
		Entry("repeated id", func(f *fixture, r *peer.CreditRequest) {
			f.account.Reserve(f.now, *r, "g", 1)
		}, credit.ReasonDuplicate),
		Entry("budget spent", func(_ *fixture, r *peer.CreditRequest) { r.BudgetLeft = 0 }, credit.ReasonBudget),
		Entry("prefill longer than the budget", func(f *fixture, _ *peer.CreditRequest) {
			limits := modelLimits
			limits.PrefillRate = 900
			f.account.SetLimits(limits)
		}, credit.ReasonBudget),
	)

	// Guards against a configuration revision that raises the current limit without completed work.
	It("keeps the current limit when a revision changes the warm limit", func() {
		f := warmFixture()
		limits := modelLimits
		limits.Warm = config.Limit{Streams: 64, Tokens: 800_000}
		f.account.SetLimits(limits)
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 16))
		limits.Cold.Streams = 6
		f.account.SetLimits(limits)
		Expect(f.account.Summary(f.now).FreeStreams).To(BeNumerically("<=", 16))
	})

	// Guards against plain services that are refused for lack of engine reports, and against streams of a dead gateway
	// that are never released.
	It("counts only streams for a plain service", func() {
		limits := credit.Limits{Plain: true, Cold: config.Limit{Streams: 1}, Warm: config.Limit{Streams: 1}}
		f := &fixture{now: time.Unix(1_000_000, 0)}
		f.account = credit.New(credit.Options{Endpoint: "e", Limits: limits, AcquiredAt: f.now})
		f.now = f.now.Add(2 * time.Second)
		Expect(f.reserve("a", 1_000, 0).Reason).To(Equal(credit.ReasonAcquiring))
		f.now = f.now.Add(time.Second)
		Expect(f.reserve("a", 1_000, 0).Granted).To(BeTrue())
		f.report(f.requestID(), peer.ReportStarted, 0)
		Expect(f.reserve("a", 1_000, 0).Reason).To(Equal(credit.ReasonStreams))
		f.account.GatewayDead("g", 1)
		f.now = f.now.Add(credit.HolderTimeout)
		Expect(f.reserve("a", 1_000, 0).Granted).To(BeTrue())
		f.report(f.requestID(), peer.ReportDone, 0)
		Expect(f.reserve("a", 1_000, 0).Granted).To(BeTrue())
	})

	// Guards against a stream that nobody gets, because the limit is odd and either team would exceed its share with it.
	It("grants the odd stream to the team with the least service", func() {
		f := newFixture(modelLimits)
		for range 3 {
			Expect(f.reserve("a", 100, 0).Granted).To(BeTrue())
		}
		Expect(f.reserve("b", 100, 0).Reason).To(Equal(credit.ReasonColdLimit))
		f.report("r1", peer.ReportUnused, 0)
		f.report("r2", peer.ReportUnused, 0)
		Expect(f.reserve("a", 100, 0).Reason).To(Equal(credit.ReasonTeamShare))
		Expect(f.reserve("b", 100, 0).Granted).To(BeTrue())
		Expect(f.reserve("a", 100, 0).Granted).To(BeTrue())
		f.report(f.requestID(), peer.ReportUnused, 0)
		Expect(f.reserve("a", 100, 0).Granted).To(BeTrue())
		Expect(f.reserve("a", 100, 0).Granted).To(BeFalse())
		f.report("r3", peer.ReportUnused, 0)
		Expect(f.reserve("b", 100, 0).Granted).To(BeTrue())
	})

	// Guards against a team that keeps others from long prefills by requesting the next one as soon as its last one ends.
	It("grants long prefills to waiting teams in turn", func() {
		f := warmFixture()
		Expect(f.reserve("a", 101_000, 0).Granted).To(BeTrue())
		first := f.requestID()
		Expect(f.reserve("b", 101_000, 0).Reason).To(Equal(credit.ReasonLongPrefills))
		f.report(first, peer.ReportDone, 0)
		Expect(f.reserve("a", 101_000, 0).Reason).To(Equal(credit.ReasonTeamShare))
		Expect(f.reserve("a", 100, 0).Granted).To(BeTrue())
		Expect(f.reserve("b", 101_000, 0).Granted).To(BeTrue())
	})

	// Guards against capacity that stays unused because the only active team is limited to its share.
	It("lets one team use the whole of an idle endpoint", func() {
		f := warmFixture()
		for range 16 {
			f.startStream("a", 100, 0)
		}
		Expect(f.account.Summary(f.now).FreeStreams).To(BeZero())
	})
})

var _ = Describe("LoadReport", func() {
	// Guards against an old report that appears to be current because the clocks differ.
	It("returns a sample time that is not later than the sample", func() {
		now := time.UnixMilli(10_000)
		at, err := (&engine.LoadReport{AtMS: 9_000}).SampleTime(now)
		Expect(err).NotTo(HaveOccurred())
		Expect(now.Sub(at)).To(Equal(time.Second + engine.MaxClockSkew))
		_, err = (&engine.LoadReport{AtMS: 10_300}).SampleTime(now)
		Expect(err).To(MatchError(ContainSubstring("ahead")))
	})
})

// Guards against medium and long prompts that use the capacity reserved for short ones, at any step of the ramp and also
// before the engine lists them.
func TestLongPromptsLeaveTheShortShare(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(modelLimits)
		f.complete(uniform(t, "completed", 40))
		for range 20 {
			prompt := promptSizes[5+uniform(t, "prompt", len(promptSizes)-6)]
			if uniform(t, "listed", 1) == 1 {
				f.startStream("a", prompt, 0)
			} else {
				f.reserve("a", prompt, 0)
			}
		}
		if reply := f.reserve("b", 8_000, 2_000); !reply.Granted {
			t.Fatalf("short prompt refused: %s", reply.Reason)
		}
	})
}

// Guards against starvation of a team by another one that always requests first. The team must get a stream within two
// request lifetimes and its retry interval, because only its share of the streams has to end first.
func TestTeamIsNotStarved(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		limits := modelLimits
		limits.Weights = map[string]int{"a": 1 + uniform(t, "weight a", 4), "b": 1 + uniform(t, "weight b", 4)}
		f := newFixture(limits)
		f.complete(37 * uniform(t, "warm", 1))
		lifetime := 1 + uniform(t, "lifetime", 4)
		prompt := promptSizes[uniform(t, "prompt", 3)]
		ends := map[int][]string{}
		last := 0
		for tick := range 300 {
			for _, id := range ends[tick] {
				f.finish(id)
			}
			f.advance(200 * time.Millisecond)
			for range 16 {
				if f.startStream("a", prompt, 0).Granted {
					ends[tick+5*lifetime] = append(ends[tick+5*lifetime], f.requestID())
				}
			}
			if tick > 20 && f.startStream("b", 100, 0).Granted {
				f.finish(f.requestID())
				last = tick
			}
			if tick > 20 && tick-max(last, 20) > 10*lifetime+5 {
				t.Fatalf("tick %d: team b got its last stream at tick %d", tick, last)
			}
		}
	})
}
