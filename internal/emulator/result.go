package emulator

func (r *run) recordOutcome(call *request) {
	kind := r.kindResult(call.kind)
	switch {
	case r.now-call.at > call.kind.Deadline:
		kind.Refused++
		return
	case call.gapExceeded || call.firstEventAt-call.at+networkRoundTrip > call.kind.Objective:
		kind.Late++
		kind.Earned += call.value(call.kind.LateValue)
	default:
		kind.OnTime++
		kind.Earned += call.value(call.kind.Value)
	}
	if call.isLarge() {
		kind.LargeServed++
	}
}

// Sum runs a pattern with several seeds and adds up the results.
func Sum(pattern Pattern, policy Policy, seeds int) Result {
	sum := Result{Kinds: make(map[string]*KindResult)}
	for seed := range seeds {
		result := Run(pattern.Options(policy, uint64(seed)+1))
		sum.Value += result.Value / float64(seeds)
		sum.PrefillFraction += result.PrefillFraction / float64(seeds)
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
	k.Refused += other.Refused
	k.RefusedAfterRetry += other.RefusedAfterRetry
	k.Earned += other.Earned
	k.MaxEarned += other.MaxEarned
	k.LargeRequests += other.LargeRequests
	k.LargeServed += other.LargeServed
}
