package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/loadgen"
)

// Overhead measures what the gateway adds to a direct call of an engine. The engines take no time for prefill and grant
// their warm limit at once, so that only the gateway's own work shows.
type Overhead struct {
	Seed uint64
	// Folder receives the result and the logs.
	Folder string
	// Rate is the number of requests per second through one gateway, PhaseTime the time of each load.
	Rate      float64
	PhaseTime time.Duration
	Runs      int
	Note      string
}

// OverheadResult is one run.
type OverheadResult struct {
	Seed   uint64  `json:"seed"`
	Date   string  `json:"date"`
	Commit string  `json:"commit"`
	Cores  int     `json:"cores"`
	Note   string  `json:"note,omitempty"`
	Rate   float64 `json:"rate_per_second"`
	// Direct and Through are the same load sent to the engines and through the gateway, by metric.
	Direct  map[string]loadgen.Latency `json:"direct"`
	Through map[string]loadgen.Latency `json:"through"`
	// CPUPerRequestUS is the gateway's CPU time for a request without its streamed tokens, CPUPerThousandTokensUS that
	// for a thousand streamed tokens, each of which is an event of its own.
	CPUPerRequestUS        float64 `json:"cpu_per_request_us"`
	CPUPerThousandTokensUS float64 `json:"cpu_per_thousand_tokens_us"`
	// BytesPerStream is the growth of the gateway's resident memory for an open stream, BytesPerPrompt that for one with
	// a prompt of PromptBytes.
	BytesPerStream float64 `json:"bytes_per_stream"`
	BytesPerPrompt float64 `json:"bytes_per_prompt"`
	PromptBytes    int     `json:"prompt_bytes"`
	SentLate       int     `json:"sent_late"`
	NotAnswered    int     `json:"not_answered"`
	// Unanswered lists how the requests ended that got no answer.
	Unanswered []loadgen.OutcomeCount `json:"unanswered,omitempty"`
	CPUShare   float64                `json:"cpu_share"`
}

const (
	overheadInstances = 3
	overheadEngines   = 9
	overheadStreams   = 1000
	overheadTokens    = 8_000_000
	// overheadPrefillRate stands for engines that take no time.
	overheadPrefillRate   = 1_000_000_000
	overheadTokenInterval = 10 * time.Millisecond
	overheadPromptTokens  = 250
	// fewTokens and manyTokens are the output lengths whose difference tells the cost of tokens from that of requests.
	fewTokens  = 2
	manyTokens = 66
	// heldTokens keeps a stream open for ten seconds. heldStreams and heldPrompts are the streams then open;
	// a gateway buffers at most 64 MiB of prompts.
	heldTokens       = 1000
	heldStreams      = 500
	heldPrompts      = 100
	heldPromptTokens = 100_000
	heldRate         = 200

	overheadFile = "overhead-%d.json"
	// GoalAddedMS bounds the p95 that the gateway adds to the time to the first token.
	GoalAddedMS = 2
)

