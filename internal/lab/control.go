package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialift/acacialift/internal/status"
)

// ControlSize is the size of one measured fleet.
type ControlSize struct {
	// Daemons is the number of instances, each with a controller and a gateway.
	Daemons int `json:"daemons"`
	// Endpoints is the number of endpoints; three of them belong to a plain service with 64 key slots.
	Endpoints int `json:"endpoints"`
	Teams     int `json:"teams"`
}

// ControlOptions configures a measurement of the control cost.
type ControlOptions struct {
	// Binaries is the directory of the programs to measure.
	Binaries string
	Sizes    []ControlSize
	// Window is the length of each measurement.
	Window time.Duration
	// Settle is the time between a settled fleet and the first measurement.
	Settle time.Duration
	// SettleLimit bounds the wait until each endpoint has an owner.
	SettleLimit time.Duration
	// Rate is the number of requests per second and daemon under load; 0 leaves the load out.
	Rate float64
	// Changes is the number of configuration changes in a third measurement; 0 leaves it out.
	Changes int
	// Progress receives one line for each measurement.
	Progress io.Writer
}

// Phases of a measurement.
const (
	PhaseIdle    = "idle"
	PhaseLoad    = "load"
	PhaseChanges = "changes"
)

// Cost is the mean cost of one process over a window.
type Cost struct {
	// CPUPercent is the share of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// ResidentMB is the resident memory at the end of the window in units of 2^20 bytes.
	ResidentMB float64 `json:"resident_mb"`
	// InKBps and OutKBps are the bytes of peers' messages in units of 1000 bytes per second.
	InKBps  float64 `json:"in_kb_per_s"`
	OutKBps float64 `json:"out_kb_per_s"`
	// Messages is the number of received messages per second.
	Messages float64 `json:"messages_per_s"`
}

// ControlSample is one measurement of one fleet.
type ControlSample struct {
	ControlSize
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	// Requests and Failed count the requests of the window for the whole fleet.
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	// Changes is the number of configuration revisions published in the window.
	Changes int `json:"changes"`
	// Controller and Gateway are means over the fleet's processes.
	Controller Cost `json:"controller"`
	Gateway    Cost `json:"gateway"`
	// MaxControllerCPUPercent and MaxControllerMB are those of the most loaded controllers.
	MaxControllerCPUPercent float64 `json:"max_controller_cpu_percent"`
	MaxControllerMB         float64 `json:"max_controller_mb"`
	// PlatformReads is the number of reads per second over all controllers.
	PlatformReads float64 `json:"platform_reads_per_s"`
}

// MeasureControl starts one fleet after the other and measures each. It returns the samples taken before an error.
func MeasureControl(ctx context.Context, options ControlOptions) ([]ControlSample, error) {
	var samples []ControlSample
	for _, size := range options.Sizes {
		measured, err := measureSize(ctx, options, size)
		samples = append(samples, measured...)
		if err != nil {
			return samples, fmt.Errorf("%d daemons, %d endpoints: %w", size.Daemons, size.Endpoints, err)
		}
	}
	return samples, nil
}

func measureSize(ctx context.Context, options ControlOptions, size ControlSize) ([]ControlSample, error) {
	fleet, err := startControlFleet(options.Binaries, size)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return nil, err
	}
	if err := fleet.waitSettled(ctx, options.SettleLimit); err != nil {
		return nil, err
	}
	if err := sleep(ctx, options.Settle); err != nil {
		return nil, err
	}
	m := &measurement{options: options, fleet: fleet, size: size}
	phases := []string{PhaseIdle}
	if options.Rate > 0 {
		phases = append(phases, PhaseLoad)
	}
	if options.Changes > 0 {
		phases = append(phases, PhaseChanges)
	}
	var samples []ControlSample
	for _, phase := range phases {
		sample, err := m.run(ctx, phase)
		if err != nil {
			return samples, err
		}
		samples = append(samples, sample)
		fmt.Fprintf(options.Progress, "measured %d daemons, %d endpoints, %s\n", size.Daemons, size.Endpoints, phase)
	}
	return samples, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// measurement measures one running fleet.
type measurement struct {
	options  ControlOptions
	fleet    *controlFleet
	size     ControlSize
	requests atomic.Int64
	failed   atomic.Int64
}

// reading is the state of the counters at one time.
type reading struct {
	at       time.Time
	reports  []*status.Report
	gateways []usage
}

func (m *measurement) read(ctx context.Context) (reading, error) {
	r := reading{at: time.Now()}
	for _, command := range m.fleet.gateways {
		u, err := processUsage(command.Process.Pid)
		if err != nil {
			return r, err
		}
		r.gateways = append(r.gateways, u)
	}
	var err error
	r.reports, err = m.fleet.reports(ctx)
	return r, err
}

