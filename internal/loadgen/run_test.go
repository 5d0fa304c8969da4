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

// startGateway starts a fake gateway and returns its address.
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

// streamResponse writes the response to a completion request; tokens are the correct tokens.
type streamResponse func(w http.ResponseWriter, tokens []string)

func completionGateway(respond streamResponse) string {
	return startGateway(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		var body struct {
			Prompt    string `json:"prompt"`
			MaxTokens int    `json:"max_tokens"`
		}
		_ = json.Unmarshal(raw, &body)
		respond(w, tokensOf(body.Prompt, body.MaxTokens))
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

func sendDone(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func sendErrorEvent(w http.ResponseWriter) {
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

func outcomeCount(outcome, stage, code string, n int) loadgen.OutcomeCount {
	return loadgen.OutcomeCount{Class: "tiny", Outcome: outcome, Stage: stage, Code: code, Count: n}
}

var _ = Describe("Run on completions", func() {
	// Guards against a load generator that reports correct responses as violations, or that does not measure them.
	It("accepts the responses of an engine and measures them", func() {
		engine, err := standin.NewEngine(standin.EngineOptions{Address: "127.0.0.1:0", MemoryTokens: 1 << 20})
		options := smallOptions(serve(engine, err))
		options.Requests = 40
		options.ChatShare, options.NonStreamedShare = 0.5, 0.3
		result := runLoad(options)
		Expect(result.Err()).To(Succeed())
		Expect(result.Outcomes).To(ConsistOf(outcomeCount("ok", "", "", 40)))
		Expect(result.Latencies[loadgen.MetricTotal]["tiny"].Count).To(BeEquivalentTo(40))
		Expect(result.Latencies[loadgen.MetricFirstToken]["tiny"].Count).To(BeNumerically("<", 40))
		Expect(result.Latencies[loadgen.MetricBetweenToken]["tiny"].Count).To(BeNumerically(">", 40))
		Expect(engine.Stats().Started).To(Equal(40))
	})

	// Guards against truncated responses, or responses to other requests, that the load generator accepts.
	DescribeTable("reports responses that violate a guarantee", func(kind string, respond streamResponse) {
		result := runLoad(smallOptions(completionGateway(respond)))
		Expect(result.ViolationCount).To(Equal(requests))
		Expect(result.Violations).To(HaveEach(HaveField("Kind", kind)))
		Expect(result.Err()).To(HaveOccurred())
	},
		Entry("truncated with terminal event", loadgen.ViolationLooksComplete, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:len(tokens)-1]...)
			sendDone(w)
		}),
		Entry("truncated without terminal event", loadgen.ViolationLooksComplete,
			func(w http.ResponseWriter, tokens []string) { send(w, "a", tokens[:2]...) }),
		Entry("complete without terminal event", loadgen.ViolationLooksComplete,
			func(w http.ResponseWriter, tokens []string) { send(w, "a", tokens...) }),
		Entry("terminal event after an error", loadgen.ViolationLooksComplete, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:2]...)
			sendErrorEvent(w)
			sendDone(w)
		}),
		Entry("empty", loadgen.ViolationLooksComplete, func(http.ResponseWriter, []string) {}),
		Entry("another request's text", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokensOf("another prompt", len(tokens))...)
			sendDone(w)
		}),
		Entry("two streams mixed", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			for i, other := range tokensOf("another prompt", len(tokens)) {
				send(w, "a", tokens[i])
				send(w, "b", other)
			}
			sendDone(w)
		}),
		Entry("correct text with two stream ids", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[:2]...)
			send(w, "b", tokens[2:]...)
			sendDone(w)
		}),
		Entry("a repeated token", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[0], tokens[0])
			sendDone(w)
		}),
		Entry("tokens in another order", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens[1], tokens[0])
			sendDone(w)
		}),
		Entry("text after the end", loadgen.ViolationWrongText, func(w http.ResponseWriter, tokens []string) {
			send(w, "a", append(tokens, "more ")...)
			sendDone(w)
		}),
		Entry("an event after the terminal event", loadgen.ViolationMalformed,
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens...)
				sendDone(w)
				send(w, "a", "more ")
			}),
		Entry("header and body that contradict each other", loadgen.ViolationMalformed,
			func(w http.ResponseWriter, _ []string) {
				w.Header().Set(outcome.HeaderName, "not_run")
				w.WriteHeader(http.StatusBadGateway)
				_, _ = w.Write((&outcome.Error{Outcome: outcome.Unknown}).JSON())
			}))

	// Guards against truncated or swapped responses that are accepted because they were not streamed.
	DescribeTable("checks responses that are not streamed", func(kind, format string) {
		options := smallOptions(completionGateway(func(w http.ResponseWriter, tokens []string) {
			fmt.Fprintf(w, format, strings.Join(tokens[:2], ""))
		}))
		options.NonStreamedShare = 1
		Expect(runLoad(options).Violations).To(And(HaveLen(requests), HaveEach(HaveField("Kind", kind))))
	},
		Entry("truncated text", loadgen.ViolationLooksComplete, `{"choices":[{"text":"%s"}]}`),
		Entry("truncated JSON", loadgen.ViolationLooksComplete, `{"choices":[{"text":"%s`),
		Entry("other text", loadgen.ViolationWrongText, `{"choices":[{"text":"x%s"}]}`))

	// Guards against correctly reported failures that are counted as violations.
	DescribeTable("counts failures that no caller can mistake for a complete response",
		func(want loadgen.OutcomeCount, respond streamResponse) {
			result := runLoad(smallOptions(completionGateway(respond)))
			Expect(result.Err()).To(Succeed())
			Expect(result.Outcomes).To(ConsistOf(want))
		},
		Entry("error event", outcomeCount("failed", "decode", "engine_died", requests),
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens[:2]...)
				sendErrorEvent(w)
			}),
		Entry("reset in the body", outcomeCount("reset", "body", "read", requests),
			func(w http.ResponseWriter, tokens []string) {
				send(w, "a", tokens[:2]...)
				w.(http.Flusher).Flush()
				reset(w)
			}),
		Entry("reset before the head", outcomeCount("reset", "head", "read", requests),
			func(w http.ResponseWriter, _ []string) { reset(w) }),
		Entry("an error response of the endpoint", outcomeCount("endpoint_error", "", "500", requests),
			func(w http.ResponseWriter, _ []string) { w.WriteHeader(http.StatusInternalServerError) }))

	// Guards against retries that could execute a request twice, that follow a refusal without Retry-After, or that never end.
	DescribeTable("retries only what is safe to retry, up to a limit",
		func(retrySafe bool, retryAfter time.Duration, attempts int) {
			var first, second atomic.Int32
			refuse := func(count *atomic.Int32) streamResponse {
				return func(w http.ResponseWriter, _ []string) {
					count.Add(1)
					refused := outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, "busy", "", retryAfter)
					refused.RetrySafe = retrySafe
					refused.WriteTo(w)
				}
			}
			options := smallOptions(completionGateway(refuse(&first)), completionGateway(refuse(&second)))
			options.Requests, options.MaxRetries = 1, 3
			result := runLoad(options)
			Expect(result.Attempts).To(Equal(attempts))
			Expect(int(second.Load())).To(Equal(attempts / 2))
			Expect(result.Outcomes).To(ConsistOf(outcomeCount("not_run", "credit_wait", "busy", 1)))
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
	// forward proxies requests to the service without checking their keys.
	forward := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") != "" {
			keys.Add(1)
		}
		target := "http://" + service.Address() + strings.TrimPrefix(r.URL.Path, "/services/desk")
		request, _ := http.NewRequest(r.Method, target, r.Body)
		request.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			reset(w)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		// io.Copy is avoided: it calls ReadFrom of a response writer that has it, and that of nbhttp v1.6.8 writes no chunk
		// framing.
		content, _ := io.ReadAll(response.Body)
		_, _ = w.Write(content)
	}
	BeforeEach(func() {
		var err error
		service, err = standin.NewService(standin.ServiceOptions{Address: "127.0.0.1:0"})
		serve(service, err)
		keys.Store(0)
	})

	// Guards against duplicates that are executed twice but not reported.
	It("reports keys that were executed twice", func() {
		result := runLoad(serviceOptions(service, startGateway(forward), startGateway(forward)))
		Expect(keys.Load()).To(BeNumerically(">", 0))
		Expect(result.Violations).To(HaveEach(HaveField("Kind", loadgen.ViolationRanTwice)))
		Expect(result.ViolationCount).To(Equal(int(keys.Load()) / 2))
	})

	// Guards against a wrong not_run, after which a caller books again.
	It("reports requests that were executed although their outcome was not_run", func() {
		refuseAfterRun := func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				forward(&discardResponse{header: make(http.Header)}, r)
			}
			outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "busy", "", 0).WriteTo(w)
		}
		options := serviceOptions(service, startGateway(refuseAfterRun))
		options.DuplicateShare = 1e-9
		result := runLoad(options)
		Expect(result.Violations).To(HaveEach(HaveField("Kind", loadgen.ViolationRan)))
		Expect(result.ViolationCount).To(And(BeNumerically(">", 0), Equal(int(keys.Load()))))
	})

	// Guards against bookings and schedules that belong to another caller's request.
	It("reports a response to another caller's request", func() {
		swapped := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"schedule":"lawn","digest":"0","booking":"0","key":"k"}`)
		}
		result := runLoad(serviceOptions(service, startGateway(swapped)))
		Expect(result.Violations).To(And(Not(BeEmpty()), HaveEach(HaveField("Kind", loadgen.ViolationWrongText))))
	})
})

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header { return d.header }

func (d *discardResponse) Write(data []byte) (int, error) { return len(data), nil }

func (d *discardResponse) WriteHeader(int) {}

var _ = Describe("Result", func() {
	// Guards against result files that a later comparison cannot read.
	It("writes JSON, histograms, plot and table", func() {
		options := smallOptions(completionGateway(func(w http.ResponseWriter, tokens []string) {
			send(w, "a", tokens...)
			sendDone(w)
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

	// Guards against a reported change that is no larger than the differences between repeated runs.
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
