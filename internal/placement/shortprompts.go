package placement

import "time"

// LeaveRoom makes a request leave room for a number of other short prompts: it is placed only if there is capacity for them as
// well. This adds to the room that it leaves for requests of peer instances.
func (n *Need) LeaveRoom(requests float64) {
	if requests <= 0 {
		return
	}
	left := n.RandomRank*n.Unseen + requests
	n.Unseen += requests
	n.RandomRank = left / n.Unseen
}

// IsShortPrefill reports whether a prompt with the given prefill time on one engine is short, as IsShort does.
func IsShortPrefill(prefill time.Duration) bool { return prefill <= maxShortPrefill }
