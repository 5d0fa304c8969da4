package waitqueue

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
