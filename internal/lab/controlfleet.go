package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/status"
)

const (
	controlPeersKey     = "control-lab-peers-key"
	controlOperatorsKey = "control-lab-operators-key"
	controlRegion       = "viti-west"
	// plainEndpoints is the number of endpoints that belong to the plain service.
	plainEndpoints = 3
	// enginesPerProcess bounds the engines of one stand-in process.
	enginesPerProcess = 150
	settlePoll        = 500 * time.Millisecond
)

var controlDomains = []string{"nadi-yard", "lautoka-yard", "sigatoka-yard"}

// controlFleet is a running deployment for the measurement of the control cost.
type controlFleet struct {
	binaries  string
	directory string
	document  config.Document
	list      config.InstanceList
	platform  string
	control   string
	engines   []string
	desks     string
	// gateways holds the gateways' processes in instance order.
	gateways []*exec.Cmd
	commands []*exec.Cmd
}

// startControlFleet starts all processes; stop ends them.
func startControlFleet(binaries string, size ControlSize) (*controlFleet, error) {
	directory, err := os.MkdirTemp("", "acacia-lab")
	if err != nil {
		return nil, err
	}
	f := &controlFleet{binaries: binaries, directory: directory}
	if err := f.describe(size); err != nil {
		return f, err
	}
	if err := errors.Join(f.write("config.yaml", f.document), f.write("instances.yaml", f.list)); err != nil {
		return f, err
	}
	if err := f.startStandins(); err != nil {
		return f, err
	}
	for _, instance := range f.list.Instances {
		if err := f.startInstance(instance); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *controlFleet) describe(size ControlSize) error {
	port, err := freePorts(2 + 3*size.Daemons + size.Endpoints)
	if err != nil {
		return err
	}
	take := func() string {
		port++
		return loopback(port - 1)
	}
	f.platform, f.control = take(), take()
	f.list.Revision = 1
	for i := range size.Daemons {
		f.list.Instances = append(f.list.Instances, config.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Domain: controlDomains[i%len(controlDomains)], Region: controlRegion,
			PeerAddress: take(), GatewayAddress: take(), OperatorsAddress: take(),
		})
	}
	f.document = controlDocument(size)
	for i := range f.document.Endpoints {
		f.document.Endpoints[i].Address = take()
	}
	f.desks = f.document.Endpoints[0].Address
	for i := plainEndpoints; i < len(f.document.Endpoints); i += enginesPerProcess {
		f.engines = append(f.engines, f.document.Endpoints[i].Address)
	}
	return nil
}

// controlDocument returns a configuration of the given size without the endpoints' addresses. The first endpoints
// belong to the plain service.
func controlDocument(size ControlSize) config.Document {
	shortShare := 0.25
	d := config.Document{Revision: 1}
	for _, domain := range controlDomains {
		d.Domains = append(d.Domains, config.Domain{Name: domain, Region: controlRegion})
	}
	d.Models = []config.Model{{Name: "turf-7b"}}
	d.Services = []config.Service{
		{
			Name: "turf-assist", Kind: config.KindModel, Region: controlRegion, Model: "turf-7b", PrefillRate: 200_000,
			LongPrefills: 1, ShortShare: &shortShare,
			Warm: config.Limit{Streams: 64, Tokens: 400_000}, Cold: config.Limit{Streams: 8, Tokens: 100_000},
		},
		{
			Name: "round-desk", Kind: config.KindPlain, Region: controlRegion, LongPrefills: 1, ShortShare: &shortShare,
			Warm: config.Limit{Streams: 16}, Cold: config.Limit{Streams: 4},
		},
	}
	for i := range size.Endpoints {
		endpoint := config.Endpoint{
			Name: fmt.Sprintf("turf-%03d", i), Service: "turf-assist", Domain: controlDomains[i%len(controlDomains)],
			Fencing: config.FencingEnforced,
		}
		if i < plainEndpoints {
			endpoint.Name, endpoint.Service = fmt.Sprintf("desk-%d", i), "round-desk"
			endpoint.Fencing = config.FencingIgnored
		}
		d.Endpoints = append(d.Endpoints, endpoint)
	}
	d.Profiles = []config.Profile{
		{
			Name: "current", Service: "turf-assist", DefaultBudget: config.Duration(time.Minute),
			MaxBudget: config.Duration(time.Minute), MaxOutputTokens: 64,
		},
		{
			Name: "desk", Service: "round-desk", DefaultBudget: config.Duration(time.Minute),
			MaxBudget: config.Duration(time.Minute),
		},
	}
	for i := range size.Teams {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 1 + i%4})
	}
	return d
}

