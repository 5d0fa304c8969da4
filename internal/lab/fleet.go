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
	// Binaries is the folder of the built binaries. The default is the folder of the running binary.
	Binaries string
	// Folder is the folder for settings and logs.
	Folder string
	// EngineFlags are passed to the engine stand-ins, ServerFlags to the stand-ins of plain services.
	EngineFlags []string
	ServerFlags []string
	// EndpointsPerProcess is the maximum number of endpoints in one stand-in process; the default is 10.
	EndpointsPerProcess int
	// GatewaySettings are added to the settings of every gateway, CommonSettings to those of every gateway and controller.
	GatewaySettings map[string]any
	CommonSettings  map[string]any
}

const (
	defaultEndpointsPerProcess = 10
	ownerCheckInterval         = 200 * time.Millisecond
	// ownerTimeout covers the hold-off of voters after their start and the wait of new owners, on a busy machine.
	ownerTimeout = time.Minute
	httpTimeout  = 5 * time.Second
	// replaceDelay covers the start of a process and several polls of its controller.
	replaceDelay = time.Second
	// balancerLag is short because there is no load balancer in front of the gateways.
	balancerLag = "1s"
)

// Fleet is a running deployment.
type Fleet struct {
	*Deployment
	options   Options
	http      *http.Client
	operators *operators.Client
	// processes holds the running child processes by name. everStarted holds the names of all processes started so far.
	processes   map[string]*exec.Cmd
	everStarted map[string]bool
}

// Start starts all processes of a deployment and waits until each endpoint that accepts work has an owner that grants
// credits. If it fails, it stops the processes that it has started.
func Start(ctx context.Context, d *Deployment, options Options) (*Fleet, error) {
	f := &Fleet{
		Deployment:  d,
		options:     options,
		http:        &http.Client{Timeout: httpTimeout},
		operators:   operators.NewClient(d.OperatorsKey),
		processes:   make(map[string]*exec.Cmd),
		everStarted: make(map[string]bool),
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.options.Binaries == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		f.options.Binaries = filepath.Dir(executable)
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

// Logs returns shell patterns that match the logs of all gateways and controllers.
func (f *Fleet) Logs() string { return f.Path("*-gateway.log") + " " + f.Path("*-controller.log") }

func (f *Fleet) startPlatform() error {
	if err := f.write("config.yaml", f.Document); err != nil {
		return err
	}
	if err := f.write("instances.yaml", f.List); err != nil {
		return err
	}
	args := []string{"--control", f.PlatformControl, "--config", f.Path("config.yaml"), "--instances", f.Path("instances.yaml")}
	for _, address := range f.PlatformAddresses {
		args = append(args, "--listen", address)
	}
	return f.startProcess("platform", "standin-platform", args...)
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
			// The endpoints of a plain service share their bookings and therefore run in one process.
			binary, flags, perProcess = "standin-service", f.options.ServerFlags, len(f.Document.Endpoints)
		}
		for _, group := range splitByPort(f.Endpoints(service.Name), perProcess) {
			args := append([]string{"--listen", group[0].Address, "--count", strconv.Itoa(len(group))}, flags...)
			if err := f.startProcess("standin-"+group[0].Name, binary, args...); err != nil {
				return err
			}
		}
	}
	return nil
}

// splitByPort splits endpoints into groups of at most limit endpoints with consecutive ports.
func splitByPort(endpoints []config.Endpoint, limit int) [][]config.Endpoint {
	var groups [][]config.Endpoint
	for _, endpoint := range endpoints {
		last := len(groups) - 1
		if last >= 0 && len(groups[last]) < limit && isNextPort(groups[last][len(groups[last])-1].Address, endpoint.Address) {
			groups[last] = append(groups[last], endpoint)
			continue
		}
		groups = append(groups, []config.Endpoint{endpoint})
	}
	return groups
}

func isNextPort(a, b string) bool {
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
		"platform":  f.PlatformAddresses,
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
		for key, value := range f.options.CommonSettings {
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

// Restart starts a gateway or controller that is not running. Its name is INSTANCE-gateway or INSTANCE-controller.
func (f *Fleet) Restart(name string) error {
	for _, instance := range f.List.Instances {
		for _, kind := range []string{"controller", "gateway"} {
			if name == instance.Name+"-"+kind {
				return f.startProcess(name, "acacia-"+kind, "--settings", f.Path(name+".yaml"))
			}
		}
	}
	return fmt.Errorf("%s is not the gateway or controller of an instance", name)
}

// Replace kills a gateway or controller, starts it again and waits until all endpoints have owners.
func (f *Fleet) Replace(ctx context.Context, name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	if err := f.Restart(name); err != nil {
		return err
	}
	if err := sleep(ctx, replaceDelay); err != nil {
		return err
	}
	return f.WaitForOwners(ctx)
}

// startProcess starts a child process in a new process group. An interrupt from the terminal then reaches only the lab,
// which stops its child processes.
func (f *Fleet) startProcess(name, binary string, args ...string) error {
	if f.processes[name] != nil {
		return fmt.Errorf("process %s is already running", name)
	}
	mode := os.O_APPEND
	if !f.everStarted[name] {
		mode = os.O_TRUNC
	}
	f.everStarted[name] = true
	log, err := os.OpenFile(f.Path(name+".log"), os.O_CREATE|os.O_WRONLY|mode, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.options.Binaries, binary), args...)
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

// PID returns the process ID of a running process, or 0.
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
		return fmt.Errorf("process %s is not running", name)
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

// Stop kills all processes of the fleet, including those suspended by a signal.
func (f *Fleet) Stop() {
	for _, command := range f.processes {
		_ = command.Process.Kill()
	}
	for _, command := range f.processes {
		_ = command.Wait()
	}
	clear(f.processes)
}
