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
	// Rate is the number of requests per second and daemon under load; 0 leaves the load out.
	Rate float64
	// OutputTokens is the length of each answer, TokenInterval the time between two of its tokens.
	OutputTokens  int
	TokenInterval time.Duration
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

const (
	// plainEndpoints is the number of endpoints that belong to the plain service.
	plainEndpoints = 3
	// enginesPerProcess bounds the engines of one stand-in process.
	enginesPerProcess = 150
	// memberTimeout bounds the wait until all members know each other.
	memberTimeout = time.Minute
)

// controlDeployment describes a fleet whose endpoints bear the light load without waiting.
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
	if err := pause(ctx, options.Settle); err != nil {
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

// waitForMembers waits until every instance takes all others for alive.
func waitForMembers(ctx context.Context, fleet *Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	for {
		reports, err := reportsOf(fleet.Status(ctx))
		if err == nil {
			err = notAlive(reports)
		}
		if err == nil {
			return nil
		}
		if pause(ctx, ownerCheckInterval) != nil {
			return err
		}
	}
}

func notAlive(reports []*status.Report) error {
	for _, report := range reports {
		for _, member := range report.Members {
			if member.State != peer.MemberAlive {
				return fmt.Errorf("%s takes %s for %s", report.Instance, member.Name, member.State)
			}
		}
	}
	return nil
}

// reportsOf returns the reports of all instances, or the error of one that does not answer.
func reportsOf(answers []operators.Response) ([]*status.Report, error) {
	var reports []*status.Report
	for _, answer := range answers {
		if answer.Err != nil {
			return nil, answer.Err
		}
		reports = append(reports, answer.Report)
	}
	return reports, nil
}

// measurement measures one running fleet.
type measurement struct {
	options  ControlOptions
	fleet    *Fleet
	size     ControlSize
	requests atomic.Int64
	failed   atomic.Int64
}

// reading is the state of the counters at one time.
type reading struct {
	at       time.Time
	reports  []*status.Report
	gateways []processUsage
}

func (m *measurement) read(ctx context.Context) (reading, error) {
	r := reading{at: time.Now()}
	for _, instance := range m.fleet.List.Instances {
		u, err := usageOf(m.fleet.PID(instance.Name + "-gateway"))
		if err != nil {
			return r, err
		}
		r.gateways = append(r.gateways, u)
	}
	var err error
	r.reports, err = reportsOf(m.fleet.Status(ctx))
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
		interval := m.options.Window / time.Duration(m.options.Changes)
		for range m.options.Changes {
			if err := m.fleet.Publish(ctx, func(*config.Document) {}); err != nil {
				return 0, err
			}
			if err := pause(ctx, interval); err != nil {
				return 0, err
			}
		}
		return m.options.Changes, nil
	default:
		return 0, pause(ctx, m.options.Window)
	}
}

// load sends requests at a fixed rate, to the gateways in turn.
func (m *measurement) load(ctx context.Context) error {
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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

const (
	megabyte = 1 << 20
	kilobyte = 1000
	percent  = 100
)
