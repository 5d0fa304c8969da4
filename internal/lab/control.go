package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/status"
)

// ControlSize is the size of a fleet to measure.
type ControlSize struct {
	// Daemons is the number of instances. Each runs a controller and a gateway.
	Daemons int `json:"daemons"`
	// Endpoints is the number of endpoints. Three of them belong to a plain service with 64 key slots.
	Endpoints int `json:"endpoints"`
	Teams     int `json:"teams"`
}

// ControlOptions configures MeasureControl, which measures what the processes cost when they serve no or few requests.
type ControlOptions struct {
	// Binaries is the directory of the binaries to measure.
	Binaries string
	Sizes    []ControlSize
	// Window is the length of each measurement.
	Window time.Duration
	// Settle is the delay between the time when all members are alive and the first measurement.
	Settle time.Duration
	// Rate is the number of requests per second and daemon in the load phase; 0 omits this phase.
	Rate float64
	// OutputTokens is the number of tokens of each response, TokenInterval the time between two tokens.
	OutputTokens  int
	TokenInterval time.Duration
	// Changes is the number of configuration revisions published in a third phase; 0 omits this phase.
	Changes int
	// Progress receives a line after each measurement.
	Progress io.Writer
}

// The phases in which a fleet is measured.
const (
	PhaseIdle    = "idle"
	PhaseLoad    = "load"
	PhaseChanges = "changes"
)

// ControlSample is the measurement of one fleet in one phase.
type ControlSample struct {
	ControlSize
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	// Requests and Failed count the requests of the whole fleet in the window.
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	// Changes counts the configuration revisions published in the window.
	Changes int `json:"changes"`
	// Controller and Gateway are the mean costs over the fleet's processes of each kind.
	Controller Cost `json:"controller"`
	Gateway    Cost `json:"gateway"`
	// MaxControllerCPUPercent and MaxControllerMB are the highest values of a single controller.
	MaxControllerCPUPercent float64 `json:"max_controller_cpu_percent"`
	MaxControllerMB         float64 `json:"max_controller_mb"`
	// PlatformReads is the number of platform reads per second by all controllers together.
	PlatformReads float64 `json:"platform_reads_per_s"`
}

// MeasureControl starts and measures one fleet after another. After an error it returns the samples taken so far.
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

const (
	// plainEndpoints is the number of endpoints of the plain service.
	plainEndpoints = 3
	// enginesPerProcess is the maximum number of engines in one stand-in process.
	enginesPerProcess = 150
	// memberTimeout bounds the wait until every instance reports all members as alive.
	memberTimeout = time.Minute
)

// controlDeployment returns a deployment whose endpoints have enough capacity for the light load without queueing.
func controlDeployment(size ControlSize) (*Deployment, error) {
	d, err := Generate(Size{
		Instances: size.Daemons, Engines: size.Endpoints - plainEndpoints, Servers: plainEndpoints,
		Engine: config.Service{
			PrefillRate: 200_000, Warm: config.Limit{Streams: 64, Tokens: 400_000},
			Cold: config.Limit{Streams: 8, Tokens: 100_000},
		},
		Server: config.Service{Warm: config.Limit{Streams: 16}, Cold: config.Limit{Streams: 4}},
	})
	if err != nil {
		return nil, err
	}
	d.Document.Teams = nil
	for i := range size.Teams {
		d.Document.Teams = append(d.Document.Teams, config.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 1 + i%4})
	}
	return d, nil
}

func startControlFleet(ctx context.Context, options ControlOptions, size ControlSize) (*Fleet, func(), error) {
	d, err := controlDeployment(size)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "acacia-lab")
	if err != nil {
		return nil, nil, err
	}
	remove := func() { _ = os.RemoveAll(folder) }
	fleet, err := Start(ctx, d, Options{
		Binaries: options.Binaries, Folder: folder, EndpointsPerProcess: enginesPerProcess,
		EngineFlags: []string{"--prefill-rate", "1000000", "--token-interval", options.TokenInterval.String()},
	})
	if err != nil {
		remove()
		return nil, nil, err
	}
	stop := func() {
		fleet.Stop()
		remove()
	}
	return fleet, stop, nil
}

func measureSize(ctx context.Context, options ControlOptions, size ControlSize) ([]ControlSample, error) {
	fleet, stop, err := startControlFleet(ctx, options, size)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := waitForMembers(ctx, fleet); err != nil {
		return nil, err
	}
	if err := sleep(ctx, options.Settle); err != nil {
		return nil, err
	}
	m := &controlMeasurement{options: options, fleet: fleet, size: size}
	phases := []string{PhaseIdle}
	if options.Rate > 0 {
		phases = append(phases, PhaseLoad)
	}
	if options.Changes > 0 {
		phases = append(phases, PhaseChanges)
	}
	var samples []ControlSample
	for _, phase := range phases {
		sample, err := m.measurePhase(ctx, phase)
		if err != nil {
			return samples, err
		}
		samples = append(samples, sample)
		fmt.Fprintf(options.Progress, "measured %d daemons, %d endpoints, %s\n", size.Daemons, size.Endpoints, phase)
	}
	return samples, nil
}

