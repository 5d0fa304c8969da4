package returntimes

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

func TestReturnTimes(t *testing.T) { testkit.RunSpecs(t, "returntimes") }

var start = time.Unix(1000, 0)

// observed records what a schedule reports.
type observed struct {
	errors                               []time.Duration
	inTime, late, again, lateAgain, lost int
}

func (o *observed) ReturnError(d time.Duration) { o.errors = append(o.errors, d) }

func (o *observed) Returned(late, refusedAgain bool) {
	switch {
	case late && refusedAgain:
		o.lateAgain++
	case late:
		o.late++
	case refusedAgain:
		o.again++
	default:
		o.inTime++
	}
}

func (o *observed) NotReturned() { o.lost++ }

// newSchedule returns a schedule in which the given numbers of short prompts have arrived and ended per second for three
// seconds, the time at the end of them, and what the schedule reports.
func newSchedule(arriving, ending int) (*Schedule, time.Time, *observed) {
	o := &observed{}
	s := New(Options{Random: rand.New(rand.NewPCG(1, 2)).Float64, Observer: o})
	now := start
	for range 3000 {
		now = now.Add(time.Millisecond)
		s.ended[Short].add(float64(ending)/1000, s.advance(now))
		s.arrived[Short].add(float64(arriving)/1000, s.advance(now))
	}
	return s, now, o
}

func shortReturn(prompt uint64, earliest, latest time.Duration) Return {
	return Return{Caller: Caller{Prompt: prompt}, Work: Work{Class: Short}, Earliest: earliest, Latest: latest}
}

var _ = Describe("the schedule", func() {
	// Guards against return times that are packed into the next moment: of 100 refused callers, no tenth of a second may get
	// more than the quarter of the turnover that returning callers have.
	It("spreads callers over the expected capacity", func() {
		s, now, _ := newSchedule(300, 200)
		perBucket := make(map[time.Duration]int)
		for prompt := range uint64(100) {
			delay := s.Assign(shortReturn(prompt+1, 200*time.Millisecond, 3*time.Second), now)
			perBucket[now.Add(delay).Sub(s.epoch)/bucketWidth]++
		}
		for bucket, callers := range perBucket {
			Expect(callers).To(BeNumerically("<=", 6), "bucket %d", bucket)
		}
	})

	// Guards against a schedule that ignores the capacity which newcomers leave: with 200 ends and 50 arrivals per second, 15
	// callers fit into each tenth of a second.
	It("uses what newcomers leave", func() {
		s, now, _ := newSchedule(50, 200)
		var last time.Duration
		for prompt := range uint64(60) {
			last = max(last, s.Assign(shortReturn(prompt+1, 0, 3*time.Second), now))
		}
		Expect(last).To(BeNumerically("<=", 600*time.Millisecond))
	})

	// Guards against an immediate return time while no capacity is expected: all callers would come back into the same shortage.
	It("spreads callers evenly over their range if no capacity is expected", func() {
		s, now, _ := newSchedule(0, 0)
		perSecond := make(map[int]int)
		for prompt := range uint64(600) {
			delay := s.Assign(shortReturn(prompt+1, 300*time.Millisecond, 3300*time.Millisecond), now)
			perSecond[int((delay-300*time.Millisecond)/time.Second)]++
		}
		for second, callers := range perSecond {
			Expect(callers).To(BeNumerically("~", 200, 30), "second %d", second)
		}
	})

	// Guards against an immediate return time for a single caller while no capacity is expected.
	It("uses the whole range of a caller if no capacity is expected", func() {
		var longest time.Duration
		s, now, _ := newSchedule(0, 0)
		for prompt := range uint64(40) {
			now = now.Add(10 * time.Second)
			longest = max(longest, s.Assign(shortReturn(prompt+1, 100*time.Millisecond, 3*time.Second), now))
		}
		Expect(longest).To(BeNumerically(">=", 2*time.Second))
	})

	// Guards against a caller that is told a longer time than it follows although it could follow a useful one.
	It("tells the earliest useful time to a caller that cannot follow it, and does not count that caller", func() {
		s, now, o := newSchedule(200, 200)
		Expect(s.Assign(shortReturn(1, 2*time.Second, time.Second), now)).To(Equal(2 * time.Second))
		s.ObserveRefused(Work{}, now.Add(20*time.Second))
		Expect(o.lost).To(Equal(0))
	})

	// Guards against lower ranks, or later arrivals, with the earlier of two free times.
	It("orders callers by rank, then by their first arrival", func() {
		callers := []Caller{
			{Prompt: 1, Rank: 2, First: start},
			{Prompt: 2, Rank: 0, First: start.Add(time.Second)},
			{Prompt: 4, Rank: 0, First: start},
			{Prompt: 3, Rank: 0, First: start},
		}
		slices.SortFunc(callers, Compare)
		s, now, _ := newSchedule(40, 40)
		var delays []time.Duration
		for i, prompt := range []uint64{3, 4, 2, 1} {
			Expect(callers[i].Prompt).To(Equal(prompt))
			delays = append(delays, s.Assign(Return{Caller: callers[i], Work: Work{Class: Short}}, now))
		}
		Expect(slices.IsSorted(delays)).To(BeTrue())
	})

	// Guards against long prompts that are told to return before the engine time that they need is free: 20 s per second are
	// free for returning prompts, so three prompts of 4 s need 0.6 s.
	It("gives long prompts the times at which their engine time is free", func() {
		s := New(Options{Random: func() float64 { return 0 }})
		now := start
		for range 3000 {
			now = now.Add(time.Millisecond)
			s.ObserveEnd(Work{Class: Long, EngineTime: 80 * time.Millisecond}, now)
			s.ObservePlaced(Work{Class: Long, EngineTime: 80 * time.Millisecond}, 0, now)
		}
		work := Work{Class: Long, EngineTime: 4 * time.Second}
		var delays []time.Duration
		for prompt := range uint64(3) {
			delays = append(delays, s.Assign(Return{Caller: Caller{Prompt: prompt + 1}, Work: work, Latest: 5 * time.Second}, now))
		}
		for i, delay := range delays {
			Expect(delay).To(BeNumerically("~", time.Duration(i+1)*200*time.Millisecond, 110*time.Millisecond), "prompt %d", i)
		}
	})
})

