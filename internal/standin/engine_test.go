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

// limit is generous because no test depends on how long something takes.
const limit = 30 * time.Second

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
		Eventually(done, limit).Should(Receive(BeNil()))
	})
}

// post sends a request on a connection of its own.
func post(ctx context.Context, address, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	r.Close = true
	return http.DefaultClient.Do(r)
}

func postAll(address, path, body string, header ...string) (int, string, http.Header) {
	answer, err := post(context.Background(), address, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, string(content), answer.Header
}

// hold starts a request that stays in the engine until the returned function closes its connection.
func hold(engine *standin.Engine, id, body string) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	before := engine.Stats().Started
	go func() {
		answer, err := post(ctx, engine.Address(), "/v1/completions", body, "X-Request-Id", id)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}()
	Eventually(func() int { return engine.Stats().Started }, limit).Should(Equal(before + 1))
	return cancel
}

const slowBody = `{"prompt":"abcdefgh","max_tokens":8,"stream":true}`

var _ = Describe("ExpectedText", func() {
	// Guards against a load tool that takes another prompt's answer for the right one.
	It("differs by prompt and extends with the number of tokens", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := rapid.SliceOf(rapid.Byte()).Draw(t, "a")
			b := rapid.SliceOf(rapid.Byte()).Draw(t, "b")
			n := rapid.IntRange(2, 20).Draw(t, "n")
			text := standin.ExpectedText(a, n)
			if text != standin.ExpectedText(a, n) || !strings.HasPrefix(text, standin.ExpectedText(a, n-1)) {
				t.Fatal("the text is not a function of prompt and index")
			}
			if string(a) != string(b) && text == standin.ExpectedText(b, n) {
				t.Fatal("two prompts have the same text")
			}
		})
	})
})

