// Package process_test runs the real binaries on loopback and kills, stops and continues them. Its verdicts are about
// safety, never about elapsed time; waiting has generous limits.
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
	// startLimit covers the voters' silence and the wait of new owners on a busy machine.
	startLimit = "60s"
	region     = "viti-west"
)

var (
	domains  = []string{"nadi-yard", "lautoka-yard", "sigatoka-yard"}
	binaries string
)

func TestProcess(t *testing.T) { testkit.RunSpecs(t, "process") }

var _ = BeforeSuite(func() {
	var err error
	binaries, err = testkit.BuildBinaries()
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() { _ = os.RemoveAll(binaries) })

// fleetOptions describes a deployment.
type fleetOptions struct {
	instances int
	engines   int
	desks     int
	// engineFlags are passed to the engine stand-ins.
	engineFlags []string
	// deskFlags are passed to the plain services' stand-ins.
	deskFlags []string
	// edit changes the first configuration before it is published.
	edit func(*config.Document)
}

// fleet is a running deployment.
type fleet struct {
	options   fleetOptions
	dir       string
	document  config.Document
	list      config.InstanceList
	control   string
	processes map[string]*exec.Cmd
	platform  string
}

// startFleet starts all processes and waits until each endpoint has an owner that grants.
func startFleet(options fleetOptions) *fleet {
	f := &fleet{options: options, dir: GinkgoT().TempDir(), processes: make(map[string]*exec.Cmd)}
	DeferCleanup(f.stop)
	f.describe()
	f.write("config.yaml", f.document)
	f.write("instances.yaml", f.list)
	f.start("platform", "standin-platform", "--listen", f.platform, "--control", f.control,
		"--config", f.path("config.yaml"), "--instances", f.path("instances.yaml"))
	for _, endpoint := range f.document.Endpoints {
		if endpoint.Service == "turf-assist" {
			f.start(endpoint.Name, "standin-engine", append([]string{"--listen", endpoint.Address}, options.engineFlags...)...)
		} else {
			f.start(endpoint.Name, "standin-service", append([]string{"--listen", endpoint.Address}, options.deskFlags...)...)
		}
	}
	for i := range f.list.Instances {
		f.startInstance(i)
	}
	f.waitForOwners()
	return f
}

func (f *fleet) describe() {
	addresses := testkit.FreeAddresses(2 + 3*f.options.instances + f.options.engines + f.options.desks)
	take := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	f.platform, f.control = take(), take()
	f.list.Revision = 1
	for i := range f.options.instances {
		f.list.Instances = append(f.list.Instances, config.Instance{
			Name: fmt.Sprintf("entry-%d", i), Domain: domains[i%len(domains)], Region: region,
			PeerAddress: take(), GatewayAddress: take(), OperatorsAddress: take(),
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
			Name: fmt.Sprintf("turf-%d", i), Service: "turf-assist", Address: take(),
			Domain: domains[i%len(domains)], Fencing: config.FencingEnforced,
		})
	}
	for i := range f.options.desks {
		d.Endpoints = append(d.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("desk-%d", i), Service: "round-desk", Address: take(), Domain: domains[i%len(domains)],
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
	if f.options.edit != nil {
		f.options.edit(d)
	}
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name string, value any) {
	data, err := yaml.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(f.path(name), data, 0o600)).To(Succeed())
}

func (f *fleet) startInstance(i int) {
	instance := f.list.Instances[i]
	common := map[string]any{
		"instance": instance.Name, "domain": instance.Domain, "region": instance.Region, "balancer_lag": "1s",
	}
	controller := map[string]any{
		"addresses": map[string]string{"peers": instance.PeerAddress, "operators": instance.OperatorsAddress},
		"keys":      map[string]string{"peers": peersKey, "operators": operatorsKey},
		"platform":  []string{f.platform},
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
	name := f.list.Instances[i].Name + "-controller"
	f.start(name, "acacia-controller", "--settings", f.path(name+".yaml"))
}

func (f *fleet) startGateway(i int) {
	name := f.list.Instances[i].Name + "-gateway"
	f.start(name, "acacia-gateway", "--settings", f.path(name+".yaml"))
}

func (f *fleet) start(name, binary string, arguments ...string) {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(filepath.Join(binaries, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	Expect(command.Start()).To(Succeed())
	_ = log.Close()
	f.processes[name] = command
}

// signal sends a signal to one of the fleet's own processes.
func (f *fleet) signal(name string, signal syscall.Signal) {
	Expect(f.processes[name].Process.Signal(signal)).To(Succeed())
	if signal == syscall.SIGKILL {
		_ = f.processes[name].Wait()
		delete(f.processes, name)
	}
}

// waitForExit waits until a process has ended by itself without an error.
func (f *fleet) waitForExit(name string) {
	GinkgoHelper()
	ended := make(chan error, 1)
	go func() { ended <- f.processes[name].Wait() }()
	Eventually(ended, startLimit).Should(Receive(BeNil()), name)
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

// reports returns the status of the instances that answer.
func (f *fleet) reports() []*status.Report {
	var reports []*status.Report
	client := operators.NewClient(operatorsKey)
	for _, answer := range client.StatusOfAll(context.Background(), f.list.Instances) {
		if answer.Err == nil {
			reports = append(reports, answer.Report)
		}
	}
	return reports
}

// waitForOwners waits until every endpoint that accepts work has free streams at its owner on all instances' boards.
func (f *fleet) waitForOwners() {
	GinkgoHelper()
	Eventually(func() string { return f.missingOwner() }, startLimit, "200ms").Should(BeEmpty())
}

func (f *fleet) missingOwner() string {
	reports := f.reports()
	if len(reports) == 0 {
		return "no instance answers"
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

// waitForRevision waits until all instances that answer have the revision.
func (f *fleet) waitForRevision(revision uint64) {
	GinkgoHelper()
	Eventually(func() bool {
		reports := f.reports()
		for _, report := range reports {
			if report.Config.Revision != revision {
				return false
			}
		}
		return len(reports) > 0
	}, startLimit, "100ms").Should(BeTrue())
}

// publish puts the next revision of the configuration on the platform.
func (f *fleet) publish(edit func(*config.Document)) {
	GinkgoHelper()
	f.document.Revision++
	edit(&f.document)
	data, err := yaml.Marshal(f.document)
	Expect(err).NotTo(HaveOccurred())
	url := fmt.Sprintf("http://%s/control/config?revision=%d", f.control, f.document.Revision)
	response, err := http.Post(url, "application/yaml", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// answer is a caller's view of one request.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (f *fleet) send(instance int, method, path, profile, key, body string) answer {
	return f.sendWith(instance, method, path, profile, key, body, nil)
}

// controlEngine replaces the faults of an engine stand-in.
func (f *fleet) controlEngine(name, faults string) {
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
) answer {
	url := "http://" + f.list.Instances[instance].GatewayAddress + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer response.Body.Close()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	return answer{
		status: response.StatusCode, outcome: response.Header.Get("X-Acacia-Outcome"), body: content.String(), err: err,
	}
}

func (f *fleet) complete(instance int, prompt string, tokens int, stream bool) answer {
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

// ownerOf returns the index of the instance that the board of the first answering instance names.
func (f *fleet) ownerOf(endpoint string) int {
	GinkgoHelper()
	for _, e := range f.reports()[0].Endpoints {
		if e.Name != endpoint {
			continue
		}
		for i := range f.list.Instances {
			if f.list.Instances[i].Name == e.Owner {
				return i
			}
		}
	}
	Fail("no owner of " + endpoint)
	return 0
}

// describeReports returns the status of the instances that answer, as evidence of a failed expectation.
func (f *fleet) describeReports() string {
	text, err := json.MarshalIndent(f.reports(), "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// liveOwner returns the owner that any answering instance names for an endpoint with fresh evidence, or "".
func (f *fleet) liveOwner(endpoint string) string {
	for _, report := range f.reports() {
		for _, lease := range report.Leases {
			if lease.Resource == "endpoint/"+endpoint {
				return report.Instance
			}
		}
	}
	return ""
}
