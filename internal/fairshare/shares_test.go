package fairshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/fairshare"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestFairShare(t *testing.T) { testkit.RunSpecs(t, "fairshare") }

var start = time.Unix(1000, 0)

var _ = Describe("fair shares", func() {
	// Guards against teams that are cut although they use less than others.
	It("divide the used engine time, and leave unused shares to the others", func() {
		s := fairshare.NewShares()
		s.Team(1).AddUsed(6*time.Second, start)
		s.Team(2).AddUsed(2*time.Second, start)
		s.Team(3).AddUsed(time.Second, start)
		s.Team(2).AddWaiting(4 * time.Second)
		// Of 9 s, team 3 uses 1 s; the other two share 8 s.
		Expect(s.Excess(1, start)).To(Equal(2 * time.Second))
		Expect(s.Excess(2, start)).To(Equal(2 * time.Second))
		Expect(s.Excess(3, start)).To(BeZero())
		Expect(s.Excess(4, start)).To(BeZero())
	})

	// Guards against usage that counts forever, and against teams that are remembered forever.
	It("forget usage within a few windows", func() {
		s := fairshare.NewShares()
		s.Team(1).AddUsed(time.Second, start)
		s.Team(2).AddUsed(time.Second, start)
		s.Update(start)
		Expect(s.Teams()).To(Equal(2))
		s.Team(2).AddWaiting(time.Second)
		s.Update(start.Add(10 * fairshare.WindowTime))
		Expect(s.Teams()).To(Equal(1))
	})

	// Guards against memory for every team that was ever seen, while there is no shortage and nobody asks for shares.
	It("are kept for a bounded number of teams that send little", func() {
		s := fairshare.NewShares()
		for i := range 20_000 {
			s.Team(uint32(i)).AddUsed(2*time.Millisecond, start.Add(time.Duration(i)*10*time.Millisecond))
		}
		Expect(s.Teams()).To(BeNumerically("<", 1100))
	})

	// Guards against a window that is shorter or longer than stated.
	It("weight usage exponentially by age", func() {
		var w fairshare.Window
		w.Add(time.Second, start)
		Expect(w.Sum(start.Add(fairshare.WindowTime))).To(BeNumerically("~", 368*time.Millisecond, time.Millisecond))
		w.Add(time.Second, start.Add(fairshare.WindowTime))
		Expect(w.Sum(start.Add(fairshare.WindowTime))).To(BeNumerically("~", 1368*time.Millisecond, time.Millisecond))
	})
})

// Guards against shares that are not max-min fair: whoever gets less than demanded must get as much as any other, and the
// capacity must be used up as far as there is demand.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "capacity"))
		var demands []time.Duration
		var demand time.Duration
		for _, d := range rapid.SliceOfN(rapid.Int64Range(0, 1e11), 0, 30).Draw(t, "demands") {
			demands = append(demands, time.Duration(d))
			demand += time.Duration(d)
		}
		level := fairshare.Level(capacity, demands)
		var given time.Duration
		for _, d := range demands {
			given += min(d, level)
		}
		expected := min(capacity, demand)
		if given > expected || expected-given > time.Duration(len(demands)) {
			t.Fatalf("level %v gives %v of %v", level, given, expected)
		}
	})
}
