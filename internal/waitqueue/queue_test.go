package waitqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

func TestWaitQueue(t *testing.T) { testkit.RunSpecs(t, "waitqueue") }

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// longRequest returns a long prompt that uses one second of engine time and has an objective of 6 s.
func longRequest(number uint64, arrived time.Duration) waitqueue.Request {
	const objective = 6 * time.Second
	return waitqueue.Request{
		ID: waitqueue.ID{Instance: "a", Number: number}, Cost: time.Second, Prefill: 100 * time.Millisecond,
		Need:    placement.Need{Tokens: 100_000, Objective: objective},
		Arrived: at(arrived), OnTimeUntil: at(arrived + objective), Until: at(arrived + objective),
	}
}

// shortRequest returns a short prompt that has an objective of 250 ms and is useful for 5 s.
func shortRequest(number uint64, arrived time.Duration) waitqueue.Request {
	const objective = 250 * time.Millisecond
	return waitqueue.Request{
		ID: waitqueue.ID{Instance: "a", Number: number}, Cost: 100 * time.Millisecond, Prefill: 20 * time.Millisecond, Short: true,
		Need:    placement.Need{Tokens: 5000, Objective: objective},
		Arrived: at(arrived), OnTimeUntil: at(arrived + objective), Until: at(arrived + 5*time.Second),
	}
}

// idleShard has 40 endpoints without work.
var idleShard = waitqueue.Capacity{Shard: 40, Endpoints: 40}

// oneEndpoint dispatches 0.9 s of engine time per second.
var oneEndpoint = waitqueue.Capacity{Shard: 1, Endpoints: 1}

// offered returns the numbers of the requests that one round offers, in their order, if none can be placed.
func offered(q *waitqueue.Queue, now time.Time) []uint64 {
	var numbers []uint64
	q.Dispatch(now, func(r *waitqueue.Request, _ waitqueue.Held) waitqueue.Attempt {
		numbers = append(numbers, r.ID.Number)
		return waitqueue.Attempt{}
	})
	return numbers
}

// placeOne places the first request of the order and returns its number.
func placeOne(q *waitqueue.Queue, now time.Time) uint64 {
	var number uint64
	placed := false
	q.Dispatch(now, func(r *waitqueue.Request, _ waitqueue.Held) waitqueue.Attempt {
		if placed {
			return waitqueue.Attempt{}
		}
		number, placed = r.ID.Number, true
		return waitqueue.Attempt{Placed: true}
	})
	return number
}

func mustAdd(q *waitqueue.Queue, r waitqueue.Request, capacity waitqueue.Capacity, now time.Time) {
	GinkgoHelper()
	decision := q.Add(r, capacity, now)
	Expect(decision.Waits).To(BeTrue(), string(decision.Reason))
	Expect(decision.Displaced).To(BeEmpty())
}

