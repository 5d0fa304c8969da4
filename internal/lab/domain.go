package lab

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/loadgen"
	"github.com/acacialift/acacialift/internal/standin"
)

// DomainResult is what happened while a failure domain left and returned under load.
type DomainResult struct {
	Domain string `json:"domain"`
	// Load is the whole phase as callers saw it.
	Load *loadgen.Result `json:"load"`
	// LastStartMS is the time from the publication until the last new work in the domain; 0 if there was none after it.
	LastStartMS float64 `json:"last_start_ms"`
	// ShareMS is the time from the return until the domain carried its share of the starts; -1 if it did not.
	ShareMS float64 `json:"share_ms"`
	// EndShare is the domain's share of the starts in the last seconds, WantedShare its share of the endpoints.
	EndShare    float64 `json:"end_share"`
	WantedShare float64 `json:"wanted_share"`
	// Falls counts the endpoints that fell over because they got more than they bear in cold start.
	Falls int `json:"falls"`
	// CPUShare is the busy share of the whole machine.
	CPUShare float64 `json:"cpu_share"`
}

const (
	domainOutAfter = 4 * time.Second
	domainOutFor   = 8 * time.Second
	sampleInterval = 250 * time.Millisecond
	// shareWindow is the time over which the share of starts is taken, shareTolerance the part of the domain's share of
	// the endpoints that counts as its share of the work.
	shareWindow    = 3 * time.Second
	shareTolerance = 0.9
	// drainLimit bounds the wait for the end of the domain's streams before its engines turn cold.
	drainLimit = 8 * time.Second
)

// startSample is the number of starts at a time after the return.
type startSample struct {
	at            time.Duration
	inDomain, all int
}

// timeToShare returns the time after which the domain had the given share of the starts in the window before, or a
// negative value.
func timeToShare(samples []startSample, window time.Duration, share float64) time.Duration {
	first := 0
	for _, sample := range samples {
		for samples[first+1].at <= sample.at-window {
			first++
		}
		if sample.at < window {
			continue
		}
		if shareBetween(samples[first], sample) >= share {
			return sample.at
		}
	}
	return -1
}

func shareBetween(a, b startSample) float64 {
	if b.all == a.all {
		return 0
	}
	return float64(b.inDomain-a.inDomain) / float64(b.all-a.all)
}

// measureDomain takes the first failure domain out of service and back under the given load.
func (f *Fleet) measureDomain(ctx context.Context, load loadgen.Options) (*DomainResult, error) {
	name := f.Document.Domains[0].Name
	engines := f.Endpoints(f.Service(config.KindModel).Name)
	var inside []config.Endpoint
	for _, engine := range engines {
		if engine.Domain == name {
			inside = append(inside, engine)
		}
	}
	result := &DomainResult{Domain: name, WantedShare: float64(len(inside)) / float64(len(engines))}
	before, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	cpu := machineCPU()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loaded := make(chan error, 1)
	go func() {
		var err error
		result.Load, err = loadgen.Run(ctx, load)
		loaded <- err
	}()
	if err := f.leave(ctx, result, inside); err != nil {
		return nil, err
	}
	samples, err := f.returnDomain(ctx, result, inside, engines, loaded)
	if err != nil {
		return nil, err
	}
	after, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	result.Falls = after.Falls - before.Falls
	result.CPUShare = machineCPU().shareSince(cpu)
	result.evaluate(samples)
	return result, nil
}

func (r *DomainResult) evaluate(samples []startSample) {
	r.ShareMS = -1
	if at := timeToShare(samples, shareWindow, shareTolerance*r.WantedShare); at >= 0 {
		r.ShareMS = float64(at) / float64(time.Millisecond)
	}
	last := len(samples) - 1
	begin := max(0, last-int(shareWindow/sampleInterval))
	if last > 0 {
		r.EndShare = shareBetween(samples[begin], samples[last])
	}
}

func (f *Fleet) setOutOfService(ctx context.Context, name string, out bool) error {
	return f.Publish(ctx, func(d *config.Document) {
		for i := range d.Domains {
			if d.Domains[i].Name == name {
				d.Domains[i].OutOfService = out
			}
		}
	})
}

// leave takes the domain out of service, waits, and turns its engines cold once their streams have ended.
func (f *Fleet) leave(ctx context.Context, result *DomainResult, inside []config.Endpoint) error {
	if err := pause(ctx, domainOutAfter); err != nil {
		return err
	}
	published := time.Now()
	if err := f.setOutOfService(ctx, result.Domain, true); err != nil {
		return err
	}
	if err := pause(ctx, domainOutFor); err != nil {
		return err
	}
	var stats standin.EngineStats
	for wait := time.Duration(0); wait <= drainLimit; wait += sampleInterval {
		var err error
		if stats, err = f.sumStats(ctx, inside); err != nil {
			return err
		}
		if stats.Streams == 0 {
			break
		}
		if err := pause(ctx, sampleInterval); err != nil {
			return err
		}
	}
	result.LastStartMS = float64(max(stats.LastStartMS-published.UnixMilli(), 0))
	for _, engine := range inside {
		if err := f.ControlEngine(ctx, engine, standin.Control{Cold: true}); err != nil {
			return err
		}
	}
	return nil
}

// returnDomain brings the domain back and samples the starts until the load has ended.
func (f *Fleet) returnDomain(
	ctx context.Context, result *DomainResult, inside, engines []config.Endpoint, loaded <-chan error,
) ([]startSample, error) {
	returned := time.Now()
	if err := f.setOutOfService(ctx, result.Domain, false); err != nil {
		return nil, err
	}
	var samples []startSample
	for {
		domain, err := f.sumStats(ctx, inside)
		if err != nil {
			return nil, err
		}
		all, err := f.sumStats(ctx, engines)
		if err != nil {
			return nil, err
		}
		samples = append(samples, startSample{
			at: time.Since(returned), inDomain: domain.Started + domain.Segments, all: all.Started + all.Segments,
		})
		select {
		case err := <-loaded:
			return samples, err
		case <-time.After(sampleInterval):
		}
	}
}

// sumStats adds the counts of engines up.
func (f *Fleet) sumStats(ctx context.Context, engines []config.Endpoint) (standin.EngineStats, error) {
	var sum standin.EngineStats
	for _, engine := range engines {
		stats, err := f.EngineCounts(ctx, engine)
		if err != nil {
			return sum, err
		}
		sum.Started += stats.Started
		sum.Segments += stats.Segments
		sum.Falls += stats.Falls
		sum.Streams += stats.Streams
		sum.LastStartMS = max(sum.LastStartMS, stats.LastStartMS)
	}
	return sum, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
