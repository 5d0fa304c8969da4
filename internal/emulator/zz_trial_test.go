package emulator_test

import (
	"fmt"
	"testing"

	"github.com/acacialift/acacialift/internal/emulator"
)

func TestTrialPace(t *testing.T) {
	seeds := 2
	quiet := emulator.UnevenServers()
	quiet.Troubles, quiet.Name = nil, "uneven-quiet"
	lossy := quiet
	lossy.PacketLoss, lossy.Name = 0.05, "uneven-lossy"
	small := emulator.LongShortLong()
	for _, p := range []emulator.Pattern{
		emulator.Scheduled(emulator.UnevenServers(), 1), emulator.Scheduled(quiet, 1), emulator.Scheduled(lossy, 1), small, emulator.ShortLongShort(), emulator.Scheduled(emulator.LargeFleet(), 2),
	} {
		for _, on := range []bool{false, true} {
			p.Pace = on
			r := emulator.RunSeeds(p, emulator.PlannerPolicy, seeds)
			fmt.Println(p.Name, "pace", on, "value", fmt.Sprintf("%.4f", r.Value))
			for _, k := range []string{"short", "middle", "long"} {
				x := r.Kinds[k]
				fmt.Printf("   %s of %d on time %d late %d not served %d\n", k, x.Requests, x.OnTime, x.Late, x.NotServed)
			}
			fmt.Println("   ", r.Pace.String())
		}
	}
}
