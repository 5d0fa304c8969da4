package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/acacialift/acacialift/internal/lease"
)

// ControlMetric is a value of a sample that is fitted as a function of the fleet size.
type ControlMetric struct {
	Name  string
	value func(*ControlSample) float64
}

// ControlMetrics lists the fitted metrics. Bytes and messages are per second and daemon.
var ControlMetrics = []ControlMetric{
	{"controller_cpu_percent", func(s *ControlSample) float64 { return s.Controller.CPUPercent }},
	{"controller_resident_mb", func(s *ControlSample) float64 { return s.Controller.ResidentMB }},
	{"controller_in_kb_per_s", func(s *ControlSample) float64 { return s.Controller.InKBps }},
	{"controller_out_kb_per_s", func(s *ControlSample) float64 { return s.Controller.OutKBps }},
	{"controller_messages_per_s", func(s *ControlSample) float64 { return s.Controller.Messages }},
	{"gateway_cpu_percent", func(s *ControlSample) float64 { return s.Gateway.CPUPercent }},
	{"gateway_resident_mb", func(s *ControlSample) float64 { return s.Gateway.ResidentMB }},
	{"gateway_in_kb_per_s", func(s *ControlSample) float64 { return s.Gateway.InKBps }},
	{"gateway_out_kb_per_s", func(s *ControlSample) float64 { return s.Gateway.OutKBps }},
	{"platform_reads_per_s", func(s *ControlSample) float64 { return s.PlatformReads }},
}

// ControlFit describes how a metric in one phase depends on the fleet size.
type ControlFit struct {
	Metric string `json:"figure"`
	Phase  string `json:"phase"`
	// ByDaemons is fitted to the samples with the fewest endpoints, ByEndpoints to the samples with the base number of
	// daemons. Each is nil if its samples do not determine a line.
	ByDaemons   *Line `json:"by_daemons,omitempty"`
	ByEndpoints *Line `json:"by_endpoints,omitempty"`
	// Model is fitted to all samples. It is nil if they do not determine the coefficients.
	Model *ControlModel `json:"model,omitempty"`
}

// ControlModel is a linear model with five terms: a constant, a cost per neighbour that receives heartbeats, per daemon,
// per endpoint, and per resource (endpoint or key slot) that a daemon owns. The last term separates the work of an owner
// for its own resources from the work that every daemon does for all endpoints.
type ControlModel struct {
	Constant     float64 `json:"constant"`
	PerNeighbour float64 `json:"per_neighbour"`
	PerDaemon    float64 `json:"per_daemon"`
	PerEndpoint  float64 `json:"per_endpoint"`
	PerOwned     float64 `json:"per_owned_resource"`
	// LargestError is the largest absolute difference between a sample and the model.
	LargestError float64 `json:"largest_error"`
}

// At returns the model's value for a fleet of the given size with the given number of key slots.
func (m *ControlModel) At(daemons, endpoints, slots int) float64 {
	sum := 0.0
	for i, term := range controlTerms(daemons, endpoints, slots) {
		sum += term * [...]float64{m.Constant, m.PerNeighbour, m.PerDaemon, m.PerEndpoint, m.PerOwned}[i]
	}
	return sum
}

// controlTerms returns the factors of the model's coefficients, in the order of its fields. In a fleet of up to 16
// instances all others are neighbours; in a larger one the neighbours are eight instances on the ring and one more that
// rotates (see package member).
func controlTerms(daemons, endpoints, slots int) []float64 {
	const meshLimit, ringNeighbours = 16, 9
	neighbours := daemons - 1
	if daemons > meshLimit {
		neighbours = ringNeighbours
	}
	owned := float64(endpoints+slots) / float64(daemons)
	return []float64{1, float64(neighbours), float64(daemons), float64(endpoints), owned}
}

// ControlReport is the stored result of a measurement.
type ControlReport struct {
	Samples []ControlSample `json:"samples"`
	Fits    []ControlFit    `json:"fits"`
}

