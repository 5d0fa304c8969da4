package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/standin"
	"github.com/acacialift/acacialift/internal/testkit"
)

// testTimeout is long because no test checks how long an operation takes.
const testTimeout = 30 * time.Second

func TestStandin(t *testing.T) { testkit.RunSpecs(t, "standin") }

func startEngine(options standin.EngineOptions) *standin.Engine {
	options.Address = "127.0.0.1:0"
	if options.MemoryTokens == 0 {
		options.MemoryTokens = 1000
	}
	engine, err := standin.NewEngine(options)
	Expect(err).NotTo(HaveOccurred())
	serve(engine)
	return engine
}

func serve(server standin.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, testTimeout).Should(Receive(BeNil()))
	})
}

// post sends a request on a new connection.
func post(ctx context.Context, address, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	r.Close = true
	return http.DefaultClient.Do(r)
}

func postAndRead(address, path, body string, header ...string) (int, string, http.Header) {
	response, err := post(context.Background(), address, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content), response.Header
}

// startOpenRequest starts a request and waits until the engine counts it. The returned function closes its connection.
func startOpenRequest(engine *standin.Engine, id, body string) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	before := engine.Stats().Started
	go func() {
		response, err := post(ctx, engine.Address(), "/v1/completions", body, "X-Request-Id", id)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	Eventually(func() int { return engine.Stats().Started }, testTimeout).Should(Equal(before + 1))
	return cancel
}

const streamingBody = `{"prompt":"abcdefgh","max_tokens":8,"stream":true}`

var _ = Describe("ExpectedText", func() {
	// Guards against a load generator that accepts the response to another prompt because both have the same text.
	It("differs by prompt and extends with the number of tokens", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := rapid.SliceOf(rapid.Byte()).Draw(t, "a")
			b := rapid.SliceOf(rapid.Byte()).Draw(t, "b")
			n := rapid.IntRange(2, 20).Draw(t, "n")
			text := standin.ExpectedText(a, n)
			if text != standin.ExpectedText(a, n) || !strings.HasPrefix(text, standin.ExpectedText(a, n-1)) {
				t.Fatal("the text is not determined by prompt and token index alone")
			}
			if string(a) != string(b) && text == standin.ExpectedText(b, n) {
				t.Fatal("two prompts have the same text")
			}
		})
	})
})

