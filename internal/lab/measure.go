package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/loadgen"
)

// Variant is a way of routing that is measured.
type Variant struct {
	Name string
	// Settings are those of the gateways.
	Settings map[string]any
}

// SystemVariant is the name of the system with its defaults; all others are baselines.
const SystemVariant = "system"

// Variants returns the system and the baselines, which know no credits and no length classes.
func Variants() []Variant {
	return []Variant{
		{Name: SystemVariant},
		{Name: "least_requests", Settings: map[string]any{"policy": "least_requests", "uncontrolled": true}},
		{Name: "random_two", Settings: map[string]any{"policy": "random_two", "uncontrolled": true}},
	}
}

// Measurement holds the settings of "acacia-lab measure".
type Measurement struct {
	// Deployment is the name for the results.
	Deployment string
	Seed       uint64
	Runs       int
	// Folder receives one small JSON file for each run of each variant, and the logs.
	Folder string
	// Load is the share of the prefill capacity that the mixed load uses, DomainLoad that while a domain is out.
	Load       float64
	DomainLoad float64
	// PhaseTime is the time of each mixed load, DomainTime that of the load while a domain leaves and returns.
	PhaseTime  time.Duration
	DomainTime time.Duration
	// Budget is the time budget of each request.
	Budget time.Duration
	// Parallel runs all variants at once, under the same conditions of the machine.
	Parallel bool
	// Note labels the results, for example as a trial.
	Note string
}

// Run is the result of one run of one variant.
type Run struct {
	Deployment string `json:"deployment"`
	Variant    string `json:"variant"`
	Run        int    `json:"run"`
	Seed       uint64 `json:"seed"`
	Date       string `json:"date"`
	Commit     string `json:"commit"`
	Cores      int    `json:"cores"`
	Parallel   bool   `json:"parallel"`
	Note       string `json:"note,omitempty"`
	// With and Without are the same load with and without its prompts over 100 k tokens.
	With    *loadgen.Result `json:"with_long"`
	Without *loadgen.Result `json:"without_long"`
	// ShortWith and ShortWithout are the times to the first token of all prompts up to 8 k tokens.
	ShortWith    loadgen.Latency `json:"short_with_long"`
	ShortWithout loadgen.Latency `json:"short_without_long"`
	// Falls counts endpoints that fell over in the two mixed loads; CPUShare is the busy share of the machine in them.
	Falls    int           `json:"falls"`
	CPUShare float64       `json:"cpu_share"`
	Domain   *DomainResult `json:"domain"`
}

// shortClassTokens is the longest short prompt.
const shortClassTokens = 8000

// Measure runs all variants and writes their results.
func (m *Measurement) Measure(ctx context.Context, load func() (*Deployment, error), w io.Writer) error {
	if err := os.MkdirAll(m.Folder, 0o755); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wait sync.WaitGroup
	var output sync.Mutex
	for _, variant := range Variants() {
		d, err := load()
		if err != nil {
			cancel(err)
			break
		}
		run := func() {
			err := m.measureVariant(ctx, d, variant, func(line string) {
				output.Lock()
				defer output.Unlock()
				fmt.Fprintln(w, line)
			})
			if err != nil {
				cancel(fmt.Errorf("%s: %w", variant.Name, err))
			}
		}
		if m.Parallel {
			wait.Go(run)
			continue
		}
		run()
	}
	wait.Wait()
	return context.Cause(ctx)
}

func (m *Measurement) measureVariant(ctx context.Context, d *Deployment, v Variant, progress func(string)) error {
	f, err := Start(ctx, d, Options{
		Folder:          filepath.Join(m.Folder, "logs", v.Name),
		EngineFlags:     EngineFlags(d.Service(config.KindModel)),
		GatewaySettings: maps.Clone(v.Settings),
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	for i := range m.Runs {
		run, err := m.measureOnce(ctx, f, v, i)
		if err != nil {
			return err
		}
		if err := m.write(run); err != nil {
			return err
		}
		progress(fmt.Sprintf("%s run %d: short p95 %.1f ms with and %.1f ms without long prompts, domain's share after %.0f ms, "+
			"%d falls, sent late %d, CPU %.0f%%", v.Name, i+1, run.ShortWith.P95, run.ShortWithout.P95, run.Domain.ShareMS,
			run.Falls+run.Domain.Falls, run.With.SentLate+run.Without.SentLate+run.Domain.Load.SentLate, 100*run.CPUShare))
	}
	return nil
}

func (m *Measurement) measureOnce(ctx context.Context, f *Fleet, v Variant, i int) (*Run, error) {
	run := &Run{
		Deployment: m.Deployment, Variant: v.Name, Run: i + 1, Seed: m.Seed + uint64(i), Commit: Commit(),
		Date: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), Parallel: m.Parallel, Note: m.Note,
	}
	engines := f.Endpoints(f.Service(config.KindModel).Name)
	if err := f.WarmUp(ctx, run.Seed); err != nil {
		return nil, err
	}
	before, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	cpu := machineCPU()
	load := m.mixedLoad(f, run.Seed, m.Load, m.PhaseTime)
	load.WithoutLong = true
	if run.Without, err = loadgen.Run(ctx, load); err != nil {
		return nil, err
	}
	load.WithoutLong = false
	if run.With, err = loadgen.Run(ctx, load); err != nil {
		return nil, err
	}
	after, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	run.Falls, run.CPUShare = after.Falls-before.Falls, machineCPU().shareSince(cpu)
	short := shortClasses(load.Classes)
	run.ShortWith = run.With.Combined(loadgen.MetricFirstToken, short)
	run.ShortWithout = run.Without.Combined(loadgen.MetricFirstToken, short)
	run.Domain, err = f.measureDomain(ctx, m.mixedLoad(f, run.Seed, m.DomainLoad, m.DomainTime))
	return run, err
}

func shortClasses(classes []loadgen.Class) []string {
	var names []string
	for _, class := range classes {
		if class.Tokens <= shortClassTokens {
			names = append(names, class.Name)
		}
	}
	return names
}

// longShare makes one prompt in fifty longer than 100 k tokens.
const longShare = 0.02

// mixedLoad returns a load that uses the given share of the fleet's prefill capacity.
func (m *Measurement) mixedLoad(f *Fleet, seed uint64, share float64, duration time.Duration) loadgen.Options {
	load := f.Load(loadgen.DefaultClasses(longShare))
	service := f.Service(config.KindModel)
	capacity := service.PrefillRate * float64(len(f.Endpoints(service.Name)))
	load.Rate = share * capacity / meanTokens(load.Classes)
	load.Requests = int(load.Rate * duration.Seconds())
	load.Seed, load.Budget, load.MaxRetries = seed, m.Budget, -1
	return load
}

func meanTokens(classes []loadgen.Class) float64 {
	sum, shares := 0.0, 0.0
	for _, class := range classes {
		sum += class.Share * float64(class.Tokens)
		shares += class.Share
	}
	return sum / shares
}

func (m *Measurement) write(run *Run) error {
	data, err := json.MarshalIndent(run, "", " ")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%s-%d.json", run.Deployment, run.Variant, run.Run)
	return os.WriteFile(filepath.Join(m.Folder, name), append(data, '\n'), 0o644)
}
