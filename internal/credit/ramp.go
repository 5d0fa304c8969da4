package credit

import "time"

// The reasons for a return to the ramp's first step.
const (
	dropStaleReport   = "stale_report"
	dropReportFailed  = "report_failed"
	dropNewStart      = "new_start"
	dropLostWarmth    = "lost_warmth"
	dropRequestFailed = "request_failed"
	dropLatency       = "latency"
)

// ramp is the state of a cold start. Step 0 is the service's cold limit. A step is passed when work that was granted
// during it has completed and amounts to the step's whole limit, in streams or in tokens; work granted earlier says
// nothing about the step, and a few small requests do not show that the endpoint can handle twice the limit.
type ramp struct {
	step int
	// epoch changes with each change of the step. Only work granted in the current epoch counts.
	epoch    uint64
	streams  int
	tokens   int64
	lastDrop string
}

func (r *ramp) setStep(step int) {
	if step == r.step {
		return
	}
	r.step = step
	r.restart()
}

func (r *ramp) restart() {
	r.epoch++
	r.streams = 0
	r.tokens = 0
}

// drop returns to the first step and forgets the work done during the current one.
func (r *ramp) drop(reason string) {
	r.step = 0
	r.restart()
	r.lastDrop = reason
}

// completed counts a hold whose stream ended properly and moves to the next step if the current one is proven. Each step
// of a model engine also needs the engine's word: a report taken during this run that says warm. Completed work alone
// does not show that a cold engine can handle twice its limit: one that stays cold falls over at the first step. A report
// never raises a limit by itself, because it may describe a time before a restart.
func (a *Account) completed(now time.Time, h *hold) {
	if !h.own || h.epoch != a.ramp.epoch || a.stale(now) {
		return
	}
	a.ramp.streams++
	a.ramp.tokens += h.tokens
	limit := a.limit()
	proven := a.ramp.streams >= limit.Streams || (!a.limits.Plain && a.ramp.tokens >= limit.Tokens)
	next := a.ramp.step + 1
	if !proven || next > a.limits.top() {
		return
	}
	if !a.limits.Plain && !a.engine.warm {
		return
	}
	a.ramp.setStep(next)
}

const (
	// slowFactor and slowSlack tell a late first token from one that contradicts warmth.
	slowFactor = 4
	slowSlack  = time.Second
	// rateMemory is the time for which a measured prefill rate is used; without a bound, one slow prompt could make the
	// account refuse every ask that would correct the measurement.
	rateMemory = 10 * time.Second
	// rateWeight is the weight of the newest sample in the moving average.
	rateWeight = 0.2
)

// firstToken checks a reported time to the first token against the service's prefill rate and learns from it.
func (a *Account) firstToken(now time.Time, h *hold, took time.Duration) {
	if h.timed || took <= 0 || h.expected <= 0 {
		return
	}
	h.timed = true
	if took > slowFactor*h.expected+slowSlack {
		a.ramp.drop(dropLatency)
	}
	a.rate.add(now, a.limits.PrefillRate*h.expected.Seconds()/took.Seconds())
}

// prefillRate is a moving average of the measured prefill speed in tokens per second.
type prefillRate struct {
	value float64
	at    time.Time
}

func (p *prefillRate) add(now time.Time, sample float64) {
	if p.value == 0 || now.Sub(p.at) > rateMemory {
		p.value = sample
	} else {
		p.value += rateWeight * (sample - p.value)
	}
	p.at = now
}

// prefillWait estimates the time until a prompt's first token, behind the given number of queued tokens. It is 0 if no
// rate is known. A measured rate above the configured one is not used: it comes from prompts that the cache answered.
func (a *Account) prefillWait(now time.Time, tokens int64) time.Duration {
	rate := a.limits.PrefillRate
	if rate <= 0 {
		return 0
	}
	if a.rate.value > 0 && now.Sub(a.rate.at) <= rateMemory {
		rate = min(rate, a.rate.value)
	}
	return seconds(float64(tokens) / rate)
}
