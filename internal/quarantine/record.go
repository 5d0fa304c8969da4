package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the crash of an endpoint at which a request was waiting, or had just begun to be served.
type Crash struct {
	// Endpoint is the key of the endpoint's incarnation, which crashes only once.
	Endpoint uint32
	// Responding is true if the head of the response had arrived, and perhaps some events. The endpoint had then begun to respond to
	// this request, and to few others at the same time.
	Responding bool
	// Refuted is true if a request with the part was served after the crash.
	Refuted bool
	// Age is the time since the crash.
	Age time.Duration
	// Calls are hashes of the calls with the part that were at the endpoint, at most MaxCalls.
	Calls []uint32
}

// MaxCalls bounds the calls of a crash that are told apart.
const MaxCalls = 2

// CallKey returns the hash of a call's id that Crash.Calls holds. It is never zero, which stands for no call in messages. It is compared only
// with keys of other calls, so that it need not be folded like the keys of internal/fleet.
func CallKey(id string) uint32 { return max(uint32(xxhash.Sum64String(id)), 1) }

// Evidence is what is known about a part. Instances exchange it. The evidence of several instances can be merged in any order
// and any number of times.
type Evidence struct {
	Part Part
	// Position is the largest index of the part in a prompt, or ownPosition if only one request has the part.
	Position uint8
	// Served is true if a request with the part has been served at any time.
	Served bool
	// Crashes holds the latest crashes, at most maxCrashes.
	Crashes []Crash
}

// ownPosition is the position of a part that only one request or its session has.
const ownPosition = math.MaxUint8

// crash is a Crash at a time on the clock of this instance.
type crash struct {
	endpoint            uint32
	responding, refuted bool
	at                  time.Time
	// calls are the smallest hashes, in ascending order.
	calls []uint32
}

// addCalls adds hashes of calls and reports whether the crash has changed.
func (c *crash) addCalls(added []uint32) bool {
	calls := slices.Concat(c.calls, added)
	slices.Sort(calls)
	calls = slices.Compact(calls)
	calls = calls[:min(len(calls), MaxCalls)]
	changed := !slices.Equal(calls, c.calls)
	c.calls = calls
	return changed
}

// record is the evidence about one part.
type record struct {
	part     Part
	position uint8
	served   bool
	// crashes are ordered by time.
	crashes []crash
	// changed is the value of Tracker.changes at the last change.
	changed uint64
}

// addCrash adds a crash, or completes what is known about it. It reports whether the record has changed.
func (r *record) addCrash(added crash) bool {
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.endpoint != added.endpoint {
			continue
		}
		changed := added.responding && !c.responding || added.refuted && !c.refuted
		c.responding = c.responding || added.responding
		c.refuted = c.refuted || added.refuted
		changed = c.addCalls(added.calls) || changed
		// Delays of messages between instances make a crash appear younger.
		if added.at.Before(c.at) {
			c.at = added.at
			r.sortCrashes()
		}
		return changed
	}
	r.crashes = append(r.crashes, added)
	r.sortCrashes()
	if len(r.crashes) <= maxCrashes {
		return true
	}
	isNew := r.crashes[0].endpoint != added.endpoint
	r.crashes = slices.Delete(r.crashes, 0, 1)
	return isNew
}

// sortCrashes orders the crashes by time.
func (r *record) sortCrashes() {
	slices.SortFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// refute records that a request with the part was served. It reports whether the record has changed.
func (r *record) refute() bool {
	changed := !r.served
	r.served = true
	for i := range r.crashes {
		changed = changed || !r.crashes[i].refuted
		r.crashes[i].refuted = true
	}
	return changed
}

// newest returns the time of the latest crash.
func (r *record) newest() time.Time { return r.crashes[len(r.crashes)-1].at }

// isSuspect reports whether the part may have caused a crash: no request with it has ever been served, and an endpoint crashed
// when it had begun to respond to such a request, or several endpoints crashed where one was waiting.
func (r *record) isSuspect() bool { return !r.served && r.score(nil) >= suspectScore }

// counts reports whether a crash is evidence against the part. The crashes under a part that has been served before count only
// if the head of the response had arrived.
func (r *record) counts(c crash) bool { return !c.refuted && (c.responding || !r.served) }

// score weighs the crashes that no later request has refuted, except crashes that another part explains. Those under a part that
// has been served before must extend over settleTime.
func (r *record) score(explained map[uint32]bool) int {
	score := 0
	var first, last time.Time
	for _, c := range r.crashes {
		if !r.counts(c) || explained[c.endpoint] {
			continue
		}
		if first.IsZero() {
			first = c.at
		}
		last = c.at
		score += r.weight(c)
	}
	if r.served && last.Sub(first) < settleTime {
		return 0
	}
	return score
}

// weight returns what a crash counts for the score.
func (r *record) weight(c crash) int {
	switch {
	case c.responding:
		return respondingWeight
	case r.position == ownPosition:
		return ownWaitingWeight
	}
	return waitingWeight
}

// callCount returns the number of different calls at the crashes.
func (r *record) callCount() int {
	var calls []uint32
	for _, c := range r.crashes {
		if r.counts(c) {
			calls = append(calls, c.calls...)
		}
	}
	slices.Sort(calls)
	return len(slices.Compact(calls))
}

// momentCount returns the number of different moments of the crashes, except those whose index is to be left out. The first two crashes
// count in any case, because they suffice for the quarantine: the next one is that of a trial. Later, endpoints that crash together
// count once.
func (r *record) momentCount(isLeftOut func(i int) bool) int {
	count := 0
	var last time.Time
	for i, c := range r.crashes {
		if !r.counts(c) || isLeftOut != nil && isLeftOut(i) {
			continue
		}
		if count < minTrialMoments || c.at.Sub(last) >= sameMoment {
			count++
			last = c.at
		}
	}
	return count
}

// accompanies reports whether all crashes under the other part can as well be crashes under this one: the same calls were there.
func (r *record) accompanies(other *record) bool {
	for _, c := range other.crashes {
		if other.counts(c) && !slices.ContainsFunc(r.crashes, func(own crash) bool { return r.counts(own) && own.covers(c) }) {
			return false
		}
	}
	return r.served == other.served
}

// covers reports whether the crash is the other one, with at least its calls and its weight.
func (c *crash) covers(other crash) bool {
	return c.endpoint == other.endpoint && (c.responding || !other.responding) &&
		!slices.ContainsFunc(other.calls, func(call uint32) bool { return !c.mayInclude(call) })
}

// mayInclude reports whether a call was at the crash, as far as it is known: if there were more than MaxCalls, those with larger hashes
// than the ones kept may have been there too. A part of many calls would otherwise seem not to have been in the one call with the part
// that crashed the endpoint.
func (c *crash) mayInclude(call uint32) bool {
	return slices.Contains(c.calls, call) || len(c.calls) == MaxCalls && call > c.calls[MaxCalls-1]
}

// evidence returns the record as it is sent to other instances.
func (r *record) evidence(now time.Time) Evidence {
	e := Evidence{Part: r.part, Position: r.position, Served: r.served}
	for _, c := range r.crashes {
		e.Crashes = append(e.Crashes, Crash{
			Endpoint: c.endpoint, Responding: c.responding, Refuted: c.refuted, Age: now.Sub(c.at), Calls: c.calls,
		})
	}
	return e
}