var _ = Describe("returning callers", func() {
	// Guards against callers that count as returning although they ignore the time told, or that use a place twice.
	It("recognises a caller near its time once", func() {
		s, now, _ := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		Expect(s.Arrived(7, now.Add(told/2))).To(BeFalse(), "early")
		Expect(s.Arrived(8, now.Add(told))).To(BeFalse(), "another prompt")
		Expect(s.Arrived(0, now.Add(told))).To(BeFalse(), "no prompt hash")
		Expect(s.Arrived(7, now.Add(told+50*time.Millisecond))).To(BeTrue())
		Expect(s.Arrived(7, now.Add(told+60*time.Millisecond))).To(BeFalse(), "second use")
	})

	// Guards against a caller that gets precedence although its time has long passed.
	It("does not give precedence to a late caller", func() {
		s, now, o := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		Expect(s.Arrived(7, now.Add(told+lateTolerance+time.Millisecond))).To(BeFalse())
		s.ObserveRefused(Work{}, now.Add(20*time.Second))
		Expect(*o).To(Equal(observed{late: 1}))
	})

	// Guards against places of callers that never return: they would keep later ones from the capacity.
	It("releases the place of a caller that does not return", func() {
		s, now, o := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, 0, time.Second), now)
		later := now.Add(told + 2*time.Second)
		s.ObserveRefused(Work{}, later)
		Expect(o.lost).To(Equal(1))
		Expect(s.Arrived(7, later)).To(BeFalse())
	})

	// Guards against a request that is placed repeatedly while it waits and fills the schedule with its own places.
	It("replaces the place of a caller that is refused again before it returns", func() {
		s, now, o := newSchedule(200, 200)
		for range 50 {
			s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		}
		var load float64
		for i := range s.buckets {
			load += s.buckets[i].load[Short]
		}
		Expect(load).To(BeNumerically("~", 1, 1e-6))
		s.ObserveRefused(Work{}, now.Add(20*time.Second))
		Expect(o.lost).To(Equal(1))
	})

	// Guards against places of callers that are placed without returning, for example by another attempt while they wait.
	It("releases the place of a caller that is placed", func() {
		s, now, o := newSchedule(200, 200)
		s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		s.ObservePlaced(Work{Class: Short}, 7, now.Add(25*time.Millisecond))
		s.ObserveRefused(Work{}, now.Add(20*time.Second))
		Expect(*o).To(Equal(observed{}))
	})

	// Guards against a caller that counts as coming although it does not return after its second refusal.
	It("does not expect a caller after its second refusal", func() {
		s, now, o := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, 0, time.Second), now)
		back := now.Add(told)
		Expect(s.Arrived(7, back)).To(BeTrue())
		s.Assign(shortReturn(7, 0, time.Second), back)
		s.ObserveRefused(Work{}, back.Add(20*time.Second))
		Expect(*o).To(Equal(observed{again: 1}))
	})

	// Guards against returning callers that take all capacity from newcomers.
	It("precede newcomers with at most a quarter of the turnover", func() {
		s, now, _ := newSchedule(200, 200)
		preceding := 0
		for range 4000 {
			now = now.Add(time.Millisecond)
			s.ended[Short].add(0.2, s.advance(now))
			if s.MayPrecede(Work{Class: Short}, now) {
				preceding++
			}
		}
		Expect(preceding).To(BeNumerically("~", 200, 60))
	})

	// Guards against newcomers that take the capacity which callers were told, and against capacity that is kept free for callers
	// of a lower rank or for more than a quarter of the turnover.
	It("keep room free around their time", func() {
		s, now, _ := newSchedule(200, 200)
		told := s.Assign(Return{Caller: Caller{Prompt: 1, Rank: 1}, Earliest: time.Second, Work: Work{Class: Short}}, now)
		Expect(s.Due(1, now)).To(BeZero())
		at := now.Add(told)
		for now.Before(at) {
			now = now.Add(time.Millisecond)
			s.ended[Short].add(0.2, s.advance(now))
		}
		Expect(s.Due(1, at)).To(Equal(1.0))
		Expect(s.Due(0, at)).To(BeZero())
		for prompt := range uint64(100) {
			s.Assign(Return{Caller: Caller{Prompt: prompt + 2}, Earliest: 0, Latest: time.Millisecond, Work: Work{Class: Short}}, at)
		}
		// A quarter of the 7 requests that end within the 35 ms for which room is kept.
		Expect(s.Due(1, at)).To(BeNumerically("~", 1.75, 0.1))
		Expect(s.Arrived(1, at)).To(BeTrue())
	})
})

