package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The record of what was sent, answered and run.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
)

func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	if recordFile != nil {
		fmt.Fprintln(recordFile, line)
	}
}

var (
	processesMu sync.Mutex
	processes   []*process
	folder      string
)

// process is a process that this test has started.
type process struct {
	name    string
	command *exec.Cmd
	input   io.Writer
	lines   chan string
	ended   chan struct{}
}

// endAll ends all processes that were started, and deletes the temporary folder.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	_ = os.RemoveAll(folder)
}

func exit(code int, format string, args ...any) {
	record(format, args...)
	endAll()
	os.Exit(code)
}

func cannotRun(format string, args ...any) { exit(2, "the case could not run: "+format, args...) }

func startProcess(name string, showsLines bool, path string, args ...string) *process {
	p := &process{name: name, command: exec.Command(path, args...), lines: make(chan string, 1<<16), ended: make(chan struct{})}
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err == nil {
		p.input, err = p.command.StdinPipe()
	}
	if err == nil {
		err = p.command.Start()
	}
	if err != nil {
		cannotRun("%s does not start: %v", name, err)
	}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if showsLines {
				record("%s: %s", name, scanner.Text())
			}
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		_ = p.command.Wait()
		close(p.ended)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) {
	record("signal to %s: %v", p.name, s)
	if err := p.command.Process.Signal(s); err != nil {
		cannotRun("no signal to %s: %v", p.name, err)
	}
}

// await waits for a line that begins with a text.
func (p *process) await(prefix string, timeout time.Duration) string {
	limit := time.After(timeout)
	for {
		select {
		case line := <-p.lines:
			if strings.HasPrefix(line, prefix) {
				return line
			}
		case <-limit:
			cannotRun("%s did not say %q", p.name, prefix)
		}
	}
}

func startServer(name, address, id string, born int64) *process {
	p := startProcess(name, true, os.Args[0], "server", "--address", address, "--id", id, "--born", fmt.Sprint(born))
	p.await("listening", 5*time.Second)
	return p
}

// seed is the peers' address of the first machine that was started.
var seed string

var givenPorts = map[int]bool{}

// freeAddress returns a loopback address with a port below those that the kernel gives to outgoing connections, so that a server can listen
// there again.
func freeAddress() string {
	const first, count = 20000, 12000
	for range 1000 {
		port := first + rand.IntN(count)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if givenPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		givenPorts[port] = true
		return address
	}
	cannotRun("no free port")
	return ""
}

// entry is a process of the system.
type entry struct {
	*process
	callers, readiness string
}

// settings is deploy/settings.yaml.tmpl filled in for one machine of a small deployment.
const settings = `instance: "%s"
domain: "nadi-yard"
region: "viti-west"
log_level: info
addresses:
  callers: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
platform: "%s"
seeds: ["%s"]
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
`

// startEntry starts the program of the deploy file and waits until it is ready.
func startEntry(name, storeAddress string, showsLog bool) *entry {
	e := &entry{callers: freeAddress(), readiness: freeAddress()}
	peers := freeAddress()
	if seed == "" {
		seed = peers
	}
	path := filepath.Join(folder, name+".yaml")
	text := fmt.Sprintf(settings, name, e.callers, e.readiness, peers, freeAddress(), storeAddress, seed)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun("no settings file: %v", err)
	}
	e.process = startProcess(name, showsLog, "target/acacia-entry", "--settings", path)
	client := http.Client{Timeout: time.Second}
	for range 200 {
		if response, err := client.Get("http://" + e.readiness + "/v1/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return e
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready", name)
	return nil
}

// answer is what a client gets.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
}

// send sends a request on a new connection and reads the answer to its end.
func (e *entry) send(method, path, id string, deadline time.Duration) answer {
	return e.sendTokens(method, path, id, deadline, "1460,80")
}

// sendTokens is send with the tokens of a prompt and its answer.
func (e *entry) sendTokens(method, path, id string, deadline time.Duration, tokens string) answer {
	record("client: sends %s %s %s", id, method, path)
	began := time.Now()
	a := e.request(method, path, id, deadline, tokens)
	record("client: %s status %d, body %d bytes, complete by its framing: %t, error %v, after %d ms", id, a.status, len(a.body), a.complete, a.err,
		time.Since(began).Milliseconds())
	return a
}

// request is sendTokens without lines in the record.
func (e *entry) request(method, path, id string, deadline time.Duration, tokens string) answer {
	a := answer{}
	r, _ := http.NewRequest(method, "http://"+e.callers+path, nil)
	if method == http.MethodPost {
		r, _ = http.NewRequest(method, "http://"+e.callers+path, strings.NewReader("{}"))
	}
	r.Host = "ficu95.example"
	r.Header.Set("Acacialift-Request-Id", id)
	r.Header.Set("Acacialift-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Api-Key", "n2ctnfzs989anu6wsjnb")
	if strings.Contains(path, "/m/") {
		r.Header.Set("Acacialift-Model", "m")
		r.Header.Set("Acacialift-Token-Usage", tokens)
		r.Header.Set("Acacialift-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+id+":250")
	}
	response, err := (&http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline,
	}).Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	var b strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			a.complete = err.Error() == "EOF"
			if !a.complete {
				a.err = err
			}
			break
		}
	}
	a.body = b.String()
	return a
}

// hasSaid reports whether a line with a text has come by now.
func (p *process) hasSaid(text string) bool {
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) && strings.HasPrefix(line, "turned-away") {
				return true
			}
		case <-time.After(50 * time.Millisecond):
			return false
		}
	}
}
