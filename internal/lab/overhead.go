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

// Overhead measures the latency, CPU time and memory that a gateway adds to direct calls of an engine. The engines take no
// time for prefill and have their warm limits from the start; the differences are therefore due to the gateway alone.
type Overhead struct {
	Seed uint64
	// Folder is the folder for the results and the logs.
	Folder string
	// Rate is the number of requests per second through one gateway, PhaseTime the duration of each load.
	Rate      float64
	PhaseTime time.Duration
	Runs      int
	Note      string
}

// OverheadResult is the result of one run of Overhead.
type OverheadResult struct {
	Seed   uint64  `json:"seed"`
	Date   string  `json:"date"`
	Commit string  `json:"commit"`
	Cores  int     `json:"cores"`
	Note   string  `json:"note,omitempty"`
	Rate   float64 `json:"rate_per_second"`
	// Direct and Through hold the latencies of the same load by metric, sent directly to the engines and through the
	// gateway.
	Direct  map[string]loadgen.Latency `json:"direct"`
	Through map[string]loadgen.Latency `json:"through"`
	// CPUPerRequestUS is the gateway's CPU time for a request without its streamed tokens. CPUPerThousandTokensUS is its CPU
	// time for 1000 streamed tokens; each token is a separate event.
	CPUPerRequestUS        float64 `json:"cpu_per_request_us"`
	CPUPerThousandTokensUS float64 `json:"cpu_per_thousand_tokens_us"`
	// BytesPerStream is the growth of the gateway's resident memory per open stream, BytesPerPrompt the growth per open
	// stream with a prompt of PromptBytes.
	BytesPerStream float64 `json:"bytes_per_stream"`
	BytesPerPrompt float64 `json:"bytes_per_prompt"`
	PromptBytes    int     `json:"prompt_bytes"`
	SentLate       int     `json:"sent_late"`
	NotAnswered    int     `json:"not_answered"`
	// Unanswered lists the outcomes of the requests that were not answered.
	Unanswered []loadgen.OutcomeCount `json:"unanswered,omitempty"`
	CPUShare   float64                `json:"cpu_share"`
}

const (
	overheadInstances = 3
	overheadEngines   = 9
	overheadStreams   = 1000
	overheadTokens    = 8_000_000
	// overheadPrefillRate is the configured prefill rate; it is high because the engines take no time for prefill.
	overheadPrefillRate   = 1_000_000_000
	overheadTokenInterval = 10 * time.Millisecond
	overheadPromptTokens  = 250
	// The difference in CPU time between shortOutputTokens and longOutputTokens separates the cost of tokens from the cost
	// of requests.
	shortOutputTokens = 2
	longOutputTokens  = 66
	// openStreamTokens keeps a stream open for ten seconds. openStreams is the number of streams with a short prompt,
	// longPromptStreams the number with a long prompt, which is lower because a gateway buffers at most 64 MiB of prompts.
	openStreamTokens  = 1000
	openStreams       = 500
	longPromptStreams = 100
	longPromptTokens  = 100_000
	openStreamRate    = 200

	overheadFile = "overhead-%d.json"
	// GoalAddedMS is the goal for the time that the gateway adds to the p95 of the time to the first token.
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
	direct, err := f.startDirectEngines()
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

// startDirectEngines starts overheadEngines engines that are not in the configuration, and returns their addresses. Direct
// calls need engines without owners, because the owner of an engine cancels streams that no gateway reports.
func (f *Fleet) startDirectEngines() ([]string, error) {
	port, err := freePorts(overheadEngines)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, overheadEngines)
	for i := range addresses {
		addresses[i] = loopback(port + i)
	}
	flags := append([]string{"--listen", addresses[0], "--count", strconv.Itoa(overheadEngines)}, f.options.EngineFlags...)
	return addresses, f.startProcess("standin-direct", "standin-engine", flags...)
}