var _ = Describe("the order of a wait queue", func() {
	// Guards against urgent requests that wait behind less urgent ones, and against late requests that take the capacity with
	// which others would be on time.
	It("is by rank, then by the latest start of requests that can be on time, then by arrival", func() {
		q := waitqueue.New(waitqueue.Options{})
		lowRank, late, early, first := longRequest(1, 0), longRequest(2, -1), longRequest(3, 0), longRequest(4, 0)
		lowRank.Rank = 1
		late.OnTimeUntil, late.Until = at(50*time.Millisecond), at(5*time.Second)
		early.OnTimeUntil, early.Until = at(4*time.Second), at(4*time.Second)
		first.OnTimeUntil, first.Until = at(3*time.Second), at(3*time.Second)
		for _, r := range []waitqueue.Request{lowRank, late, early, first} {
			mustAdd(q, r, idleShard, start)
		}
		var placed []uint64
		q.Dispatch(start, func(r *waitqueue.Request, _ waitqueue.Held) waitqueue.Attempt {
			placed = append(placed, r.ID.Number)
			return waitqueue.Attempt{Placed: true}
		})
		Expect(placed).To(Equal([]uint64{4, 3, 2, 1}))
	})

	// Guards against callers that keep to the time they were told and wait behind newcomers, and against newcomers that never
	// get a turn because callers return all the time.
	It("serves returning callers first, up to a quarter of the turnover", func() {
		q := waitqueue.New(waitqueue.Options{})
		for i := range uint64(400) {
			newcomer, returning := shortRequest(2*i, 0), shortRequest(2*i+1, time.Millisecond)
			newcomer.Cost, returning.Cost = time.Millisecond, time.Millisecond
			returning.Returning = true
			mustAdd(q, newcomer, idleShard, start)
			mustAdd(q, returning, idleShard, start)
		}
		Expect(placeOne(q, start) % 2).To(Equal(uint64(1)))
		returned := 0
		for range 200 {
			returned += int(placeOne(q, start) % 2)
		}
		Expect(returned).To(BeNumerically("~", 50, 3))
	})

	// Guards against a rank that is never served while higher ranks use up the capacity.
	It("gives a lower rank a tenth of the engine time", func() {
		q := waitqueue.New(waitqueue.Options{RenewTime: time.Hour})
		low := 0
		for i := range uint64(300) {
			now := at(time.Duration(i) * 10 * time.Millisecond)
			high, other := longRequest(2*i, now.Sub(start)), longRequest(2*i+1, now.Sub(start))
			high.Cost, other.Cost = 10*time.Millisecond, 10*time.Millisecond
			other.Rank = 3
			q.Add(high, idleShard, now)
			q.Add(other, idleShard, now)
			low += int(placeOne(q, now) % 2)
		}
		Expect(low).To(BeNumerically("~", 30, 5))
	})

	// Guards against a long prompt that cannot be placed and keeps short prompts waiting, which need other endpoints.
	It("offers short prompts although long ones wait, and long ones of a lower rank only if no short one was refused", func() {
		q := waitqueue.New(waitqueue.Options{})
		long, short := longRequest(1, 0), shortRequest(2, 0)
		long.Rank = 1
		mustAdd(q, long, idleShard, start)
		Expect(offered(q, start)).To(Equal([]uint64{1}))
		mustAdd(q, short, idleShard, start)
		Expect(offered(q, start)).To(Equal([]uint64{2}))
		Expect(placeOne(q, start)).To(Equal(uint64(2)))
		Expect(offered(q, at(90*time.Millisecond))).To(BeEmpty())
		Expect(offered(q, at(110*time.Millisecond))).To(Equal([]uint64{1}))
	})

	// Guards against a short prompt that can no longer be on time and keeps those behind it waiting.
	It("treats a request that has missed its time as late, and gives it up if it is useless then", func() {
		q := waitqueue.New(waitqueue.Options{})
		useful, useless := shortRequest(1, 0), shortRequest(2, 0)
		useless.Until = useless.OnTimeUntil
		mustAdd(q, useful, idleShard, start)
		mustAdd(q, useless, idleShard, start)
		mustAdd(q, shortRequest(3, time.Millisecond), idleShard, start)
		q.Dispatch(start, func(r *waitqueue.Request, _ waitqueue.Held) waitqueue.Attempt {
			return waitqueue.Attempt{Missed: r.ID.Number < 3}
		})
		refused := q.Expire(at(time.Millisecond))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Request.ID.Number).To(Equal(uint64(2)))
		Expect(refused[0].Reason).To(Equal(waitqueue.TooLate))
		Expect(offered(q, at(time.Millisecond))).To(Equal([]uint64{3, 1}))
	})
})

