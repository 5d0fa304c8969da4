package pace

import "time"

const (
	// lateGroupCount is the number of late answers of groups that are kept for each of their endpoints.
	lateGroupCount = 6
	// minLateGroups is the least number of late groups with an endpoint in common that show that it is slow.
	minLateGroups = 3
)

// groupSamples holds the latest late answers of the groups with an endpoint.
type groupSamples struct {
	values [lateGroupCount]sample
	count  uint64
}

func (g *groupSamples) add(ratio float64, now time.Time) {
	g.values[g.count%lateGroupCount] = sample{ratio: ratio, at: now}
	g.count++
}

func (g *groupSamples) clear() { g.count = 0 }

// recent returns the number of late answers of the last sampleLifetime and the least ratio among them.
func (g *groupSamples) recent(now time.Time) (count int, least float64) {
	least = maxSlowdown
	for _, v := range g.values[:min(g.count, lateGroupCount)] {
		if now.Sub(v.at) <= sampleLifetime {
			count++
			least = min(least, v.ratio)
		}
	}
	return count, least
}

// ObserveGroup records the first event of a prompt that several endpoints prefilled. An answer on time shows that all of them
// are as fast as predicted. A late one shows only that one of them may be slow: an endpoint is held responsible if it had a part
// in several late groups, in more than any other of its last group.
func (t *Tracker) ObserveGroup(endpoints []uint32, predicted, observed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeGroup(endpoints, ratioOf(predicted, observed), now)
}

func (t *Tracker) observeGroup(endpoints []uint32, ratio float64, now time.Time) {
	if len(endpoints) == 1 || ratio < slowFrom {
		for _, endpoint := range endpoints {
			if r := t.records[endpoint]; r != nil {
				t.observe(endpoint, r, ratio, now)
			}
		}
		return
	}
	t.observeLateGroup(endpoints, ratio, now)
}

func (t *Tracker) observeLateGroup(endpoints []uint32, ratio float64, now time.Time) {
	for _, endpoint := range endpoints {
		if r := t.records[endpoint]; r != nil && r.factor > 0 {
			// A known slow endpoint explains the delay.
			return
		}
	}
	var most, second int
	var common uint32
	for _, endpoint := range endpoints {
		r := t.records[endpoint]
		if r == nil {
			continue
		}
		r.lateGroups.add(ratio, now)
		switch count, _ := r.lateGroups.recent(now); {
		case count > most:
			most, second, common = count, most, endpoint
		case count > second:
			second = count
		}
	}
	if most < minLateGroups || most == second {
		return
	}
	r := t.records[common]
	_, least := r.lateGroups.recent(now)
	if !r.probing && least >= slowFrom {
		t.becomeSlow(common, r, least, most, now)
	}
}
