package testkit

import (
	"slices"
	"time"
)

// MaxWithin sorts the given times and returns the largest number of them within any interval of the given length.
func MaxWithin(times []time.Time, length time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
