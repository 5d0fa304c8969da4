package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/loadgen"
	"github.com/acacialift/acacialift/internal/operators"
	"github.com/acacialift/acacialift/internal/peer"
)

// Demo demonstrates a deployment under a short mixed load.
type Demo struct {
	Options Options
	// Requests is the number of requests in the load, Rate their number per second.
	Requests int
	Rate     float64
	Seed     uint64
	// KeepRunning keeps the deployment running until the context ends.
	KeepRunning bool
	// CommandFolder is the folder of the binaries in the printed commands.
	CommandFolder string
}

const (
	// demoLongShare is higher than longShare, because a short load would otherwise lack prompts of some lengths.
	demoLongShare = 0.05
	// demoBudget limits each request, to bound the duration of the demonstration. Refused requests are not retried for the
	// same reason.
	demoBudget = 25 * time.Second
)

// Run starts the deployment, sends the load, prints the results for callers and the status for operators, and stops the
// deployment.
func (demo *Demo) Run(ctx context.Context, d *Deployment, w io.Writer) error {
	if demo.Options.EngineFlags == nil {
		demo.Options.EngineFlags = EngineFlags(d.Service(config.KindModel))
	}
	fmt.Fprintf(w, "starting the platform, %d endpoints and %d instances\n", len(d.Document.Endpoints), len(d.List.Instances))
	begin := time.Now()
	f, err := Start(ctx, d, demo.Options)
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Fprintf(w, "all endpoints have owners after %.1f s; sending short requests to end their cold start\n",
		time.Since(begin).Seconds())
	if err := f.WarmUp(ctx, demo.Seed); err != nil {
		return err
	}
	fmt.Fprintf(w, "sending %d requests at %g/s: prompts of 1 k to 1 M tokens, bookings and reads\n\n", demo.Requests, demo.Rate)
	result, err := loadgen.Run(ctx, demo.load(f))
	if err != nil {
		return err
	}
	if err := result.WriteTable(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := operators.WriteTables(w, f.Status(ctx)); err != nil {
		return err
	}
	if err := demo.showExplain(ctx, f, w); err != nil {
		return err
	}
	if demo.KeepRunning {
		demo.waitForInterrupt(ctx, f, w)
	}
	return result.Err()
}

func (demo *Demo) load(f *Fleet) loadgen.Options {
	load := f.LoadOptions(loadgen.DefaultClasses(demoLongShare))
	load.Requests, load.Rate, load.Seed, load.Budget = demo.Requests, demo.Rate, demo.Seed, demoBudget
	load.MaxRetries = -1
	load.ChatShare, load.NonStreamedShare = 0.2, 0.1
	if service := f.Service(config.KindPlain); service != nil {
		load.Service = service.Name
		load.ServiceProfile = f.Profiles(service.Name, false)[0]
		load.ServiceBudget = f.defaultBudget(load.ServiceProfile)
		for _, endpoint := range f.Endpoints(service.Name) {
			load.Stats = append(load.Stats, endpoint.Address)
		}
	}
	return load
}

// defaultBudget returns the default budget of a profile.
func (f *Fleet) defaultBudget(name string) time.Duration {
	for _, profile := range f.Document.Profiles {
		if profile.Name == name {
			return profile.DefaultBudget.Std()
		}
	}
	return 0
}

// showExplain sends one more request and prints the command that extracts its log lines.
func (demo *Demo) showExplain(ctx context.Context, f *Fleet, w io.Writer) error {
	url := "http://" + f.Gateways()[0] + "/v1/completions"
	body := strings.NewReader(`{"prompt":"Which lawn is next?","max_tokens":8}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	request.Header.Set("X-Acacia-Team", f.Teams()[0])
	request.Header.Set("X-Acacia-Profile", f.Profiles(f.Service(config.KindModel).Name, false)[0])
	response, err := f.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	fmt.Fprintf(w, "\nhow a request was routed:\n  %s/acaciactl explain %s %s\n", demo.CommandFolder,
		response.Header.Get("X-Request-Id"), f.Logs())
	return nil
}

func (demo *Demo) waitForInterrupt(ctx context.Context, f *Fleet, w io.Writer) {
	fmt.Fprintf(w, "status for operators:\n  %s/acaciactl status --instances %s --key %s\n", demo.CommandFolder,
		f.Path("instances.yaml"), f.OperatorsKey)
	fmt.Fprintf(w, "gateways: %s\nthe deployment runs until it is interrupted (Ctrl-C)\n", strings.Join(f.Gateways(), " "))
	<-ctx.Done()
}

// The warm-up sends short requests until every endpoint has completed all steps of its ramp. A step needs as many completed
// requests as its limit has streams; all steps together therefore need about twice the warm limit.
const (
	warmUpTokens   = 500
	warmUpRate     = 150
	warmUpFactor   = 4
	warmUpRounds   = 3
	warmUpSeedStep = 1000
)

// WarmUp sends short requests until all model endpoints are warm, for at most warmUpRounds rounds.
func (f *Fleet) WarmUp(ctx context.Context, seed uint64) error {
	service := f.Service(config.KindModel)
	for round := range warmUpRounds {
		load := f.LoadOptions([]loadgen.Class{{Name: "warm-up", Tokens: warmUpTokens, Share: 1}})
		load.Requests = warmUpFactor * service.Warm.Streams * len(f.Endpoints(service.Name))
		load.Rate, load.Seed = warmUpRate, seed+uint64(round+1)*warmUpSeedStep
		load.MinOutputTokens, load.MaxOutputTokens = 1, 2
		if round > 0 {
			load.Requests /= 2
		}
		result, err := loadgen.Run(ctx, load)
		if err != nil {
			return err
		}
		if err := result.Err(); err != nil {
			return fmt.Errorf("warm-up: %w", err)
		}
		cold, err := f.coldEndpoints(ctx, service.Name)
		if err != nil || cold == 0 {
			return err
		}
	}
	return ctx.Err()
}

// coldEndpoints counts the endpoints of a service that their owners do not report as warm. Without credits, owners do not
// know the state of the endpoints; the state that the engines report is used instead.
func (f *Fleet) coldEndpoints(ctx context.Context, service string) (int, error) {
	warm := make(map[string]bool)
	for _, response := range f.Status(ctx) {
		if response.Err != nil {
			continue
		}
		for _, endpoint := range response.Report.Endpoints {
			if endpoint.Owner == response.Instance.Name && endpoint.State == peer.EndpointWarm {
				warm[endpoint.Name] = true
			}
		}
	}
	cold := 0
	for _, endpoint := range f.Endpoints(service) {
		if f.options.GatewaySettings["uncontrolled"] == true {
			stats, err := f.EngineCounts(ctx, endpoint)
			if err != nil {
				return 0, err
			}
			warm[endpoint.Name] = !stats.Cold
		}
		if !warm[endpoint.Name] {
			cold++
		}
	}
	return cold, nil
}

// LoadOptions returns the options of a load on all gateways with prompts of the given classes. Prompts that exceed one
// engine's memory use a profile with a group.
func (f *Fleet) LoadOptions(classes []loadgen.Class) loadgen.Options {
	service := f.Service(config.KindModel)
	grouped := f.Profiles(service.Name, true)
	for i := range classes {
		if int64(classes[i].Tokens) >= service.Warm.Tokens && len(grouped) > 0 {
			classes[i].Profile = grouped[0]
		}
	}
	return loadgen.Options{
		Gateways: f.Gateways(),
		Classes:  classes,
		Teams:    loadgen.WeightedTeams(f.Teams()),
		Profiles: f.Profiles(service.Name, false),
	}
}

// EngineFlags returns flags for engine stand-ins that match a service. The engines can handle the load that its limits
// allow, and crash above its cold limit during a cold start.
func EngineFlags(service *config.Service) []string {
	return []string{
		"--prefill-rate", fmt.Sprint(service.PrefillRate),
		"--memory-tokens", fmt.Sprint(service.Warm.Tokens),
		"--cold-streams", fmt.Sprint(service.Cold.Streams),
		"--cold-tokens", fmt.Sprint(service.Cold.Tokens),
		"--warmup-requests", fmt.Sprint(service.Cold.Streams),
		"--fencing", string(config.FencingEnforced),
	}
}
