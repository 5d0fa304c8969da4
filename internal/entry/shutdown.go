package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
)

const (
	// shutdownAnswerTime is the time before the end of a graceful shutdown at which the requests that still run are answered. Their
	// callers would otherwise see a closed connection.
	shutdownAnswerTime = 250 * time.Millisecond
	// shutdownCheckInterval is less than shutdownAnswerTime, so that a suspension delays the answers by a part of that time only.
	shutdownCheckInterval = 50 * time.Millisecond
	// responseTime and streamTime are the time that a response and a stream may need after the objective of the request. In the first
	// shutdownAcceptTime of a graceful shutdown, a request is refused if the remaining time is less than its objective plus
	// responseTime or streamTime. Another instance can then serve it to its end.
	responseTime = 2 * time.Second
	streamTime   = 5 * time.Second
)

// errShutdownEnds is the cause of a context that ends because the graceful shutdown does.
var errShutdownEnds = errors.New("the graceful shutdown ends")

// shutdown is the graceful shutdown of a handler.
type shutdown struct {
	// now returns the boot-time.
	now func() time.Duration
	// startedAt and endsAt are boot-times; zero unless the shutdown has begun. At its end the remaining requests are aborted.
	startedAt, endsAt atomic.Int64
	// ending ends shutdownAnswerTime before the shutdown.
	ending context.Context
	end    context.CancelCauseFunc
}

func (s *shutdown) init() {
	s.now = clock.Boot
	s.ending, s.end = context.WithCancelCause(context.Background())
}

// start begins a graceful shutdown that ends after the grace time.
func (s *shutdown) start(grace time.Duration) {
	now := s.now()
	s.startedAt.Store(int64(now))
	s.endsAt.Store(int64(now + grace))
	s.endInTime()
}

// endInTime ends the remaining requests shutdownAnswerTime before the end of the shutdown. It reads the boot-time at least every
// shutdownCheckInterval, because the platform counts the grace time on while the instance is suspended and timers stand still.
func (s *shutdown) endInTime() {
	left := time.Duration(s.endsAt.Load()) - shutdownAnswerTime - s.now()
	if left <= 0 {
		s.end(errShutdownEnds)
		return
	}
	time.AfterFunc(min(left, shutdownCheckInterval), s.endInTime)
}

// hasBegun reports whether the shutdown has begun.
func (s *shutdown) hasBegun() bool { return s.endsAt.Load() != 0 }

// mayAccept reports whether a new request can be served before the shutdown ends. At first it suffices that it is expected to end in
// time, because callers still come. Those who come later get a refusal unless the time limit of the request ends before.
func (s *shutdown) mayAccept(p *fleet.Profile, timeLimit time.Duration) bool {
	if !s.hasBegun() {
		return true
	}
	now := s.now()
	left := time.Duration(s.endsAt.Load()) - now
	if timeLimit > 0 && timeLimit <= left-shutdownAnswerTime {
		return true
	}
	isEarly := now-time.Duration(s.startedAt.Load()) <= shutdownAcceptTime
	return isEarly && left >= p.Objective+timeAfterObjective(p.Kind)
}

func timeAfterObjective(kind fleet.Kind) time.Duration {
	if kind == fleet.Streaming {
		return streamTime
	}
	return responseTime
}

// watch returns a context that also ends shortly before the shutdown does. The caller must call stop.
func (s *shutdown) watch(ctx context.Context) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	stopWatch := context.AfterFunc(s.ending, func() { cancel(errShutdownEnds) })
	return watched, func() {
		stopWatch()
		cancel(nil)
	}
}
