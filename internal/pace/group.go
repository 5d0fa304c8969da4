package pace

import "time"

const (
	// lateGroupCount is the number of late answers of groups that are kept for each of their endpoints.
	lateGroupCount = 6
	// minLateGroups is the least number of late groups with an endpoint in common that show that it is slow.
	minLateGroups = 2
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

// observeGroup records the first event of a prompt that one or several endpoints prefilled. The event is as late as the last part,
// so that it bounds the slowdown of each endpoint. A late one does not show which of several endpoints is slow: an endpoint is
// held responsible if it had a part in several late groups, in more than any other of its last group.
func (t *Tracker) observeGroup(shares []share, placed time.Time, observed time.Duration, now time.Time) {
	var expected time.Duration
	for i := range shares {
		expected = max(expected, shares[i].expected())
	}
	if len(shares) > 1 && ratioOf(expected, observed) >= slowFrom {
		t.observeLateGroup(shares, placed, observed, now)
		return
	}
	for i := range shares {
		ratio := ratioOf(shares[i].expected(), observed)
		if len(shares) > 1 {
			// Only the prediction itself is sure: a later prompt may have come too late to be prefilled first.
			ratio = ratioOf(shares[i].predicted, observed)
		}
		if r := t.records[shares[i].endpoint]; r != nil && (len(shares) == 1 || ratio < normalBelow) {
			t.observe(shares[i].endpoint, r, ratio, now)
		}
	}
}

// observeLateGroup finds out which endpoint of a late group is slow. Endpoints with an answer on time since the request was placed
// are not. If one remains, the event is an answer of it.
func (t *Tracker) observeLateGroup(shares []share, placed time.Time, observed time.Duration, now time.Time) {
	var suspects []*share
	for i := range shares {
		r := t.records[shares[i].endpoint]
		switch {
		case r != nil && r.partial:
			return
		case r == nil || r.lastOnTime.After(placed):
		case r.factor > 0:
			// A known slow endpoint explains the delay.
			return
		default:
			suspects = append(suspects, &shares[i])
		}
	}
	if len(suspects) == 1 {
		endpoint := suspects[0].endpoint
		t.observe(endpoint, t.records[endpoint], ratioOf(suspects[0].expected(), observed), now)
		return
	}
	var most, second int
	var common uint32
	for _, s := range suspects {
		r := t.records[s.endpoint]
		r.lateGroups.add(ratioOf(s.expected(), observed), now)
		switch count, _ := r.lateGroups.recent(now); {
		case count > most:
			most, second, common = count, most, s.endpoint
		case count > second:
			second = count
		}
	}
	if most < minLateGroups || most == second {
		return
	}
	r := t.records[common]
	if _, least := r.lateGroups.recent(now); !r.probing && least >= slowFrom {
		t.becomeSlow(common, r, least, most, now)
	}
}

// overdueGroups returns the number of groups with the endpoint that have waited for long, without an answer on time of the
// endpoint since they were placed, and the least of their ratios.
func (r *record) overdueGroups(endpoint uint32, now time.Time) (count int, least float64) {
	least = maxSlowdown
	for _, q := range r.inFlight {
		if len(q.shares) == 1 || r.lastOnTime.After(q.placed) || !q.isOverdue(now) {
			continue
		}
		count++
		least = min(least, ratioOf(q.expectedOf(endpoint), now.Sub(q.placed)))
	}
	return count, least
}

// isOverdue reports whether a request has waited for long without a first event.
func (q *Request) isOverdue(now time.Time) bool {
	var expected time.Duration
	for i := range q.shares {
		expected = max(expected, q.shares[i].expected())
	}
	return ratioOf(expected, now.Sub(q.placed)) >= overdueFrom
}

func (q *Request) expectedOf(endpoint uint32) time.Duration {
	for i := range q.shares {
		if q.shares[i].endpoint == endpoint {
			return q.shares[i].expected()
		}
	}
	return 0
}

// judgeGroups makes an endpoint slow if several groups with it are overdue, more than with any other endpoint of its latest one.
func (t *Tracker) judgeGroups(endpoint uint32, r *record, now time.Time) {
	count, least := r.overdueGroups(endpoint, now)
	if count < minLateGroups {
		return
	}
	latest := r.inFlight[len(r.inFlight)-1]
	for i := len(r.inFlight) - 1; i >= 0; i-- {
		if latest = r.inFlight[i]; len(latest.shares) > 1 && latest.isOverdue(now) {
			break
		}
	}
	for i := range latest.shares {
		other := latest.shares[i].endpoint
		if o := t.records[other]; o != nil && other != endpoint {
			if o.factor > 0 {
				return
			}
			if others, _ := o.overdueGroups(other, now); others >= count {
				return
			}
		}
	}
	t.becomeSlow(endpoint, r, least, count, now)
}
