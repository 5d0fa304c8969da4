package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// action is what a step of a plan does.
type action string

const (
	entryTerm   action = "entry_term"
	entryKill   action = "entry_kill"
	entryPause  action = "entry_pause"
	entryReload action = "entry_reload"

	storeDown    action = "store_down"
	storeForget  action = "store_forget"
	storeLink    action = "store_link"
	callersLink  action = "callers_link"
	endpointLink action = "endpoint_link"

	endpointCrash action = "endpoint_crash"
	endpointDrain action = "endpoint_drain"
	endpointSpoil action = "endpoint_spoil"

	changeConfig action = "change_config"
	revokeKey    action = "revoke_key"
	evacuate     action = "evacuate"
	burst        action = "burst"
)

// frequency is how often each action is drawn, against the others.
var frequency = map[action]int{
	entryTerm: 3, entryKill: 2, entryPause: 3, entryReload: 2,
	storeDown: 2, storeForget: 1, storeLink: 3, callersLink: 2, endpointLink: 4,
	endpointCrash: 2, endpointDrain: 3, endpointSpoil: 3,
	changeConfig: 4, revokeKey: 3, evacuate: 1, burst: 1,
}

const (
	// warmTime is left before the first step, so that instances know each other.
	warmTime    = 1500 * time.Millisecond
	stepsASec   = 1.6
	shortestFor = 200 * time.Millisecond
	longestFor  = 6500 * time.Millisecond
	longDelay   = 150 * time.Millisecond
	seriesChunk = 4
)

// step is one disturbance of a plan.
type step struct {
	at     time.Duration
	action action
	// target selects among the things of the action's kind.
	target int
	length time.Duration
	mode   linkMode
	delay  time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%.2fs %s target=%d for=%.2fs mode=%d delay=%s",
		s.at.Seconds(), s.action, s.target, s.length.Seconds(), s.mode, s.delay)
}

// draw makes the plan of a seed: steps that come one by one or in short series, and overlap.
func draw(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	count := int(stepsASec * (length - warmTime).Seconds())
	var steps []step
	for len(steps) < count {
		first := step{
			at:     warmTime + time.Duration(random.Int64N(int64(length-warmTime))),
			action: drawAction(random),
			target: random.IntN(1 << 10),
			length: shortestFor + time.Duration(random.Int64N(int64(longestFor-shortestFor))),
			mode:   linkMode(random.IntN(int(linkReset) + 1)),
		}
		if first.mode == linkUp {
			first.delay = time.Duration(random.Int64N(int64(longDelay)))
		}
		steps = append(steps, first)
		if random.IntN(seriesChunk) == 0 {
			steps = append(steps, repeat(random, first)...)
		}
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	return steps
}

// repeat makes a series of a step, on the same target or the next ones.
func repeat(random *rand.Rand, first step) []step {
	var series []step
	move := random.IntN(2)
	for i := range 1 + random.IntN(seriesChunk-1) {
		next := first
		next.at += time.Duration(i+1) * time.Second
		next.target += move * (i + 1)
		series = append(series, next)
	}
	return series
}

func drawAction(random *rand.Rand) action {
	var all []action
	for a := range frequency {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	var pool []action
	for _, a := range all {
		for range frequency[a] {
			pool = append(pool, a)
		}
	}
	return pool[random.IntN(len(pool))]
}
