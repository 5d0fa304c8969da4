package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// UnevenServers is the load of a fleet of 69 engines, of which some are slow and some return cold at any time.
func UnevenServers() Pattern {
	p := Pattern{
		Name: "uneven-servers", Endpoints: 69, Instances: 85, ShareInterval: 120 * time.Millisecond, Engine: unevenEngine(),
		Load: Load{Kinds: unevenKinds(), Length: dayLength, Phases: []Phase{
			{From: 2300 * time.Millisecond, To: 11800 * time.Millisecond, Factors: map[string]float64{"short": 0.35, "middle": 1.3, "long": 2.7}},
			{From: 12 * time.Second, To: 21500 * time.Millisecond, Factors: map[string]float64{"short": 2.4, "middle": 0.5, "long": 0.05}},
			{From: 23 * time.Second, To: 32500 * time.Millisecond, Factors: map[string]float64{"short": 0.35, "middle": 1.3, "long": 2.7}},
		}},
		PaceOptions: PaceOptions{ColdTime: 3 * time.Second, ColdRate: 14},
	}
	p.Troubles = troubles(p.Endpoints, p.Load.Length)
	return p
}

func unevenEngine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 12, MemoryTokens: 450_000, Stride: 52,
		StepTime:           925 * time.Microsecond,
		StepTimePerStream:  4830 * time.Nanosecond,
		StepTimePerContext: 2540 * time.Nanosecond,
		PrefillRate:        256_000,
		AttentionTime:      91700 * time.Nanosecond,
	}
}

// troubles returns slow endpoints, about a tenth at any time, with factors from 2.6 to 5 for 5 to 8 s, and endpoints that are
// away for two seconds and return cold.
func troubles(endpoints int, length time.Duration) []Trouble {
	random := rand.New(rand.NewPCG(uint64(endpoints), 7))
	const interval = 900 * time.Millisecond
	order := random.Perm(endpoints)
	var all []Trouble
	for i, at := 0, time.Second; at < length && i < len(order); i, at = i+1, at+interval {
		if i%5 == 4 {
			all = append(all, Trouble{Kind: Away, Endpoint: order[i], At: at, For: 2 * time.Second})
			continue
		}
		all = append(all, Trouble{
			Kind: Slow, Endpoint: order[i], At: at, For: 5*time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
			Factor: 2.6 + 2.4*random.Float64(),
		})
	}
	return all
}

// WithPace is a pattern whose placement takes the pace of endpoints into account.
func WithPace(p Pattern) Pattern {
	p.Pace = true
	return p
}