func (o *Overhead) measureOnce(
	ctx context.Context, f *Fleet, seed uint64, engines []string,
) (*OverheadResult, error) {
	result := &OverheadResult{
		Seed: seed, Date: time.Now().UTC().Format(time.RFC3339), Commit: Commit(), Cores: runtime.NumCPU(),
		Note: o.Note, Rate: o.Rate, PromptBytes: 4 * longPromptTokens,
	}
	gateway := f.Gateways()[:1]
	cpu := readMachineCPU()
	short := o.load(f, seed, shortOutputTokens)
	// The first load opens connections and warms caches; its latencies are not used.
	if _, _, err := o.runLoad(ctx, f, result, short, gateway); err != nil {
		return nil, err
	}
	direct, _, err := o.runLoad(ctx, f, result, short, engines)
	if err != nil {
		return nil, err
	}
	through, shortCPU, err := o.runLoad(ctx, f, result, short, gateway)
	if err != nil {
		return nil, err
	}
	long := o.load(f, seed, longOutputTokens)
	long.Rate /= 5
	long.Requests /= 5
	_, longCPU, err := o.runLoad(ctx, f, result, long, gateway)
	if err != nil {
		return nil, err
	}
	result.CPUShare = readMachineCPU().busyFractionSince(cpu)
	result.Direct, result.Through = byMetric(direct), byMetric(through)
	perToken := (longCPU/float64(long.Requests) - shortCPU/float64(short.Requests)) / (longOutputTokens - shortOutputTokens)
	result.CPUPerThousandTokensUS = 1000 * perToken
	result.CPUPerRequestUS = shortCPU/float64(short.Requests) - shortOutputTokens*perToken
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
	load := f.LoadOptions([]loadgen.Class{{Name: "prompt", Tokens: overheadPromptTokens, Share: 1}})
	load.Rate, load.Seed, load.MaxRetries = o.Rate, seed, -1
	load.Requests = int(o.Rate * o.PhaseTime.Seconds())
	load.MinOutputTokens, load.MaxOutputTokens = tokens, tokens
	return load
}

// runLoad sends a load to the targets. It returns the result and the CPU time in microseconds that the first gateway used.
func (o *Overhead) runLoad(
	ctx context.Context, f *Fleet, result *OverheadResult, load loadgen.Options, targets []string,
) (*loadgen.Result, float64, error) {
	load.Gateways = targets
	pid := f.PID(f.List.Instances[0].Name + "-gateway")
	before, err := readProcessUsage(pid)
	if err != nil {
		return nil, 0, err
	}
	loaded, err := loadgen.Run(ctx, load)
	if err != nil {
		return nil, 0, err
	}
	after, err := readProcessUsage(pid)
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
	small := o.load(f, result.Seed, openStreamTokens)
	small.Requests, small.Rate = openStreams, openStreamRate
	growth, err := o.peakGrowth(ctx, f, result, small, gateway)
	if err != nil {
		return err
	}
	result.BytesPerStream = growth / openStreams
	large := small
	large.Classes = []loadgen.Class{{Name: "prompt", Tokens: longPromptTokens, Share: 1}}
	large.Requests = longPromptStreams
	growth, err = o.peakGrowth(ctx, f, result, large, gateway)
	if err != nil {
		return err
	}
	result.BytesPerPrompt = growth / longPromptStreams
	return nil
}

// peakGrowth returns the growth of the first gateway's resident memory to its peak during a load. The gateway is restarted
// first, because memory that the runtime retains from earlier loads would hide the growth.
func (o *Overhead) peakGrowth(
	ctx context.Context, f *Fleet, result *OverheadResult, load loadgen.Options, gateway []string,
) (float64, error) {
	name := f.List.Instances[0].Name + "-gateway"
	if err := f.Replace(ctx, name); err != nil {
		return 0, err
	}
	before, err := readProcessUsage(f.PID(name))
	if err != nil {
		return 0, err
	}
	done := make(chan error, 1)
	go func() {
		_, _, err := o.runLoad(ctx, f, result, load, gateway)
		done <- err
	}()
	peak := before.residentBytes
	for {
		select {
		case err := <-done:
			return float64(peak - before.residentBytes), err
		case <-time.After(sampleInterval):
		}
		usage, err := readProcessUsage(f.PID(name))
		if err != nil {
			return 0, err
		}
		peak = max(peak, usage.residentBytes)
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
	line := func(name, goal string, digits int, valueOf func(*OverheadResult) float64) {
		var values []float64
		for _, result := range results {
			values = append(values, valueOf(result))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", name, goal, NewSpread(values).format(digits))
	}
	fmt.Fprintln(t, "MEASURE\tGOAL\tRESULT")
	percentiles := map[string]func(loadgen.Latency) float64{
		"p50": func(l loadgen.Latency) float64 { return l.P50 },
		"p95": func(l loadgen.Latency) float64 { return l.P95 },
		"p99": func(l loadgen.Latency) float64 { return l.P99 },
	}
	for _, metric := range []string{loadgen.MetricFirstToken, loadgen.MetricBetweenToken} {
		for _, name := range []string{"p50", "p95", "p99"} {
			percentile, goal := percentiles[name], ""
			if metric == loadgen.MetricFirstToken && name == "p95" {
				goal = fmt.Sprintf("below %d", GoalAddedMS)
			}
			line(metric+" "+name+" direct, ms", "", 2,
				func(r *OverheadResult) float64 { return percentile(r.Direct[metric]) })
			line(metric+" "+name+" added, ms", goal, 2, func(r *OverheadResult) float64 {
				return percentile(r.Through[metric]) - percentile(r.Direct[metric])
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