func (f *controlFleet) path(name string) string { return filepath.Join(f.directory, name) }

func (f *controlFleet) write(name string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(name), data, 0o600)
}

func (f *controlFleet) startStandins() error {
	if _, err := f.start("platform", "standin-platform", "--listen", f.platform, "--control", f.control,
		"--config", f.path("config.yaml"), "--instances", f.path("instances.yaml")); err != nil {
		return err
	}
	if _, err := f.start("desks", "standin-service", "--listen", f.desks, "--count",
		strconv.Itoa(plainEndpoints)); err != nil {
		return err
	}
	left := len(f.document.Endpoints) - plainEndpoints
	for _, address := range f.engines {
		count := min(left, enginesPerProcess)
		left -= count
		if _, err := f.start("engines", "standin-engine", "--listen", address, "--count", strconv.Itoa(count),
			"--prefill-rate", "1000000", "--token-interval", "5ms"); err != nil {
			return err
		}
	}
	return nil
}

func (f *controlFleet) startInstance(instance config.Instance) error {
	controller := map[string]any{
		"instance": instance.Name, "domain": instance.Domain, "region": instance.Region,
		"addresses": map[string]string{"peers": instance.PeerAddress, "operators": instance.OperatorsAddress},
		"keys":      map[string]string{"peers": controlPeersKey, "operators": controlOperatorsKey},
		"platform":  []string{f.platform},
	}
	gateway := map[string]any{
		"instance": instance.Name, "domain": instance.Domain, "region": instance.Region,
		"addresses": map[string]string{"callers": instance.GatewayAddress, "controller": instance.PeerAddress},
		"keys":      map[string]string{"peers": controlPeersKey},
	}
	controllerFile, gatewayFile := instance.Name+"-controller.yaml", instance.Name+"-gateway.yaml"
	if err := errors.Join(f.write(controllerFile, controller), f.write(gatewayFile, gateway)); err != nil {
		return err
	}
	_, err := f.start(instance.Name+"-controller", "acacia-controller", "--settings", f.path(controllerFile))
	if err != nil {
		return err
	}
	command, err := f.start(instance.Name+"-gateway", "acacia-gateway", "--settings", f.path(gatewayFile))
	f.gateways = append(f.gateways, command)
	return err
}

func (f *controlFleet) start(name, binary string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.binaries, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	f.commands = append(f.commands, command)
	return command, nil
}

// stop ends the fleet's own processes and removes its files.
func (f *controlFleet) stop() {
	for _, command := range f.commands {
		_ = command.Process.Kill()
	}
	for _, command := range f.commands {
		_ = command.Wait()
	}
	_ = os.RemoveAll(f.directory)
}

// reports returns the status of all instances in list order, or an error if one does not answer.
func (f *controlFleet) reports(ctx context.Context) ([]*status.Report, error) {
	var reports []*status.Report
	for _, answer := range operators.NewClient(controlOperatorsKey).StatusOfAll(ctx, f.list.Instances) {
		if answer.Err != nil {
			return nil, answer.Err
		}
		reports = append(reports, answer.Report)
	}
	return reports, nil
}

// waitSettled waits until all members are alive and each endpoint has an owner on every board.
func (f *controlFleet) waitSettled(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		reports, err := f.reports(ctx)
		if err == nil {
			err = f.unsettled(reports)
		}
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("fleet did not settle in %s: %w", limit, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settlePoll):
		}
	}
}

func (f *controlFleet) unsettled(reports []*status.Report) error {
	for _, report := range reports {
		for _, member := range report.Members {
			if member.State != peer.MemberAlive {
				return fmt.Errorf("%s: member %s is %s", report.Instance, member.Name, member.State)
			}
		}
		if len(report.Endpoints) != len(f.document.Endpoints) {
			return fmt.Errorf("%s knows %d endpoints", report.Instance, len(report.Endpoints))
		}
		for _, endpoint := range report.Endpoints {
			if endpoint.Owner == "" || endpoint.FreeStreams == 0 {
				return fmt.Errorf("%s: %s has no owner that grants", report.Instance, endpoint.Name)
			}
		}
	}
	return nil
}

// publish puts the next revision of the configuration on the platform.
func (f *controlFleet) publish(ctx context.Context) error {
	f.document.Revision++
	data, err := yaml.Marshal(f.document)
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/control/config?revision=%d", f.control, f.document.Revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("publish revision %d: status %d", f.document.Revision, response.StatusCode)
	}
	return nil
}
