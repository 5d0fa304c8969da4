package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineScore is the score from which a part is in quarantine. A crash counts respondingWeight if the endpoint had begun
	// to respond to a request with the part, and waitingWeight if such a request was only waiting there. At crashes that no part
	// causes, one request in a hundred is at the begin of its response; two with the same part that has never been served are
	// hardly possible. Requests that wait are at each crash.
	quarantineScore  = 10
	respondingWeight = 5
	waitingWeight    = 2
	// suspectScore is the score from which a part that has never been served may have caused a crash.
	suspectScore = 2 * waitingWeight
	// settleTime is the least time between the first and the last crash under a part that has been served before. A domain that
	// loses power takes many endpoints at the same moment, and a part that many requests share may be at several of them.
	settleTime = 1500 * time.Millisecond
	// quarantineTime is the time from the latest crash to the end of the quarantine. The evidence is kept longer: after the
	// quarantine, a single crash suffices for another one.
	quarantineTime = time.Hour
	recordLifetime = 2 * quarantineTime
	// maxCrashes bounds the crashes of a record, and maxRecords the records.
	maxCrashes = 8
	maxRecords = 1024
	// maxServed bounds each of the two generations of parts that have been served.
	maxServed = 4096
)

// Change is the beginning or the end of a part's quarantine.
type Change struct {
	Evidence
	// Quarantined is true at the beginning, false at the end.
	Quarantined bool
}

// watch is a request that is not in quarantine.
type watch struct {
	parts        []Part
	onQuarantine func(part Part, left time.Duration)
}

// Tracker collects the evidence about parts. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[Part]*record
	// quarantined maps the parts in quarantine to the end of the quarantine.
	quarantined map[Part]time.Time
	// served and servedBefore are the two generations of parts that this instance has seen served.
	served, servedBefore map[Part]struct{}
	watches              map[*watch]struct{}
	// changes counts the changes of records.
	changes uint64
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		records: make(map[Part]*record), quarantined: make(map[Part]time.Time),
		served: make(map[Part]struct{}), watches: make(map[*watch]struct{}),
	}
}

// Watch calls onQuarantine once one of the parts is in quarantine, possibly at once, with the remaining time of the quarantine.
// The caller must call stop at the end of the request.
func (t *Tracker) Watch(parts []Part, now time.Time, onQuarantine func(Part, time.Duration)) (stop func()) {
	w := &watch{parts: parts, onQuarantine: onQuarantine}
	t.mu.Lock()
	part, left, found := t.find(parts, now)
	if !found {
		t.watches[w] = struct{}{}
	}
	t.mu.Unlock()
	if found {
		onQuarantine(part, left)
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watches, w)
	}
}

// find returns the first of the parts that is in quarantine, and the remaining time. It must be called with the mutex held.
func (t *Tracker) find(parts []Part, now time.Time) (part Part, left time.Duration, found bool) {
	for _, part := range parts {
		if until, found := t.quarantined[part]; found && now.Before(until) {
			return part, until.Sub(now), true
		}
	}
	return 0, 0, false
}

// Suspect returns one of the parts that is in quarantine, or that may have caused a crash and has never been served. It returns
// false if there is none.
func (t *Tracker) Suspect(parts []Part, now time.Time) (Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if part, _, found := t.find(parts, now); found {
		return part, true
	}
	for _, part := range parts {
		if r := t.records[part]; r != nil && r.isSuspect() {
			return part, true
		}
	}
	return 0, false
}

// ObserveServed records that a request with the parts was served. A part under which each endpoint crashes is never served.
func (t *Tracker) ObserveServed(parts []Part, now time.Time) []Change {
	t.mu.Lock()
	changed := false
	for _, part := range parts {
		t.markServed(part)
		if r := t.records[part]; r != nil && r.refute() {
			t.touch(r)
			changed = true
		}
	}
	return t.unlockAndEvaluate(changed, now)
}

// markServed must be called with the mutex held.
func (t *Tracker) markServed(part Part) {
	if len(t.served) >= maxServed {
		t.servedBefore, t.served = t.served, make(map[Part]struct{})
	}
	t.served[part] = struct{}{}
}

// ObserveCrash records that an endpoint crashed before the first event of a request with the parts.
func (t *Tracker) ObserveCrash(parts []Part, c Crash, now time.Time) []Change {
	evidence := make([]Evidence, len(parts))
	for i, part := range parts {
		evidence[i] = Evidence{Part: part, Position: uint8(min(i, math.MaxUint8)), Crashes: []Crash{c}}
	}
	return t.Merge(evidence, now)
}

// Merge records the evidence of another instance.
func (t *Tracker) Merge(list []Evidence, now time.Time) []Change {
	t.mu.Lock()
	changed := false
	for _, e := range list {
		changed = t.mergeOne(e, now) || changed
	}
	return t.unlockAndEvaluate(changed, now)
}

