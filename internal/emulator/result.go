package emulator

// recordOutcome counts a request that has ended. A request that ended after its time limit is counted as not served.
func (r *run) recordOutcome(call *request) {
	result := r.kindResult(call.kind)
	switch {
	case r.now-call.at > call.kind.TimeLimit:
		result.NotServed++
		return
	case call.gapExceeded || call.firstEventAt-call.at+networkRoundTrip > call.kind.Objective:
		result.Late++
		result.Earned += call.value(call.kind.LateValue)
	default:
		result.OnTime++
		result.Earned += call.value(call.kind.Value)
	}
	if call.isInLargestTenth() {
		result.LargeServed++
	}
}

// RunSeeds runs a pattern with several seeds. It adds up the counts and values of the kinds, and averages Value and
// PrefillFraction.
func RunSeeds(pattern Pattern, policy Policy, seeds int) Result {
	sum := Result{Kinds: make(map[string]*KindResult)}
	for seed := range seeds {
		result := Run(pattern.Options(policy, uint64(seed)+1))
		sum.Value += result.Value / float64(seeds)
		sum.PrefillFraction += result.PrefillFraction / float64(seeds)
		sum.Pace.add(&result.Pace)
		for name, k := range result.Kinds {
			if sum.Kinds[name] == nil {
				sum.Kinds[name] = &KindResult{}
			}
			sum.Kinds[name].add(k)
		}
	}
	return sum
}

func (k *KindResult) add(other *KindResult) {
	k.Requests += other.Requests
	k.OnTime += other.OnTime
	k.Late += other.Late
	k.NotServed += other.NotServed
	k.RefusedAfterRetry += other.RefusedAfterRetry
	k.Earned += other.Earned
	k.MaxEarned += other.MaxEarned
	k.LargeRequests += other.LargeRequests
	k.LargeServed += other.LargeServed
}
