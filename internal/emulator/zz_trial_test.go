package emulator_test

import (
	"fmt"
	"testing"

	"github.com/acacialift/acacialift/internal/emulator"
)

func TestTrialPace(t *testing.T) {
	seeds := 4
	quiet := emulator.UnevenServers()
	quiet.Troubles, quiet.Name = nil, "uneven-quiet"
	lossy := quiet
	lossy.PacketLoss, lossy.Name = 0.05, "uneven-lossy"
	_ = lossy
	for _, p := range []emulator.Pattern{
		emulator.Scheduled(emulator.UnevenServers(), 1),
	} {
		for _, on := range []bool{true} {
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
