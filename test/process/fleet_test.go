// Package process_test runs the real binaries on loopback, and kills, pauses and continues them. The tests check safety
// and never elapsed time; the limits of all waits are generous.
package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
	"github.com/acacialift/acacialift/internal/standin"
	"github.com/acacialift/acacialift/internal/status"
	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	peersKey     = "process-test-peers-key"
	operatorsKey = "process-test-operators-key"
	// waitLimit is longer than lease.VoterHoldOff, in which started voters grant nothing, plus lease.WaitBeforeGrant, in which
	// new owners grant nothing, also on a busy machine.
	waitLimit = "60s"
	region    = "viti-west"
)

var (
	domains   = []string{"nadi-yard", "lautoka-yard", "sigatoka-yard"}
	binaryDir string
)

func TestProcess(t *testing.T) { testkit.RunSpecs(t, "process") }

var _ = BeforeSuite(func() {
	var err error
	binaryDir, err = testkit.BuildBinaries()
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { _ = os.RemoveAll(binaryDir) })

// fleetOptions describes a deployment.
type fleetOptions struct {
	instances int
	engines   int
	desks     int
	// engineFlags are passed to the engine stand-ins.
	engineFlags []string
	// deskFlags are passed to the stand-ins of the plain service.
	deskFlags []string
	// editConfig changes the first configuration before it is published.
	editConfig func(*config.Document)
}

// fleet is a running deployment.
type fleet struct {
	options         fleetOptions
	dir             string
	document        config.Document
	instanceList    config.InstanceList
	controlAddress  string
	processes       map[string]*exec.Cmd
	platformAddress string
}

// startFleet starts all processes and waits until each endpoint has an owner that grants credit.
func startFleet(options fleetOptions) *fleet {
	f := &fleet{options: options, dir: GinkgoT().TempDir(), processes: make(map[string]*exec.Cmd)}
	DeferCleanup(f.stop)
	f.buildDocuments()
	f.write("config.yaml", f.document)
	f.write("instances.yaml", f.instanceList)
	f.start("platform", "standin-platform", "--listen", f.platformAddress, "--control", f.controlAddress,
		"--config", f.path("config.yaml"), "--instances", f.path("instances.yaml"))
	for _, endpoint := range f.document.Endpoints {
		if endpoint.Service == "turf-assist" {
			f.start(endpoint.Name, "standin-engine", append([]string{"--listen", endpoint.Address}, options.engineFlags...)...)
		} else {
			f.start(endpoint.Name, "standin-service", append([]string{"--listen", endpoint.Address}, options.deskFlags...)...)
		}
	}
	for i := range f.instanceList.Instances {
		f.startInstance(i)
	}
	f.waitForOwners()
	return f
}

func (f *fleet) buildDocuments() {
	addresses := testkit.FreeAddresses(2 + 3*f.options.instances + f.options.engines + f.options.desks)
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	f.platformAddress, f.controlAddress = nextAddress(), nextAddress()
	f.instanceList.Revision = 1
	for i := range f.options.instances {
		f.instanceList.Instances = append(f.instanceList.Instances, config.Instance{
			Name: fmt.Sprintf("entry-%d", i), Domain: domains[i%len(domains)], Region: region,
			PeerAddress: nextAddress(), GatewayAddress: nextAddress(), OperatorsAddress: nextAddress(),
		})
	}
	d := &f.document
	d.Revision = 1
	for _, domain := range domains {
		d.Domains = append(d.Domains, config.Domain{Name: domain, Region: region})
	}
	d.Models = []config.Model{{Name: "turf-7b"}}
	shortShare := 0.25
	d.Services = []config.Service{
		{
			Name: "turf-assist", Kind: config.KindModel, Region: region, Model: "turf-7b", PrefillRate: 200_000,
			LongPrefills: 1, ShortShare: &shortShare,
			Warm: config.Limit{Streams: 16, Tokens: 400_000}, Cold: config.Limit{Streams: 2, Tokens: 40_000},
		},
		{
			Name: "round-desk", Kind: config.KindPlain, Region: region, LongPrefills: 1, ShortShare: &shortShare,
			Warm: config.Limit{Streams: 16}, Cold: config.Limit{Streams: 4},
		},
	}
	for i := range f.options.engines {
		d.Endpoints = append(d.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("turf-%d", i), Service: "turf-assist", Address: nextAddress(),
			Domain: domains[i%len(domains)], Fencing: config.FencingEnforced,
		})
	}
	for i := range f.options.desks {
		d.Endpoints = append(d.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("desk-%d", i), Service: "round-desk", Address: nextAddress(), Domain: domains[i%len(domains)],
			Fencing: config.FencingIgnored,
		})
	}
	d.Profiles = []config.Profile{
		{
			Name: "current", Service: "turf-assist", DefaultBudget: config.Duration(time.Minute),
			MaxBudget: config.Duration(5 * time.Minute), MaxOutputTokens: 64,
		},
		{
			Name: "desk", Service: "round-desk", DefaultBudget: config.Duration(20 * time.Second),
			MaxBudget: config.Duration(time.Minute),
		},
	}
	d.Teams = []config.Team{{Name: "field", Weight: 4}, {Name: "planning", Weight: 1}}
	if f.options.editConfig != nil {
		f.options.editConfig(d)
	}
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name string, value any) {
	data, err := yaml.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(f.path(name), data, 0o600)).To(Succeed())
}

