package pace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/pace"
)

// rounds serves rounds of as many requests as the window allows and returns the windows. A window of the slots means that it has
// ended.
func rounds(t *pace.Tracker, count int, observed time.Duration, now time.Time) []int {
	var windows []int
	for range count {
		window := t.Assess(endpoint, condition, now).Window
		if window == 0 {
			window = slots
		}
		windows = append(windows, window)
		for range window {
			serve(t, observed, now, endpoint)
		}
		now = now.Add(200 * time.Millisecond)
	}
	return windows
}

var _ = Describe("a slow start", func() {
	// Guards against an endpoint that gets all its slots at once when it begins to serve, and against one that is left idle.
	DescribeTable("doubles with each round of answers on time", func(begin func(t *pace.Tracker)) {
		t := newTracker(1)
		begin(t)
		Expect(rounds(t, 4, predicted, start.Add(settled))).To(Equal([]int{3, 6, slots, slots}))
		_, bounded := t.Window(endpoint, start.Add(settled+time.Second))
		Expect(bounded).To(BeFalse())
	},
		Entry("after a start", func(*pace.Tracker) {}),
		Entry("after a cold start", func(t *pace.Tracker) {
			t.Assess(endpoint, pace.Condition{Slots: slots, Cold: true}, start)
		}),
		Entry("after failures", func(t *pace.Tracker) {
			t.Assess(endpoint, condition, start.Add(-time.Minute))
			t.Assess(endpoint, pace.Condition{Slots: slots, Suspect: true}, start)
		}),
	)

	// Guards against a window that keeps growing while the endpoint answers late.
	It("halves with a late answer or a failure, once a round", func() {
		t := newTracker(1)
		now := start.Add(settled)
		Expect(rounds(t, 1, predicted, now)).To(Equal([]int{3}))
		now = now.Add(200 * time.Millisecond)
		t.Failed(endpoint, now)
		t.Failed(endpoint, now)
		limit, bounded := t.Window(endpoint, now)
		Expect(bounded).To(BeTrue())
		Expect(limit).To(Equal(3))
	})

	// Guards against a slow start that never ends, and a line for each of its beginnings, because the scheduler and the instance of a
	// process differ about an endpoint.
	It("goes on if an endpoint is suspect for one of two observers", func() {
		t := newTracker(endpoint)
		for i := range 200 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			t.Assess(endpoint, pace.Condition{Slots: slots, Suspect: i%2 == 0 && i < 50}, now)
		}
		Expect(t.TakeChanges()).To(HaveLen(2))
		_, bounded := t.Window(endpoint, start.Add(20*time.Second))
		Expect(bounded).To(BeFalse())
	})

	// Guards against all endpoints in a slow start after a restart of the instance or a power loss.
	It("does not begin for endpoints that were there before the tracker", func() {
		t := pace.NewTracker()
		for e := uint32(1); e < 50; e++ {
			Expect(t.Assess(e, condition, start.Add(time.Duration(e)*10*time.Millisecond))).To(Equal(pace.Pace{Slowdown: 1}))
		}
	})

	// Guards against a window above the slots, one of zero, and one that blocks its endpoint for ever, whatever the answers are.
	It("never exceeds the slots and always ends", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := newTracker(1)
			now := start.Add(settled)
			t.Assess(endpoint, condition, now)
			for range rapid.IntRange(0, 60).Draw(rt, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(rt, "step") {
				case 0:
					serve(t, predicted, now, endpoint)
				case 1:
					serve(t, time.Duration(rapid.IntRange(1, 20).Draw(rt, "ratio"))*predicted, now, endpoint)
				case 2:
					t.Failed(endpoint, now)
				case 3:
					t.Assess(endpoint, pace.Condition{Slots: slots, Suspect: rapid.Bool().Draw(rt, "suspect")}, now)
				}
				if limit, bounded := t.Window(endpoint, now); bounded && (limit < 1 || limit > slots) {
					rt.Fatalf("a window of %d", limit)
				}
			}
			const longest = 15 * time.Second
			for end := now.Add(longest); now.Before(end); now = now.Add(500 * time.Millisecond) {
				t.Assess(endpoint, condition, now)
			}
			if limit, bounded := t.Window(endpoint, now); bounded || t.Slowdown(endpoint, now) > 1 {
				rt.Fatalf("a window of %d after %s without answers", limit, longest)
			}
		})
	})

	// Guards against a tracker whose memory grows with endpoints that are gone, or with changes that nobody takes.
	It("keeps a bounded state", func() {
		t := pace.NewTracker()
		for e := range uint32(20_000) {
			t.Assess(e, condition, start.Add(time.Duration(e)*time.Millisecond))
		}
		_, starting := t.Counts()
		Expect(starting).To(BeNumerically("<=", 8192))
		Expect(len(t.TakeChanges())).To(BeNumerically("<=", 256))
		t.Forget(func(uint32) bool { return false })
		_, starting = t.Counts()
		Expect(starting).To(BeZero())
	})
})