var _ = Describe("the admission to a wait queue", func() {
	// Guards against requests that are held although it is known that they cannot be served.
	It("refuses a request that cannot start in its useful time behind the others", func() {
		q := waitqueue.New(waitqueue.Options{})
		var decision waitqueue.Decision
		waiting := uint64(0)
		for decision.Reason == "" {
			decision = q.Add(longRequest(waiting, time.Duration(waiting)), oneEndpoint, start)
			if decision.Waits {
				waiting++
			}
		}
		Expect(decision.Reason).To(Equal(waitqueue.Infeasible))
		Expect(waiting).To(Equal(uint64(6)), "0.9 s of engine time per second in 5.9 s")
		Expect(decision.Wait).To(BeNumerically("~", 6*time.Second*10/9, time.Millisecond))
	})

	// Guards against a backlog of placed requests that is not counted.
	It("counts the backlog of the endpoints", func() {
		q := waitqueue.New(waitqueue.Options{})
		busy := oneEndpoint
		busy.Backlog = 6 * time.Second
		Expect(q.Add(longRequest(1, 0), busy, start).Reason).To(Equal(waitqueue.Infeasible))
	})

	// Guards against a request of a high rank that is refused while less urgent ones wait, and against displaced requests whose
	// callers are not told.
	It("displaces a request of a lower rank in favour of a higher one", func() {
		q := waitqueue.New(waitqueue.Options{})
		for i := range uint64(6) {
			r := longRequest(i, time.Duration(i))
			r.Rank = 1
			mustAdd(q, r, oneEndpoint, start)
		}
		urgent := longRequest(7, 0)
		decision := q.Add(urgent, oneEndpoint, start)
		Expect(decision.Waits).To(BeTrue())
		Expect(decision.Displaced).To(HaveLen(1))
		Expect(decision.Displaced[0].Request.ID.Number).To(Equal(uint64(5)), "the latest start")
		Expect(decision.Displaced[0].Reason).To(Equal(waitqueue.Displaced))
		Expect(decision.Displaced[0].Wait).To(BeNumerically(">", 0))

		lowest := longRequest(8, 0)
		lowest.Rank = 2
		Expect(q.Add(lowest, oneEndpoint, start)).To(HaveField("Waits", BeFalse()))
		Expect(placeOne(q, start)).To(Equal(uint64(7)))
	})

	// Guards against one team that takes the places of all others.
	It("displaces a request of a team above its fair share in favour of one below", func() {
		q := waitqueue.New(waitqueue.Options{})
		for i := range uint64(6) {
			r := longRequest(i, time.Duration(i))
			r.Team = 1
			mustAdd(q, r, oneEndpoint, start)
		}
		other := longRequest(7, 0)
		other.Team = 2
		decision := q.Add(other, oneEndpoint, start)
		Expect(decision.Waits).To(BeTrue())
		Expect(decision.Displaced).To(HaveLen(1))
		Expect(decision.Displaced[0].Request.Team).To(Equal(uint32(1)))
		Expect(decision.Displaced[0].Reason).To(Equal(waitqueue.OverShare))

		again := longRequest(8, 0)
		again.Team = 1
		decision = q.Add(again, oneEndpoint, start)
		Expect(decision.Displaced).To(HaveLen(1))
		Expect(decision.Displaced[0].Request.Team).To(Equal(uint32(1)), "in favour of an earlier start of the same team")
	})

	// Guards against a limit on teams while there is no shortage.
	It("limits no team without shortage", func() {
		q := waitqueue.New(waitqueue.Options{})
		for i := range uint64(100) {
			r := longRequest(i, 0)
			r.Team = 1
			mustAdd(q, r, idleShard, start)
			Expect(placeOne(q, start)).To(Equal(i))
		}
	})

	// Guards against an unbounded queue.
	It("refuses requests beyond its largest number", func() {
		q := waitqueue.New(waitqueue.Options{})
		for i := range uint64(1000) {
			r := shortRequest(i, 0)
			r.Cost = time.Microsecond
			mustAdd(q, r, idleShard, start)
		}
		last := shortRequest(1000, time.Millisecond)
		last.Cost = time.Microsecond
		Expect(q.Add(last, idleShard, start).Reason).To(Equal(waitqueue.QueueFull))
		Expect(q.Len()).To(Equal(1000))
	})

	// Guards against prompts among the largest that are given up before all helpers together can start them.
	It("lets the largest prompts be late by a quarter of their objectives", func() {
		q := waitqueue.New(waitqueue.Options{RenewTime: time.Hour})
		largest := longRequest(1, 0)
		largest.Cost, largest.Prefill = 50*time.Second, 3*time.Second
		mustAdd(q, largest, idleShard, start)
		Expect(q.Expire(at(4 * time.Second))).To(BeEmpty())
		Expect(largest.NeedAt(at(4 * time.Second)).Objective).To(Equal(3500 * time.Millisecond))
		Expect(q.Expire(at(4600 * time.Millisecond))).To(HaveLen(1))
	})
})

