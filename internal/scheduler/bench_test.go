package scheduler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/scheduler"
)

const (
	// pollInterval is the time between two rounds of place requests of a request that polls, and pollShards the number of schedulers
	// in a round.
	pollInterval = 25 * time.Millisecond
	pollShards   = 3
	waitTime     = time.Second
)

// busyRequest returns a request as in a fleet with some trouble: a few endpoints are excluded.
func busyRequest(number int) scheduler.PlaceRequest {
	request := waitingRequest(number)
	request.Avoid, request.Suspects, request.Full = []uint32{1 << 30, 2 << 30}, []uint32{3 << 30, 1 << 29, 1 << 28}, []uint32{1 << 27}
	return request
}

// report reports the messages and bytes in both directions for each request.
func report(b *testing.B, l *link) {
	b.ReportMetric(float64(l.messages.Load())/float64(b.N), "messages/op")
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-bytes/op")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkWaitOneSecond counts the messages of a request that waits one second for a slot and is then cancelled.
func BenchmarkWaitOneSecond(b *testing.B) {
	RegisterTestingT(b)
	for _, hold := range []time.Duration{scheduler.HoldTime, 62 * time.Millisecond} {
		b.Run(fmt.Sprintf("hold_%s", hold), func(b *testing.B) {
			s := newBusyShard(newState(1))
			s.fill()
			s.link.messages.Store(0)
			s.link.bytes.Store(0)
			for n := range b.N {
				request := busyRequest(n)
				request.Terms.Hold = hold
				ctx, cancel := context.WithTimeout(context.Background(), waitTime)
				s.placeUntilDecided(ctx, request)
				cancel()
			}
			report(b, s.link)
		})
	}
}

// BenchmarkPollOneSecond counts the messages of a request that sends place requests to three schedulers every 25 ms for one second, as
// without a queue.
func BenchmarkPollOneSecond(b *testing.B) {
	RegisterTestingT(b)
	s := newBusyShard(newState(1))
	s.fill()
	s.link.messages.Store(0)
	s.link.bytes.Store(0)
	for n := range b.N {
		request := busyRequest(n)
		request.Terms = nil
		for start := time.Now(); time.Since(start) < waitTime; time.Sleep(pollInterval) {
			for range pollShards {
				s.client.Place(context.Background(), request)
			}
		}
	}
	report(b, s.link)
}
