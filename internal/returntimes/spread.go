package returntimes

import "time"

const (
	// A caller follows a Retry-After of up to 1/followDivisor of the time that it has left. The times told during an outage are
	// between 1/outageDivisor and 1/followDivisor of it.
	followDivisor = 3
	outageDivisor = 6
	// unstatedRemaining is the remaining time of a caller that stated none.
	unstatedRemaining = 2 * time.Second
)

// Latest returns the longest delay that a caller with the remaining time follows.
func Latest(remaining time.Duration) time.Duration { return max(remaining, 0) / followDivisor }

// DuringOutage returns the delay for a caller that no instance can serve now. random is a number in [0, 1). The delays are spread
// evenly over the range, so that callers who arrive at a constant rate also return at one. No delay exceeds Horizon: callers may state
// limits of days, and an outage is shorter.
func DuringOutage(remaining time.Duration, random float64) time.Duration {
	if remaining <= 0 {
		remaining = unstatedRemaining
	}
	remaining = min(remaining, followDivisor*Horizon)
	least, most := remaining/outageDivisor, remaining/followDivisor
	return least + time.Duration(random*float64(most-least))
}

// Spread returns a delay between the earliest useful one and the longest one that the caller follows, for callers that are
// refused where no schedule is kept. It is spread over at most spreadFactor times the earliest one, because a longer delay has
// no use for a caller if capacity is free before.
func Spread(earliest, remaining time.Duration, random float64) time.Duration {
	if remaining <= 0 {
		remaining = unstatedRemaining
	}
	most := min(Latest(remaining), spreadFactor*earliest)
	return earliest + time.Duration(random*float64(max(most-earliest, 0)))
}

// spreadFactor bounds the range of Spread, in earliest useful delays.
const spreadFactor = 4