// NewControlReport fits the samples. The samples with baseDaemons daemons determine ByEndpoints.
func NewControlReport(samples []ControlSample, baseDaemons int) ControlReport {
	report := ControlReport{Samples: samples}
	for _, phase := range []string{PhaseIdle, PhaseLoad} {
		var phaseSamples []ControlSample
		for _, s := range samples {
			if s.Phase == phase {
				phaseSamples = append(phaseSamples, s)
			}
		}
		for _, metric := range ControlMetrics {
			report.Fits = append(report.Fits, fitMetric(phaseSamples, metric, phase, baseDaemons))
		}
	}
	return report
}

func fitMetric(samples []ControlSample, metric ControlMetric, phase string, baseDaemons int) ControlFit {
	fewest := 0
	for i, s := range samples {
		if i == 0 || s.Endpoints < fewest {
			fewest = s.Endpoints
		}
	}
	var daemons, endpoints points
	var rows [][]float64
	var values []float64
	for i := range samples {
		s := &samples[i]
		value := metric.value(s)
		if s.Endpoints == fewest {
			daemons.add(float64(s.Daemons), value)
		}
		if s.Daemons == baseDaemons {
			endpoints.add(float64(s.Endpoints), value)
		}
		rows = append(rows, controlTerms(s.Daemons, s.Endpoints, lease.KeySlots))
		values = append(values, value)
	}
	fit := ControlFit{Metric: metric.Name, Phase: phase, ByDaemons: daemons.line(), ByEndpoints: endpoints.line()}
	if c, err := leastSquares(rows, values); err == nil {
		fit.Model = &ControlModel{Constant: c[0], PerNeighbour: c[1], PerDaemon: c[2], PerEndpoint: c[3], PerOwned: c[4]}
		for i := range samples {
			predicted := fit.Model.At(samples[i].Daemons, samples[i].Endpoints, lease.KeySlots)
			fit.Model.LargestError = max(fit.Model.LargestError, predicted-values[i], values[i]-predicted)
		}
	}
	return fit
}

type points struct{ x, y []float64 }

func (p *points) add(x, y float64) {
	p.x = append(p.x, x)
	p.y = append(p.y, y)
}

func (p *points) line() *Line {
	line, err := FitLine(p.x, p.y)
	if err != nil {
		return nil
	}
	return &line
}

// WriteTable prints the samples and the fits, with the model's value at the target size and number of key slots.
func (r *ControlReport) WriteTable(w io.Writer, target ControlSize, targetSlots int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "daemons\tendpoints\tteams\tphase\treq/s\tfailed\tchanges\tctl CPU%\tmax\tctl MB\tmax\t"+
		"ctl in KB/s\tout\tmsg/s\tgw CPU%\tgw MB\tgw in KB/s\tout\tmsg/s\treads/s\t")
	for i := range r.Samples {
		s := &r.Samples[i]
		c, g := s.Controller, s.Gateway
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t\n",
			s.Daemons, s.Endpoints, s.Teams, s.Phase, float64(s.Requests)/s.Seconds, s.Failed, s.Changes, c.CPUPercent,
			s.MaxControllerCPUPercent, c.ResidentMB, s.MaxControllerMB, c.InKBps, c.OutKBps, c.Messages, g.CPUPercent,
			g.ResidentMB, g.InKBps, g.OutKBps, g.Messages, s.PlatformReads)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintf(table, "figure\tphase\tper daemon\tper endpoint\tmodel: constant\tper neighbour\tper daemon\t"+
		"per endpoint\tper owned\tlargest error\tat %d/%d\t\n", target.Daemons, target.Endpoints)
	for _, fit := range r.Fits {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t", fit.Metric, fit.Phase, slope(fit.ByDaemons), slope(fit.ByEndpoints))
		if m := fit.Model; m != nil {
			fmt.Fprintf(table, "%.3f\t%.4f\t%.5f\t%.5f\t%.4f\t%.3f\t%.2f\t\n", m.Constant, m.PerNeighbour, m.PerDaemon, m.PerEndpoint, m.PerOwned,
				m.LargestError, m.At(target.Daemons, target.Endpoints, targetSlots))
		} else {
			fmt.Fprintln(table, "-\t-\t-\t-\t-\t-\t-\t")
		}
	}
	return table.Flush()
}

func slope(line *Line) string {
	if line == nil {
		return "-"
	}
	return fmt.Sprintf("%.5f", line.Slope)
}

// WriteFile writes the report as JSON.
func (r *ControlReport) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
