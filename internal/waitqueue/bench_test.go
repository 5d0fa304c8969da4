package waitqueue_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/waitqueue"
)

const (
	benchWaiting   = 1000
	benchEndpoints = 300
	// maxQueueBytes is the largest memory of a queue.
	maxQueueBytes = 1 << 20
)

// fullQueue returns a queue of 1,000 requests of 24 teams and 3 ranks on 300 endpoints. The requests just fit into the time.
func fullQueue(waiting int) (*waitqueue.Queue, waitqueue.Capacity) {
	q := waitqueue.New(waitqueue.Options{RenewTime: time.Hour})
	capacity := waitqueue.Capacity{Shard: benchEndpoints, Endpoints: benchEndpoints}
	for i := range uint64(waiting) {
		q.Add(benchRequest(i), capacity, start)
	}
	return q, capacity
}

func benchRequest(i uint64) waitqueue.Request {
	r := longRequest(i, time.Duration(i)*time.Microsecond)
	r.Rank, r.Team = int(i%3), uint32(i%24)
	return r
}

// Bound: 20 us.
func BenchmarkAdd(b *testing.B) {
	q, capacity := fullQueue(benchWaiting - 1)
	r := benchRequest(benchWaiting)
	for b.Loop() {
		q.Add(r, capacity, start)
		q.Remove(r.ID)
	}
}

// Bound: 20 us for the newcomer, which displaces a request of a lower rank. The other Add puts that one back.
func BenchmarkDisplace(b *testing.B) {
	q, ample := fullQueue(benchWaiting)
	scarce := ample
	scarce.Endpoints = 188 // 1,000 s of engine time in 5.9 s
	r := benchRequest(benchWaiting)
	r.Rank = 0
	q.Add(r, scarce, start)
	q.Remove(r.ID)
	// The remaining requests and one more fit; those that were displaced are left out.
	q.Add(benchRequest(1<<20), ample, start)
	for b.Loop() {
		decision := q.Add(r, scarce, start)
		if len(decision.Displaced) != 1 {
			b.Fatalf("decision %+v", decision)
		}
		q.Remove(r.ID)
		q.Add(decision.Displaced[0].Request, ample, start)
	}
}

// Bound: 20 us without placement.
func BenchmarkDispatch(b *testing.B) {
	q, _ := fullQueue(benchWaiting)
	place := func(*waitqueue.Request, waitqueue.Held) waitqueue.Attempt { return waitqueue.Attempt{} }
	for b.Loop() {
		q.Dispatch(start, place)
	}
}

// Bound: 20 us. The call is made before each round.
func BenchmarkExpire(b *testing.B) {
	q, _ := fullQueue(benchWaiting)
	for b.Loop() {
		q.Expire(start)
	}
}

// Guards against a queue that needs more than 1 MB for its largest number of requests.
func TestMemoryOfAFullQueue(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q, _ := fullQueue(benchWaiting)
	q.Dispatch(start, func(*waitqueue.Request, waitqueue.Held) waitqueue.Attempt { return waitqueue.Attempt{} })
	runtime.GC()
	runtime.ReadMemStats(&after)
	if q.Len() != benchWaiting {
		t.Fatalf("%d requests wait", q.Len())
	}
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > maxQueueBytes {
		t.Fatalf("the queue uses %d bytes", used)
	}
}
