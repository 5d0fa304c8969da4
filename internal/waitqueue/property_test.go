package waitqueue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// model drives a queue and knows which requests wait according to its answers.
type model struct {
	queue   *waitqueue.Queue
	now     time.Time
	next    uint64
	waiting map[waitqueue.ID]bool
	holding map[uint32]waitqueue.ID
}

const (
	modelEndpoints = 10
	modelWaiting   = 20
)

func newModel() *model {
	return &model{
		queue: waitqueue.New(waitqueue.Options{MaxWaiting: modelWaiting}), now: start, waiting: make(map[waitqueue.ID]bool),
	}
}

func (m *model) leave(t *rapid.T, id waitqueue.ID) {
	if !m.waiting[id] {
		t.Fatalf("request %v has left twice", id)
	}
	delete(m.waiting, id)
}

func (m *model) add(t *rapid.T) {
	m.next++
	objective := time.Duration(rapid.IntRange(-100, 6000).Draw(t, "objective")) * time.Millisecond
	r := waitqueue.Request{
		ID: waitqueue.ID{Instance: fmt.Sprint(m.next % 3), Number: m.next}, Rank: rapid.IntRange(-1, 11).Draw(t, "rank"),
		Team: rapid.Uint32Range(0, 5).Draw(t, "team"), Short: rapid.Bool().Draw(t, "short"),
		Returning: rapid.Bool().Draw(t, "returning"),
		Cost:      time.Duration(rapid.IntRange(0, 20_000).Draw(t, "cost")) * time.Millisecond,
		Prefill:   time.Duration(rapid.IntRange(0, 500).Draw(t, "prefill")) * time.Millisecond,
		Need:      placement.Need{Objective: max(objective, 0)}, Arrived: m.now, OnTimeUntil: m.now.Add(objective),
		Until: m.now.Add(objective + time.Duration(rapid.IntRange(0, 3000).Draw(t, "useful"))*time.Millisecond),
	}
	capacity := waitqueue.Capacity{
		Shard: modelEndpoints, Endpoints: rapid.IntRange(0, modelEndpoints).Draw(t, "endpoints"),
		Backlog: time.Duration(rapid.IntRange(0, 5000).Draw(t, "backlog")) * time.Millisecond,
	}
	decision := m.queue.Add(r, capacity, m.now)
	if decision.Waits != (decision.Reason == "") {
		t.Fatalf("decision %+v", decision)
	}
	if decision.Waits {
		m.waiting[r.ID] = true
	}
	for _, displaced := range decision.Displaced {
		if displaced.Request.ID == r.ID || !decision.Waits {
			t.Fatalf("displaced by a refused request, or by itself: %+v", displaced)
		}
		m.leave(t, displaced.Request.ID)
	}
}

func (m *model) dispatch(t *rapid.T) {
	places := rapid.IntRange(0, 3).Draw(t, "places")
	m.queue.Dispatch(m.now, func(r *waitqueue.Request, held waitqueue.Held) waitqueue.Attempt {
		for endpoint := range uint32(modelEndpoints) {
			if owner, ok := m.owner(endpoint); held.Contains(endpoint) && (!ok || owner == r.ID) {
				t.Fatalf("endpoint %d is held for another request than its holder %v", endpoint, owner)
			}
		}
		switch {
		case places > 0 && rapid.Bool().Draw(t, "placed"):
			places--
			m.leave(t, r.ID)
			m.forgetHolds(r.ID)
			return waitqueue.Attempt{Placed: true}
		case r.Short:
			m.forgetHolds(r.ID)
			return waitqueue.Attempt{Missed: rapid.Bool().Draw(t, "missed")}
		}
		var hold []uint32
		for range rapid.IntRange(0, modelEndpoints).Draw(t, "hold") {
			hold = append(hold, uint32(rapid.IntRange(0, modelEndpoints-1).Draw(t, "endpoint")))
		}
		if held.Free() > 0 {
			m.forgetHolds(r.ID)
			m.holding = make(map[uint32]waitqueue.ID)
			for _, endpoint := range hold {
				m.holding[endpoint] = r.ID
			}
		}
		return waitqueue.Attempt{Hold: hold}
	})
}

func (m *model) owner(endpoint uint32) (waitqueue.ID, bool) {
	owner, ok := m.holding[endpoint]
	return owner, ok
}

func (m *model) forgetHolds(id waitqueue.ID) {
	for endpoint, owner := range m.holding {
		if owner == id {
			delete(m.holding, endpoint)
		}
	}
}

// check compares the queue with the model.
func (m *model) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || m.queue.Len() > modelWaiting {
		t.Fatalf("%d requests wait, %d are known", m.queue.Len(), len(m.waiting))
	}
	held := 0
	for endpoint := range uint32(modelEndpoints) {
		if !m.queue.Held().Contains(endpoint) {
			continue
		}
		held++
		if owner, ok := m.owner(endpoint); !ok || !m.waiting[owner] {
			t.Fatalf("endpoint %d is held without an owner", endpoint)
		}
	}
	if held > modelEndpoints/2 {
		t.Fatalf("%d endpoints are held", held)
	}
	for id := range m.waiting {
		if !m.queue.Contains(id) {
			t.Fatalf("request %v is lost", id)
		}
	}
}

// Guards against requests that leave the queue without a placement or a refusal, or twice, against holds without a holder that
// waits, and against queues and holds beyond their bounds.
func TestNoRequestIsLostAndNoHoldHasNoOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		anyWaiting := func(t *rapid.T) (waitqueue.ID, bool) {
			for id := uint64(0); id <= m.next; id++ {
				key := waitqueue.ID{Instance: fmt.Sprint(id % 3), Number: id}
				if m.waiting[key] && rapid.Bool().Draw(t, "this") {
					return key, true
				}
			}
			return waitqueue.ID{}, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"add":      m.add,
			"dispatch": m.dispatch,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"renew": func(t *rapid.T) {
				if id, ok := anyWaiting(t); ok && !m.queue.Renew(id, m.now) {
					t.Fatalf("request %v is lost", id)
				}
			},
			"remove": func(t *rapid.T) {
				if id, ok := anyWaiting(t); ok {
					m.queue.Remove(id)
					m.leave(t, id)
					m.forgetHolds(id)
				}
			},
			"expire": func(t *rapid.T) {
				for _, refused := range m.queue.Expire(m.now) {
					m.leave(t, refused.Request.ID)
					m.forgetHolds(refused.Request.ID)
				}
			},
			"": m.check,
		})
	})
}
