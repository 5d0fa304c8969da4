package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the crash of an endpoint before the first event of a request.
type Crash struct {
	// Endpoint is the key of the endpoint's incarnation, which crashes only once.
	Endpoint uint32
	// Responding is true if the head of the response had arrived. The endpoint had then begun to respond to this request, and
	// to few others at the same time.
	Responding bool
	// Refuted is true if a request with the part was served after the crash.
	Refuted bool
	// Age is the time since the crash.
	Age time.Duration
}

// Evidence is what is known about a part. Instances exchange it. The evidence of several instances can be merged in any order
// and any number of times.
type Evidence struct {
	Part Part
	// Position is the largest index of the part in a prompt.
	Position uint8
	// Served is true if a request with the part has been served at any time.
	Served bool
	// Crashes holds the latest crashes, at most maxCrashes.
	Crashes []Crash
}

// crash is a Crash at a time on the clock of this instance.
type crash struct {
	endpoint            uint32
	responding, refuted bool
	at                  time.Time
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

// score weighs the crashes that no later request has refuted, except crashes that another part explains. The crashes under a
// part that has been served before count only if the head of the response had arrived, and if they extend over settleTime.
func (r *record) score(explained map[uint32]bool) int {
	score := 0
	var first, last time.Time
	for _, c := range r.crashes {
		if c.refuted || explained[c.endpoint] || r.served && !c.responding {
			continue
		}
		if first.IsZero() {
			first = c.at
		}
		last = c.at
		if c.responding {
			score += respondingWeight
		} else {
			score += waitingWeight
		}
	}
	if r.served && last.Sub(first) < settleTime {
		return 0
	}
	return score
}

// compareSuspicion orders the records by decreasing suspicion: first the parts that have never been served, then those with
// the higher score, then those further behind in the prompt, which fewer requests share.
func compareSuspicion(a, b *record) int {
	if a.served != b.served {
		if a.served {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(b.score(nil), a.score(nil)), cmp.Compare(b.position, a.position), cmp.Compare(a.part, b.part),
	)
}

// evidence returns the record as it is sent to other instances.
func (r *record) evidence(now time.Time) Evidence {
	e := Evidence{Part: r.part, Position: r.position, Served: r.served}
	for _, c := range r.crashes {
		e.Crashes = append(e.Crashes, Crash{
			Endpoint: c.endpoint, Responding: c.responding, Refuted: c.refuted, Age: now.Sub(c.at),
		})
	}
	return e
}
