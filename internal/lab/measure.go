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

// Variant is a routing policy to measure.
type Variant struct {
	Name string
	// Settings are added to the gateways' settings.
	Settings map[string]any
}

// SystemVariant is the name of the variant with default settings; all other variants are baselines.
const SystemVariant = "system"

// Variants returns the system and the baselines. The baselines route without credits and length classes.
func Variants() []Variant {
	return []Variant{
		{Name: SystemVariant},
		{Name: "least_requests", Settings: map[string]any{"policy": "least_requests", "uncontrolled": true}},
		{Name: "random_two", Settings: map[string]any{"policy": "random_two", "uncontrolled": true}},
	}
}

// Comparison configures "acacia-lab measure", which compares the variants.
type Comparison struct {
	// Deployment is the name of the deployment in the results.
	Deployment string
	Seed       uint64
	Runs       int
	// Folder is the folder for the logs and a JSON file for each run of each variant.
	Folder string
	// Load is the fraction of the prefill capacity that the mixed load uses, DomainLoad the fraction that the load uses
	// while a failure domain leaves and returns.
	Load       float64
	DomainLoad float64
	// PhaseTime is the duration of each mixed load, DomainTime the duration of the load while a failure domain leaves and
	// returns.
	PhaseTime  time.Duration
	DomainTime time.Duration
	// Budget is the time budget of each request.
	Budget time.Duration
	// Parallel runs all variants at the same time, which exposes them to the same load of the machine.
	Parallel bool
	// Note labels the results, for example as a trial.
	Note string
}

// Run is the result of one run of a variant.
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
	// WithLong and WithoutLong are the results of the same load with and without its prompts over 100 k tokens.
	WithLong    *loadgen.Result `json:"with_long"`
	WithoutLong *loadgen.Result `json:"without_long"`
	// ShortWithLong and ShortWithoutLong are the times to the first token of all prompts up to 8 k tokens.
	ShortWithLong    loadgen.Latency `json:"short_with_long"`
	ShortWithoutLong loadgen.Latency `json:"short_without_long"`
	// ColdCrashes counts the crashes of overloaded cold engines during the two mixed loads. CPUShare is the busy fraction of
	// the machine's CPU time during these loads.
	ColdCrashes int           `json:"falls"`
	CPUShare    float64       `json:"cpu_share"`
	Domain      *DomainResult `json:"domain"`
}

// maxShortTokens is the length of the longest prompts that are considered short.
const maxShortTokens = 8000

// Measure runs all variants and writes the results.
func (m *Comparison) Measure(ctx context.Context, load func() (*Deployment, error), w io.Writer) error {
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

func (m *Comparison) measureVariant(ctx context.Context, d *Deployment, v Variant, progress func(string)) error {
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
			"%d crashes, sent late %d, CPU %.0f%%", v.Name, i+1, run.ShortWithLong.P95, run.ShortWithoutLong.P95, run.Domain.ShareMS,
			run.ColdCrashes+run.Domain.ColdCrashes, run.WithLong.SentLate+run.WithoutLong.SentLate+run.Domain.Load.SentLate,
			100*run.CPUShare))
	}
	return nil
}

func (m *Comparison) measureOnce(ctx context.Context, f *Fleet, v Variant, i int) (*Run, error) {
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
	cpu := readMachineCPU()
	load := m.mixedLoad(f, run.Seed, m.Load, m.PhaseTime)
	load.WithoutLong = true
	if run.WithoutLong, err = loadgen.Run(ctx, load); err != nil {
		return nil, err
	}
	load.WithoutLong = false
	if run.WithLong, err = loadgen.Run(ctx, load); err != nil {
		return nil, err
	}
	after, err := f.sumStats(ctx, engines)
	if err != nil {
		return nil, err
	}
	run.ColdCrashes, run.CPUShare = after.ColdCrashes-before.ColdCrashes, readMachineCPU().busyFractionSince(cpu)
	short := shortClasses(load.Classes)
	run.ShortWithLong = run.WithLong.Combined(loadgen.MetricFirstToken, short)
	run.ShortWithoutLong = run.WithoutLong.Combined(loadgen.MetricFirstToken, short)
	run.Domain, err = f.measureDomain(ctx, m.mixedLoad(f, run.Seed, m.DomainLoad, m.DomainTime))
	return run, err
}

func shortClasses(classes []loadgen.Class) []string {
	var names []string
	for _, class := range classes {
		if class.Tokens <= maxShortTokens {
			names = append(names, class.Name)
		}
	}
	return names
}

// longShare is the fraction of the prompts that are longer than 100 k tokens: one in fifty.
const longShare = 0.02

// mixedLoad returns a load that uses the given fraction of the fleet's prefill capacity.
func (m *Comparison) mixedLoad(f *Fleet, seed uint64, fraction float64, duration time.Duration) loadgen.Options {
	load := f.LoadOptions(loadgen.DefaultClasses(longShare))
	service := f.Service(config.KindModel)
	capacity := service.PrefillRate * float64(len(f.Endpoints(service.Name)))
	load.Rate = fraction * capacity / meanTokens(load.Classes)
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

func (m *Comparison) write(run *Run) error {
	data, err := json.MarshalIndent(run, "", " ")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%s-%d.json", run.Deployment, run.Variant, run.Run)
	return os.WriteFile(filepath.Join(m.Folder, name), append(data, '\n'), 0o644)
}
