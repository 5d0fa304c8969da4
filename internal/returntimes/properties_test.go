package returntimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// modelCaller is a caller that was told a time.
type modelCaller struct {
	assigned, told time.Time
}

// scheduleModel drives a schedule with random calls and checks its guarantees after each.
type scheduleModel struct {
	schedule *Schedule
	now      time.Time
	told     map[uint64]modelCaller
}

func (m *scheduleModel) assign(t *rapid.T) {
	r := Return{
		Caller:   Caller{Prompt: rapid.Uint64Range(0, 40).Draw(t, "prompt"), Rank: rapid.IntRange(0, 12).Draw(t, "rank")},
		Work:     drawWork(t),
		Earliest: time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "earliest")),
		Latest:   time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "latest")),
		Final:    rapid.Bool().Draw(t, "final"),
	}
	before := m.schedule.buckets
	delay := m.schedule.Assign(r, m.now)
	if delay < r.Earliest || delay < 0 {
		t.Fatalf("told %v, earliest useful %v", delay, r.Earliest)
	}
	if r.Latest >= r.Earliest && r.Latest > 0 && delay > r.Latest {
		t.Fatalf("told %v, latest followed %v", delay, r.Latest)
	}
	m.checkLoads(t, &before, &r)
	if r.Prompt != 0 {
		m.told[r.Prompt] = modelCaller{assigned: m.now, told: m.now.Add(delay)}
	}
}

// checkLoads checks that no bucket has got more than its capacity, or if there was none, more than the least load with the
// request.
func (m *scheduleModel) checkLoads(t *rapid.T, before *[bucketCount]bucket, r *Return) {
	capacity := m.schedule.capacity(r.Work.Class)
	most := 0.0
	for i := range m.schedule.buckets {
		most = max(most, before[i].load[r.Work.Class])
	}
	for i := range m.schedule.buckets {
		load := m.schedule.buckets[i].load[r.Work.Class]
		if load < 0 || load > max(capacity, most+r.Work.cost())+1e-6 {
			t.Fatalf("bucket with load %v, capacity %v, most before %v", load, capacity, most)
		}
		if load > before[i].load[r.Work.Class]+1e-6 && load > capacity+1e-6 && before[i].load[r.Work.Class] > leastIn(m, before, r)+1e-6 {
			t.Fatalf("bucket with load %v was not the least loaded one", before[i].load[r.Work.Class])
		}
	}
}

// leastIn returns the least load of the buckets in the range of a request.
func leastIn(m *scheduleModel, before *[bucketCount]bucket, r *Return) float64 {
	latest := r.Latest
	if latest == 0 {
		latest = Horizon
	}
	at, least := m.now.Sub(m.schedule.epoch), math.Inf(1)
	for b := bucketOf(at + min(r.Earliest, Horizon)); b <= bucketOf(at+min(latest, Horizon)); b++ {
		least = min(least, before[b%bucketCount].load[r.Work.Class])
	}
	return least
}

func (m *scheduleModel) arrive(t *rapid.T) {
	prompt := rapid.Uint64Range(0, 40).Draw(t, "prompt")
	caller, isTold := m.told[prompt]
	if isTold && rapid.Bool().Draw(t, "keeps its time") && caller.told.After(m.now) {
		m.now = caller.told
	}
	if !m.schedule.Arrived(prompt, m.now) {
		return
	}
	if !isTold || m.now.Before(caller.told.Add(-earlyTolerance)) || m.now.After(caller.told.Add(lateTolerance)) {
		t.Fatalf("prompt %d counts as returning", prompt)
	}
	// The place is used up.
	delete(m.told, prompt)
}

func (m *scheduleModel) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(800*time.Millisecond)).Draw(t, "time")))
}

