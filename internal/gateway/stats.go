package gateway

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// reservoirSize and reservoirAlpha are the usual parameters of an exponentially decaying sample. They favor the last
	// five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

type responseKey struct{ outcome, stage, code string }

// stats counts the requests and the gateway's final responses, and samples the first-token latency of each length class.
type stats struct {
	requests     atomic.Int64
	openRequests atomic.Int64

	mu         sync.Mutex
	responses  map[responseKey]int64
	firstToken map[peer.LengthClass]metrics.Histogram
}

func newStats() *stats {
	return &stats{responses: make(map[responseKey]int64), firstToken: make(map[peer.LengthClass]metrics.Histogram)}
}

func (s *stats) countResponse(e *outcome.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[responseKey{string(e.Outcome), string(e.Stage), e.Code}]++
}

func (s *stats) recordFirstToken(class peer.LengthClass, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram := s.firstToken[class]
	if histogram == nil {
		histogram = metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
		s.firstToken[class] = histogram
	}
	histogram.Update(d.Microseconds())
}

func (s *stats) snapshot() peer.GatewayStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := peer.GatewayStats{Requests: s.requests.Load(), Open: s.openRequests.Load()}
	for key, count := range s.responses {
		snapshot.Answers = append(snapshot.Answers, peer.AnswerCount{
			Outcome: key.outcome, Stage: key.stage, Code: key.code, Count: count,
		})
	}
	sort.Slice(snapshot.Answers, func(i, j int) bool { return snapshot.Answers[i].Code < snapshot.Answers[j].Code })
	for _, class := range []peer.LengthClass{peer.ClassShort, peer.ClassMedium, peer.ClassLong} {
		histogram := s.firstToken[class]
		if histogram == nil {
			continue
		}
		percentiles := histogram.Percentiles([]float64{0.5, 0.95, 0.99})
		snapshot.FirstToken = append(snapshot.FirstToken, peer.ClassLatency{
			Class: class, Count: histogram.Count(),
			P50MS: percentiles[0] / 1000, P95MS: percentiles[1] / 1000, P99MS: percentiles[2] / 1000,
		})
	}
	return snapshot
}
