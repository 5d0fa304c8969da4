package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestPace(t *testing.T) { testkit.RunSpecs(t, "pace") }

const (
	endpoint  = 7
	slots     = 12
	predicted = 60 * time.Millisecond
	// lostPacket is the time after which a lost packet is sent again.
	lostPacket = 200 * time.Millisecond
	// settled is a time after which an unknown endpoint has just started.
	settled = 4 * time.Second
)

var (
	start     = time.Unix(1000, 0)
	condition = pace.Condition{Slots: slots}
)

// newTracker returns a tracker that has known the given endpoints for some time.
func newTracker(endpoints ...uint32) *pace.Tracker {
	t := pace.NewTracker()
	for _, e := range endpoints {
		t.Assess(e, condition, start.Add(-time.Minute))
	}
	return t
}

// serve places a request on endpoints and lets it have its first event after the observed time.
func serve(t *pace.Tracker, observed time.Duration, now time.Time, endpoints ...uint32) {
	var shares []pace.Share
	for _, e := range endpoints {
		shares = append(shares, pace.Share{Endpoint: e, Predicted: predicted, Slowdown: t.Slowdown(e, now)})
		shares[len(shares)-1].Predicted = time.Duration(float64(predicted) * shares[len(shares)-1].Slowdown)
	}
	q := t.Place(shares, predicted/2, true, now)
	q.FirstEvent(observed, now.Add(observed))
	q.End(now.Add(observed))
}

var _ = Describe("the speed of an endpoint", func() {
	// Guards against requests that go to a slow endpoint for seconds. Its answers come 200 ms apart; it must be found within a
	// second, and with a factor that makes predictions usable.
	It("is found within a second of evidence", func() {
		t := newTracker(endpoint)
		for i := range 5 {
			serve(t, 3*predicted, start.Add(time.Duration(i)*200*time.Millisecond), endpoint)
		}
		Expect(t.Slowdown(endpoint, start.Add(time.Second))).To(BeNumerically("~", 3, 0.5))
	})

	// Guards against a factor of the past that stays for as long as answers are neither late nor on time, each within a second of the last.
	It("follows answers that are a little late", func() {
		t := newTracker(endpoint)
		now := start
		for range 8 {
			t.Observe(endpoint, predicted, 5*predicted, now)
			now = now.Add(100 * time.Millisecond)
		}
		Expect(t.Slowdown(endpoint, now)).To(BeNumerically("~", 5, 0.5))
		for range 300 {
			t.Observe(endpoint, predicted, predicted*17/10, now)
			now = now.Add(100 * time.Millisecond)
		}
		Expect(t.Slowdown(endpoint, now)).To(BeNumerically("<", 1.7))
	})

	// Guards against a slow endpoint that answers nothing and is therefore not found.
	It("is found by requests that wait for their first event", func() {
		t := newTracker(endpoint)
		for i := range 4 {
			t.Place([]pace.Share{{Endpoint: endpoint, Predicted: predicted}}, predicted/2, true, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		t.Assess(endpoint, condition, start.Add(700*time.Millisecond))
		t.Assess(endpoint, condition, start.Add(time.Second))
		Expect(t.Slowdown(endpoint, start.Add(time.Second))).To(BeNumerically(">", 1.5))
	})

	// Guards against streams on a slow endpoint that are not evidence until they end.
	It("is found by the pauses of running streams, and so is a recovery", func() {
		t := newTracker(endpoint)
		const pass = 50 * time.Millisecond
		q := t.Place([]pace.Share{{Endpoint: endpoint, Predicted: predicted}}, predicted/2, true, start)
		q.FirstEvent(predicted, start.Add(predicted))
		var p pace.Pauses
		now := start.Add(time.Second)
		stream := func(pause time.Duration, events int) {
			for range events {
				now = now.Add(pause)
				if p.Event(now); p.ReportDue(pass, now) {
					q.Pauses(pass, p.Low(), now)
				}
			}
		}
		stream(pass, 4)
		stream(3*pass, 8)
		Expect(t.Slowdown(endpoint, now)).To(BeNumerically(">", 2))
		stream(pass, 4)
		Expect(t.Slowdown(endpoint, now)).To(Equal(1.0))
	})

	// Guards against an endpoint that gets no requests for long after it has recovered: it must be probed, and get all its slots
	// within a few seconds. Requests come every 50 ms while it is allowed to have them.
	It("is forgotten within some seconds after the endpoint has recovered", func() {
		t := newTracker(endpoint)
		for i := range 6 {
			serve(t, 4*predicted, start.Add(time.Duration(i)*200*time.Millisecond), endpoint)
		}
		recovered := start.Add(2 * time.Second)
		Expect(t.Slowdown(endpoint, recovered)).To(BeNumerically(">", 2))
		const limit = 5 * time.Second
		now := recovered
		for ; now.Before(recovered.Add(limit)); now = now.Add(50 * time.Millisecond) {
			p := t.Assess(endpoint, condition, now)
			if p.Slowdown == 1 && p.Window == 0 {
				break
			}
			if p.Slowdown == 1 || p.Probe {
				serve(t, predicted, now, endpoint)
			}
		}
		Expect(now.Sub(recovered)).To(BeNumerically("<", limit))
	})

	// Guards against probes that flood an endpoint that is still slow.
	It("is probed with a few requests while the endpoint stays slow", func() {
		t := newTracker(endpoint)
		for i := range 6 {
			serve(t, 4*predicted, start.Add(time.Duration(i)*200*time.Millisecond), endpoint)
		}
		probes, busyUntil := 0, start
		for now := start.Add(2 * time.Second); now.Before(start.Add(12 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if p := t.Assess(endpoint, condition, now); p.Probe && !now.Before(busyUntil) {
				probes++
				serve(t, 4*predicted, now, endpoint)
				busyUntil = now.Add(4 * predicted)
			}
		}
		Expect(probes).To(BeNumerically(">=", 3))
		Expect(probes).To(BeNumerically("<=", 10))
	})

	// Guards against endpoints that are blamed for lost packets, of which a healthy network of the deployments has up to a
	// twentieth, and for answers that are late together because an instance did not run.
	It("stays 1 for a healthy endpoint with lost packets", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
			interval := time.Duration(rapid.IntRange(20, 400).Draw(rt, "interval ms")) * time.Millisecond
			t := newTracker(endpoint)
			slow := time.Duration(0)
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(interval) {
				observed := time.Duration((0.5 + 0.7*random.Float64()) * float64(predicted))
				if random.Float64() < 0.05 {
					observed += lostPacket
				}
				serve(t, observed, now, endpoint)
				if t.Slowdown(endpoint, now) > 1.2 {
					slow += interval
				}
			}
			if slow > 2*time.Second {
				rt.Fatalf("slow for %s of a minute", slow)
			}
		})
	})

	// Guards against a prompt that waits for parts of later prompts, which engines prefill first, as evidence against its endpoint.
	It("does not depend on requests that later ones have overtaken", func() {
		t := newTracker(endpoint, 8)
		for i := range 12 {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			q := t.Place([]pace.Share{{Endpoint: endpoint, Predicted: predicted}}, predicted/2, true, now)
			split := t.Place([]pace.Share{
				{Endpoint: endpoint, Predicted: 3 * predicted}, {Endpoint: 8, Predicted: 3 * predicted},
			}, 2*predicted, true, now.Add(time.Millisecond))
			split.FirstEvent(2*predicted, now.Add(2*predicted))
			q.FirstEvent(3*predicted, now.Add(3*predicted))
		}
		Expect(t.Slowdown(endpoint, start.Add(4*time.Second))).To(Equal(1.0))
	})
})

