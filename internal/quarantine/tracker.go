package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineScore is the score from which a part is in quarantine. A crash counts respondingWeight if the endpoint had begun
	// to respond to a request with the part, and waitingWeight if such a request was only waiting there. At crashes that no part
	// causes, few of the requests are at the begin of their response; two with the same part that has never been served are
	// rare. Requests that wait are at each crash. A request that is sent to several endpoints one after the other may be
	// waiting at several crashes: for the part that only it has, each counts ownWaitingWeight.
	quarantineScore  = 10
	respondingWeight = 5
	waitingWeight    = 2
	ownWaitingWeight = 1
	// suspectScore is the score from which a part that has never been served may have caused a crash.
	suspectScore = 2 * waitingWeight
	// settleTime is the least time between the first and the last crash under a part that has been served before. A domain that
	// loses power takes many endpoints at the same moment, and a part that many requests share may be at several of them.
	settleTime = 1500 * time.Millisecond
	// quarantineTime is the time from the latest crash to the end of the quarantine. The evidence is kept longer: after the
	// quarantine, a single crash suffices for another one.
	quarantineTime = time.Hour
	recordLifetime = 2 * quarantineTime
	// maxCrashes bounds the crashes of a record, and maxRecords the records. crashesPerPart bounds the crashes that are sent for each
	// part on average.
	maxCrashes     = 8
	maxRecords     = 1024
	crashesPerPart = 4
	// maxServed bounds each of the two generations of parts that have been served.
	maxServed = 4096
)

// Change is the beginning or the end of the quarantine of a part, or of several parts together.
type Change struct {
	Evidence
	// Companions are the parts that a request must have too to be in quarantine, because they were in the same calls.
	Companions []Part
	// Quarantined is true at the beginning, false at the end.
	Quarantined bool
}

// watch is a request that is not in quarantine.
type watch struct {
	prompt       Prompt
	onQuarantine func(part Part, left time.Duration)
}

// Tracker collects the evidence about parts. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[Part]*record
	// quarantined are the sets of parts in quarantine, and byPart the same by the first part of the set.
	quarantined []*suspicion
	byPart      map[Part]*suspicion
	// trials belongs to the first parts of sets in quarantine.
	trials map[Part]*trials
	// instances is the number of instances that may begin trials; random returns numbers from 0 to 1.
	instances int
	random    func() float64
	// served and servedBefore are the two generations of parts that this instance has seen served.
	served, servedBefore map[Part]struct{}
	watches              map[*watch]struct{}
	// changes counts the changes of records.
	changes uint64
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		records: make(map[Part]*record), trials: make(map[Part]*trials), instances: 1, random: rand.Float64,
		served: make(map[Part]struct{}), watches: make(map[*watch]struct{}),
	}
}

// Watch calls onQuarantine once the prompt is in quarantine, possibly at once, with one of the parts and the time until a request with them may
// be served. A request that is let through as a trial is not watched; trial is then one of the parts in quarantine, and zero otherwise. The
// caller must call stop at the end of the request.
func (t *Tracker) Watch(prompt Prompt, now time.Time, onQuarantine func(Part, time.Duration)) (stop func(), trial Part) {
	w := &watch{prompt: prompt, onQuarantine: onQuarantine}
	part, left, trial := t.addWatch(w, now)
	if part != 0 {
		onQuarantine(part, left)
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watches, w)
	}, trial
}

// addWatch adds the watch unless its prompt is in quarantine. In that case it returns a part in quarantine, and either that the request
// is a trial or the time until one may be served.
func (t *Tracker) addWatch(w *watch, now time.Time) (refused Part, left time.Duration, trial Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	matches := t.find(w.prompt, now)
	if len(matches) == 0 {
		t.watches[w] = struct{}{}
		return 0, 0, 0
	}
	part := matches[0].parts[0]
	if due := t.trialDue(matches, w.prompt); now.Before(due) {
		return part, matches[0].retryDelay(due, now), 0
	}
	for _, s := range matches {
		s.trials.latest = now
	}
	return 0, 0, part
}

// find returns the quarantined sets that the prompt includes. It must be called with the mutex held.
func (t *Tracker) find(prompt Prompt, now time.Time) []*suspicion {
	var found []*suspicion
	for _, part := range prompt.all {
		if s := t.byPart[part]; s != nil && now.Before(s.until) && s.includedIn(prompt) {
			found = append(found, s)
		}
	}
	return found
}

// Quarantined returns one of the parts for which a prompt is in quarantine. It returns false if there is none.
func (t *Tracker) Quarantined(prompt Prompt, now time.Time) (Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedPart(prompt, now)
}

// quarantinedPart must be called with the mutex held.
func (t *Tracker) quarantinedPart(prompt Prompt, now time.Time) (Part, bool) {
	if found := t.find(prompt, now); len(found) > 0 {
		return found[0].parts[0], true
	}
	return 0, false
}

// Suspect returns a part for which a prompt is in quarantine, or a shared one that may have caused a crash and has never been served. It
// returns false if there is none. A part that only one request has is not suspect: a new one is at each crash.
func (t *Tracker) Suspect(prompt Prompt, now time.Time) (Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if part, found := t.quarantinedPart(prompt, now); found {
		return part, true
	}
	for _, part := range prompt.Shared {
		if r := t.records[part]; r != nil && r.isSuspect() {
			return part, true
		}
	}
	return 0, false
}

