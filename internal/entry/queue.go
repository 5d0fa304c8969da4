package entry

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/scheduler"
)

// observeWait logs and counts that the request has begun to wait, at a scheduler or, if that is empty, at this instance.
func (x *exchange) observeWait(scheduler string) {
	if x.waiting.logged {
		return
	}
	x.waiting.logged = true
	x.handler.options.Metrics.Waits()
	now := time.Now()
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("profile", x.profile.Name).
		Str("team", x.team.Name).
		Int("rank", x.rank()).
		Int64("prompt_tokens", x.call.PromptTokens).
		Dur("objective_ms", x.objectiveLeft(now)).
		Dur("waited_ms", now.Sub(x.received)).
		Str("scheduler", scheduler).
		Msg("request_waits")
}

// queueFields adds what concerns queues to a line about a placement, if the request may wait.
func (x *exchange) queueFields(line *zerolog.Event) *zerolog.Event {
	if !x.mayWait() {
		return line
	}
	line = line.Int("rank", x.rank())
	if x.waiting.displaced != "" {
		line = line.Str("displaced", x.waiting.displaced)
	}
	return line
}

// observeEvent measures the time since the previous event of the stream.
func (x *exchange) observeEvent(now time.Time) {
	if !x.lastEventAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// updateQueueMetrics updates the gauges of the queues of this instance: of the shards for which it is the scheduler, and its own.
func (p *Process) updateQueueMetrics() {
	waiting := p.localScheduler.Waiting()
	for shard := range p.gaugedShards {
		if _, found := waiting[shard]; !found {
			waiting[shard] = 0
		}
	}
	for shard, count := range waiting {
		p.gaugedShards[shard] = true
		p.metrics.SetGauge(fmt.Sprintf("waiting_requests{service=%q,shard=\"%d\"}", p.serviceName(shard.Service), shard.Index), int64(count))
	}
	p.metrics.SetGauge("waiting_requests_local", int64(p.handler.localQueue.Waiting()))
	all := []*scheduler.QueueStats{p.localScheduler.Stats(), p.handler.localQueue.Stats()}
	for name, value := range map[string]func(*scheduler.QueueStats) int64{
		"placed_after_waiting":  func(s *scheduler.QueueStats) int64 { return s.PlacedAfterWaiting.Load() },
		"waiting_displaced":     func(s *scheduler.QueueStats) int64 { return s.Displaced.Load() },
		"waiting_infeasible":    func(s *scheduler.QueueStats) int64 { return s.Infeasible.Load() },
		"waiting_refused":       func(s *scheduler.QueueStats) int64 { return s.Refused.Load() },
		"waiting_renewals_lost": func(s *scheduler.QueueStats) int64 { return s.NotRenewed.Load() },
	} {
		var sum int64
		for _, stats := range all {
			sum += value(stats)
		}
		p.metrics.SetGauge(name, sum)
	}
}

// hasQueue reports whether requests for a service may wait.
func (p *Process) hasQueue(service uint32) bool {
	catalog := p.options.State.Snapshot().Catalog
	if catalog == nil {
		return false
	}
	s := catalog.ServiceByKey(service)
	return s != nil && s.Engine != nil && p.options.Settings.Scheduling.Queue.Enabled(catalog, s.Name)
}

// serviceName returns the name of a service, or its key if the catalog no longer has it.
func (p *Process) serviceName(key uint32) string {
	if catalog := p.options.State.Snapshot().Catalog; catalog != nil {
		if s := catalog.ServiceByKey(key); s != nil {
			return s.Name
		}
	}
	return fmt.Sprintf("%08x", key)
}
