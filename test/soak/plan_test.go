package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// action is the kind of disturbance of a step. Plans sort the actions by these texts before drawing, so that changing
// a text changes the plans of all seeds.
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

	endpointCrash  action = "endpoint_crash"
	endpointDrain  action = "endpoint_drain"
	endpointFaulty action = "endpoint_spoil"

	changeConfig action = "change_config"
	revokeKey    action = "revoke_key"
	evacuate     action = "evacuate"
	burst        action = "burst"
)

// actionWeights holds the relative frequency of each action.
var actionWeights = map[action]int{
	entryTerm: 3, entryKill: 2, entryPause: 3, entryReload: 2,
	storeDown: 2, storeForget: 1, storeLink: 3, callersLink: 2, endpointLink: 4,
	endpointCrash: 2, endpointDrain: 3, endpointFaulty: 3,
	changeConfig: 4, revokeKey: 3, evacuate: 1, burst: 1,
}

const (
	// warmUpTime is the time before the first step, in which the instances discover each other.
	warmUpTime     = 1500 * time.Millisecond
	stepsPerSecond = 1.6
	minStepLength  = 200 * time.Millisecond
	maxStepLength  = 6500 * time.Millisecond
	maxLinkDelay   = 150 * time.Millisecond
	// seriesBound sets the series of steps: one drawn step in seriesBound is followed by 1 to seriesBound-1 similar ones.
	seriesBound = 4
)

// step is one disturbance of a plan.
type step struct {
	at     time.Duration
	action action
	// target selects an instance, endpoint or domain, modulo their number.
	target int
	length time.Duration
	mode   linkMode
	delay  time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%.2fs %s target=%d for=%.2fs mode=%d delay=%s",
		s.at.Seconds(), s.action, s.target, s.length.Seconds(), s.mode, s.delay)
}

// drawPlan returns the plan of a seed: single steps and short series of steps, which may overlap.
func drawPlan(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	count := int(stepsPerSecond * (length - warmUpTime).Seconds())
	var steps []step
	for len(steps) < count {
		first := step{
			at:     warmUpTime + time.Duration(random.Int64N(int64(length-warmUpTime))),
			action: drawAction(random),
			target: random.IntN(1 << 10),
			length: minStepLength + time.Duration(random.Int64N(int64(maxStepLength-minStepLength))),
			mode:   linkMode(random.IntN(int(linkReset) + 1)),
		}
		if first.mode == linkUp {
			first.delay = time.Duration(random.Int64N(int64(maxLinkDelay)))
		}
		steps = append(steps, first)
		if random.IntN(seriesBound) == 0 {
			steps = append(steps, drawSeries(random, first)...)
		}
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	return steps
}

// limitStep is an endpoint that names a request rate for a while.
type limitStep struct {
	at, length time.Duration
	target     int
	perSecond  float64
}

const (
	minLimitLength = 6 * time.Second
	maxLimitLength = 10 * time.Second
	minLimitRate   = 0.5
	maxLimitRate   = 4.0
)

// drawLimit returns the request rate that an endpoint names during a round. It uses random numbers of its own, so that the plans
// of earlier seeds stay the same.
func drawLimit(seed uint64, length time.Duration) limitStep {
	random := rand.New(rand.NewPCG(seed, 1))
	return limitStep{
		at:        warmUpTime + time.Duration(random.Int64N(int64(length/2))),
		length:    minLimitLength + time.Duration(random.Int64N(int64(maxLimitLength-minLimitLength))),
		target:    random.IntN(1 << 10),
		perSecond: minLimitRate + (maxLimitRate-minLimitRate)*random.Float64(),
	}
}

// restoreStep is a store that is away for a while and comes back from a copy that was made earlier.
type restoreStep struct {
	copyAt, at, length, rewriteDelay time.Duration
}

const (
	maxCopyAge       = 9 * time.Second
	minRestoreLength = 200 * time.Millisecond
	maxRestoreLength = 3 * time.Second
	// maxRewriteDelay is the time within which operators and servers write again what is lost.
	maxRewriteDelay = 2 * time.Second
)

// drawRestore returns the restoration of a round. It uses random numbers of its own, so that the plans of earlier seeds stay the same.
func drawRestore(seed uint64, length time.Duration) restoreStep {
	random := rand.New(rand.NewPCG(seed, 2))
	at := warmUpTime + time.Duration(random.Int64N(int64(length)))
	return restoreStep{
		copyAt:       max(warmUpTime/2, at-time.Duration(random.Int64N(int64(maxCopyAge)))),
		at:           at,
		length:       minRestoreLength + time.Duration(random.Int64N(int64(maxRestoreLength-minRestoreLength))),
		rewriteDelay: time.Duration(random.Int64N(int64(maxRewriteDelay))),
	}
}

// drawSeries returns 1 to seriesBound-1 steps like the first, one second apart, on the same target or the next ones.
func drawSeries(random *rand.Rand, first step) []step {
	var series []step
	targetStride := random.IntN(2)
	for i := range 1 + random.IntN(seriesBound-1) {
		next := first
		next.at += time.Duration(i+1) * time.Second
		next.target += targetStride * (i + 1)
		series = append(series, next)
	}
	return series
}

func drawAction(random *rand.Rand) action {
	var actions []action
	for a := range actionWeights {
		actions = append(actions, a)
	}
	sort.Slice(actions, func(i, j int) bool { return actions[i] < actions[j] })
	var weighted []action
	for _, a := range actions {
		for range actionWeights[a] {
			weighted = append(weighted, a)
		}
	}
	return weighted[random.IntN(len(weighted))]
}