var _ = Describe("the error of return times", func() {
	// Guards against a histogram that hides times told too early: the first interval without refusals is the first moment with
	// capacity.
	It("is the first moment with capacity less the time told", func() {
		s, now, o := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		for at := 10 * time.Millisecond; at < 5*time.Second; at += 10 * time.Millisecond {
			s.ObservePlaced(Work{Class: Short}, 0, now.Add(at))
			if at < told+500*time.Millisecond {
				s.ObserveRefused(Work{Class: Short}, now.Add(at))
			}
		}
		Expect(o.errors).To(HaveLen(1))
		Expect(o.errors[0]).To(BeNumerically("~", 550*time.Millisecond, 60*time.Millisecond))
	})

	// Guards against a caller without an error value because the shortage goes on: its own placement shows the capacity.
	It("ends with the caller's own placement", func() {
		s, now, o := newSchedule(200, 200)
		told := s.Assign(shortReturn(7, time.Second, 3*time.Second), now)
		back := now.Add(told + 10*time.Millisecond)
		s.Arrived(7, back)
		s.ObservePlaced(Work{Class: Short}, 7, back)
		Expect(o.errors).To(Equal([]time.Duration{10 * time.Millisecond}))
		s.ObserveRefused(Work{}, back.Add(20*time.Second))
		Expect(o.inTime).To(Equal(1))
	})
})