func (m *scheduleModel) observe(t *rapid.T) {
	w, repeats := drawWork(t), rapid.IntRange(1, 60).Draw(t, "repeats")
	for range repeats {
		if rapid.Bool().Draw(t, "arrival") {
			m.schedule.ObservePlaced(w, 0, m.now)
		} else {
			m.schedule.ObserveEnd(w, m.now)
		}
	}
	m.schedule.ObservePlaced(w, rapid.Uint64Range(0, 40).Draw(t, "prompt"), m.now)
	if due, most := m.schedule.Due(9, m.now), returnShare*m.schedule.ended[Short].perSecond(m.schedule.advance(m.now)); due > most {
		t.Fatalf("room for %v callers, a quarter of the turnover per second is %v", due, most)
	}
}

func drawWork(t *rapid.T) Work {
	if rapid.Bool().Draw(t, "short") {
		return Work{Class: Short}
	}
	return Work{Class: Long, EngineTime: time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "engine time"))}
}

var _ = Describe("any sequence of calls", func() {
	// Guards against times before the earliest useful one, buckets with more than their capacity, places that are used twice,
	// and places that get lost in the lists.
	It("keeps the bounds of times and buckets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			m := &scheduleModel{
				schedule: New(Options{Random: random.Float64, Observer: &observed{}}), now: start, told: make(map[uint64]modelCaller),
			}
			t.Repeat(map[string]func(*rapid.T){
				"assign": m.assign, "arrive": m.arrive, "pass": m.pass, "observe": m.observe,
				"": func(t *rapid.T) { checkPlaces(t, m.schedule) },
			})
		})
	})

	// Guards against a schedule that grows with the callers that are refused in an overload.
	It("uses less than 200 kB", func() {
		s := New(Options{Random: rand.Float64})
		for prompt := range uint64(20_000) {
			s.Assign(shortReturn(prompt+1, 0, 0), start)
		}
		Expect(s.places.all).To(HaveLen(maxPlaces))
		bytes := int(unsafe.Sizeof(*s) + uintptr(cap(s.places.all))*unsafe.Sizeof(place{}))
		Expect(bytes).To(BeNumerically("<", 200_000))
	})
})

// checkPlaces checks that each place is in exactly one list, and that the counts of the pool are right.
func checkPlaces(t *rapid.T, s *Schedule) {
	seen := make(map[int16]bool)
	prompts := make(map[uint64]int)
	visit := func(first int16) {
		for i := first; i != noPlace; i = s.places.all[i].next {
			if seen[i] {
				t.Fatalf("place %d is in two lists", i)
			}
			seen[i] = true
		}
	}
	visit(s.places.free)
	unmeasured := 0
	for i := range s.places.all {
		if !seen[int16(i)] && !s.places.all[i].measured {
			unmeasured++
		}
	}
	for i := range s.buckets {
		visit(s.buckets[i].first)
		for j := s.buckets[i].first; j != noPlace; j = s.places.all[j].next {
			if s.places.all[j].state == expected {
				prompts[s.places.all[j].prompt]++
			}
		}
	}
	if len(seen) != len(s.places.all) || unmeasured != s.places.unmeasured {
		t.Fatalf("%d of %d places in lists, %d unmeasured of %d", len(seen), len(s.places.all), unmeasured, s.places.unmeasured)
	}
	for prompt, count := range prompts {
		if count > 1 {
			t.Fatalf("prompt %d has %d places", prompt, count)
		}
	}
}

// BenchmarkAssign measures assignments while the given number of callers is expected.
func BenchmarkAssign(b *testing.B) {
	for _, callers := range []uint64{10, 300, 1000, maxPlaces} {
		b.Run(fmt.Sprintf("%d callers", callers), func(b *testing.B) {
			s, now, _ := newSchedule(300, 200)
			for prompt := range callers {
				s.Assign(shortReturn(prompt+1, 0, 10*time.Second), now)
			}
			prompt := callers
			b.ReportAllocs()
			for b.Loop() {
				prompt++
				s.Assign(shortReturn(prompt%callers+1, 300*time.Millisecond, 3*time.Second), now)
			}
		})
	}
}
