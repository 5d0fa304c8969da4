// Package waitqueue orders the requests that wait for capacity of a shard, and decides which of them are refused. Its
// functions do no I/O and read no clock. A queue is not safe for concurrent use.
//
// A scheduler adds each request that can wait, and then calls Dispatch, which places it at once if it is first in its order
// and there is capacity. It calls Dispatch again when work on the shard ends and at short intervals, and Expire before it.
package waitqueue

import "time"

const (
	// maxWaiting is the largest number of waiting requests of a queue.
	maxWaiting = 1000
	// renewTime is how long a request stays in the queue without being renewed.
	renewTime = 500 * time.Millisecond
)

// Options configures a Queue.
type Options struct {
	// MaxWaiting is the largest number of waiting requests; the default is 1,000.
	MaxWaiting int
	// RenewTime is how long a request stays in the queue without a renewal; the default is 500 ms.
	RenewTime time.Duration
}

// Queue holds the waiting requests of one shard.
type Queue struct{ options Options }

// New returns an empty queue.
func New(options Options) *Queue { return &Queue{options: options} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return 0 }

// Add lets a request wait, or refuses it if it cannot be served in its useful time. Other requests may be displaced.
func (q *Queue) Add(r Request, capacity Capacity, now time.Time) Decision { return Decision{} }

// Renew keeps a request in the queue for another Options.RenewTime. It returns false if the request is not in the queue.
func (q *Queue) Renew(id ID, now time.Time) bool { return false }

// Remove removes a request whose caller has left. Endpoints held for it are released.
func (q *Queue) Remove(id ID) {}

// Expire removes the requests that were not renewed, and those that can no longer be served in their useful time.
func (q *Queue) Expire(now time.Time) []Refused { return nil }

// Dispatch offers requests in order to place until it has failed for a few of them. place gets the endpoints held for
// others, and must not call the queue. Placed requests leave the queue and count for the shares of their team and rank.
func (q *Queue) Dispatch(now time.Time, place func(r *Request, held Held) Attempt) {}

// CountPlaced counts a request that was placed without waiting in this queue for the shares of its team and rank.
func (q *Queue) CountPlaced(r *Request, now time.Time) {}

// Held returns the endpoints held for any request.
func (q *Queue) Held() Held { return Held{} }
