package lab

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/loadgen"
	"github.com/acacialift/acacialift/internal/standin"
)

// DomainResult is the result of taking a failure domain out of service and back into service under load.
type DomainResult struct {
	Domain string `json:"domain"`
	// Load is the result of the load generator for the whole phase.
	Load *loadgen.Result `json:"load"`
	// LastStartMS is the time from the publication of the change until the last start of a request or segment in the domain.
	// It is 0 if nothing was started after the publication.
	LastStartMS float64 `json:"last_start_ms"`
	// ShareMS is the time from the return to service until the domain's fraction of the starts reached fractionTolerance of
	// WantedShare; -1 if it never did.
	ShareMS float64 `json:"share_ms"`
	// EndShare is the domain's fraction of the starts in the last fractionWindow of the load, WantedShare its fraction of
	// the endpoints.
	EndShare    float64 `json:"end_share"`
	WantedShare float64 `json:"wanted_share"`
	// ColdCrashes counts the crashes of engines that got more than their cold limits during a cold start.
	ColdCrashes int `json:"falls"`
	// CPUShare is the busy fraction of the machine's CPU time.
	CPUShare float64 `json:"cpu_share"`
}

const (
	// domainOutAfter is the time under load before the domain is taken out of service, domainOutFor the time out of service.
	domainOutAfter = 4 * time.Second
	domainOutFor   = 8 * time.Second
	sampleInterval = 250 * time.Millisecond
	// fractionWindow is the time over which the domain's fraction of the starts is computed. At fractionTolerance of
	// WantedShare, the domain is considered to have its full fraction again.
	fractionWindow    = 3 * time.Second
	fractionTolerance = 0.9
	// drainTimeout bounds the wait for the end of the domain's streams, after which its engines are made cold.
	drainTimeout = 8 * time.Second
)

// startSample holds the number of starts in the domain and in all engines, at a time after the return to service.
type startSample struct {
	at            time.Duration
	inDomain, all int
}

// timeToFraction returns the first time at which the domain had at least the given fraction of the starts in the preceding
// window, or a negative value.
func timeToFraction(samples []startSample, window time.Duration, fraction float64) time.Duration {
	first := 0
	for _, sample := range samples {
		for samples[first+1].at <= sample.at-window {
			first++
		}
		if sample.at < window {
			continue
		}
		if domainFraction(samples[first], sample) >= fraction {
			return sample.at
		}
	}
	return -1
}

// domainFraction returns the domain's fraction of the starts between two samples.
func domainFraction(a, b startSample) float64 {
	if b.all == a.all {
		return 0
	}
	return float64(b.inDomain-a.inDomain) / float64(b.all-a.all)
}

// measureDomain takes the first failure domain out of service and back into service under the given load.
func (f *Fleet) measureDomain(ctx context.Context, load loadgen.Options) (*DomainResult, error) {
	name := f.Document.Domains[0].Name
	engines := f.Endpoints(f.Service(config.KindModel).Name)
	var domainEngines []config.Endpoint
	for _, engine := range engines {
		if engine.Domain == name {
			domainEngines = append(domainEngines, engine)
		}
	}
	result := &DomainResult{Domain: name, WantedShare: float64(len(domainEngines)) / float64(len(engines))}
	before, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	cpu := readMachineCPU()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadDone := make(chan error, 1)
	go func() {
		var err error
		result.Load, err = loadgen.Run(ctx, load)
		loadDone <- err
	}()
	if err := f.takeDomainOut(ctx, result, domainEngines); err != nil {
		return nil, err
	}
	samples, err := f.returnDomain(ctx, result, domainEngines, engines, loadDone)
	if err != nil {
		return nil, err
	}
	after, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	result.ColdCrashes = after.ColdCrashes - before.ColdCrashes
	result.CPUShare = readMachineCPU().busyFractionSince(cpu)
	result.evaluate(samples)
	return result, nil
}

func (r *DomainResult) evaluate(samples []startSample) {
	r.ShareMS = -1
	if at := timeToFraction(samples, fractionWindow, fractionTolerance*r.WantedShare); at >= 0 {
		r.ShareMS = float64(at) / float64(time.Millisecond)
	}
	// Samples are taken until the last response, long after the last start.
	last := len(samples) - 1
	for last > 0 && samples[last-1].all == samples[len(samples)-1].all {
		last--
	}
	begin := max(0, last-int(fractionWindow/sampleInterval))
	if last > 0 {
		r.EndShare = domainFraction(samples[begin], samples[last])
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

// takeDomainOut takes the domain out of service after domainOutAfter, waits for domainOutFor and the end of its streams, and
// makes its engines cold.
func (f *Fleet) takeDomainOut(ctx context.Context, result *DomainResult, domainEngines []config.Endpoint) error {
	if err := sleep(ctx, domainOutAfter); err != nil {
		return err
	}
	published := time.Now()
	if err := f.setOutOfService(ctx, result.Domain, true); err != nil {
		return err
	}
	if err := sleep(ctx, domainOutFor); err != nil {
		return err
	}
	var stats standin.EngineStats
	for wait := time.Duration(0); wait <= drainTimeout; wait += sampleInterval {
		var err error
		if stats, err = f.sumStats(ctx, domainEngines); err != nil {
			return err
		}
		if stats.Streams == 0 {
			break
		}
		if err := sleep(ctx, sampleInterval); err != nil {
			return err
		}
	}
	result.LastStartMS = float64(max(stats.LastStartMS-published.UnixMilli(), 0))
	for _, engine := range domainEngines {
		if err := f.ControlEngine(ctx, engine, standin.Control{Cold: true}); err != nil {
			return err
		}
	}
	return nil
}

// returnDomain puts the domain back into service and samples the starts until the load ends.
func (f *Fleet) returnDomain(
	ctx context.Context, result *DomainResult, domainEngines, engines []config.Endpoint, loadDone <-chan error,
) ([]startSample, error) {
	returned := time.Now()
	if err := f.setOutOfService(ctx, result.Domain, false); err != nil {
		return nil, err
	}
	var samples []startSample
	for {
		domain, err := f.sumStats(ctx, domainEngines)
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
		case err := <-loadDone:
			return samples, err
		case <-time.After(sampleInterval):
		}
	}
}

// sumStats returns the sums of the engines' counts, with the latest LastStartMS.
func (f *Fleet) sumStats(ctx context.Context, engines []config.Endpoint) (standin.EngineStats, error) {
	var sum standin.EngineStats
	for _, engine := range engines {
		stats, err := f.EngineCounts(ctx, engine)
		if err != nil {
			return sum, err
		}
		sum.Started += stats.Started
		sum.Segments += stats.Segments
		sum.ColdCrashes += stats.ColdCrashes
		sum.Streams += stats.Streams
		sum.LastStartMS = max(sum.LastStartMS, stats.LastStartMS)
	}
	return sum, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