var _ = Describe("Engine", func() {
	// Guards against responses that the load generator cannot verify byte by byte.
	It("streams the expected text event by event and ends with the terminal event", func() {
		engine := startEngine(standin.EngineOptions{})
		_, content, _ := postAndRead(engine.Address(), "/v1/completions", streamingBody)
		var text strings.Builder
		events := 0
		scanner := bufio.NewScanner(strings.NewReader(content))
		for scanner.Scan() {
			data, ok := strings.CutPrefix(scanner.Text(), "data: ")
			if !ok || data == "[DONE]" {
				continue
			}
			var event struct{ Choices []struct{ Text string } }
			Expect(json.Unmarshal([]byte(data), &event)).To(Succeed())
			text.WriteString(event.Choices[0].Text)
			events++
		}
		Expect(text.String()).To(Equal(standin.ExpectedText([]byte("abcdefgh"), 8)))
		Expect(events).To(Equal(8))
		Expect(content).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(engine.Stats().UsedTokens).To(BeZero())
	})

	// Guards against a chat response that depends on anything but the messages.
	It("sends a chat response that is not streamed", func() {
		engine := startEngine(standin.EngineOptions{})
		_, content, _ := postAndRead(engine.Address(), "/v1/chat/completions",
			`{"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}],"max_tokens":2}`)
		Expect(content).To(ContainSubstring(standin.ExpectedText([]byte("a\nb"), 2)))
	})

	// Guards against a refused request that is counted as an execution, and against admission above the KV memory.
	It("refuses a request that does not fit into memory as not_run", func() {
		engine := startEngine(standin.EngineOptions{MemoryTokens: 9})
		status, _, header := postAndRead(engine.Address(), "/v1/completions", streamingBody, "X-Request-Id", "r")
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(header.Get(standin.RefusedHeader)).To(Equal("not_run"))
		Expect(engine.Stats().Executions).To(BeEmpty())
	})

	// Guards against memory that is freed despite the option Leak, so that tests of orphan release test nothing, and against
	// memory that leaks without the option.
	DescribeTable("frees memory when a connection closes, except with the option Leak", func(leak bool) {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour, Leak: leak})
		disconnect := startOpenRequest(engine, "r", streamingBody)
		Expect(engine.Stats().UsedTokens).To(BeEquivalentTo(10))
		disconnect()
		Eventually(func() int { return engine.Stats().Closed }, testTimeout).Should(Equal(1))
		if leak {
			Expect(engine.Report().Streams).To(HaveLen(1))
			postOrder(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":true`)
		}
		Expect(engine.Stats().UsedTokens).To(BeZero())
	}, Entry("freed", false), Entry("leaked", true))

	// Guards against cancel orders that have no effect, and against errors when a cancel order is retried.
	It("cancels a stream by order and accepts the same order again", func() {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour})
		startOpenRequest(engine, "r", streamingBody)
		postOrder(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":true`)
		postOrder(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":false`)
		Expect(engine.Stats().Cancelled).To(Equal(1))
		Expect(engine.Stats().UsedTokens).To(BeZero())
	})

	// Guards against fencing tests that pass because the stand-in never checks fencing numbers, or always does.
	DescribeTable("refuses lower fencing numbers only if fencing is enforced",
		func(fencing config.Fencing, status int, role string) {
			engine := startEngine(standin.EngineOptions{Fencing: fencing})
			postOrder(engine, `{"fence":5,"action":"set_role","role":"new"}`, http.StatusOK, `"fence":5`)
			postOrder(engine, `{"fence":4,"action":"set_role","role":"old"}`, status, `"fence":5`)
			Expect(engine.Stats().Role).To(Equal(role))
			Expect(engine.Report().Fence).To(BeEquivalentTo(5))
		},
		Entry("enforced", config.FencingEnforced, http.StatusConflict, "new"),
		Entry("ignored", config.FencingIgnored, http.StatusOK, "old"))

	// Guards against a cold engine that handles any load, so that tests of the cold-start limits would always pass.
	It("crashes if a cold engine gets more than its cold limits", func() {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour, WarmupRequests: 1, ColdStreams: 1})
		first := engine.Stats().StartID
		startOpenRequest(engine, "a", streamingBody)
		_, err := post(context.Background(), engine.Address(), "/v1/completions", streamingBody)
		Expect(err).To(HaveOccurred())
		stats := engine.Stats()
		Expect(stats.ColdCrashes).To(Equal(1))
		Expect(stats.StartID).NotTo(Equal(first))
		Expect(stats.UsedTokens).To(BeZero())
		Expect(stats.PeakColdStreams).To(Equal(2))
	})

	// Guards against a crashed engine that accepts requests immediately, or whose counts can no longer be read.
	It("drops every connection while it is down, except those to the control endpoint", func() {
		engine := startEngine(standin.EngineOptions{WarmupRequests: 1, ColdTokens: 1, CrashDowntime: time.Hour})
		for range 2 {
			_, err := post(context.Background(), engine.Address(), "/v1/completions", streamingBody)
			Expect(err).To(HaveOccurred())
		}
		_, err := post(context.Background(), engine.Address(), "/orders", `{}`)
		Expect(err).To(HaveOccurred())
		status, content, _ := postAndRead(engine.Address(), "/standin/control", `{}`)
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(ContainSubstring(`"falls":1,`))
	})

	// Guards against an engine that never becomes warm, and against a load report that cannot falsely claim to be warm.
	It("becomes warm by completed requests and cold by the control endpoint", func() {
		engine := startEngine(standin.EngineOptions{WarmupRequests: 1, ColdStreams: 1})
		Expect(engine.Report().Warm).To(BeFalse())
		postAndRead(engine.Address(), "/v1/completions", streamingBody)
		Eventually(func() bool { return engine.Report().Warm }, testTimeout).Should(BeTrue())
		postAndRead(engine.Address(), "/standin/control", `{"cold":true}`)
		Expect(engine.Report().Warm).To(BeFalse())
		postAndRead(engine.Address(), "/standin/control", `{"claim_warm":true}`)
		Expect(engine.Report().Warm).To(BeTrue())
		Expect(engine.Stats().Cold).To(BeTrue())
	})

	// Guards against injected faults after which the response still looks complete.
	DescribeTable("truncates responses by the control endpoint", func(control string, wantCrashes int) {
		engine := startEngine(standin.EngineOptions{})
		postAndRead(engine.Address(), "/standin/control", control)
		response, err := post(context.Background(), engine.Address(), "/v1/completions", streamingBody)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		Expect(err).To(HaveOccurred())
		Expect(engine.Stats().Finished).To(BeZero())
		Expect(engine.Stats().UsedTokens).To(BeZero())
		Expect(engine.Stats().InjectedCrashes).To(Equal(wantCrashes))
	},
		Entry("dropped in prefill", `{"drop_in":"prefill"}`, 0),
		Entry("dropped in decode", `{"drop_in":"decode"}`, 0),
		Entry("crashed in prefill", `{"die_in":"prefill"}`, 1),
		Entry("crashed in decode", `{"die_in":"decode"}`, 1))

	// Guards against an unresponsive engine that still sends responses, or that does not resume after the fault is cleared.
	It("is unresponsive until the fault is cleared", func() {
		engine := startEngine(standin.EngineOptions{})
		engine.Control(standin.Control{Faults: standin.Faults{Unresponsive: true}})
		responses := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, content, _ := postAndRead(engine.Address(), "/v1/completions", streamingBody)
			responses <- content
		}()
		Eventually(func() int { return engine.Stats().Started }, testTimeout).Should(Equal(1))
		Consistently(responses).ShouldNot(Receive())
		engine.Control(standin.Control{})
		Eventually(responses, testTimeout).Should(Receive(HaveSuffix("[DONE]\n\n")))
	})

	// Guards against a grouped prompt that is decoded without all its segments.
	It("imports the segments of a grouped prompt and frees them at the helpers", func() {
		helper, primary := startEngine(standin.EngineOptions{}), startEngine(standin.EngineOptions{MemoryTokens: 9})
		postAndRead(helper.Address(), "/v1/segments", `{"id":"s","prompt":"abcd"}`)
		Expect(helper.Report().Streams).To(ConsistOf(HaveField("Phase", standin.PhaseExported)))
		status, content, _ := postAndRead(primary.Address(), "/v1/completions", `{"prompt":"abcdefgh","max_tokens":8}`,
			"X-Import", "s@"+helper.Address(), "X-Own-Tokens", "1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(ContainSubstring(standin.ExpectedText([]byte("abcdefgh"), 8)))
		Expect(primary.Stats().PeakTokens).To(BeEquivalentTo(9))
		Expect(helper.Stats().UsedTokens).To(BeZero())
	})

	// Guards against the import of another prompt's segment, and against importing a segment twice.
	DescribeTable("fails a grouped prompt that its segments do not cover", func(segment, imports string) {
		engine := startEngine(standin.EngineOptions{})
		postAndRead(engine.Address(), "/v1/segments", `{"id":"s","prompt":"`+segment+`"}`)
		status, content, _ := postAndRead(engine.Address(), "/v1/completions", streamingBody,
			"X-Import", strings.ReplaceAll(imports, "HERE", engine.Address()), "X-Own-Tokens", "1")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(content).To(ContainSubstring("import_failed"))
		Expect(engine.Stats().Finished).To(BeZero())
	},
		Entry("another prompt", "xxxx", "s@HERE"),
		Entry("gap", "a", "s@HERE"),
		Entry("twice", "abcd", "s@HERE, s@HERE"))
})

func postOrder(engine *standin.Engine, body string, status int, part string) {
	got, content, _ := postAndRead(engine.Address(), "/orders", body)
	Expect(got).To(Equal(status))
	Expect(content).To(ContainSubstring(part))
}

var _ = Describe("Service", func() {
	// Guards against executions that are not counted when two endpoints of a service execute the same booking.
	It("counts executions by key across all endpoints", func() {
		ledger := standin.NewLedger()
		var services []*standin.Service
		for range 2 {
			service, err := standin.NewService(standin.ServiceOptions{Address: "127.0.0.1:0", Ledger: ledger})
			Expect(err).NotTo(HaveOccurred())
			serve(service)
			services = append(services, service)
			_, content, _ := postAndRead(service.Address(), "/bookings", `{}`, "Idempotency-Key", "k")
			Expect(content).To(ContainSubstring(standin.ExpectedBooking("k", []byte("{}"))))
		}
		Expect(services[0].Stats().Executions).To(Equal(map[string]int{"k": 2}))
		Expect(services[0].Stats().Bookings).To(Equal(2))
	})
})
