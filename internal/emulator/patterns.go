package emulator

import (
	"fmt"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Pattern is a named fleet and load.
type Pattern struct {
	Name      string
	Endpoints int
	Instances int
	// Slots is the number of requests that an engine runs at once; the default is that of StandardEngine.
	Slots int
	// ShareInterval is the time between two load messages of an instance; the default is 60 ms.
	ShareInterval time.Duration
	// Shards is the number of shards of the endpoints, each with one scheduler; zero if instances place by their
	// counts.
	Shards int
	// Stride is the number of steps of a pass; the default is that of StandardEngine.
	Stride int
	// Engine replaces the standard engine.
	Engine *fleet.Engine
	// Queue lets the schedulers have wait queues.
	Queue bool
	Load  Load
	PaceOptions
}

// StandardEngine returns the engine of all patterns, some of which set other slots or another stride: 405,000 tokens of
// memory, 154 prompt tokens prefilled per millisecond.
func StandardEngine() fleet.Engine {
	return fleet.Engine{
		Slots: 16, MemoryTokens: 405_000, Stride: 34,
		StepTime:           1310 * time.Microsecond,
		StepTimePerStream:  917 * time.Nanosecond,
		StepTimePerContext: 2130 * time.Nanosecond,
		PrefillRate:        154_000,
		AttentionTime:      162 * time.Microsecond,
	}
}

// StandardChunk is the number of prompt tokens that the standard engine prefills in a step.
const StandardChunk = 2048

// standardKinds returns short, middle and long prompts at the given mean rates. All patterns except HugeFleet use its
// objectives and values.
func standardKinds(short, middle, long float64) []Kind {
	return []Kind{
		{
			Name: "short", Rate: short, Objective: 300 * time.Millisecond, TimeLimit: 10 * time.Second, MaxGap: 250 * time.Millisecond,
			Value: 1.3, LateValue: 0.33,
			Prompt: Sizes{Mean: 5000, Spread: 0.9, Max: 23_800}, Events: Sizes{Mean: 38.5, Spread: 0.7, Max: 96},
		},
		{
			Name: "middle", Rate: middle, Objective: 1500 * time.Millisecond, TimeLimit: 10 * time.Second,
			MaxGap: 600 * time.Millisecond,
			Value:  3.9, LateValue: 0.97,
			Prompt: Sizes{Mean: 45_000, Spread: 0.5, Max: 110_000}, Events: Sizes{Mean: 23.1, Spread: 0.6, Max: 58},
		},
		{
			Name: "long", Rate: long, Objective: 3 * time.Second, TimeLimit: 15 * time.Second, MaxGap: time.Second,
			Value: 24, LateValue: 6.1,
			Prompt: Sizes{Mean: 182_000, Spread: 0.55, Max: 900_000}, Events: Sizes{Mean: 19.2, Spread: 0.5, Max: 48},
		},
	}
}

const (
	phaseLength = 9500 * time.Millisecond
	dayLength   = 34 * time.Second
)

func longPhase(from time.Duration) Phase {
	return Phase{From: from, To: from + phaseLength, Factors: map[string]float64{"short": 0.38, "middle": 1.3, "long": 2.8}}
}

func shortPhase(from time.Duration) Phase {
	return Phase{From: from, To: from + phaseLength, Factors: map[string]float64{"short": 2.5, "middle": 0.5, "long": 0.05}}
}

// LongShortLong has a high rate of long prompts and a low rate of short ones, then the reverse, then the first rates again,
// each for about ten seconds.
func LongShortLong() Pattern {
	return Pattern{Name: "long-short-long", Endpoints: 23, Instances: 7, Load: Load{
		Kinds: standardKinds(46, 2.57, 1.19), Length: dayLength,
		Phases: []Phase{longPhase(1700 * time.Millisecond), shortPhase(13 * time.Second), longPhase(23 * time.Second)},
	}}
}

// ShortLongShort has a high rate of short prompts and a low rate of long ones, then the reverse, then the first rates again,
// each for about ten seconds.
func ShortLongShort() Pattern {
	return Pattern{Name: "short-long-short", Endpoints: 18, Instances: 8, Load: Load{
		Kinds: standardKinds(36, 2.01, 0.935), Length: dayLength,
		Phases: []Phase{shortPhase(1700 * time.Millisecond), longPhase(12 * time.Second), shortPhase(23 * time.Second)},
	}}
}

// DomainOut is LongShortLong with a third of the endpoints out of service.
func DomainOut() Pattern {
	p := LongShortLong()
	p.Name, p.Endpoints = "domain-out", 15
	return p
}

// LargeFleet is LongShortLong on 78 endpoints behind 79 instances, which exchange counts through aggregators.
func LargeFleet() Pattern {
	p := LongShortLong()
	p.Name, p.Endpoints, p.Instances = "large-fleet", 78, 79
	p.Slots, p.ShareInterval = 12, 120*time.Millisecond
	p.Load.Kinds = standardKinds(124, 8.68, 2.17)
	for i := range p.Load.Kinds {
		p.Load.Kinds[i].Prompt.Mean *= largeFleetPrompts[p.Load.Kinds[i].Name]
	}
	return p
}

// largeFleetPrompts holds the factor on the mean prompt length of each kind in the large fleet.
var largeFleetPrompts = map[string]float64{"short": 1, "middle": 1, "long": 1.43}

// CrowdedFleet is a large fleet that has lost two thirds of its endpoints, with twice as many short prompts as the
// remaining endpoints can serve. All instances place requests on the same few free slots.
func CrowdedFleet() Pattern {
	p := LargeFleet()
	p.Name, p.Endpoints = "crowded-fleet", 25
	p.Load.Length = crowdedLength
	p.Load.Phases = []Phase{{From: time.Second, To: crowdedLength, Factors: map[string]float64{"short": 2.35, "middle": 1, "long": 0}}}
	return p
}

const crowdedLength = 11 * time.Second

// HugeFleet is LongShortLong on 195 endpoints behind 295 instances. Each instance gets about one request per second.
func HugeFleet() Pattern {
	p := LongShortLong()
	p.Name, p.Endpoints, p.Instances = "huge-fleet", 195, 295
	p.Slots, p.Stride, p.ShareInterval = 10, 53, 180*time.Millisecond
	p.Load.Kinds = hugeFleetKinds()
	return p
}

func hugeFleetKinds() []Kind {
	kinds := standardKinds(223, 18.2, 4.55)
	for i, k := range []Kind{
		{
			Objective: 400 * time.Millisecond, MaxGap: 300 * time.Millisecond, Value: 1.3, LateValue: 0.34,
			Events: Sizes{Mean: 26.1, Spread: 0.7, Max: 65},
		},
		{
			Objective: 1500 * time.Millisecond, MaxGap: 800 * time.Millisecond, Value: 2.9, LateValue: 0.72,
			Events: Sizes{Mean: 15.6, Spread: 0.6, Max: 39},
		},
		{
			Objective: 4 * time.Second, MaxGap: 1200 * time.Millisecond, Value: 30, LateValue: 7.6,
			Events: Sizes{Mean: 13, Spread: 0.5, Max: 33},
		},
	} {
		kind := &kinds[i]
		kind.Objective, kind.MaxGap, kind.Value, kind.LateValue, kind.Events =
			k.Objective, k.MaxGap, k.Value, k.LateValue, k.Events
	}
	kinds[2].Prompt.Mean = 260_000
	return kinds
}

// Scheduled is a pattern with the given number of shards, each with one scheduler that places the requests.
func Scheduled(p Pattern, shards int) Pattern {
	p.Name, p.Shards = fmt.Sprintf("%s, %d shards", p.Name, shards), shards
	return p
}

// Patterns lists the patterns of the experiments.
func Patterns() []Pattern {
	return []Pattern{LongShortLong(), ShortLongShort(), DomainOut(), LargeFleet(), CrowdedFleet()}
}

// Options returns the options for a run of the pattern.
func (p Pattern) Options(policy Policy, seed uint64) Options {
	engine := StandardEngine()
	if p.Engine != nil {
		engine = *p.Engine
	}
	if p.Slots > 0 {
		engine.Slots = p.Slots
	}
	if p.Stride > 0 {
		engine.Stride = p.Stride
	}
	return Options{
		Shards: p.Shards, Engine: engine, Chunk: StandardChunk, Endpoints: p.Endpoints, Instances: p.Instances,
		ShareInterval: p.ShareInterval, Load: p.Load, Policy: policy, Seed: seed, Queue: p.Queue,
		PaceOptions: p.PaceOptions,
	}
}
