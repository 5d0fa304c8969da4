// Command rig plays the cases of the second review against real processes of acacia-entry on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

var (
	started   = time.Now()
	recordMu  sync.Mutex
	recordTo  *os.File
	processes []*exec.Cmd
	tempDir   string
)

// record writes a line with the time since the start of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordTo, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time since the start of the case in seconds.
func at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(started).Seconds()) }

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	end(exitNoRun)
}

// end stops all processes of the case and exits.
func end(code int) {
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
	if recordTo != nil {
		record("exit code %d (0 held, 1 broken, 2 could not run)", code)
	}
	os.Exit(code)
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = make(map[int]bool)

// freeAddress returns a free loopback address that it has not returned before. Its port is below those that the kernel gives to
// connections, so that it stays free until it is used.
func freeAddress() string {
	const lowest, count, tries = 20000, 10000, 1000
	for range tries {
		port := lowest + rand.IntN(count)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		usedPorts[port] = true
		return address
	}
	fail("no free port")
	return ""
}

// troubled reports whether the case is played with its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// instance is one process of acacia-entry.
type instance struct {
	name, callers, readiness, peers string
	settings                        string
	cmd                             *exec.Cmd
}

// newInstances starts a fleet with settings like those that deploy/settings.yaml.tmpl makes of a small deployment.
func newInstances(count int, platform string) []*instance {
	var list []*instance
	var seeds []string
	for i := range count {
		in := &instance{
			name: fmt.Sprintf("front-nadi-yard-%d", i+1), callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(),
		}
		list = append(list, in)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", in.peers))
		}
	}
	for _, in := range list {
		in.settings = filepath.Join(tempDir, in.name+".yaml")
		text := fmt.Sprintf(`instance: %q
domain: "nadi-yard"
region: "viti-west"
log_level: info
addresses:
  callers: %q
  readiness: %q
  peers: %q
  metrics: %q
platform: %q
seeds: [%s]
peers_key: acacialift-entry-instances
bounds:
  stop_grace: 8s
  strict_revocation: true
  revocation_time: 5000ms
  retry_ratio: 0.2
  retry_slack: 102
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 5
  least_instances: 12
  max_connections: 3000
limits: { processor_share: 0.4, memory_mb: 284, descriptors: 4200 }
scheduling: { queue: auto, return_times: off, pace: auto }
`, in.name, in.callers, in.readiness, in.peers, freeAddress(), platform, strings.Join(seeds, ","))
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		in.start()
	}
	return list
}

// start starts the process with the command of the deploy file.
func (in *instance) start() {
	in.cmd = exec.Command("target/acacia-entry", "--settings", in.settings)
	logFile, err := os.OpenFile(filepath.Join(tempDir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	in.cmd.Stdout, in.cmd.Stderr = logFile, logFile
	if err := in.cmd.Start(); err != nil {
		fail("acacia-entry: %v", err)
	}
	processes = append(processes, in.cmd)
	record("%s started: callers %s, readiness %s", in.name, in.callers, in.readiness)
}

// waitReady waits until all instances answer the readiness question with 200.
func waitReady(list []*instance) {
	until := time.Now().Add(15 * time.Second)
	for _, in := range list {
		for {
			if r := call(in.readiness, request{method: "GET", target: "/v1/ready", host: "ready"}, time.Second); r.status == 200 {
				break
			}
			if time.Now().After(until) {
				dumpLogs()
				fail("%s does not become ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("all instances are ready")
}

// dumpLogs copies the logs of the processes to standard error.
func dumpLogs() {
	names, _ := filepath.Glob(filepath.Join(tempDir, "*.log"))
	for _, name := range names {
		data, _ := os.ReadFile(name)
		fmt.Fprintf(os.Stderr, "== %s\n%s\n", filepath.Base(name), data)
	}
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serveChild(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		serveEngine(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	cases := map[string]func() int{"drill": playDrill, "half": playHalf, "shed": playShed}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNoRun)
	}
	var err error
	if recordTo, err = os.Create(os.Args[2]); err != nil {
		fail("%v", err)
	}
	if tempDir, err = os.MkdirTemp("", "review"); err != nil {
		fail("%v", err)
	}
	code := cases[os.Args[1]]()
	if os.Getenv("LOGS") != "" {
		dumpLogs()
	}
	end(code)
}