var _ = Describe("Engine", func() {
	// Guards against answers that the load tool cannot check byte for byte.
	It("streams the expected text event by event and ends with the terminal event", func() {
		engine := startEngine(standin.EngineOptions{})
		_, content, _ := postAll(engine.Address(), "/v1/completions", slowBody)
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

	// Guards against a chat whose answer depends on something else than its messages.
	It("answers a chat as a whole", func() {
		engine := startEngine(standin.EngineOptions{})
		_, content, _ := postAll(engine.Address(), "/v1/chat/completions",
			`{"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}],"max_tokens":2}`)
		Expect(content).To(ContainSubstring(standin.ExpectedText([]byte("a\nb"), 2)))
	})

	// Guards against a refusal that is counted as an execution, and against memory that admits too much.
	It("refuses what does not fit into memory as not run", func() {
		engine := startEngine(standin.EngineOptions{MemoryTokens: 9})
		status, _, header := postAll(engine.Address(), "/v1/completions", slowBody, "X-Request-Id", "r")
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(header.Get(standin.RefusedHeader)).To(Equal("not_run"))
		Expect(engine.Stats().Executions).To(BeEmpty())
	})

	// Guards against a leak that tests of orphan release rely on, and against one that they don't.
	DescribeTable("frees memory when a connection closes, unless it leaks", func(leak bool) {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour, Leak: leak})
		disconnect := hold(engine, "r", slowBody)
		Expect(engine.Stats().UsedTokens).To(BeEquivalentTo(10))
		disconnect()
		Eventually(func() int { return engine.Stats().Closed }, limit).Should(Equal(1))
		if leak {
			Expect(engine.Report().Streams).To(HaveLen(1))
			order(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":true`)
		}
		Expect(engine.Stats().UsedTokens).To(BeZero())
	}, Entry("freed", false), Entry("leaked", true))

	// Guards against cancels that are lost or unsafe to repeat.
	It("ends a stream by an order and answers a repeated order", func() {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour})
		hold(engine, "r", slowBody)
		order(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":true`)
		order(engine, `{"fence":1,"action":"cancel","id":"r"}`, http.StatusOK, `"done":false`)
		Expect(engine.Stats().Cancelled).To(Equal(1))
		Expect(engine.Stats().UsedTokens).To(BeZero())
	})

	// Guards against fencing tests that pass because the stand-in checks nothing, or too much.
	DescribeTable("checks fencing numbers only where they are enforced",
		func(fencing config.Fencing, status int, role string) {
			engine := startEngine(standin.EngineOptions{Fencing: fencing})
			order(engine, `{"fence":5,"action":"set_role","role":"new"}`, http.StatusOK, `"fence":5`)
			order(engine, `{"fence":4,"action":"set_role","role":"old"}`, status, `"fence":5`)
			Expect(engine.Stats().Role).To(Equal(role))
			Expect(engine.Report().Fence).To(BeEquivalentTo(5))
		},
		Entry("enforced", config.FencingEnforced, http.StatusConflict, "new"),
		Entry("ignored", config.FencingIgnored, http.StatusOK, "old"))

	// Guards against a cold engine that bears any load, so that P3 could not be tested.
	It("falls over when a cold engine gets more than it bears", func() {
		engine := startEngine(standin.EngineOptions{TokenInterval: time.Hour, WarmupRequests: 1, ColdStreams: 1})
		first := engine.Stats().StartID
		hold(engine, "a", slowBody)
		_, err := post(context.Background(), engine.Address(), "/v1/completions", slowBody)
		Expect(err).To(HaveOccurred())
		stats := engine.Stats()
		Expect(stats.Falls).To(Equal(1))
		Expect(stats.StartID).NotTo(Equal(first))
		Expect(stats.UsedTokens).To(BeZero())
		Expect(stats.PeakColdStreams).To(Equal(2))
	})

	// Guards against a fallen engine that takes new work at once, or whose counts can no longer be read.
	It("drops every connection while it is down, but not those of the tests", func() {
		engine := startEngine(standin.EngineOptions{WarmupRequests: 1, ColdTokens: 1, FallDowntime: time.Hour})
		for range 2 {
			_, err := post(context.Background(), engine.Address(), "/v1/completions", slowBody)
			Expect(err).To(HaveOccurred())
		}
		_, err := post(context.Background(), engine.Address(), "/orders", `{}`)
		Expect(err).To(HaveOccurred())
		status, content, _ := postAll(engine.Address(), "/standin/control", `{}`)
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(ContainSubstring(`"falls":1,`))
	})

	// Guards against an engine that never warms up, and against a report that cannot contradict warmth.
	It("warms up by completed requests and turns cold by control", func() {
		engine := startEngine(standin.EngineOptions{WarmupRequests: 1, ColdStreams: 1})
		Expect(engine.Report().Warm).To(BeFalse())
		postAll(engine.Address(), "/v1/completions", slowBody)
		Eventually(func() bool { return engine.Report().Warm }, limit).Should(BeTrue())
		postAll(engine.Address(), "/standin/control", `{"cold":true}`)
		Expect(engine.Report().Warm).To(BeFalse())
		postAll(engine.Address(), "/standin/control", `{"claim_warm":true}`)
		Expect(engine.Report().Warm).To(BeTrue())
		Expect(engine.Stats().Cold).To(BeTrue())
	})

	// Guards against faults that end as if the answer were whole.
	DescribeTable("cuts answers by control", func(control string, wantDeaths int) {
		engine := startEngine(standin.EngineOptions{})
		postAll(engine.Address(), "/standin/control", control)
		answer, err := post(context.Background(), engine.Address(), "/v1/completions", slowBody)
		if err == nil {
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
		}
		Expect(err).To(HaveOccurred())
		Expect(engine.Stats().Finished).To(BeZero())
		Expect(engine.Stats().UsedTokens).To(BeZero())
		Expect(engine.Stats().Deaths).To(Equal(wantDeaths))
	},
		Entry("dropped in prefill", `{"drop_in":"prefill"}`, 0),
		Entry("dropped in decode", `{"drop_in":"decode"}`, 0),
		Entry("dead in prefill", `{"die_in":"prefill"}`, 1),
		Entry("dead in decode", `{"die_in":"decode"}`, 1))

	// Guards against a silent engine that still answers, or that stays silent after the fault has ended.
	It("is silent until the fault is cleared", func() {
		engine := startEngine(standin.EngineOptions{})
		engine.Control(standin.Control{Faults: standin.Faults{Silent: true}})
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, content, _ := postAll(engine.Address(), "/v1/completions", slowBody)
			answered <- content
		}()
		Eventually(func() int { return engine.Stats().Started }, limit).Should(Equal(1))
		Consistently(answered).ShouldNot(Receive())
		engine.Control(standin.Control{})
		Eventually(answered, limit).Should(Receive(HaveSuffix("[DONE]\n\n")))
	})

	// Guards against group prompts that are answered without all their segments.
	It("imports the segments of a group prompt and frees them at the members", func() {
		member, leader := startEngine(standin.EngineOptions{}), startEngine(standin.EngineOptions{MemoryTokens: 9})
		postAll(member.Address(), "/v1/segments", `{"id":"s","prompt":"abcd"}`)
		Expect(member.Report().Streams).To(ConsistOf(HaveField("Phase", standin.PhaseExported)))
		status, content, _ := postAll(leader.Address(), "/v1/completions", `{"prompt":"abcdefgh","max_tokens":8}`,
			"X-Import", "s@"+member.Address(), "X-Own-Tokens", "1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(ContainSubstring(standin.ExpectedText([]byte("abcdefgh"), 8)))
		Expect(leader.Stats().PeakTokens).To(BeEquivalentTo(9))
		Expect(member.Stats().UsedTokens).To(BeZero())
	})

	// Guards against segments of another prompt, and against segments that are imported twice.
	DescribeTable("refuses to lead a prompt that its segments do not cover", func(segment, imports string) {
		engine := startEngine(standin.EngineOptions{})
		postAll(engine.Address(), "/v1/segments", `{"id":"s","prompt":"`+segment+`"}`)
		status, content, _ := postAll(engine.Address(), "/v1/completions", slowBody,
			"X-Import", strings.ReplaceAll(imports, "HERE", engine.Address()), "X-Own-Tokens", "1")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(content).To(ContainSubstring("import_failed"))
		Expect(engine.Stats().Finished).To(BeZero())
	},
		Entry("another prompt", "xxxx", "s@HERE"),
		Entry("gap", "a", "s@HERE"),
		Entry("twice", "abcd", "s@HERE, s@HERE"))
})

func order(engine *standin.Engine, body string, status int, part string) {
	got, content, _ := postAll(engine.Address(), "/orders", body)
	Expect(got).To(Equal(status))
	Expect(content).To(ContainSubstring(part))
}

var _ = Describe("Service", func() {
	// Guards against executions that go uncounted when two endpoints of a service run the same booking.
	It("counts executions by key over all endpoints", func() {
		ledger := standin.NewLedger()
		var services []*standin.Service
		for range 2 {
			service, err := standin.NewService(standin.ServiceOptions{Address: "127.0.0.1:0", Ledger: ledger})
			Expect(err).NotTo(HaveOccurred())
			serve(service)
			services = append(services, service)
			_, content, _ := postAll(service.Address(), "/bookings", `{}`, "Idempotency-Key", "k")
			Expect(content).To(ContainSubstring(standin.ExpectedBooking("k", []byte("{}"))))
		}
		Expect(services[0].Stats().Executions).To(Equal(map[string]int{"k": 2}))
		Expect(services[0].Stats().Bookings).To(Equal(2))
	})
})
