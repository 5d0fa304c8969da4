// Package waitqueue orders the requests that wait for capacity of a shard, and decides which of them are refused. Its
// functions do no I/O and read no clock. A queue is not safe for concurrent use.
//
// A scheduler adds each request that can wait, and then calls Dispatch, which places it at once if it is first in its order
// and there is capacity. It calls Dispatch again when work on the shard ends and at short intervals, and Expire before it.
package waitqueue

import (
	"time"

	"github.com/acacialift/acacialift/internal/fairshare"
)

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

// class is a length class of prompts.
type class int

const (
	shortClass class = iota
	longClass
	classes
)

func classOf(r *Request) class {
	if r.Short {
		return shortClass
	}
	return longClass
}

// Queue holds the waiting requests of one shard.
type Queue struct {
	options  Options
	entries  map[ID]*entry
	lanes    [classes][LowestRank + 1]lane
	shares   *fairshare.Shares
	usage    [classes]usage
	capacity [classes]capacityAt
	// shard is the number of endpoints of the shard.
	shard   int
	holds   map[uint32]ID
	holders []*entry
	round   uint64
	// order and offers are buffers.
	order, offers []*entry
}

// New returns an empty queue.
func New(options Options) *Queue {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = maxWaiting
	}
	if options.RenewTime == 0 {
		options.RenewTime = renewTime
	}
	return &Queue{
		options: options, entries: make(map[ID]*entry), holds: make(map[uint32]ID), shares: fairshare.NewShares(),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Contains reports whether a request waits.
func (q *Queue) Contains(id ID) bool { return q.entries[id] != nil }

// Renew keeps a request in the queue for another Options.RenewTime. It returns false if the request is not in the queue.
func (q *Queue) Renew(id ID, now time.Time) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	e.renewedAt = now
	return true
}

// Remove removes a request whose caller has left. Endpoints held for it are released.
func (q *Queue) Remove(id ID) {
	if e := q.entries[id]; e != nil {
		q.remove(e)
	}
}

// CountPlaced counts a request that was placed without waiting in this queue for the shares of its team and rank.
func (q *Queue) CountPlaced(r *Request, now time.Time) {
	counted := *r
	counted.Rank = clampRank(r.Rank)
	q.usage[classOf(r)].add(&counted, now)
	q.shares.AddUsed(r.Team, r.Cost, now)
}

func clampRank(rank int) int { return min(max(rank, 0), LowestRank) }

func (q *Queue) laneOf(e *entry) *lane { return &q.lanes[classOf(&e.Request)][e.Rank] }

func (q *Queue) insert(e *entry, now time.Time) {
	q.entries[e.ID] = e
	q.laneOf(e).add(e, now)
	q.shares.AddWaiting(e.Team, e.Cost)
}

func (q *Queue) remove(e *entry) {
	q.release(e)
	delete(q.entries, e.ID)
	q.laneOf(e).remove(e)
	q.shares.AddWaiting(e.Team, -e.Cost)
}

// orderOf returns the waiting requests of a class in their order. The result is valid until the next call.
func (q *Queue) orderOf(c class, now time.Time) []*entry {
	q.order = q.order[:0]
	lanes := &q.lanes[c]
	preferReturning := q.usage[c].prefersReturning(now)
	for rank := range lanes {
		lanes[rank].update(now)
	}
	for _, rank := range q.usage[c].rankOrder(lanes, now) {
		q.order = lanes[rank].appendOrder(q.order, preferReturning)
	}
	return q.order
}

// Expire removes the requests that were not renewed, and those that can no longer be served in their useful time.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	for _, e := range q.entries {
		reason := TooLate
		switch {
		case now.Sub(e.renewedAt) > q.options.RenewTime:
			reason = NotRenewed
		case !e.lastStart().Before(now):
			continue
		}
		refused = append(refused, Refused{Request: e.Request, Reason: reason, Wait: q.drainTime(classOf(&e.Request), now)})
		q.remove(e)
	}
	sortByID(refused)
	return refused
}
