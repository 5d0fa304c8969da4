package credit

import "time"

// The reasons why the ramp returns to its first step.
const (
	dropStaleReport   = "stale_report"
	dropReportFailed  = "report_failed"
	dropNewStart      = "new_start"
	dropLostWarmth    = "lost_warmth"
	dropRequestFailed = "request_failed"
	dropLatency       = "latency"
)

// ramp is the state of a cold start. Step 0 is the service's cold limit. The next step follows when the completed work
// that was granted during the current step amounts to the step's whole limit, in streams or in tokens. Work granted
// earlier does not count, because it does not show that the endpoint can handle the limit of the step. A whole limit of
// work is needed because a few small requests do not show that the endpoint can handle twice the limit.
type ramp struct {
	step int
	// epoch increases with each change of the step and with each drop. Only work granted in the current epoch counts.
	epoch            uint64
	completedStreams int
	completedTokens  int64
	lastDrop         string
}

func (r *ramp) setStep(step int) {
	if step == r.step {
		return
	}
	r.step = step
	r.startEpoch()
}

func (r *ramp) startEpoch() {
	r.epoch++
	r.completedStreams = 0
	r.completedTokens = 0
}

// drop returns to the first step and discards the work completed during the current one.
func (r *ramp) drop(reason string) {
	r.step = 0
	r.startEpoch()
	r.lastDrop = reason
}

// completed counts a reservation whose stream ended successfully, and moves to the next step if enough work was completed
// at the current one. For a model engine, each step also requires that a report of the current run says that the engine is
// warm. Completed work alone does not show that a cold engine can handle twice its limit: an engine that stays cold is
// overloaded as soon as the limit rises. A report never raises the limit by itself, because it may be from before a restart.
func (a *Account) completed(now time.Time, r *reservation) {
	if !r.grantedHere || r.epoch != a.ramp.epoch || a.stale(now) {
		return
	}
	a.ramp.completedStreams++
	a.ramp.completedTokens += r.tokens
	limit := a.limit()
	proven := a.ramp.completedStreams >= limit.Streams || (!a.limits.Plain && a.ramp.completedTokens >= limit.Tokens)
	next := a.ramp.step + 1
	if !proven || next > a.limits.lastStep() {
		return
	}
	if !a.limits.Plain && !a.engine.warm {
		return
	}
	a.ramp.setStep(next)
}

const (
	// slowFactor and slowSlack bound the time to the first token of a warm endpoint: slowFactor times the expected time
	// plus slowSlack. Above it, the ramp returns to its first step.
	slowFactor = 4
	slowSlack  = time.Second
	// maxRateAge is the time for which a measured prefill rate is used. Without a limit, one slow prompt could make the
	// account refuse every request whose measurement would correct the rate.
	maxRateAge = 10 * time.Second
	// rateSampleWeight is the weight of the newest sample in the moving average.
	rateSampleWeight = 0.2
)

// firstToken compares a reported time to the first token with the expected one, and updates the measured prefill rate.
func (a *Account) firstToken(now time.Time, r *reservation, latency time.Duration) {
	if r.firstTokenKnown || latency <= 0 || r.expectedFirstToken <= 0 {
		return
	}
	r.firstTokenKnown = true
	if latency > slowFactor*r.expectedFirstToken+slowSlack {
		a.ramp.drop(dropLatency)
	}
	a.rate.add(now, a.limits.PrefillRate*r.expectedFirstToken.Seconds()/latency.Seconds())
}

// prefillRate is a moving average of the measured prefill speed in tokens per second.
type prefillRate struct {
	value float64
	at    time.Time
}

func (p *prefillRate) add(now time.Time, sample float64) {
	if p.value == 0 || now.Sub(p.at) > maxRateAge {
		p.value = sample
	} else {
		p.value += rateSampleWeight * (sample - p.value)
	}
	p.at = now
}

// prefillWait estimates the time that the prefill of the given number of tokens takes. It is 0 if no rate is configured. A
// measured rate above the configured one is not used, because it comes from prompts that were in the prefix cache.
func (a *Account) prefillWait(now time.Time, tokens int64) time.Duration {
	rate := a.limits.PrefillRate
	if rate <= 0 {
		return 0
	}
	if a.rate.value > 0 && now.Sub(a.rate.at) <= maxRateAge {
		rate = min(rate, a.rate.value)
	}
	return seconds(float64(tokens) / rate)
}
