package loadgen_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/loadgen"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/standin"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLoadgen(t *testing.T) { testkit.RunSpecs(t, "loadgen") }

// startGateway serves a fake gateway and returns its address.
func startGateway(handler http.HandlerFunc) string {
	server, err := httpserver.New(httpserver.Options{Address: "127.0.0.1:0", Handler: handler})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)
	return server.Address()
}

func serve(server standin.Server, err error) string {
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	return server.Address()
}

// streamAnswer writes the answer to one completion; tokens are the right ones.
type streamAnswer func(w http.ResponseWriter, tokens []string)

func completionGateway(answer streamAnswer) string {
	return startGateway(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		var body struct {
			Prompt    string `json:"prompt"`
			MaxTokens int    `json:"max_tokens"`
		}
		_ = json.Unmarshal(raw, &body)
		answer(w, tokensOf(body.Prompt, body.MaxTokens))
	})
}

func tokensOf(prompt string, n int) []string {
	return strings.SplitAfter(standin.ExpectedText([]byte(prompt), n), " ")[:n]
}

func send(w http.ResponseWriter, id string, tokens ...string) {
	for _, token := range tokens {
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"text\":%q}]}\n\n", id, token)
	}
}

func done(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func errorEvent(w http.ResponseWriter) {
	failure := outcome.Error{Outcome: outcome.Failed, Stage: outcome.StageDecode, Code: "engine_died"}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", failure.JSON())
}

func reset(w http.ResponseWriter) {
	httpserver.Abort(w)
}

const requests = 4

func smallOptions(gateways ...string) loadgen.Options {
	return loadgen.Options{
		Gateways: gateways,
		Requests: requests,
		Rate:     1000,
		Seed:     7,
		Classes:  []loadgen.Class{{Name: "tiny", Tokens: 20, Share: 1}},
		Profiles: []string{"p"},
	}
}

func runLoad(options loadgen.Options) *loadgen.Result {
	result, err := loadgen.Run(context.Background(), options)
	Expect(err).NotTo(HaveOccurred())
	return result
}

func counted(outcome, stage, code string, n int) loadgen.OutcomeCount {
	return loadgen.OutcomeCount{Class: "tiny", Outcome: outcome, Stage: stage, Code: code, Count: n}
}

var _ = Describe("Run on completions", func() {
	// Guards against a tool that reports right answers as wrong, or that counts without checking.
	It("accepts the answers of an engine and measures them", func() {
		engine, err := standin.NewEngine(standin.EngineOptions{Address: "127.0.0.1:0", MemoryTokens: 1 << 20})
		options := smallOptions(serve(engine, err))
		options.Requests = 40
		options.ChatShare, options.WholeShare = 0.5, 0.3
		result := runLoad(options)
		Expect(result.Err()).To(Succeed())
		Expect(result.Outcomes).To(ConsistOf(counted("ok", "", "", 40)))
		Expect(result.Latencies[loadgen.MetricTotal]["tiny"].Count).To(BeEquivalentTo(40))
		Expect(result.Latencies[loadgen.MetricFirstToken]["tiny"].Count).To(BeNumerically("<", 40))
		Expect(result.Latencies[loadgen.MetricBetweenToken]["tiny"].Count).To(BeNumerically(">", 40))
		Expect(engine.Stats().Started).To(Equal(40))
	})

	// Guards against answers that a caller would take for whole or for its own, and that the tool lets pass.
	DescribeTable("notices answers that break a promise", func(kind string, answer streamAnswer) {
		result := runLoad(smallOptions(completionGateway(answer)))
		Expect(result.ViolationCount).To(Equal(requests))
		Expect(result.Violations).To(HaveEach(HaveField("Kind", kind)))
		Expect(result.Err()).To(HaveOccurred())
	},
		Entry("truncated with terminal event", loadgen.ViolationLooksComplete, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:len(tokens)-1]...)
			done(w)
		}),
		Entry("truncated without terminal event", loadgen.ViolationLooksComplete,
			func(w http.ResponseWriter, tokens []string) { send(w, "a", tokens[:2]...) }),
		Entry("whole without terminal event", loadgen.ViolationLooksComplete,
			func(w http.ResponseWriter, tokens []string) { send(w, "a", tokens...) }),
		Entry("terminal event after an error", loadgen.ViolationLooksComplete, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:2]...)
			errorEvent(w)
			done(w)
		}),
		Entry("empty", loadgen.ViolationLooksComplete, func(http.ResponseWriter, []string) {}),
		Entry("another request's text", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokensOf("another prompt", len(tokens))...)
			done(w)
		}),
		Entry("two streams mixed", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			for i, other := range tokensOf("another prompt", len(tokens)) {
				send(w, "a", tokens[i])
				send(w, "b", other)
			}
			done(w)
		}),
		Entry("right text under two ids", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:2]...)
			send(w, "b", tokens[2:]...)
			done(w)
		}),
		Entry("a repeated token", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[0], tokens[0])
			done(w)
		}),
		Entry("tokens in another order", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[1], tokens[0])
			done(w)
		}),
		Entry("text after the end", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", append(tokens, "more ")...)
			done(w)
		}),
		Entry("an event after the terminal event", loadgen.ViolationMalformed,
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens...)
				done(w)
				send(w, "a", "more ")
			}),
		Entry("header and body that contradict each other", loadgen.ViolationMalformed,
			func(w http.ResponseWriter, _ []string) {
				w.Header().Set(outcome.HeaderName, "not_run")
				w.WriteHeader(http.StatusBadGateway)
				_, _ = w.Write((&outcome.Error{Outcome: outcome.Unknown}).JSON())
			}))

	// Guards against whole answers that are cut or swapped and pass because nothing was streamed.
	DescribeTable("checks answers that are not streamed", func(kind, format string) {
		options := smallOptions(completionGateway(func(w http.ResponseWriter, tokens []string) {
			fmt.Fprintf(w, format, strings.Join(tokens[:2], ""))
		}))
		options.WholeShare = 1
		Expect(runLoad(options).Violations).To(And(HaveLen(requests), HaveEach(HaveField("Kind", kind))))
	},
		Entry("cut text", loadgen.ViolationLooksComplete, `{"choices":[{"text":"%s"}]}`),
		Entry("cut JSON", loadgen.ViolationLooksComplete, `{"choices":[{"text":"%s`),
		Entry("other text", loadgen.ViolationWrongText, `{"choices":[{"text":"x%s"}]}`))

	// Guards against honest failures that are reported as violations.
	DescribeTable("counts failures that no caller can take for an answer",
		func(want loadgen.OutcomeCount, answer streamAnswer) {
			result := runLoad(smallOptions(completionGateway(answer)))
			Expect(result.Err()).To(Succeed())
			Expect(result.Outcomes).To(ConsistOf(want))
		},
		Entry("error event", counted("failed", "decode", "engine_died", requests),
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens[:2]...)
				errorEvent(w)
			}),
		Entry("reset in the body", counted("reset", "body", "read", requests),
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens[:2]...)
				w.(http.Flusher).Flush()
				reset(w)
			}),
		Entry("reset before the head", counted("reset", "head", "read", requests),
			func(w http.ResponseWriter, _ []string) { reset(w) }),
		Entry("the endpoint's own error", counted("endpoint_error", "", "500", requests),
			func(w http.ResponseWriter, _ []string) { w.WriteHeader(http.StatusInternalServerError) }))

	// Guards against repeats that could run a request twice, that come unasked, or that never end.
	DescribeTable("repeats only what is safe to repeat, and not for ever",
		func(repeatSafe bool, retryAfter time.Duration, attempts int) {
			var first, second atomic.Int32
			refuse := func(count *atomic.Int32) streamAnswer {
				return func(w http.ResponseWriter, _ []string) {
					count.Add(1)
					refused := outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, "busy", "", retryAfter)
					refused.RetrySafe = repeatSafe
					refused.WriteTo(w)
				}
			}
			options := smallOptions(completionGateway(refuse(&first)), completionGateway(refuse(&second)))
			options.Requests, options.MaxRetries = 1, 3
			result := runLoad(options)
			Expect(result.Attempts).To(Equal(attempts))
			Expect(int(second.Load())).To(Equal(attempts / 2))
			Expect(result.Outcomes).To(ConsistOf(counted("not_run", "credit_wait", "busy", 1)))
		},
		Entry("safe, with Retry-After", true, time.Millisecond, 4),
		Entry("safe, without Retry-After", true, time.Duration(0), 1),
		Entry("unsafe", false, time.Millisecond, 1))
})

