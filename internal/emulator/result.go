package emulator

func (r *run) account(call *request) {
	kind := r.kindResult(call.kind)
	switch {
	case r.now-call.at > call.kind.Deadline:
		kind.Refused++
		return
	case call.paused || call.firstAt-call.at+networkTime > call.kind.Objective:
		kind.Late++
		kind.Earned += call.worth(call.kind.LateValue)
	default:
		kind.OnTime++
		kind.Earned += call.worth(call.kind.Value)
	}
	if call.isLarge() {
		kind.LargeServed++
	}
}

// Sum plays a pattern with several seeds and adds up the results.
func Sum(pattern Pattern, policy Policy, seeds int) Result {
	sum := Result{Kinds: make(map[string]*KindResult)}
	for seed := range seeds {
		result := Run(pattern.Options(policy, uint64(seed)+1))
		sum.Value += result.Value / float64(seeds)
		sum.Reading += result.Reading / float64(seeds)
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
	k.Asked += other.Asked
	k.OnTime += other.OnTime
	k.Late += other.Late
	k.Refused += other.Refused
	k.RefusedAgain += other.RefusedAgain
	k.Earned += other.Earned
	k.Owed += other.Owed
	k.LargeAsked += other.LargeAsked
	k.LargeServed += other.LargeServed
}