func (f *fleet) startInstance(i int) {
	instance := f.instanceList.Instances[i]
	common := map[string]any{
		"instance": instance.Name, "domain": instance.Domain, "region": instance.Region, "balancer_lag": "1s",
	}
	controller := map[string]any{
		"addresses": map[string]string{"peers": instance.PeerAddress, "operators": instance.OperatorsAddress},
		"keys":      map[string]string{"peers": peersKey, "operators": operatorsKey},
		"platform":  []string{f.platformAddress},
	}
	gateway := map[string]any{
		"addresses": map[string]string{"callers": instance.GatewayAddress, "controller": instance.PeerAddress},
		"keys":      map[string]string{"peers": peersKey},
	}
	for key, value := range common {
		controller[key], gateway[key] = value, value
	}
	f.write(instance.Name+"-controller.yaml", controller)
	f.write(instance.Name+"-gateway.yaml", gateway)
	f.startController(i)
	f.startGateway(i)
}

func (f *fleet) startController(i int) {
	name := f.instanceList.Instances[i].Name + "-controller"
	f.start(name, "acacia-controller", "--settings", f.path(name+".yaml"))
}

func (f *fleet) startGateway(i int) {
	name := f.instanceList.Instances[i].Name + "-gateway"
	f.start(name, "acacia-gateway", "--settings", f.path(name+".yaml"))
}