// waitForMembers waits until every instance reports all members as alive.
func waitForMembers(ctx context.Context, fleet *Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	for {
		reports, err := statusReports(fleet.Status(ctx))
		if err == nil {
			err = checkAllAlive(reports)
		}
		if err == nil {
			return nil
		}
		if sleep(ctx, ownerCheckInterval) != nil {
			return err
		}
	}
}

func checkAllAlive(reports []*status.Report) error {
	for _, report := range reports {
		for _, member := range report.Members {
			if member.State != peer.MemberAlive {
				return fmt.Errorf("%s reports member %s as %s", report.Instance, member.Name, member.State)
			}
		}
	}
	return nil
}

// statusReports returns the reports of all instances, or the error of the first instance without one.
func statusReports(responses []operators.Response) ([]*status.Report, error) {
	var reports []*status.Report
	for _, response := range responses {
		if response.Err != nil {
			return nil, response.Err
		}
		reports = append(reports, response.Report)
	}
	return reports, nil
}

// controlMeasurement measures a running fleet and counts the requests sent to it.
type controlMeasurement struct {
	options  ControlOptions
	fleet    *Fleet
	size     ControlSize
	requests atomic.Int64
	failed   atomic.Int64
}

// counterSnapshot holds the values of all counters at one time.
type counterSnapshot struct {
	at           time.Time
	reports      []*status.Report
	gatewayUsage []processUsage
}

func (m *controlMeasurement) snapshot(ctx context.Context) (counterSnapshot, error) {
	s := counterSnapshot{at: time.Now()}
	for _, instance := range m.fleet.List.Instances {
		u, err := readProcessUsage(m.fleet.PID(instance.Name + "-gateway"))
		if err != nil {
			return s, err
		}
		s.gatewayUsage = append(s.gatewayUsage, u)
	}
	var err error
	s.reports, err = statusReports(m.fleet.Status(ctx))
	return s, err
}

func (m *controlMeasurement) measurePhase(ctx context.Context, phase string) (ControlSample, error) {
	before, err := m.snapshot(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	requests, failed := m.requests.Load(), m.failed.Load()
	changes, err := m.runPhase(ctx, phase)
	if err != nil {
		return ControlSample{}, err
	}
	after, err := m.snapshot(ctx)
	if err != nil {
		return ControlSample{}, err
	}
	sample := compareSnapshots(before, after)
	sample.ControlSize, sample.Phase, sample.Changes = m.size, phase, changes
	sample.Requests, sample.Failed = m.requests.Load()-requests, m.failed.Load()-failed
	return sample, nil
}

// runPhase runs the activity of a phase for one window. It returns the number of published configuration revisions.
func (m *controlMeasurement) runPhase(ctx context.Context, phase string) (int, error) {
	switch phase {
	case PhaseLoad:
		return 0, m.sendLoad(ctx)
	case PhaseChanges:
		interval := m.options.Window / time.Duration(m.options.Changes)
		for range m.options.Changes {
			if err := m.fleet.Publish(ctx, func(*config.Document) {}); err != nil {
				return 0, err
			}
			if err := sleep(ctx, interval); err != nil {
				return 0, err
			}
		}
		return m.options.Changes, nil
	default:
		return 0, sleep(ctx, m.options.Window)
	}
}

// sendLoad sends requests at a fixed rate to the gateways, round-robin.
func (m *controlMeasurement) sendLoad(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{"prompt": strings.Repeat("lawn ", 800), "max_tokens": m.options.OutputTokens})
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
		instance := m.fleet.List.Instances[i%len(m.fleet.List.Instances)]
		team := m.fleet.Document.Teams[i%len(m.fleet.Document.Teams)].Name
		wait.Go(func() { m.send(ctx, instance.GatewayAddress, team, body) })
	}
	return nil
}

func (m *controlMeasurement) send(ctx context.Context, address, team string, body []byte) {
	m.requests.Add(1)
	if err := sendCompletion(ctx, address, team, body); err != nil {
		m.failed.Add(1)
	}
}

func sendCompletion(ctx context.Context, address, team string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("X-Acacia-Team", team)
	request.Header.Set("X-Acacia-Profile", EngineProfile)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("gateway responded with status %d", response.StatusCode)
	}
	return nil
}

const (
	megabyte = 1 << 20
	kilobyte = 1000
	percent  = 100
)
