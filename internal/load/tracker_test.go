package load_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLoad(t *testing.T) { testkit.RunSpecs(t, "load") }

var _ = Describe("a book", func() {
	start := time.Unix(1_000_000, 0)
	a, b := &fleet.Endpoint{ID: "a"}, &fleet.Endpoint{ID: "b"}
	work := load.Work{
		Primary: a, Helpers: []*fleet.Endpoint{b}, Reserved: map[*fleet.Endpoint]int64{b: 300},
		Tokens: 700, Part: time.Second, Predicted: 3 * time.Second, MaxGap: time.Minute,
	}

	// Guards against work that is counted at the wrong endpoint or after its end.
	It("counts a request at its endpoints from placement to end", func() {
		book := load.NewTracker()
		h := book.Add(work, start)
		own := book.Local(start).Entries
		Expect(own[a.Key()]).To(Equal(load.Entry{
			Endpoint: a.Key(), Streams: 1, UsedTokens: 700, PrefillBacklog: time.Second, MaxGap: time.Minute,
		}))
		Expect(own[b.Key()]).To(Equal(load.Entry{Endpoint: b.Key(), UsedTokens: 300, PrefillBacklog: time.Second}))
		h.PrefillDone()
		Expect(book.Local(start).Entries[a.Key()].PrefillBacklog).To(BeZero())
		Expect(book.Local(start).Entries[b.Key()]).To(Equal(load.Entry{Endpoint: b.Key(), UsedTokens: 300}))
		h.End()
		h.End()
		Expect(book.Local(start).Entries).To(BeEmpty())
	})

	// Guards against predictions that fall short: queued prompts are read in turn, so that none of them shrinks before
	// its own turn.
	It("counts an unread part in full until its turn", func() {
		book := load.NewTracker()
		book.Add(work, start)
		unread := func(after time.Duration) time.Duration {
			return book.Local(start.Add(after)).Entries[a.Key()].PrefillBacklog
		}
		Expect(unread(1900 * time.Millisecond)).To(Equal(time.Second))
		Expect(unread(2500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
		Expect(unread(time.Minute)).To(Equal(250 * time.Millisecond))
	})

	// Guards against prompts that others make late because nobody knows when they must be read, and against a late prompt
	// that is overtaken until its caller leaves.
	It("states within which time prompts must be read: their objective, later the end of their time", func() {
		timed := work
		timed.Objective, timed.Limit = 2*time.Second, 10*time.Second
		book := load.NewTracker()
		h := book.Add(timed, start)
		due := func(after time.Duration, e *fleet.Endpoint) time.Duration {
			return book.Local(start.Add(after)).Entries[e.Key()].PrefillDueIn
		}
		Expect(due(500*time.Millisecond, a)).To(Equal(1500 * time.Millisecond))
		Expect(due(500*time.Millisecond, b)).To(Equal(1500 * time.Millisecond))
		Expect(due(3*time.Second, a)).To(Equal(7 * time.Second))
		other := timed
		other.Objective = time.Second
		book.Add(other, start)
		Expect(due(0, a)).To(Equal(time.Second))
		h.PrefillDone()
		Expect(due(500*time.Millisecond, a)).To(Equal(500 * time.Millisecond))
	})

	// Guards against a demand that an instance counts twice, that hubs count twice, or that stays when callers have gone.
	It("counts the short prompts that arrive in a second", func() {
		const service = 7
		book := load.NewTracker()
		now := start
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			book.CountArrival(service, now)
		}
		own := book.Local(now)
		Expect(own.Demand[service]).To(BeNumerically("~", 20, 1))
		book.SetPeerCounts("other", load.Counts{Demand: map[uint32]float64{service: 30}}, now)
		Expect(book.PeerDemand(service, now)).To(BeNumerically("==", 30))
		totals, _ := book.Totals(now)
		Expect(totals.Demand[service]).To(BeNumerically("~", 50, 1))
		Expect(totals.Minus(book.PeerCounts("other")).Demand[service]).To(BeNumerically("~", own.Demand[service], 0.001))
		Expect(book.Local(now.Add(10 * time.Second)).Demand[service]).To(BeNumerically("<", 0.01))
	})

	// Guards against counts of an instance that has died, and against an instance that is counted twice.
	It("adds the latest counts of other instances while they are fresh", func() {
		book := load.NewTracker()
		book.Add(work, start)
		theirs := load.Counts{Entries: map[uint32]load.Entry{
			a.Key(): {Endpoint: a.Key(), Streams: 2, UsedTokens: 100, MaxGap: time.Second, Suspect: true},
		}}
		book.SetPeerCounts("other", theirs, start)
		book.SetPeerCounts("other", theirs, start)
		totals, instances := book.Totals(start)
		Expect(instances).To(Equal(1))
		Expect(totals.Entries[a.Key()].Streams).To(Equal(3))
		Expect(totals.Entries[a.Key()].MaxGap).To(Equal(time.Second))
		Expect(totals.Entries[a.Key()].Suspect).To(BeTrue())
		totals, instances = book.Totals(start.Add(2 * time.Second))
		Expect(instances).To(BeZero())
		Expect(totals.Entries[a.Key()].Streams).To(Equal(1))
	})
})
