package emulator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/emulator"
)

const (
	// paceSeeds is the number of runs of a pattern with slow endpoints, healthySeeds that of one without.
	paceSeeds    = 8
	healthySeeds = 3
	// chance is the difference between the values of two policies on the same requests that chance explains: single placements
	// change all later ones. Four series of four seeds with equal policies but for one parameter differed by up to 0.02.
	chance = 0.02
)

var _ = Describe("placement with the pace of endpoints", Ordered, func() {
	var off, on emulator.Result
	BeforeAll(func() {
		pattern := emulator.Scheduled(emulator.UnevenServers(), 1)
		off, on = compare(pattern, paceSeeds)
		GinkgoWriter.Printf("off: value %.4f, %s\non: value %.4f, %s\n", off.Value, &off.Pace, on.Value, &on.Pace)
	})

	// Guards against requests that keep going to slow endpoints: at most half as many may be late there as without pace.
	It("makes fewer requests late on slow endpoints", func() {
		Expect(on.Pace.OnSlowLate).To(BeNumerically("<=", off.Pace.OnSlowLate/2))
	})

	// Guards against slow endpoints that are found only when they have recovered. They are slow for 5 to 8 s.
	It("finds slow endpoints in time", func() {
		Expect(on.Pace.Found).To(BeNumerically(">", 0))
		Expect(on.Pace.FoundAfter.Seconds() / float64(on.Pace.Found)).To(BeNumerically("<=", 1.5))
	})

	// Guards against endpoints that are left idle after they have recovered, or flooded: from half a second to four seconds after
	// the recovery they get from half to twice as many requests as the others.
	It("uses endpoints again that have recovered", func() {
		got, mean := 0.0, 0.0
		for _, recovery := range on.Pace.Recoveries {
			got += float64(recovery.Got[1] + recovery.Got[2])
			mean += recovery.Mean[1] + recovery.Mean[2]
		}
		Expect(got).To(BeNumerically(">=", mean/2))
		Expect(got).To(BeNumerically("<=", 2*mean))
	})

	// Guards against more requests to a cold endpoint than the operators' bound.
	It("keeps to the bound of cold starts", func() {
		const bound = 14*1.5 + 5
		Expect(on.Pace.MaxCold).To(BeNumerically("<=", bound))
	})

	// Guards against caution that costs more than the slow endpoints do. Short prompts, whose endpoints are found first, must gain.
	It("is worth as much as placement without it", func() {
		Expect(on.Value).To(BeNumerically(">=", off.Value-chance))
		Expect(on.Kinds["short"].OnTime).To(BeNumerically(">", off.Kinds["short"].OnTime))
		Expect(on.Kinds["middle"].OnTime).To(BeNumerically(">", off.Kinds["middle"].OnTime))
	})
})

var _ = Describe("placement with pace in a healthy fleet", func() {
	// Guards against healthy endpoints that get less work because predictions err under load, or because packets are lost.
	DescribeTable("is worth as much as without it", func(pattern emulator.Pattern) {
		off, on := compare(pattern, healthySeeds)
		GinkgoWriter.Printf("off: value %.4f\non: value %.4f, falsely %d\n", off.Value, on.Value, on.Pace.FalselySlow)
		Expect(on.Value).To(BeNumerically(">=", off.Value-chance))
	},
		Entry("counts", emulator.LongShortLong()),
		Entry("lost packets", emulator.Scheduled(healthy(0.05), 1)),
	)
})

// compare runs a pattern without and with pace, both at the same time.
func compare(pattern emulator.Pattern, seeds int) (off, on emulator.Result) {
	done := make(chan struct{})
	go func() {
		off = emulator.RunSeeds(pattern, emulator.PlannerPolicy, seeds)
		close(done)
	}()
	on = emulator.RunSeeds(emulator.WithPace(pattern), emulator.PlannerPolicy, seeds)
	<-done
	return off, on
}

func healthy(packetLoss float64) emulator.Pattern {
	p := emulator.UnevenServers()
	p.Troubles, p.PacketLoss = nil, packetLoss
	return p
}
