package process_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// entryLimit bounds the wait for a state of acacia-entry; no verdict depends on how much of it is used.
const entryLimit = 30 * time.Second

// serveHTTP serves a handler on loopback and returns its address.
func serveHTTP(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// platformStore is a store with one configuration and the given endpoint, which never changes. It answers only while up.
type platformStore struct {
	mu       sync.Mutex
	up       bool
	endpoint string
}

func (s *platformStore) setUp(up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = up
}

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if !up {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, "watch") {
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
		_, _ = io.WriteString(w, `{"events":[],"as-of":3}`)
		return
	}
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"as-of": 3, "items": []item{
		{Key: "op/config", Revision: 2, Value: []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/p/",` +
			`"kind":"idempotent","timeout-ms":9000,"target-latency-ms":100,"service":"s","attempts":1}],"services":[{"name":"s"}]}`)},
		{Key: "servers/i-1", Revision: 3, Value: []byte(`{"service":"s","address":"` + s.endpoint + `","zone":"yard-1","slots":4,"state":"ready"}`)},
	}})
}

// entryProcess is a running acacia-entry.
type entryProcess struct {
	command                     *exec.Cmd
	output                      *bytes.Buffer
	settings                    string
	callers, readiness, metrics string
}

func startEntry(store string) *entryProcess {
	addresses := freeAddresses(4)
	p := &entryProcess{output: &bytes.Buffer{}, callers: addresses[0], readiness: addresses[1], metrics: addresses[3]}
	p.settings = filepath.Join(GinkgoT().TempDir(), "entry.yaml")
	text := fmt.Sprintf(`instance: entry-1
domain: yard-1
region: west
addresses: {callers: %q, readiness: %q, peers: %q, metrics: %q}
platform: %q
seeds: [%q]
peers_key: a-key-of-sixteen-bytes
bounds: {stop_grace: 8s, strict_revocation: true, revocation_time: 5s, retry_ratio: 0.2, retry_slack: 100,
  retry_window: 10s, cold_factor: 1.5, cold_slack: 5, least_instances: 1, max_connections: 100}
`, addresses[0], addresses[1], addresses[2], addresses[3], store, addresses[2])
	Expect(os.WriteFile(p.settings, []byte(text), 0o600)).To(Succeed())
	p.command = exec.Command(filepath.Join(binaries, "acacia-entry"), "--settings", p.settings)
	p.command.Stdout = p.output
	Expect(p.command.Start()).To(Succeed())
	DeferCleanup(func() { _ = p.command.Process.Kill() })
	return p
}

func (p *entryProcess) isReady() bool {
	response, err := http.Get("http://" + p.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// get sends a request and returns the status and body; status 0 stands for no whole answer.
func (p *entryProcess) get(id string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+p.callers+"/p/x", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Acacialift-Request-Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

var _ = Describe("acacia-entry", func() {
	// slowEndpoint answers after a second, so that a stop falls into the request.
	slowEndpoint := func(arrived chan<- struct{}) string {
		return serveHTTP(func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			time.Sleep(time.Second)
			w.Header().Set("Acacialift-Request-Id", r.Header.Get("Acacialift-Request-Id"))
			w.Header().Set("Acacialift-Response-Seal", "seal")
			_, _ = io.WriteString(w, "answer")
		})
	}

	// Guards against a planned stop that cuts requests or goes on taking connections, against SIGHUP that ends the process,
	// and against a process that says it is ready before it can serve.
	It("serves, reloads its settings and stops without cutting a request", func() {
		arrived := make(chan struct{}, 1)
		store := &platformStore{endpoint: slowEndpoint(arrived)}
		p := startEntry(serveHTTP(store.ServeHTTP))
		Consistently(p.isReady, 500*time.Millisecond).Should(BeFalse())
		Eventually(func() int { status, _ := p.get("early"); return status }, entryLimit).Should(Equal(http.StatusServiceUnavailable))
		store.setUp(true)
		Eventually(p.isReady, entryLimit).Should(BeTrue())

		Expect(p.command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		answer := make(chan string, 1)
		go func() {
			_, body := p.get("during-stop")
			answer <- body
		}()
		Eventually(arrived, entryLimit).Should(Receive())
		Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(p.isReady, entryLimit).Should(BeFalse())
		Eventually(answer, entryLimit).Should(Receive(Equal("answer")))
		Expect(p.command.Wait()).To(Succeed())

		var events []string
		lines := bufio.NewScanner(p.output)
		for lines.Scan() {
			_, event, _ := strings.Cut(lines.Text(), "event=")
			name, _, _ := strings.Cut(event, " ")
			events = append(events, name)
		}
		for _, event := range []string{"started", "configuration_read", "endpoint_read", "settings_reloaded", "request_placed", "request_ended", "stopping", "stopped"} {
			Expect(events).To(ContainElement(event))
		}
		Expect(events).NotTo(ContainElement("stop_cut_requests"))
		Expect(events).NotTo(ContainElement("supervisor_event"))
	})

	// Guards against counters that cannot be read while the process serves, and against wrong settings that start.
	It("shows its counters and refuses wrong settings", func() {
		store := &platformStore{endpoint: "127.0.0.1:1", up: true}
		p := startEntry(serveHTTP(store.ServeHTTP))
		Eventually(p.isReady, entryLimit).Should(BeTrue())
		status, _ := p.get("no-endpoint-listens")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		response, err := http.Get("http://" + p.metrics + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("acacialift_requests 1\n"))
		Expect(string(text)).To(ContainSubstring("acacialift_request_total_ms_count 1\n"))

		Expect(os.WriteFile(p.settings, []byte("instance: entry-1\nplatform: here\n"), 0o600)).To(Succeed())
		output, err := exec.Command(filepath.Join(binaries, "acacia-entry"), "--settings", p.settings, "--check").CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(output)).To(ContainSubstring("platform"))
		Expect(string(output)).To(ContainSubstring("bounds.stop_grace"))
	})
})