func (f *fleet) start(name, binary string, arguments ...string) {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	command := testkit.Command(filepath.Join(binaryDir, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	Expect(command.Start()).To(Succeed())
	_ = log.Close()
	f.processes[name] = command
}

// signal sends a signal to a process of the fleet, and waits for its exit after SIGKILL.
func (f *fleet) signal(name string, signal syscall.Signal) {
	Expect(f.processes[name].Process.Signal(signal)).To(Succeed())
	if signal == syscall.SIGKILL {
		_ = f.processes[name].Wait()
		delete(f.processes, name)
	}
}

// waitForExit waits until a process has exited without an error.
func (f *fleet) waitForExit(name string) {
	GinkgoHelper()
	exited := make(chan error, 1)
	go func() { exited <- f.processes[name].Wait() }()
	Eventually(exited, waitLimit).Should(Receive(BeNil()), name)
	delete(f.processes, name)
}

func (f *fleet) stop() {
	if CurrentSpecReport().Failed() && os.Getenv("KEEP_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(f.dir))
	}
	for _, command := range f.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// statusReports returns the status of all reachable instances.
func (f *fleet) statusReports() []*status.Report {
	var reports []*status.Report
	client := operators.NewClient(operatorsKey)
	for _, response := range client.StatusOfAll(context.Background(), f.instanceList.Instances) {
		if response.Err == nil {
			reports = append(reports, response.Report)
		}
	}
	return reports
}

// waitForOwners waits until all reachable instances report an owner and free streams for every endpoint that accepts work.
func (f *fleet) waitForOwners() {
	GinkgoHelper()
	Eventually(func() string { return f.endpointWithoutOwner() }, waitLimit, "200ms").Should(BeEmpty())
}

// endpointWithoutOwner describes a reason why waitForOwners has to wait, or returns "".
func (f *fleet) endpointWithoutOwner() string {
	reports := f.statusReports()
	if len(reports) == 0 {
		return "no instance is reachable"
	}
	for _, report := range reports {
		if len(report.Endpoints) == 0 {
			return report.Instance + " knows no endpoints"
		}
		for _, endpoint := range report.Endpoints {
			if endpoint.AcceptsWork && (endpoint.Owner == "" || endpoint.FreeStreams == 0) {
				return fmt.Sprintf("%s: %s %+v", report.Instance, endpoint.Name, endpoint)
			}
		}
	}
	return ""
}

// waitForRevision waits until all reachable instances have the revision.
func (f *fleet) waitForRevision(revision uint64) {
	GinkgoHelper()
	Eventually(func() bool {
		reports := f.statusReports()
		for _, report := range reports {
			if report.Config.Revision != revision {
				return false
			}
		}
		return len(reports) > 0
	}, waitLimit, "100ms").Should(BeTrue())
}

// publish publishes the next revision of the configuration on the platform.
func (f *fleet) publish(edit func(*config.Document)) {
	GinkgoHelper()
	f.document.Revision++
	edit(&f.document)
	data, err := yaml.Marshal(f.document)
	Expect(err).NotTo(HaveOccurred())
	url := fmt.Sprintf("http://%s/control/config?revision=%d", f.controlAddress, f.document.Revision)
	response, err := http.Post(url, "application/yaml", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// result is the response to one request as its caller received it.
type result struct {
	status  int
	outcome string
	body    string
	err     error
}

func (f *fleet) send(instance int, method, path, profile, key, body string) result {
	return f.sendWith(instance, method, path, profile, key, body, nil)
}

// setEngineFaults replaces the injected faults of an engine stand-in.
func (f *fleet) setEngineFaults(name, faults string) {
	GinkgoHelper()
	for _, e := range f.document.Endpoints {
		if e.Name == name {
			response, err := http.Post("http://"+e.Address+"/standin/control", "application/json", strings.NewReader(faults))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(BeNumerically("<", 300))
		}
	}
}

func (f *fleet) sendWith(
	instance int, method, path, profile, key, body string, header map[string]string,
) result {
	url := "http://" + f.instanceList.Instances[instance].GatewayAddress + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set("X-Acacia-Team", "field")
	request.Header.Set("X-Acacia-Profile", profile)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	return result{
		status: response.StatusCode, outcome: response.Header.Get("X-Acacia-Outcome"), body: content.String(), err: err,
	}
}

func (f *fleet) sendCompletion(instance int, prompt string, tokens int, stream bool) result {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens, "stream": stream})
	Expect(err).NotTo(HaveOccurred())
	return f.send(instance, http.MethodPost, "/v1/completions", "current", "", string(body))
}

// engineStats reads the counters of an engine stand-in.
func (f *fleet) engineStats(name string) standin.EngineStats {
	GinkgoHelper()
	var stats standin.EngineStats
	f.getJSON(name, "/standin/stats", &stats)
	return stats
}

func (f *fleet) getJSON(endpoint, path string, into any) {
	GinkgoHelper()
	for _, e := range f.document.Endpoints {
		if e.Name == endpoint {
			response, err := http.Get("http://" + e.Address + path)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
			return
		}
	}
	Fail("no endpoint " + endpoint)
}

// ownerOf returns the index of the instance that the first reachable instance reports as the owner of an endpoint.
func (f *fleet) ownerOf(endpoint string) int {
	GinkgoHelper()
	for _, e := range f.statusReports()[0].Endpoints {
		if e.Name != endpoint {
			continue
		}
		for i := range f.instanceList.Instances {
			if f.instanceList.Instances[i].Name == e.Owner {
				return i
			}
		}
	}
	Fail("no owner of " + endpoint)
	return 0
}

// formatReports returns the status of all reachable instances as JSON, to be printed with a failed expectation.
func (f *fleet) formatReports() string {
	text, err := json.MarshalIndent(f.statusReports(), "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// leaseHolder returns the first reachable instance that reports a lease of an endpoint, or "".
func (f *fleet) leaseHolder(endpoint string) string {
	for _, report := range f.statusReports() {
		for _, lease := range report.Leases {
			if lease.Resource == "endpoint/"+endpoint {
				return report.Instance
			}
		}
	}
	return ""
}
