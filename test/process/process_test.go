package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/standin"
)

// coldLimitedEngine holds the flags of an engine that crashes if it gets more than the service's cold limit while cold.
var coldLimitedEngine = []string{
	"--prefill-rate", "200000", "--token-interval", "5ms", "--memory-tokens", "400000",
	"--warmup-requests", "4", "--cold-streams", "2", "--cold-tokens", "40000",
}

// expectedText returns the text that an engine stand-in generates for a prompt.
func expectedText(prompt string, tokens int) string {
	return standin.ExpectedText([]byte(prompt), tokens)
}

// streamedText joins the tokens of a stream and reports whether the stream has its terminal event.
func streamedText(body string) (text string, complete bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		_, after, ok := strings.Cut(data, `"text":"`)
		if ok {
			token, _, _ := strings.Cut(after, `"`)
			text += token
		}
	}
	return text, complete
}

// setSmallEngines makes prompts of 60 k tokens larger than one engine's memory, and adds a profile that spreads such
// prompts over a group of engines.
func setSmallEngines(d *config.Document) {
	d.Services[0].Warm = config.Limit{Streams: 16, Tokens: 40_000}
	d.Services[0].Cold = config.Limit{Streams: 4, Tokens: 30_000}
	grouped := d.Profiles[0]
	grouped.Name, grouped.Group = "grouped", 4
	d.Profiles = append(d.Profiles, grouped)
}