func (m *measurement) run(ctx context.Context, phase string) (ControlSample, error) {
	before, err := m.read(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	requests, failed := m.requests.Load(), m.failed.Load()
	changes, err := m.exercise(ctx, phase)
	if err != nil {
		return ControlSample{}, err
	}
	after, err := m.read(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	sample := compareReadings(before, after)
	sample.ControlSize, sample.Phase, sample.Changes = m.size, phase, changes
	sample.Requests, sample.Failed = m.requests.Load()-requests, m.failed.Load()-failed
	return sample, nil
}

// exercise fills the window of a phase and returns the number of configuration changes.
func (m *measurement) exercise(ctx context.Context, phase string) (int, error) {
	switch phase {
	case PhaseLoad:
		return 0, m.load(ctx)
	case PhaseChanges:
		pause := m.options.Window / time.Duration(m.options.Changes)
		for range m.options.Changes {
			if err := m.fleet.publish(ctx); err != nil {
				return 0, err
			}
			if err := sleep(ctx, pause); err != nil {
				return 0, err
			}
		}
		return m.options.Changes, nil
	default:
		return 0, sleep(ctx, m.options.Window)
	}
}

// load sends requests at a fixed rate, to the gateways in turn.
func (m *measurement) load(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{"prompt": strings.Repeat("lawn ", 800), "max_tokens": 8})
	if err != nil {
		return err
	}
	total := int(m.options.Rate * float64(m.size.Daemons) * m.options.Window.Seconds())
	interval := m.options.Window / time.Duration(max(total, 1))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range total {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		instance := m.fleet.list.Instances[i%len(m.fleet.list.Instances)]
		team := m.fleet.document.Teams[i%len(m.fleet.document.Teams)].Name
		wait.Go(func() { m.send(ctx, instance.GatewayAddress, team, body) })
	}
	return nil
}

func (m *measurement) send(ctx context.Context, address, team string, body []byte) {
	m.requests.Add(1)
	if err := complete(ctx, address, team, body); err != nil {
		m.failed.Add(1)
	}
}

func complete(ctx context.Context, address, team string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("X-Acacia-Team", team)
	request.Header.Set("X-Acacia-Profile", "current")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

const (
	megabyte = 1 << 20
	kilobyte = 1000
	percent  = 100
)

func compareReadings(before, after reading) ControlSample {
	seconds := after.at.Sub(before.at).Seconds()
	sample := ControlSample{Seconds: seconds}
	daemons := float64(len(after.reports))
	for i := range after.reports {
		old, current := before.reports[i], after.reports[i]
		cost := controllerCost(old.Control, current.Control, seconds)
		sample.Controller.add(cost, daemons)
		sample.MaxControllerCPUPercent = max(sample.MaxControllerCPUPercent, cost.CPUPercent)
		sample.MaxControllerMB = max(sample.MaxControllerMB, cost.ResidentMB)
		sample.Gateway.add(gatewayCost(before, after, i, seconds), daemons)
		sample.PlatformReads += float64(current.Control.PlatformReads-old.Control.PlatformReads) / seconds
	}
	return sample
}

func controllerCost(before, after status.Control, seconds float64) Cost {
	return Cost{
		CPUPercent: (after.CPUSeconds - before.CPUSeconds) / seconds * percent,
		ResidentMB: float64(after.ResidentBytes) / megabyte,
		InKBps:     float64(after.PeerBytesIn-before.PeerBytesIn) / seconds / kilobyte,
		OutKBps:    float64(after.PeerBytesOut-before.PeerBytesOut) / seconds / kilobyte,
		Messages:   float64(after.PeerMessages-before.PeerMessages) / seconds,
	}
}

// gatewayCost takes the processor time and the memory from the system, and the bytes from the gateway's own counters,
// which are up to 200 ms old.
func gatewayCost(before, after reading, i int, seconds float64) Cost {
	old, current := before.reports[i].Gateway.Stats, after.reports[i].Gateway.Stats
	return Cost{
		CPUPercent: (after.gateways[i].cpu - before.gateways[i].cpu).Seconds() / seconds * percent,
		ResidentMB: float64(after.gateways[i].resident) / megabyte,
		InKBps:     float64(current.PeerBytesIn-old.PeerBytesIn) / seconds / kilobyte,
		OutKBps:    float64(current.PeerBytesOut-old.PeerBytesOut) / seconds / kilobyte,
		Messages:   float64(current.PeerMessages-old.PeerMessages) / seconds,
	}
}

// add adds a process's share of a mean over count processes.
func (c *Cost) add(other Cost, count float64) {
	c.CPUPercent += other.CPUPercent / count
	c.ResidentMB += other.ResidentMB / count
	c.InKBps += other.InKBps / count
	c.OutKBps += other.OutKBps / count
	c.Messages += other.Messages / count
}

// usage is what the system says about one process.
type usage struct {
	cpu      time.Duration
	resident int64
}

// tick is the unit of processor time in /proc: 1/100 s on all Linux systems that Go runs on.
const tick = 10 * time.Millisecond

var errStat = errors.New("unexpected content of /proc/PID/stat")

func processUsage(pid int) (usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	return parseStat(string(content), int64(os.Getpagesize()))
}

// parseStat reads user time, system time and resident pages from /proc/PID/stat. The fields are counted from the end of
// the process's name, which may contain spaces and parentheses.
func parseStat(content string, pageBytes int64) (usage, error) {
	const userField, systemField, residentField = 11, 12, 21
	_, rest, ok := cutLast(content, ")")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentField {
		return usage{}, errStat
	}
	var values [3]int64
	for i, field := range []int{userField, systemField, residentField} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return usage{}, errStat
		}
		values[i] = value
	}
	return usage{cpu: time.Duration(values[0]+values[1]) * tick, resident: values[2] * pageBytes}, nil
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
