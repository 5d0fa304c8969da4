package platform

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatchPeriod is how long the platform may hold a watch.
	WatchPeriod = 10 * time.Second
	// SlowReadPeriod is the mean time between the reads of a controller that holds no watch.
	SlowReadPeriod = 60 * time.Second
	// publishedValues is the number of kinds, each of which is read on its own.
	publishedValues = 2
	// minWatchers keeps a watch at another controller while one of them is replaced.
	minWatchers = 2
)

// Watchers returns how many of n live controllers hold a watch.
func Watchers(n int) int {
	return min(n, minWatchers+int(math.Ceil(math.Sqrt(float64(n)))))
}

// ReadsPerSecond returns the mean rate of reads that n live controllers send to the platform, for both values.
func ReadsPerSecond(n int) float64 {
	watches := float64(Watchers(n)*publishedValues) / WatchPeriod.Seconds()
	slowReads := float64(n*publishedValues) / SlowReadPeriod.Seconds()
	return watches + slowReads
}

// IsWatcher tells whether self is one of the controllers that hold a watch on kind. live holds the names of the live
// controllers; self counts as live.
func IsWatcher(kind Kind, self string, live []string) bool {
	own := rank(kind, self)
	count, before := 1, 0
	for _, name := range live {
		if name == self {
			continue
		}
		count++
		if other := rank(kind, name); other < own || other == own && name < self {
			before++
		}
	}
	return before < Watchers(count)
}

func rank(kind Kind, name string) uint64 { return xxhash.Sum64String(string(kind) + "/" + name) }

const (
	minBackoff = 250 * time.Millisecond
	// maxBackoff is below the 6 s in which a revision must be in force everywhere after the platform is back.
	maxBackoff = 4 * time.Second
)

// backoff returns the random delays after successive failures.
type backoff struct {
	rand *rand.Rand
	step time.Duration
}

// next returns a delay in the upper half of the current step and doubles the step.
func (b *backoff) next() time.Duration {
	b.step = min(max(2*b.step, minBackoff), maxBackoff)
	return jitter(b.rand, b.step/2, b.step)
}

func (b *backoff) reset() { b.step = 0 }

func jitter(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
