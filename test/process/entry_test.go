package process_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform/platformtest"
)

// entryWaitLimit is the maximum wait for a state of acacia-entry. No check depends on how much of it is used.
const entryWaitLimit = 30 * time.Second

// serveHTTP serves a handler on loopback and returns its address.
func serveHTTP(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// unavailableFault makes a store refuse every request.
var unavailableFault = platformtest.Fault{Status: http.StatusServiceUnavailable}

// newPlatformStore returns a store with one configuration and one endpoint.
func newPlatformStore(endpoint string) *platformtest.Store {
	s := platformtest.NewStore()
	s.Put("op/config", `{"version":1,"routes":[{"name":"r","host":"h.example","path-prefix":"/p/",`+
		`"kind":"idempotent","timeout-ms":9000,"target-latency-ms":100,"service":"s","attempts":1}],"services":[{"name":"s"}]}`)
	s.Put("servers/i-1", `{"service":"s","address":"`+endpoint+`","zone":"yard-1","slots":4,"state":"ready"}`)
	return s
}

// entryProcess is a running acacia-entry.
type entryProcess struct {
	command                     *exec.Cmd
	output                      *bytes.Buffer
	settings                    string
	callers, readiness, metrics string
}

func startEntry(store string) *entryProcess { return startEntryWith(store, testkit.EntrySettings{}) }

// startEntryWith starts a process with the settings given, which need no addresses.
func startEntryWith(store string, settings testkit.EntrySettings) *entryProcess {
	addresses := testkit.FreeAddresses(4)
	p := &entryProcess{output: &bytes.Buffer{}, callers: addresses[0], readiness: addresses[1], metrics: addresses[3]}
	p.settings = filepath.Join(GinkgoT().TempDir(), "entry.yaml")
	settings.Instance, settings.Domain, settings.Store, settings.Seeds = "entry-1", "yard-1", store, []string{addresses[2]}
	settings.Callers, settings.Readiness, settings.Peers, settings.Metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	Expect(settings.Write(p.settings)).To(Succeed())
	p.command = testkit.Command(filepath.Join(binaryDir, "acacia-entry"), "--settings", p.settings)
	p.command.Stdout = p.output
	Expect(p.command.Start()).To(Succeed())
	DeferCleanup(func() { _ = p.command.Process.Kill() })
	return p
}

func (p *entryProcess) isReady() bool { return platformtest.IsReady(p.readiness) }

// get sends a request and returns the status and body. Status 0 means that there was no complete response.
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
	// slowEndpoint responds after a second, because the test shuts the process down during the request.
	slowEndpoint := func(arrived chan<- struct{}) string {
		return serveHTTP(func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			time.Sleep(time.Second)
			w.Header().Set("Acacialift-Request-Id", r.Header.Get("Acacialift-Request-Id"))
			w.Header().Set("Acacialift-Response-Seal", "seal")
			_, _ = io.WriteString(w, "answer")
		})
	}

	// Guards against a graceful shutdown that truncates a response or continues to accept connections, against a SIGHUP
	// that ends the process, and against a process that reports that it is ready before it can serve.
	It("serves, reloads its settings and shuts down without truncating a response", func() {
		arrived := make(chan struct{}, 1)
		store := newPlatformStore(slowEndpoint(arrived))
		store.SetFault(unavailableFault)
		p := startEntry(serveHTTP(store.ServeHTTP))
		Consistently(p.isReady, 500*time.Millisecond).Should(BeFalse())
		Eventually(func() int { status, _ := p.get("early"); return status }, entryWaitLimit).Should(Equal(http.StatusServiceUnavailable))
		store.SetFault(platformtest.Fault{})
		Eventually(p.isReady, entryWaitLimit).Should(BeTrue())

		Expect(p.command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		response := make(chan string, 1)
		go func() {
			_, body := p.get("during-stop")
			response <- body
		}()
		Eventually(arrived, entryWaitLimit).Should(Receive())
		Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(p.isReady, entryWaitLimit).Should(BeFalse())
		Eventually(response, entryWaitLimit).Should(Receive(Equal("answer")))
		Expect(p.command.Wait()).To(Succeed())

		var events []string
		lines := bufio.NewScanner(p.output)
		for lines.Scan() {
			_, event, _ := strings.Cut(lines.Text(), "event=")
			name, _, _ := strings.Cut(event, " ")
			events = append(events, name)
		}
		for _, event := range []string{
			"started", "configuration_read", "endpoint_read", "settings_reloaded", "request_placed", "request_ended",
			"stopping", "stopped",
		} {
			Expect(events).To(ContainElement(event))
		}
		Expect(events).NotTo(ContainElement("stop_cut_requests"))
		Expect(events).NotTo(ContainElement("supervisor_event"))
	})

	// Guards against metrics that cannot be read while the process serves, and against a settings check that accepts invalid
	// settings.
	It("serves its metrics and rejects invalid settings", func() {
		store := newPlatformStore("127.0.0.1:1")
		p := startEntry(serveHTTP(store.ServeHTTP))
		Eventually(p.isReady, entryWaitLimit).Should(BeTrue())
		status, _ := p.get("no-endpoint-listens")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		response, err := http.Get("http://" + p.metrics + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("acacialift_requests 1\n"))
		Expect(string(text)).To(ContainSubstring("acacialift_request_total_ms_count 1\n"))

		invalid := "instance: entry-1\nplatform: here\nbounds: {stop_grace: 0s}\n"
		Expect(os.WriteFile(p.settings, []byte(invalid), 0o600)).To(Succeed())
		output, err := exec.Command(filepath.Join(binaryDir, "acacia-entry"), "--settings", p.settings, "--check").CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(string(output)).To(ContainSubstring("platform"))
		Expect(string(output)).To(ContainSubstring("bounds.stop_grace"))
		Expect(string(output)).To(ContainSubstring("bounds.least_instances"))
	})
})
