package lab

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/operators"
)

// Options configures a fleet.
type Options struct {
	// Binaries is the folder of the built binaries; the default is that of the running one.
	Binaries string
	// Folder receives settings and logs.
	Folder string
	// EngineFlags and ServerFlags are passed to the stand-ins.
	EngineFlags []string
	ServerFlags []string
	// EndpointsPerProcess bounds the endpoints that one stand-in process holds; the default is 10.
	EndpointsPerProcess int
	// GatewaySettings are added to the settings of every gateway, Common to those of controllers too.
	GatewaySettings map[string]any
	Common          map[string]any
}

const (
	defaultEndpointsPerProcess = 10
	ownerCheckInterval         = 200 * time.Millisecond
	// ownerTimeout covers the voters' silence and the wait of new owners on a busy machine.
	ownerTimeout = time.Minute
	httpTimeout  = 5 * time.Second
	// replaceWait covers the start of a process and a few polls of its controller.
	replaceWait = time.Second
	// balancerLag is short because nothing stands before the gateways of a lab.
	balancerLag = "1s"
)

// Fleet is a running deployment.
type Fleet struct {
	*Deployment
	options   Options
	http      *http.Client
	operators *operators.Client
	// processes holds the running children by name; launched those that were ever started.
	processes map[string]*exec.Cmd
	launched  map[string]bool
}

// Start starts all processes of a deployment and waits until each endpoint that accepts work has an owner that grants.
// It stops what it started if it fails.
func Start(ctx context.Context, d *Deployment, options Options) (*Fleet, error) {
	f := &Fleet{
		Deployment: d,
		options:    options,
		http:       &http.Client{Timeout: httpTimeout},
		operators:  operators.NewClient(d.OperatorsKey),
		processes:  make(map[string]*exec.Cmd),
		launched:   make(map[string]bool),
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.options.Binaries == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		f.options.Binaries = filepath.Dir(own)
	}
	if f.options.EndpointsPerProcess == 0 {
		f.options.EndpointsPerProcess = defaultEndpointsPerProcess
	}
	if err := os.MkdirAll(f.options.Folder, 0o755); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	for i := range f.List.Instances {
		if err := f.startInstance(i); err != nil {
			return err
		}
	}
	return f.WaitForOwners(ctx)
}

// Path returns the path of a file in the fleet's folder.
func (f *Fleet) Path(name string) string { return filepath.Join(f.options.Folder, name) }

// Logs returns a pattern for the logs of gateways and controllers.
func (f *Fleet) Logs() string { return f.Path("*-gateway.log") + " " + f.Path("*-controller.log") }

func (f *Fleet) startPlatform() error {
	if err := f.write("config.yaml", f.Document); err != nil {
		return err
	}
	if err := f.write("instances.yaml", f.List); err != nil {
		return err
	}
	arguments := []string{"--control", f.Control, "--config", f.Path("config.yaml"), "--instances", f.Path("instances.yaml")}
	for _, address := range f.Platform {
		arguments = append(arguments, "--listen", address)
	}
	return f.launch("platform", "standin-platform", arguments...)
}

func (f *Fleet) write(name string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(f.Path(name), data, 0o600)
}

func (f *Fleet) startEndpoints() error {
	for _, service := range f.Document.Services {
		binary, flags := "standin-engine", f.options.EngineFlags
		perProcess := f.options.EndpointsPerProcess
		if service.Kind == config.KindPlain {
			// The servers of a plain service share their bookings, hence one process.
			binary, flags, perProcess = "standin-service", f.options.ServerFlags, len(f.Document.Endpoints)
		}
		for _, run := range consecutive(f.Endpoints(service.Name), perProcess) {
			arguments := append([]string{"--listen", run[0].Address, "--count", strconv.Itoa(len(run))}, flags...)
			if err := f.launch("standin-"+run[0].Name, binary, arguments...); err != nil {
				return err
			}
		}
	}
	return nil
}