var _ = Describe("the speed of the endpoints of a split prompt", func() {
	// Guards against a late first event that makes all endpoints of its prompt slow.
	It("is not in doubt after one late answer", func() {
		t := newTracker(1, 2, 3)
		serve(t, 5*predicted, start, 1, 2, 3)
		for _, e := range []uint32{1, 2, 3} {
			Expect(t.Slowdown(e, start.Add(time.Second))).To(Equal(1.0))
		}
	})

	// Guards against a slow helper that delays one prompt after the other and is never found, because no answer is its own.
	It("is found if several late answers have one endpoint in common", func() {
		t := newTracker(1, 2, 3, 4, 5, 6, 9)
		for i := range 3 {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			serve(t, 4*predicted, now, uint32(2*i+1), uint32(2*i+2), 9)
		}
		now := start.Add(time.Second)
		Expect(t.Slowdown(9, now)).To(BeNumerically(">", 2))
		for e := uint32(1); e <= 6; e++ {
			Expect(t.Slowdown(e, now)).To(Equal(1.0))
		}
	})

	// Guards against an endpoint that is blamed although its own answers are on time.
	It("is cleared by answers on time", func() {
		t := newTracker(1, 2, 3, 4, 5, 6, 9)
		for i := range 6 {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			serve(t, 4*predicted, now, uint32(i+1), 9)
			serve(t, predicted, now.Add(4*predicted), 9)
		}
		Expect(t.Slowdown(9, start.Add(2*time.Second))).To(Equal(1.0))
	})
})

var _ = Describe("the latencies of plain endpoints", func() {
	// Guards against a plain endpoint that answers several times as slowly as the others and gets as many requests, and against
	// one that is taken for slow because its requests differ.
	It("show which endpoint is slower than the others", func() {
		t := newTracker(1, 2, 3, 4)
		random := rand.New(rand.NewPCG(1, 1))
		now := start
		for range 400 {
			for e := uint32(1); e <= 4; e++ {
				latency := time.Duration((30 + 60*random.Float64()) * float64(time.Millisecond))
				if e == 4 {
					latency *= 5
				}
				now = now.Add(2 * time.Millisecond)
				t.ObserveLatency(e, "profile", latency, now)
			}
		}
		Expect(t.Slowdown(4, now)).To(BeNumerically(">", 1.7))
		for e := uint32(1); e <= 3; e++ {
			Expect(t.Slowdown(e, now)).To(Equal(1.0))
		}
	})
})
