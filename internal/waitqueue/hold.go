package waitqueue

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
func (q *Queue) Held() Held { return Held{owners: q.holds} }

// heldFor returns the endpoints held for requests other than this one.
func (q *Queue) heldFor(e *entry) Held {
	held := Held{owners: q.holds, owner: e.ID}
	if q.holder == nil || q.holder == e {
		held.free = q.mostHeld()
	}
	return held
}

func (q *Queue) mostHeld() int { return int(heldFraction * float64(q.shard)) }

// hold replaces the endpoints held for a request. Endpoints that are held for other requests, and those beyond the bound, are
// left out. Only one request of a queue has endpoints held for it: with holds for several, fewer long prompts were served in the
// emulator, and no more of the largest ones.
func (q *Queue) hold(e *entry, endpoints []uint32) {
	if q.holder != nil && q.holder != e {
		return
	}
	q.release(e)
	for _, endpoint := range endpoints {
		if len(q.holds) < q.mostHeld() {
			q.holds[endpoint] = e.ID
			q.holder = e
		}
	}
}

// release releases the endpoints held for a request.
func (q *Queue) release(e *entry) {
	if q.holder == e {
		clear(q.holds)
		q.holder = nil
	}
}

// releaseUnoffered releases the held endpoints if their holder was not offered in the last round of Dispatch, because others
// precede it now.
func (q *Queue) releaseUnoffered() {
	if q.holder != nil && q.holder.round != q.round {
		q.release(q.holder)
	}
}
