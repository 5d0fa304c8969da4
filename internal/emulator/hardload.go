package emulator

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// ContendedFleet is deployment A of docs/design/hard-load.md on its quiet day: 78 engines behind 82 instances, two shards,
// 24 teams, and long prompts that need about 66 of the engines.
func ContendedFleet() Pattern {
	engine := fleet.Engine{
		Slots: 12, MemoryTokens: 197_200, Stride: 48,
		StepTime: 1020 * time.Microsecond, StepTimePerStream: 2260 * time.Nanosecond, StepTimePerContext: 4310 * time.Nanosecond,
		PrefillRate: 206_000, AttentionTime: 138 * time.Microsecond,
	}
	return Pattern{
		Name: "contended-fleet", Endpoints: 78, Instances: 82, Shards: 2, Engine: &engine, ShareInterval: 120 * time.Millisecond,
		Load: Load{
			Kinds: contendedKinds(), Length: dayLength, Teams: 24, TeamExponent: 1.2,
			Phases: []Phase{
				contendedLongPhase(2300 * time.Millisecond),
				{
					From: 12 * time.Second, To: 12*time.Second + phaseLength,
					Factors: map[string]float64{"short": 2.5, "middle": 0.5, "long": 0.05},
				},
				contendedLongPhase(23 * time.Second),
			},
		},
	}
}

func contendedLongPhase(from time.Duration) Phase {
	return Phase{From: from, To: from + phaseLength, Factors: map[string]float64{"short": 0.37, "middle": 1.3, "long": 2.9}}
}

func contendedKinds() []Kind {
	return []Kind{
		{
			Name: "short", Rank: 0, Rate: 130, Objective: 250 * time.Millisecond, TimeLimit: 10 * time.Second,
			MaxGap: 250 * time.Millisecond, Value: 1.8, LateValue: 0.18,
			Prompt: Sizes{Mean: 5000, Spread: 0.9, Max: 23_800}, Events: Sizes{Mean: 30.7, Spread: 0.7, Max: 76.7},
		},
		{
			Name: "middle", Rank: 1, Rate: 8.84, Objective: 1500 * time.Millisecond, TimeLimit: 10 * time.Second,
			MaxGap: 600 * time.Millisecond, Value: 2.4, LateValue: 0.6,
			Prompt: Sizes{Mean: 45_000, Spread: 0.5, Max: 110_000}, Events: Sizes{Mean: 18.4, Spread: 0.6, Max: 46},
		},
		{
			Name: "long", Rank: 2, Rate: 5.45, Objective: 6 * time.Second, TimeLimit: 15 * time.Second,
			MaxGap: time.Second, Value: 7.2, LateValue: 2.8,
			Prompt: Sizes{Mean: 190_000, Spread: 0.55, Max: 600_000}, Events: Sizes{Mean: 15.3, Spread: 0.5, Max: 38.4},
		},
	}
}

// UnevenFleet is deployment B of docs/design/hard-load.md: 69 engines behind 85 instances, one shard, and demand of three
// domains that swings in waves with close phases.
func UnevenFleet() Pattern {
	const amplitude, period = 0.55, 13 * time.Second
	return Pattern{
		Name: "uneven-fleet", Endpoints: 69, Instances: 85, Shards: 1, Engine: unevenEngine(), ShareInterval: 120 * time.Millisecond,
		Load: Load{
			Kinds: unevenKinds(), Length: dayLength, Teams: 24, TeamExponent: 1.2,
			Waves: []Wave{
				{Amplitude: amplitude, Period: period},
				{Amplitude: amplitude, Period: period, Phase: 0.3},
				{Amplitude: amplitude, Period: period, Phase: 0.6},
			},
			Phases: []Phase{
				{
					From: 1700 * time.Millisecond, To: 1700*time.Millisecond + phaseLength,
					Factors: map[string]float64{"short": 2.4, "long": 0.05},
				},
				{
					From: 12 * time.Second, To: 12*time.Second + phaseLength,
					Factors: map[string]float64{"short": 0.35, "middle": 1.3, "long": 2.7},
				},
				{
					From: 23 * time.Second, To: 23*time.Second + phaseLength,
					Factors: map[string]float64{"short": 2.4, "long": 0.05},
				},
			},
		},
	}
}

func unevenKinds() []Kind {
	return []Kind{
		{
			Name: "short", Rate: 104, Objective: 300 * time.Millisecond, TimeLimit: 10 * time.Second,
			MaxGap: 200 * time.Millisecond, Value: 1.4, LateValue: 0.34,
			Prompt: Sizes{Mean: 5000, Spread: 0.9, Max: 23_800}, Events: Sizes{Mean: 33, Spread: 0.7, Max: 82.5},
		},
		{
			Name: "middle", Rate: 9.51, Objective: 1500 * time.Millisecond, TimeLimit: 10 * time.Second,
			MaxGap: 500 * time.Millisecond, Value: 2.6, LateValue: 0.66,
			Prompt: Sizes{Mean: 45_000, Spread: 0.5, Max: 110_000}, Events: Sizes{Mean: 19.8, Spread: 0.6, Max: 49.5},
		},
		{
			Name: "long", Rate: 2.16, Objective: 4 * time.Second, TimeLimit: 15 * time.Second,
			MaxGap: 800 * time.Millisecond, Value: 30, LateValue: 7.5,
			Prompt: Sizes{Mean: 300_000, Spread: 0.55, Max: 1_000_000}, Events: Sizes{Mean: 16.5, Spread: 0.5, Max: 41.2},
		},
	}
}

// Queued is a pattern whose schedulers have wait queues.
func Queued(p Pattern) Pattern {
	p.Name, p.Queue = p.Name+", wait queue", true
	return p
}