var _ = Describe("A fleet of processes", func() {
	// Guards against code that works only if all components run in one process.
	It("serves streamed and non-streamed completions and bookings end to end", func() {
		f := startFleet(fleetOptions{instances: 3, engines: 2, desks: 1, engineFlags: coldLimitedEngine})
		for i := range 3 {
			prompt := fmt.Sprintf("lawn %d", i)
			text, complete := streamedText(f.sendCompletion(i, prompt, 8, true).body)
			Expect(complete).To(BeTrue())
			Expect(text).To(Equal(expectedText(prompt, 8)))
			Expect(f.sendCompletion(i, prompt, 8, false).body).To(ContainSubstring(expectedText(prompt, 8)))
		}
		Expect(f.send(0, http.MethodPost, "/services/round-desk/bookings", "desk", "", `{"lawn":4}`).status).To(Equal(201))
		Expect(f.send(1, http.MethodGet, "/services/round-desk/schedule/4", "desk", "", "").status).To(Equal(200))
	})

	// Guards against gateways that overload a cold engine because they do not limit their requests together, and against
	// an owner that continues to grant credit after a pause during which its lease expired.
	It("keeps cold engines up while owners are paused and continued", func() {
		f := startFleet(fleetOptions{instances: 4, engines: 2, desks: 1, engineFlags: coldLimitedEngine})
		var wait sync.WaitGroup
		load := func(rounds int) {
			for round := range rounds {
				for i := range 4 {
					wait.Add(1)
					go func() {
						defer wait.Done()
						f.sendCompletion(i, fmt.Sprintf("lawn %d of round %d", i, round), 4, true)
					}()
				}
			}
		}
		owner := f.instanceList.Instances[f.ownerOf("turf-0")].Name + "-controller"
		load(5)
		f.signal(owner, syscall.SIGSTOP)
		load(5)
		Eventually(func() string { return f.leaseHolder("turf-0") }, waitLimit, "200ms").ShouldNot(BeElementOf("",
			strings.TrimSuffix(owner, "-controller")), f.formatReports)
		f.signal(owner, syscall.SIGCONT)
		load(10)
		wait.Wait()
		for _, name := range []string{"turf-0", "turf-1"} {
			stats := f.engineStats(name)
			Expect(stats.ColdCrashes).To(BeZero(), name)
			Expect(stats.PeakColdStreams).To(BeNumerically("<=", 2), name)
		}
	})

	// Guards against engine memory that stays in use for the streams of a killed gateway, if the engine itself does not
	// detect the closed connection.
	It("frees the streams of a killed gateway", func() {
		flags := append([]string{"--leak"}, coldLimitedEngine...)
		flags = append(flags, "--token-interval", "1s")
		f := startFleet(fleetOptions{instances: 3, engines: 1, desks: 1, engineFlags: flags})
		go func() { f.sendCompletion(0, "a season of job sheets", 60, true) }()
		Eventually(func() int { return f.engineStats("turf-0").Streams }, waitLimit, "100ms").Should(Equal(1))
		f.signal("entry-0-gateway", syscall.SIGKILL)
		Eventually(func() int64 { return f.engineStats("turf-0").UsedTokens }, waitLimit, "200ms").Should(BeZero())
		Expect(f.engineStats("turf-0").Cancelled).To(Equal(1))
	})

	// Guards against new requests to a failure domain that operators took out of service, and against a domain that stays
	// unused after it is back in service.
	It("sends no requests to a domain that is out of service and uses it again afterwards", func() {
		f := startFleet(fleetOptions{instances: 3, engines: 3, desks: 1, engineFlags: coldLimitedEngine})
		setOut := func(out bool) func(*config.Document) {
			return func(d *config.Document) { d.Domains[0].OutOfService = out }
		}
		f.publish(setOut(true))
		f.waitForRevision(2)
		before := f.engineStats("turf-0").Started
		for i := range 30 {
			Expect(f.sendCompletion(i%3, fmt.Sprintf("lawn %d", i), 2, false).status).To(Equal(200))
		}
		Expect(f.engineStats("turf-0").Started).To(Equal(before))
		f.publish(setOut(false))
		f.waitForRevision(3)
		Eventually(func() int {
			f.sendCompletion(0, "lawn after the return", 2, false)
			return f.engineStats("turf-0").Started
		}, waitLimit, "50ms").Should(BeNumerically(">", before))
	})

	// Guards against a prompt larger than one engine's memory that is refused although a group of engines has enough, that
	// gets a wrong response, or whose memory is not freed; and against such a prompt that is accepted without a group.
	It("serves a prompt larger than one engine's memory with a group of engines", func() {
		flags := append([]string{"--memory-tokens", "40000"}, "--prefill-rate", "200000", "--token-interval", "5ms")
		f := startFleet(fleetOptions{instances: 3, engines: 4, desks: 1, engineFlags: flags, editConfig: setSmallEngines})
		prompt := strings.Repeat("district history é ", 12_000)
		body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": 8, "stream": true})
		Expect(err).NotTo(HaveOccurred())
		refused := f.send(0, http.MethodPost, "/v1/completions", "current", "", string(body))
		Expect(refused.status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(refused.outcome).To(Equal("not_run"))
		for i := range 3 {
			grouped := f.send(i, http.MethodPost, "/v1/completions", "grouped", "", string(body))
			text, complete := streamedText(grouped.body)
			Expect(complete).To(BeTrue(), grouped.body)
			Expect(text).To(Equal(expectedText(prompt, 8)))
		}
		for i := range 4 {
			Eventually(func() int64 { return f.engineStats(fmt.Sprintf("turf-%d", i)).UsedTokens }, waitLimit).Should(BeZero())
		}
	})

	// Guards against segments of a prompt that stay in the memory of a group's engines after another engine of the group
	// has failed, because the engine that would import their KV cache never does.
	It("frees the memory of all engines of a group when one fails", func() {
		flags := append([]string{"--memory-tokens", "40000"}, "--prefill-rate", "200000", "--token-interval", "5ms")
		f := startFleet(fleetOptions{instances: 3, engines: 4, desks: 1, engineFlags: flags, editConfig: setSmallEngines})
		body, err := json.Marshal(map[string]any{
			"prompt": strings.Repeat("district history ", 14_000), "max_tokens": 8, "stream": true,
		})
		Expect(err).NotTo(HaveOccurred())
		for i := range 4 {
			f.setEngineFaults(fmt.Sprintf("turf-%d", i), `{"die_in":"decode"}`)
		}
		failed := f.send(0, http.MethodPost, "/v1/completions", "grouped", "", string(body))
		_, complete := streamedText(failed.body)
		Expect(complete).To(BeFalse())
		for i := range 4 {
			f.setEngineFaults(fmt.Sprintf("turf-%d", i), `{"drop_in":"prefill"}`)
		}
		shortBudget := map[string]string{"X-Acacia-Budget-Ms": "3000"}
		failed = f.sendWith(1, http.MethodPost, "/v1/completions", "grouped", "", string(body), shortBudget)
		_, complete = streamedText(failed.body)
		Expect(complete).To(BeFalse())
		for i := range 4 {
			name := fmt.Sprintf("turf-%d", i)
			f.setEngineFaults(name, `{}`)
			Eventually(func() int64 { return f.engineStats(name).UsedTokens }, waitLimit, "200ms").Should(BeZero(), name)
		}
		Eventually(func() bool {
			_, complete := streamedText(f.send(2, http.MethodPost, "/v1/completions", "grouped", "", string(body)).body)
			return complete
		}, waitLimit, "200ms").Should(BeTrue())
	})

	// Guards against an outage of the platform that stops service, and against a revision that reaches only the instances
	// that watch the platform.
	It("serves without the platform and distributes a revision when it is back", func() {
		f := startFleet(fleetOptions{instances: 3, engines: 1, desks: 1, engineFlags: coldLimitedEngine})
		f.signal("platform", syscall.SIGSTOP)
		for i := range 9 {
			Expect(f.sendCompletion(i%3, fmt.Sprintf("lawn %d", i), 2, false).status).To(Equal(200))
		}
		f.signal("platform", syscall.SIGCONT)
		f.publish(func(d *config.Document) { d.Teams[1].Weight = 2 })
		f.waitForRevision(2)
	})
})