// Measure runs all loads and writes the results.
func (o *Overhead) Measure(ctx context.Context, w io.Writer) error {
	limit := config.Limit{Streams: overheadStreams, Tokens: overheadTokens}
	d, err := Generate(Size{
		Instances: overheadInstances, Engines: overheadEngines,
		Engine: config.Service{Warm: limit, Cold: limit, PrefillRate: overheadPrefillRate},
	})
	if err != nil {
		return err
	}
	f, err := Start(ctx, d, Options{
		Folder: filepath.Join(o.Folder, "logs"),
		EngineFlags: []string{
			"--prefill-rate", "0", "--token-interval", overheadTokenInterval.String(),
			"--memory-tokens", fmt.Sprint(overheadTokens),
		},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	direct, err := f.launchDirect()
	if err != nil {
		return err
	}
	for run := range o.Runs {
		result, err := o.measureOnce(ctx, f, o.Seed+uint64(run), direct)
		if err != nil {
			return err
		}
		data, err := json.MarshalIndent(result, "", " ")
		if err != nil {
			return err
		}
		path := filepath.Join(o.Folder, fmt.Sprintf(overheadFile, run+1))
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	return WriteOverhead(o.Folder, w)
}

// launchDirect starts as many engines outside the configuration and returns their addresses. The owner of an engine
// cancels streams that no gateway holds, so that direct calls need engines without owners.
func (f *Fleet) launchDirect() ([]string, error) {
	port, err := freePorts(overheadEngines)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, overheadEngines)
	for i := range addresses {
		addresses[i] = loopback(port + i)
	}
	flags := append([]string{"--listen", addresses[0], "--count", strconv.Itoa(overheadEngines)}, f.options.EngineFlags...)
	return addresses, f.launch("standin-direct", "standin-engine", flags...)
}

func (o *Overhead) measureOnce(
	ctx context.Context, f *Fleet, seed uint64, engines []string,
) (*OverheadResult, error) {
	result := &OverheadResult{
		Seed: seed, Date: time.Now().UTC().Format(time.RFC3339), Commit: Commit(), Cores: runtime.NumCPU(),
		Note: o.Note, Rate: o.Rate, PromptBytes: 4 * heldPromptTokens,
	}
	gateway := f.Gateways()[:1]
	cpu := machineCPU()
	few := o.load(f, seed, fewTokens)
	// The first load opens connections and fills caches.
	if _, _, err := o.send(ctx, f, result, few, gateway); err != nil {
		return nil, err
	}
	direct, _, err := o.send(ctx, f, result, few, engines)
	if err != nil {
		return nil, err
	}
	through, fewCPU, err := o.send(ctx, f, result, few, gateway)
	if err != nil {
		return nil, err
	}
	many := o.load(f, seed, manyTokens)
	many.Rate /= 5
	many.Requests /= 5
	_, manyCPU, err := o.send(ctx, f, result, many, gateway)
	if err != nil {
		return nil, err
	}
	result.CPUShare = machineCPU().shareSince(cpu)
	result.Direct, result.Through = byMetric(direct), byMetric(through)
	perToken := (manyCPU/float64(many.Requests) - fewCPU/float64(few.Requests)) / (manyTokens - fewTokens)
	result.CPUPerThousandTokensUS = 1000 * perToken
	result.CPUPerRequestUS = fewCPU/float64(few.Requests) - fewTokens*perToken
	return result, o.measureMemory(ctx, f, result, gateway)
}

func byMetric(r *loadgen.Result) map[string]loadgen.Latency {
	latencies := make(map[string]loadgen.Latency)
	for metric, classes := range r.Latencies {
		for _, latency := range classes {
			latencies[metric] = latency
		}
	}
	return latencies
}

func (o *Overhead) load(f *Fleet, seed uint64, tokens int) loadgen.Options {
	load := f.Load([]loadgen.Class{{Name: "prompt", Tokens: overheadPromptTokens, Share: 1}})
	load.Rate, load.Seed, load.MaxRetries = o.Rate, seed, -1
	load.Requests = int(o.Rate * o.PhaseTime.Seconds())
	load.MinOutputTokens, load.MaxOutputTokens = tokens, tokens
	return load
}

// send returns the result of a load and the CPU time in microseconds that the first gateway used for it.
func (o *Overhead) send(
	ctx context.Context, f *Fleet, result *OverheadResult, load loadgen.Options, targets []string,
) (*loadgen.Result, float64, error) {
	load.Gateways = targets
	pid := f.PID(f.List.Instances[0].Name + "-gateway")
	before, err := usageOf(pid)
	if err != nil {
		return nil, 0, err
	}
	loaded, err := loadgen.Run(ctx, load)
	if err != nil {
		return nil, 0, err
	}
	after, err := usageOf(pid)
	if err != nil {
		return nil, 0, err
	}
	result.SentLate += loaded.SentLate
	result.NotAnswered += loaded.Started - answered(loaded)
	for _, o := range loaded.Outcomes {
		if o.Outcome != loadgen.OutcomeOK {
			result.Unanswered = append(result.Unanswered, o)
		}
	}
	return loaded, float64((after.cpu - before.cpu).Microseconds()), loaded.Err()
}

func answered(r *loadgen.Result) int {
	n := 0
	for _, o := range r.Outcomes {
		if o.Outcome == loadgen.OutcomeOK {
			n += o.Count
		}
	}
	return n
}

func (o *Overhead) measureMemory(ctx context.Context, f *Fleet, result *OverheadResult, gateway []string) error {
	small := o.load(f, result.Seed, heldTokens)
	small.Requests, small.Rate = heldStreams, heldRate
	growth, err := o.peakGrowth(ctx, f, result, small, gateway)
	if err != nil {
		return err
	}
	result.BytesPerStream = growth / heldStreams
	large := small
	large.Classes = []loadgen.Class{{Name: "prompt", Tokens: heldPromptTokens, Share: 1}}
	large.Requests = heldPrompts
	growth, err = o.peakGrowth(ctx, f, result, large, gateway)
	if err != nil {
		return err
	}
	result.BytesPerPrompt = growth / heldPrompts
	return nil
}

// peakGrowth returns the growth of the first gateway's resident memory to its peak while a load is open. A fresh gateway
// is used, because memory that the runtime keeps from earlier loads would hide the growth.
func (o *Overhead) peakGrowth(
	ctx context.Context, f *Fleet, result *OverheadResult, load loadgen.Options, gateway []string,
) (float64, error) {
	name := f.List.Instances[0].Name + "-gateway"
	if err := f.Replace(ctx, name); err != nil {
		return 0, err
	}
	before, err := usageOf(f.PID(name))
	if err != nil {
		return 0, err
	}
	done := make(chan error, 1)
	go func() {
		_, _, err := o.send(ctx, f, result, load, gateway)
		done <- err
	}()
	peak := before.resident
	for {
		select {
		case err := <-done:
			return float64(peak - before.resident), err
		case <-time.After(sampleInterval):
		}
		usage, err := usageOf(f.PID(name))
		if err != nil {
			return 0, err
		}
		peak = max(peak, usage.resident)
	}
}

// WriteOverhead prints the results in a folder.
func WriteOverhead(folder string, w io.Writer) error {
	paths, err := filepath.Glob(filepath.Join(folder, "overhead-*.json"))
	if err != nil {
		return err
	}
	var results []*OverheadResult
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var result OverheadResult
		if err := json.Unmarshal(data, &result); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, &result)
	}
	if len(results) == 0 {
		return nil
	}
	return writeOverheadTable(w, results)
}