var _ = Describe("Run on a plain service", func() {
	serviceOptions := func(service *standin.Service, gateways ...string) loadgen.Options {
		options := smallOptions(gateways...)
		options.Requests, options.ServiceShare, options.DuplicateShare = 30, 1, 1
		options.Service = "desk"
		options.Stats = []string{service.Address()}
		return options
	}
	var service *standin.Service
	var keys atomic.Int32
	// forward hands requests on without any check of their keys.
	forward := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") != "" {
			keys.Add(1)
		}
		target := "http://" + service.Address() + strings.TrimPrefix(r.URL.Path, "/services/desk")
		request, _ := http.NewRequest(r.Method, target, r.Body)
		request.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			reset(w)
			return
		}
		defer answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
		// io.Copy would call the response's ReadFrom, which nbhttp v1.6.8 writes without chunk framing.
		content, _ := io.ReadAll(answer.Body)
		_, _ = w.Write(content)
	}
	BeforeEach(func() {
		var err error
		service, err = standin.NewService(standin.ServiceOptions{Address: "127.0.0.1:0"})
		serve(service, err)
		keys.Store(0)
	})

	// Guards against duplicates that run twice without being noticed.
	It("notices keys that ran twice", func() {
		result := runLoad(serviceOptions(service, startGateway(forward), startGateway(forward)))
		Expect(keys.Load()).To(BeNumerically(">", 0))
		Expect(result.Violations).To(HaveEach(HaveField("Kind", loadgen.ViolationRanTwice)))
		Expect(result.ViolationCount).To(Equal(int(keys.Load()) / 2))
	})

	// Guards against a false not_run, after which a caller books again.
	It("notices requests that ran although they were answered not_run", func() {
		lie := func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				forward(&discardAnswer{header: make(http.Header)}, r)
			}
			outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "busy", "", 0).WriteTo(w)
		}
		options := serviceOptions(service, startGateway(lie))
		options.DuplicateShare = 1e-9
		result := runLoad(options)
		Expect(result.Violations).To(HaveEach(HaveField("Kind", loadgen.ViolationRan)))
		Expect(result.ViolationCount).To(And(BeNumerically(">", 0), Equal(int(keys.Load()))))
	})

	// Guards against bookings and reads of other callers.
	It("notices another caller's answer", func() {
		swap := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"schedule":"lawn","digest":"0","booking":"0","key":"k"}`)
		}
		result := runLoad(serviceOptions(service, startGateway(swap)))
		Expect(result.Violations).To(And(Not(BeEmpty()), HaveEach(HaveField("Kind", loadgen.ViolationWrongText))))
	})
})

// discardAnswer is a response writer that keeps nothing.
type discardAnswer struct{ header http.Header }

func (d *discardAnswer) Header() http.Header { return d.header }

func (d *discardAnswer) Write(data []byte) (int, error) { return len(data), nil }

func (d *discardAnswer) WriteHeader(int) {}

var _ = Describe("Result", func() {
	// Guards against result files that a later comparison cannot read.
	It("writes JSON, histograms, plot and table", func() {
		options := smallOptions(completionGateway(func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens...)
			done(w)
		}))
		result := runLoad(options)
		directory := filepath.Join(GinkgoT().TempDir(), "out")
		Expect(result.WriteFiles(directory)).To(Succeed())
		read, err := loadgen.ReadResult(filepath.Join(directory, loadgen.ResultFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Latencies).To(Equal(result.Latencies))
		Expect(filepath.Join(directory, "first_token-tiny.hgrm")).To(BeARegularFile())
		plot, err := os.ReadFile(filepath.Join(directory, loadgen.PlotFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(http.DetectContentType(plot)).To(Equal("image/png"))
		var table strings.Builder
		Expect(result.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(MatchRegexp(`first_token +tiny +4 `))
	})
})

var _ = Describe("Compare", func() {
	run := func(p50 float64) *loadgen.Result {
		return &loadgen.Result{Latencies: map[string]map[string]loadgen.Latency{
			loadgen.MetricTotal: {"other": {P50: p50, P95: 1, P99: 1}},
		}}
	}

	// Guards against a change that is claimed although repeated runs differ by as much.
	It("reports medians, spreads and the range of ratios", func() {
		comparison := loadgen.Compare([]*loadgen.Result{run(12), run(8), run(10)}, []*loadgen.Result{run(20), run(10)})
		Expect(comparison.Rows).To(HaveLen(3))
		Expect(comparison.Rows[0]).To(Equal(loadgen.ComparisonRow{
			Metric:     loadgen.MetricTotal,
			Class:      "other",
			Percentile: "p50",
			Before:     loadgen.Spread{Median: 10, Min: 8, Max: 12, Runs: 3},
			After:      loadgen.Spread{Median: 15, Min: 10, Max: 20, Runs: 2},
			Ratio:      1.5,
			MinRatio:   10.0 / 12,
			MaxRatio:   2.5,
		}))
	})
})
