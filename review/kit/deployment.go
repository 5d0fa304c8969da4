package main

import (
	"bufio"
	"context"
	"errors"
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

// deployment is one store, some servers and some machines, each of which runs the program of the deploy file.
type deployment struct {
	folder string
	began  time.Time
	out    *bufio.Writer
	store  *store

	servers  []*server
	machines []*machine

	mu       sync.Mutex
	runs     map[string]int
	problem  error
	sequence int
}

func newDeployment(recordFile string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "acacialift-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, began: time.Now(), out: bufio.NewWriter(file), runs: map[string]int{}}
	d.store, err = startStore()
	return d, err
}

// close ends all machines and servers.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
	}
	for _, s := range d.servers {
		_ = s.http.Close()
	}
	_ = d.store.server.Close()
	d.mu.Lock()
	_ = d.out.Flush()
	d.mu.Unlock()
	_ = os.RemoveAll(d.folder)
}

// record writes a line with the time since the begin of the run.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.out, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail notes that the case could not run.
func (d *deployment) fail(format string, args ...any) {
	d.record(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.problem == nil {
		d.problem = fmt.Errorf(format, args...)
	}
}

func (d *deployment) ran(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

func (d *deployment) runsOf(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

func (d *deployment) nextID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+d.sequence)
}

func (d *deployment) addServer(s *server) error {
	s.d = d
	d.servers = append(d.servers, s)
	return s.start(0)
}

// machine is one process of the deploy file.
type machine struct {
	d                                      *deployment
	name                                   string
	callers, readiness, peers, metricsAddr string
	settings                               string
	command                                *exec.Cmd
	ended                                  chan struct{}
}

// The ports of the stand-ins and the machines lie below those that the kernel gives to outgoing connections. A server or machine that
// starts again then finds its port free.
const (
	firstPort = 20000
	portCount = 11000
)

// listen opens a listener at a free port of the loopback address.
func listen() (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// settingsText is what deploy/settings.yaml.tmpl gives for a machine of the site vtag-core.
const settingsText = `instance: "%[1]s"
domain: "%[2]s"
region: "viti-west"
log_level: info
addresses:
  callers: "%[3]s"
  readiness: "%[4]s"
  peers: "%[5]s"
  metrics: "%[6]s"
platform: "%[7]s"
seeds: ["%[8]s"]
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
`

// addMachines writes the settings of machines, the first three of which are seeds. It does not start them.
func (d *deployment) addMachines(zones ...string) error {
	addresses, err := freeAddresses(4 * len(zones))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range zones[:min(len(zones), 3)] {
		seeds = append(seeds, addresses[4*i+2])
	}
	for i, zone := range zones {
		a := addresses[4*i:]
		m := &machine{
			d: d, name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: a[0], readiness: a[1], peers: a[2], metricsAddr: a[3],
			settings: filepath.Join(d.folder, fmt.Sprintf("machine-%d.yaml", i+1)),
		}
		text := fmt.Sprintf(settingsText, m.name, zone, a[0], a[1], a[2], a[3], d.store.address, strings.Join(seeds, `","`))
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	return nil
}

// start runs the command of the deploy file with the settings of the machine.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command("target/acacia-entry", "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.d.record("start machine=%s", m.name)
	ended, command := make(chan struct{}), m.command
	m.ended = ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Kill()
	<-m.ended
}

// terminate sends SIGTERM and waits for the end of the process.
func (m *machine) terminate() {
	m.d.record("SIGTERM machine=%s", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	<-m.ended
	m.d.record("ended machine=%s", m.name)
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return errors.New(m.name + " is not ready")
}

// keepLogs copies the machines' logs beside the record, for the reader.
func (d *deployment) keepLogs(folder string) {
	for _, m := range d.machines {
		if text, err := os.ReadFile(filepath.Join(d.folder, m.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, m.name+".log"), text, 0o600)
		}
	}
}

// call is a client's request.
type call struct {
	method, path, key string
	deadline          time.Duration
	header            map[string]string
	body              string
}

// answer is what a client got. complete is true if the answer ended as the protocol says.
type answer struct {
	id         string
	sent       time.Time
	status     int
	body       string
	complete   bool
	sealed     bool
	retryAfter string
	err        error
}

const host = "ficu95.example"

// send sends a request on a new connection and reads the answer.
func (d *deployment) send(m *machine, c call) answer {
	a := answer{id: d.nextID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Acacialift-Request-Id", a.id)
	r.Header.Set("Acacialift-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	r.Header.Set("Api-Key", c.key)
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	d.record("sent id=%s machine=%s path=%s key=%s parts=%s", a.id, m.name, c.path, c.key, c.header["Acacialift-Prompt-Prefix"])
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(r)
	if err != nil {
		a.err = err
		d.record("answer id=%s none err=%v", a.id, err)
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.complete, a.err = response.StatusCode, string(body), err == nil, err
	a.sealed, a.retryAfter = response.Header.Get("Acacialift-Response-Seal") != "", response.Header.Get("Retry-After")
	d.record("answer id=%s status=%d bytes=%d complete=%t retry-after=%s err=%v", a.id, a.status, len(body), a.complete, a.retryAfter, err)
	return a
}
