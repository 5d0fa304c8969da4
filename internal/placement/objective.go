package placement

import "time"

const (
	// returnedShare is the part of the time limit below which a budget shows that the caller has come back: budgets of
	// first attempts vary, but stay above it.
	returnedShare = 0.75
	// lateShare is the part of the objective under which a request counts as late.
	lateShare = 0.25
	// maxLate bounds the time to the first event within which a late request is still taken.
	maxLate = 1500 * time.Millisecond
	minLate = 500 * time.Millisecond
	// waitShare bounds how long a request waits to be placed, as a part of its objective.
	waitShare = 0.125
	// resumeFactor is the time to the next event of a resumed stream, in objectives. Callers leave after four.
	resumeFactor = 2
)

// Timing holds the times of a request.
type Timing struct {
	// Objective is the time to the first event within which a request is on time, from the caller's first attempt.
	Objective time.Duration
	// TimeLimit is the longest time of a request of the profile.
	TimeLimit time.Duration
	// Budget is the time that the caller waits from the arrival of this attempt; zero if it stated none.
	Budget time.Duration
	// Waited is the time since the arrival of this attempt.
	Waited time.Duration
	// Resumed is true for a stream that goes on at another endpoint. Its caller has a part of the answer already and
	// waits longer for the next event.
	Resumed bool
}

// ObjectiveLeft returns the time to the first event that a placement aims at. A caller that comes back has used up a
// part of its objective, which shows in its budget. A request that cannot be on time any more is taken only if it is
// answered soon, because it is worth less than the ones that can.
func ObjectiveLeft(t Timing) time.Duration {
	if t.Resumed {
		return resumeFactor * t.Objective
	}
	used := t.Waited
	if t.Budget > 0 && float64(t.Budget) < returnedShare*float64(t.TimeLimit) {
		used += t.TimeLimit - t.Budget
	}
	left := t.Objective - used
	if float64(left) < lateShare*float64(t.Objective) {
		return min(max(t.Objective, minLate), maxLate)
	}
	return left
}

// WaitLimit returns how long a request that was refused for the reason may wait for a place. Slots may empty at any
// moment, but a queue gets shorter no faster than the objective does, so that a request that is too late, or fails
// with PrefillBusy, is refused at once.
func WaitLimit(reason Reason, objective time.Duration) time.Duration {
	switch reason {
	case SlotsFull, NoEndpoint:
		return time.Duration(waitShare * float64(objective))
	}
	return 0
}