var _ = Describe("a waiting request", func() {
	// Guards against requests of instances that have failed, which keep their places.
	It("leaves the queue if it is not renewed", func() {
		q := waitqueue.New(waitqueue.Options{})
		mustAdd(q, longRequest(1, 0), idleShard, start)
		mustAdd(q, longRequest(2, 0), idleShard, start)
		Expect(q.Renew(waitqueue.ID{Instance: "a", Number: 1}, at(400*time.Millisecond))).To(BeTrue())
		refused := q.Expire(at(600 * time.Millisecond))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Request.ID.Number).To(Equal(uint64(2)))
		Expect(refused[0].Reason).To(Equal(waitqueue.NotRenewed))
		Expect(q.Renew(waitqueue.ID{Instance: "a", Number: 2}, at(600*time.Millisecond))).To(BeFalse())
	})

	// Guards against requests that are held after their useful time.
	It("is refused once it cannot start in its useful time", func() {
		q := waitqueue.New(waitqueue.Options{RenewTime: time.Hour})
		mustAdd(q, longRequest(1, 0), idleShard, start)
		Expect(q.Expire(at(5800 * time.Millisecond))).To(BeEmpty())
		refused := q.Expire(at(5901 * time.Millisecond))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Reason).To(Equal(waitqueue.TooLate))
	})
})

var _ = Describe("held endpoints", func() {
	var q *waitqueue.Queue
	hold := func(now time.Time, endpoints ...uint32) {
		q.Dispatch(now, func(r *waitqueue.Request, _ waitqueue.Held) waitqueue.Attempt {
			if r.ID.Number == 1 {
				return waitqueue.Attempt{Hold: endpoints}
			}
			return waitqueue.Attempt{}
		})
	}
	BeforeEach(func() {
		q = waitqueue.New(waitqueue.Options{})
		mustAdd(q, longRequest(1, 0), idleShard, start)
		mustAdd(q, longRequest(2, 1), idleShard, start)
		hold(start, 10, 11, 12)
	})

	// Guards against prompts that are placed on endpoints held for another one, and a holder that cannot use its own.
	It("are closed to other requests only", func() {
		contains := make(map[uint64]bool)
		q.Dispatch(start, func(r *waitqueue.Request, held waitqueue.Held) waitqueue.Attempt {
			contains[r.ID.Number] = held.Contains(11)
			return waitqueue.Attempt{Hold: []uint32{10, 11, 12}}
		})
		Expect(contains).To(Equal(map[uint64]bool{1: false, 2: true}))
		Expect(q.Held().Contains(11)).To(BeTrue())
		Expect(q.Held().Contains(13)).To(BeFalse())
	})

	// Guards against endpoints that stay closed although nobody waits for them.
	DescribeTable("are released", func(leave func()) {
		leave()
		Expect(q.Held().Contains(10)).To(BeFalse())
	},
		Entry("when the holder leaves", func() { q.Remove(waitqueue.ID{Instance: "a", Number: 1}) }),
		Entry("when the holder is placed", func() { placeOne(q, start) }),
		Entry("when the holder is not renewed", func() { q.Expire(at(time.Second)) }),
		Entry("when the holder no longer asks for them", func() { hold(start) }),
		Entry("when others precede the holder", func() {
			for i := range uint64(3) {
				r := longRequest(10+i, -time.Second)
				mustAdd(q, r, idleShard, start)
			}
			offered(q, start)
		}),
		Entry("when the holder is displaced", func() {
			for i := range uint64(6) {
				q.Add(longRequest(10+i, -1), oneEndpoint, start)
			}
			Expect(q.Contains(waitqueue.ID{Instance: "a", Number: 1})).To(BeFalse())
		}),
	)

	// Guards against a shard without endpoints for other long prompts.
	It("are at most half of the shard", func() {
		var many []uint32
		for i := range uint32(40) {
			many = append(many, 100+i)
		}
		hold(start, many...)
		held := 0
		for _, endpoint := range many {
			if q.Held().Contains(endpoint) {
				held++
			}
		}
		Expect(held).To(Equal(20))
	})
})
