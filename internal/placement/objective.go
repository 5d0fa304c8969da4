package placement

import "time"

const (
	// A budget below retryFraction of the time limit is treated as a sign that the caller is retrying. Budgets of first
	// attempts vary, but are larger.
	retryFraction = 0.75
	// A request is considered late if less than lateFraction of its objective remains.
	lateFraction = 0.25
	// minLateObjective and maxLateObjective bound the target time to the first event of a late request.
	maxLateObjective = 1500 * time.Millisecond
	minLateObjective = 500 * time.Millisecond
	// waitFraction bounds how long a request waits to be placed, as a fraction of its objective.
	waitFraction = 0.125
	// resumeFactor is the time to the next event of a resumed stream, in objectives. Callers disconnect after four
	// objectives.
	resumeFactor = 2
	// usefulFraction is the fraction of the time limit in which a late first event still has a value.
	usefulFraction = 0.5
)

// Timing holds the times of a request.
type Timing struct {
	// Objective is the time to the first event within which a request is on time, from the caller's first attempt.
	Objective time.Duration
	// TimeLimit is the longest time that the profile allows for a request.
	TimeLimit time.Duration
	// Budget is how long the caller waits, counted from the arrival of this attempt; zero if the caller stated no budget.
	Budget time.Duration
	// Waited is the time since the arrival of this attempt.
	Waited time.Duration
	// Resumed is true for a stream that continues at another endpoint. Its caller has received a part of the response
	// already and waits longer for the next event.
	Resumed bool
}

// ObjectiveLeft returns the remaining target time to the first event, the objective for the placement of the request. The
// time that a retrying caller has used already is the difference between the time limit and its budget. A late request is
// accepted only if its predicted first event is early, because a late response has less value than one that can still be
// on time. A request without an objective is placed like a late one with the least objective.
func ObjectiveLeft(t Timing) time.Duration {
	if t.Objective <= 0 {
		return minLateObjective
	}
	if t.Resumed {
		return resumeFactor * t.Objective
	}
	remaining := t.Objective - Used(t)
	if float64(remaining) < lateFraction*float64(t.Objective) {
		return min(max(t.Objective, minLateObjective), maxLateObjective)
	}
	return remaining
}

// Used returns the time since the caller's first attempt.
func Used(t Timing) time.Duration {
	if t.Budget > 0 && float64(t.Budget) < retryFraction*float64(t.TimeLimit) {
		return t.Waited + t.TimeLimit - t.Budget
	}
	return t.Waited
}

// UsefulLeft returns the remaining time in which the first event has any value.
func UsefulLeft(t Timing) time.Duration {
	if t.Resumed {
		return resumeFactor * t.Objective
	}
	return max(max(t.Objective, time.Duration(usefulFraction*float64(t.TimeLimit)))-Used(t), 0)
}

// WaitLimit returns how long a request that was refused for the reason may wait to be placed. Slots may become free at any
// time. A prefill queue, however, shrinks at most as fast as the remaining objective. A request refused with TooLate or
// PrefillBusy is therefore rejected at once.
func WaitLimit(reason Reason, objective time.Duration) time.Duration {
	switch reason {
	case SlotsFull, NoEndpoint:
		return time.Duration(waitFraction * float64(objective))
	}
	return 0
}