func writeOverheadTable(w io.Writer, results []*OverheadResult) error {
	first := results[0]
	fmt.Fprintf(w, "\ncost of the gateway at %g requests/s, seed %d, commit %s, %s, %d cores, %s\nmedian of the runs (range)\n\n",
		first.Rate, first.Seed, first.Commit, first.Date, first.Cores, first.Note)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, goal string, digits int, of func(*OverheadResult) float64) {
		var figures []float64
		for _, result := range results {
			figures = append(figures, of(result))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", name, goal, NewSpread(figures).format(digits))
	}
	fmt.Fprintln(t, "MEASURE\tGOAL\tRESULT")
	percentiles := map[string]func(loadgen.Latency) float64{
		"p50": func(l loadgen.Latency) float64 { return l.P50 },
		"p95": func(l loadgen.Latency) float64 { return l.P95 },
		"p99": func(l loadgen.Latency) float64 { return l.P99 },
	}
	for _, metric := range []string{loadgen.MetricFirstToken, loadgen.MetricBetweenToken} {
		for _, name := range []string{"p50", "p95", "p99"} {
			of, goal := percentiles[name], ""
			if metric == loadgen.MetricFirstToken && name == "p95" {
				goal = fmt.Sprintf("below %d", GoalAddedMS)
			}
			line(metric+" "+name+" direct, ms", "", 2, func(r *OverheadResult) float64 { return of(r.Direct[metric]) })
			line(metric+" "+name+" added, ms", goal, 2, func(r *OverheadResult) float64 {
				return of(r.Through[metric]) - of(r.Direct[metric])
			})
		}
	}
	line("CPU per request, us", "", 0, func(r *OverheadResult) float64 { return r.CPUPerRequestUS })
	line("CPU per 1000 streamed tokens, us", "", 0, func(r *OverheadResult) float64 { return r.CPUPerThousandTokensUS })
	line("memory per open stream, KB", "", 1, func(r *OverheadResult) float64 { return r.BytesPerStream / 1000 })
	line(fmt.Sprintf("memory per open stream with a prompt of %d KB, KB", first.PromptBytes/1000), "", 0,
		func(r *OverheadResult) float64 { return r.BytesPerPrompt / 1000 })
	line("sent late by the tool", "few", 0, func(r *OverheadResult) float64 { return float64(r.SentLate) })
	line("not answered", "0", 0, func(r *OverheadResult) float64 { return float64(r.NotAnswered) })
	line("CPU of the machine, %", "below 60", 0, func(r *OverheadResult) float64 { return 100 * r.CPUShare })
	return t.Flush()
}
