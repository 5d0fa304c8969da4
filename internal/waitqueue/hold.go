package waitqueue

import "slices"

// heldFraction is the largest fraction of a shard's endpoints that are held.
const heldFraction = 0.5

// Held tells which endpoints are held for other requests.
type Held struct {
	owners map[uint32]ID
	owner  ID
	free   int
}

// Contains reports whether the endpoint is held for another request.
func (h Held) Contains(endpoint uint32) bool {
	owner, held := h.owners[endpoint]
	return held && owner != h.owner
}

// Free is the number of endpoints that may be held for this request, including those that are held for it already.
func (h Held) Free() int { return h.free }

// Held returns the endpoints held for any request.
func (q *Queue) Held() Held { return Held{owners: q.holds, free: q.mostHeld() - len(q.holds)} }

// heldFor returns the endpoints held for requests other than this one.
func (q *Queue) heldFor(e *entry) Held {
	return Held{owners: q.holds, owner: e.ID, free: q.mostHeld() - len(q.holds) + len(e.held)}
}

func (q *Queue) mostHeld() int { return int(heldFraction * float64(q.shard)) }

// hold replaces the endpoints held for a request. Endpoints that are held for other requests, and those beyond the bound, are
// left out.
func (q *Queue) hold(e *entry, endpoints []uint32) {
	q.release(e)
	for _, endpoint := range endpoints {
		if _, held := q.holds[endpoint]; held || len(q.holds) >= q.mostHeld() {
			continue
		}
		q.holds[endpoint] = e.ID
		e.held = append(e.held, endpoint)
	}
	if len(e.held) > 0 && !slices.Contains(q.holders, e) {
		q.holders = append(q.holders, e)
	}
}

// release releases the endpoints held for a request.
func (q *Queue) release(e *entry) {
	for _, endpoint := range e.held {
		delete(q.holds, endpoint)
	}
	e.held = e.held[:0]
	if at := slices.Index(q.holders, e); at >= 0 {
		q.holders = slices.Delete(q.holders, at, at+1)
	}
}

// releaseUnoffered releases the endpoints held for requests that were not offered in the last round of Dispatch, because
// others precede them now.
func (q *Queue) releaseUnoffered() {
	for _, e := range slices.Clone(q.holders) {
		if e.round != q.round {
			q.release(e)
		}
	}
}
