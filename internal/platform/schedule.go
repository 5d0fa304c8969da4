package platform

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatchPeriod is how long the platform may delay the response to a watch.
	WatchPeriod = 10 * time.Second
	// SlowReadPeriod is the mean interval between the reads of a controller that is no watcher.
	SlowReadPeriod = 60 * time.Second
	// publishedValues is the number of kinds. Each kind is read separately.
	publishedValues = 2
	// minWatchers is the constant part of the number of watchers. It is 2 so that one controller still watches while another
	// is replaced.
	minWatchers = 2
)

// Watchers returns how many of n live controllers are watchers of a kind.
func Watchers(n int) int {
	return min(n, minWatchers+int(math.Ceil(math.Sqrt(float64(n)))))
}

// ReadsPerSecond returns the mean rate of reads that n live controllers send to the platform for both kinds.
func ReadsPerSecond(n int) float64 {
	watches := float64(Watchers(n)*publishedValues) / WatchPeriod.Seconds()
	slowReads := float64(n*publishedValues) / SlowReadPeriod.Seconds()
	return watches + slowReads
}

// IsWatcher reports whether self is one of the controllers that watch kind, which are those with the lowest ranks. live
// holds the names of the live controllers; self is always considered live.
func IsWatcher(kind Kind, self string, live []string) bool {
	selfRank := rank(kind, self)
	count, ahead := 1, 0
	for _, name := range live {
		if name == self {
			continue
		}
		count++
		if otherRank := rank(kind, name); otherRank < selfRank || otherRank == selfRank && name < self {
			ahead++
		}
	}
	return ahead < Watchers(count)
}

func rank(kind Kind, name string) uint64 { return xxhash.Sum64String(string(kind) + "/" + name) }

const (
	minBackoff = 250 * time.Millisecond
	// maxBackoff is below the 6 s within which a revision must be in force everywhere after an outage of the platform.
	maxBackoff = 4 * time.Second
)

// backoff computes the random, exponentially growing delays after consecutive failures.
type backoff struct {
	rand *rand.Rand
	step time.Duration
}

// next doubles the step, within minBackoff and maxBackoff, and returns a random delay between half of it and all of it.
func (b *backoff) next() time.Duration {
	b.step = min(max(2*b.step, minBackoff), maxBackoff)
	return jitter(b.rand, b.step/2, b.step)
}

func (b *backoff) reset() { b.step = 0 }

func jitter(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