// mergeOne must be called with the mutex held. It reports whether the evidence has changed.
func (t *Tracker) mergeOne(e Evidence, now time.Time) bool {
	crashes := slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.Age < 0 || c.Age > recordLifetime })
	if len(crashes) == 0 {
		return false
	}
	r := t.records[e.Part]
	changed := r == nil
	if r == nil {
		r = t.newRecord(e.Part)
	}
	changed = changed || e.Position > r.position || e.Served && !r.served
	r.position, r.served = max(r.position, e.Position), r.served || e.Served
	for _, c := range crashes {
		added := crash{endpoint: c.Endpoint, responding: c.Responding, refuted: c.Refuted, at: now.Add(-c.Age)}
		changed = r.addCrash(added) || changed
	}
	if changed {
		t.touch(r)
	}
	return changed
}

// newRecord must be called with the mutex held. If there are maxRecords, it replaces the one whose last change is the longest
// ago, if possible one that is not in quarantine.
func (t *Tracker) newRecord(part Part) *record {
	if len(t.records) >= maxRecords {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.records)), func(a, b *record) int {
			return cmp.Or(t.compareQuarantine(b, a), cmp.Compare(a.changed, b.changed))
		})
		delete(t.records, oldest.part)
	}
	_, served := t.served[part]
	_, servedBefore := t.servedBefore[part]
	r := &record{part: part, served: served || servedBefore}
	t.records[part] = r
	return r
}

// compareQuarantine orders records in quarantine before others.
func (t *Tracker) compareQuarantine(a, b *record) int {
	_, aFound := t.quarantined[a.part]
	_, bFound := t.quarantined[b.part]
	switch {
	case aFound == bFound:
		return 0
	case aFound:
		return -1
	}
	return 1
}

// touch must be called with the mutex held.
func (t *Tracker) touch(r *record) {
	t.changes++
	r.changed = t.changes
}

// Changes returns a number that increases with each change of the evidence.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Evidence returns what has changed after a value of Changes, parts in quarantine and later changes first, at most limit parts.
func (t *Tracker) Evidence(after uint64, limit int, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after >= t.changes {
		return nil
	}
	var records []*record
	for _, r := range t.records {
		if r.changed > after {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(t.compareQuarantine(a, b), cmp.Compare(b.changed, a.changed))
	})
	list := make([]Evidence, 0, min(limit, len(records)))
	for _, r := range records[:cap(list)] {
		list = append(list, r.evidence(now))
	}
	return list
}

// Counts returns the number of parts in quarantine, and of all parts with evidence.
func (t *Tracker) Counts() (quarantined, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantined), len(t.records)
}

// Forget deletes old evidence and ends quarantines.
func (t *Tracker) Forget(now time.Time) []Change {
	t.mu.Lock()
	for part, r := range t.records {
		if now.Sub(r.newest()) > recordLifetime {
			delete(t.records, part)
		}
	}
	return t.unlockAndEvaluate(len(t.quarantined) > 0, now)
}

// unlockAndEvaluate determines the parts in quarantine if the evidence has changed, unlocks the mutex and notifies the watches
// of requests with parts that are new in quarantine.
func (t *Tracker) unlockAndEvaluate(changed bool, now time.Time) []Change {
	if !changed {
		t.mu.Unlock()
		return nil
	}
	before := t.quarantined
	t.quarantined = t.evaluate(now)
	changes := t.changesSince(before, now)
	var notify []func()
	if len(changes) > 0 {
		notify = t.takeWatches(now)
	}
	t.mu.Unlock()
	for _, call := range notify {
		call()
	}
	return changes
}

// evaluate returns the parts in quarantine. Requests with a part that crashes endpoints have other parts too, which are at the
// same crashes. The most suspicious part therefore explains its crashes, and they count for no other part. It must be called
// with the mutex held.
func (t *Tracker) evaluate(now time.Time) map[Part]time.Time {
	var candidates []*record
	for _, r := range t.records {
		if r.score(nil) >= quarantineScore && now.Sub(r.newest()) < quarantineTime {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareSuspicion)
	quarantined := make(map[Part]time.Time)
	explained := make(map[uint32]bool)
	for _, r := range candidates {
		if r.score(explained) < quarantineScore {
			continue
		}
		quarantined[r.part] = r.newest().Add(quarantineTime)
		for _, c := range r.crashes {
			explained[c.endpoint] = true
		}
	}
	return quarantined
}

// changesSince must be called with the mutex held.
func (t *Tracker) changesSince(before map[Part]time.Time, now time.Time) []Change {
	var changes []Change
	for part := range t.quarantined {
		if _, found := before[part]; !found {
			changes = append(changes, Change{Evidence: t.records[part].evidence(now), Quarantined: true})
		}
	}
	for part := range before {
		if _, found := t.quarantined[part]; found {
			continue
		}
		change := Change{Evidence: Evidence{Part: part}}
		if r := t.records[part]; r != nil {
			change.Evidence = r.evidence(now)
		}
		changes = append(changes, change)
	}
	return changes
}

// takeWatches removes the watches of requests with a part in quarantine and returns their calls. It must be called with the
// mutex held.
func (t *Tracker) takeWatches(now time.Time) []func() {
	var calls []func()
	for w := range t.watches {
		if part, left, found := t.find(w.parts, now); found {
			delete(t.watches, w)
			calls = append(calls, func() { w.onQuarantine(part, left) })
		}
	}
	return calls
}