// ObserveServed records that a request was served, at least so far that the endpoint would have crashed before under a
// part that crashes each endpoint.
func (t *Tracker) ObserveServed(prompt Prompt, now time.Time) []Change {
	return t.update(now, func() (changed bool) {
		for position, part := range prompt.all {
			if position != ownPosition {
				t.markServed(part)
			}
			if r := t.records[part]; r != nil && r.refute() {
				t.touch(r)
				changed = true
			}
		}
		return changed
	})
}

// markServed must be called with the mutex held.
func (t *Tracker) markServed(part Part) {
	if len(t.served) >= maxServed {
		t.servedBefore, t.served = t.served, make(map[Part]struct{})
	}
	t.served[part] = struct{}{}
}

// ObserveCrash records that an endpoint crashed while a request was waiting there, or had just begun to be served.
func (t *Tracker) ObserveCrash(prompt Prompt, c Crash, now time.Time) []Change {
	var evidence []Evidence
	for position, part := range prompt.all {
		evidence = append(evidence, Evidence{Part: part, Position: position, Crashes: []Crash{c}})
	}
	return t.Merge(evidence, now)
}

// Merge records the evidence of another instance.
func (t *Tracker) Merge(list []Evidence, now time.Time) []Change {
	return t.update(now, func() (changed bool) {
		for _, e := range list {
			changed = t.mergeOne(e, now) || changed
		}
		return changed
	})
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
		added.addCalls(c.Calls)
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
		delete(t.trials, oldest.part)
	}
	r := &record{part: part, served: t.wasServed(part)}
	t.records[part] = r
	return r
}

// compareQuarantine orders records of parts in quarantine before others.
func (t *Tracker) compareQuarantine(a, b *record) int {
	return compareBool(t.isQuarantined(a.part), t.isQuarantined(b.part))
}

// isQuarantined reports whether the part is in a set in quarantine. It must be called with the mutex held.
func (t *Tracker) isQuarantined(part Part) bool {
	return slices.ContainsFunc(t.quarantined, func(s *suspicion) bool { return slices.Contains(s.parts, part) })
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

// Evidence returns what has changed after a value of Changes, parts in quarantine first, then those at more crashes and those that have
// changed later. It returns at most limit parts, and four times as many crashes.
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
		return cmp.Or(t.compareQuarantine(a, b), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.changed, a.changed))
	})
	var list []Evidence
	crashesLeft := crashesPerPart * limit
	for _, r := range records[:min(limit, len(records))] {
		if crashesLeft -= len(r.crashes); crashesLeft < 0 {
			break
		}
		list = append(list, r.evidence(now))
	}
	return list
}

// Counts returns the number of parts or sets of parts in quarantine, and of all parts with evidence.
func (t *Tracker) Counts() (quarantined, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantined), len(t.records)
}

// Forget deletes old evidence and ends quarantines.
func (t *Tracker) Forget(now time.Time) []Change {
	return t.update(now, func() bool {
		for part, r := range t.records {
			if now.Sub(r.newest()) > recordLifetime {
				delete(t.records, part)
				delete(t.trials, part)
			}
		}
		return len(t.quarantined) > 0
	})
}

// update changes the evidence. If change reports that it has, update determines the parts in quarantine and notifies the watches of
// requests with parts that are new in quarantine.
func (t *Tracker) update(now time.Time, change func() bool) []Change {
	changes, notify := t.changeAndEvaluate(now, change)
	for _, call := range notify {
		call()
	}
	return changes
}

func (t *Tracker) changeAndEvaluate(now time.Time, change func() bool) (changes []Change, notify []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !change() {
		return nil, nil
	}
	before := t.byPart
	t.quarantined = t.evaluate(now)
	t.byPart = make(map[Part]*suspicion, len(t.quarantined))
	for _, s := range t.quarantined {
		t.byPart[s.parts[0]] = s
	}
	if changes = t.changesSince(before, now); len(changes) > 0 {
		notify = t.takeWatches(now)
	}
	return changes, notify
}

// changesSince must be called with the mutex held.
func (t *Tracker) changesSince(before map[Part]*suspicion, now time.Time) []Change {
	var changes []Change
	for part, s := range t.byPart {
		if old := before[part]; old == nil || !slices.Equal(old.parts, s.parts) {
			changes = append(changes, Change{Evidence: t.records[part].evidence(now), Companions: s.parts[1:], Quarantined: true})
		}
	}
	for part := range before {
		if t.byPart[part] != nil {
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

// takeWatches removes the watches of requests that are in quarantine now and returns their calls. It must be called with the mutex
// held.
func (t *Tracker) takeWatches(now time.Time) []func() {
	var calls []func()
	for w := range t.watches {
		if found := t.find(w.prompt, now); len(found) > 0 {
			delete(t.watches, w)
			part, left := found[0].parts[0], found[0].retryDelay(t.trialDue(found, w.prompt), now)
			calls = append(calls, func() { w.onQuarantine(part, left) })
		}
	}
	return calls
}