// consecutive splits endpoints into runs of consecutive ports.
func consecutive(endpoints []config.Endpoint, limit int) [][]config.Endpoint {
	var runs [][]config.Endpoint
	for _, endpoint := range endpoints {
		last := len(runs) - 1
		if last >= 0 && len(runs[last]) < limit && follows(runs[last][len(runs[last])-1].Address, endpoint.Address) {
			runs[last] = append(runs[last], endpoint)
			continue
		}
		runs = append(runs, []config.Endpoint{endpoint})
	}
	return runs
}

func follows(a, b string) bool {
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	return err == nil && first.Addr() == second.Addr() && second.Port() == first.Port()+1
}

func (f *Fleet) startInstance(i int) error {
	instance := f.List.Instances[i]
	controller := map[string]any{
		"addresses": map[string]string{"peers": instance.PeerAddress, "operators": instance.OperatorsAddress},
		"keys":      map[string]string{"peers": f.PeersKey, "operators": f.OperatorsKey},
		"platform":  f.Platform,
	}
	gateway := map[string]any{
		"addresses": map[string]string{"callers": instance.GatewayAddress, "controller": instance.PeerAddress},
		"keys":      map[string]string{"peers": f.PeersKey},
	}
	for _, settings := range []map[string]any{controller, gateway} {
		settings["instance"] = instance.Name
		settings["domain"] = instance.Domain
		settings["region"] = instance.Region
		settings["balancer_lag"] = balancerLag
		for key, value := range f.options.Common {
			settings[key] = value
		}
	}
	for key, value := range f.options.GatewaySettings {
		gateway[key] = value
	}
	for kind, settings := range map[string]map[string]any{"controller": controller, "gateway": gateway} {
		name := instance.Name + "-" + kind
		if err := f.write(name+".yaml", settings); err != nil {
			return err
		}
		if err := f.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

// Restart starts a gateway or controller, named INSTANCE-gateway or INSTANCE-controller, that does not run.
func (f *Fleet) Restart(name string) error {
	for _, instance := range f.List.Instances {
		for _, kind := range []string{"controller", "gateway"} {
			if name == instance.Name+"-"+kind {
				return f.launch(name, "acacia-"+kind, "--settings", f.Path(name+".yaml"))
			}
		}
	}
	return fmt.Errorf("no instance has the process %s", name)
}

// Replace kills a gateway or controller, starts it again and waits until all endpoints have owners.
func (f *Fleet) Replace(ctx context.Context, name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	if err := f.Restart(name); err != nil {
		return err
	}
	if err := pause(ctx, replaceWait); err != nil {
		return err
	}
	return f.WaitForOwners(ctx)
}

// launch starts a process in a group of its own, so that an interrupt from the terminal reaches the lab only, which then
// stops its children.
func (f *Fleet) launch(name, binary string, arguments ...string) error {
	if f.processes[name] != nil {
		return fmt.Errorf("%s runs already", name)
	}
	mode := os.O_APPEND
	if !f.launched[name] {
		mode = os.O_TRUNC
	}
	f.launched[name] = true
	log, err := os.OpenFile(f.Path(name+".log"), os.O_CREATE|os.O_WRONLY|mode, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.options.Binaries, binary), arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s (run make build first): %w", name, err)
	}
	f.processes[name] = command
	return nil
}

// Processes returns the names of the running processes.
func (f *Fleet) Processes() []string {
	names := make([]string, 0, len(f.processes))
	for name := range f.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PID returns the process id of a running process, or 0.
func (f *Fleet) PID(name string) int {
	if command := f.processes[name]; command != nil {
		return command.Process.Pid
	}
	return 0
}

// Signal sends a signal to one process. After SIGKILL it waits for the process to end.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	command := f.processes[name]
	if command == nil {
		return fmt.Errorf("no process %s runs", name)
	}
	if err := command.Process.Signal(signal); err != nil {
		return err
	}
	if signal == syscall.SIGKILL {
		_ = command.Wait()
		delete(f.processes, name)
	}
	return nil
}

// Stop ends all processes of the fleet, also stopped ones.
func (f *Fleet) Stop() {
	for _, command := range f.processes {
		_ = command.Process.Kill()
	}
	for _, command := range f.processes {
		_ = command.Wait()
	}
	clear(f.processes)
}
