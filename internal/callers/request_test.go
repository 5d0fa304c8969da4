package callers_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestCallers(t *testing.T) { testkit.RunSpecs(t, "callers") }

const prompt = `{"prompt":"hi"}`

// request returns a valid POST request whose headers are changed by pairs of name and value. An empty value removes the
// header.
func request(target string, changes ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, target, nil)
	r.Header = http.Header{callers.HeaderTeam: {"field"}, callers.HeaderProfile: {"lawn"}}
	for i := 0; i < len(changes); i += 2 {
		r.Header.Del(changes[i])
		if changes[i+1] != "" {
			r.Header.Set(changes[i], changes[i+1])
		}
	}
	return r
}

func requestWithMethod(method, target string) *http.Request {
	r := request(target)
	r.Method = method
	return r
}

// twice returns a request that contains a header twice.
func twice(header, value string) *http.Request {
	r := request(callers.PathCompletions, header, value)
	r.Header.Add(header, value)
	return r
}

func emptyKey() *http.Request {
	r := request(callers.PathCompletions)
	r.Header[callers.HeaderIdempotencyKey] = []string{""}
	return r
}

func chat(messages string) string { return `{"messages":` + messages + `}` }

const (
	completions = callers.PathCompletions
	chats       = callers.PathChatCompletions
)

var _ = Describe("refused requests", func() {
	// Guards against invalid input that is admitted, and against refusals with other codes than the documented ones.
	DescribeTable("have a stable code", func(r *http.Request, body string, status int, code string) {
		req, refusal := callers.Parse(r, []byte(body))
		Expect(req).To(BeNil())
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Code).To(Equal(code))
		Expect(refusal.Status).To(Equal(status))
		Expect(refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(refusal.Stage).To(Equal(outcome.StageAdmission))
	},
		Entry("unknown path", request("/v2/completions"), prompt, 404, "unknown_path"),
		Entry("path with a trailing slash", request(completions+"/"), prompt, 404, "unknown_path"),
		Entry("no service name", request("/services/"), "", 404, "unknown_path"),
		Entry("escaped service name", request("/services/a%2fb/x"), "", 404, "unknown_path"),
		Entry("long service name", request("/services/"+strings.Repeat("a", 129)), "", 404, "unknown_path"),
		Entry("dot segment", request("/services/a/../b"), "", 400, "invalid_path"),
		Entry("escaped dot segment", request("/services/a/x/%2e%2e/%2E%2e/b"), "", 400, "invalid_path"),
		Entry("GET of a completion", requestWithMethod("GET", completions), "", 405, "wrong_method"),
		Entry("TRACE of a service", requestWithMethod("TRACE", "/services/a"), "", 405, "wrong_method"),
		Entry("no team", request(completions, callers.HeaderTeam, ""), prompt, 400, "missing_team"),
		Entry("no team for a service", request("/services/a", callers.HeaderTeam, ""), "", 400, "missing_team"),
		Entry("no profile", request(completions, callers.HeaderProfile, ""), prompt, 400, "missing_profile"),
		Entry("long team", request(completions, callers.HeaderTeam, strings.Repeat("t", 129)), prompt, 400, "invalid_header"),
		Entry("two teams", twice(callers.HeaderTeam, "a"), prompt, 400, "duplicate_header"),
		Entry("two profiles", twice(callers.HeaderProfile, "a"), prompt, 400, "duplicate_header"),
		Entry("two budgets", twice(callers.HeaderBudgetMS, "1"), prompt, 400, "duplicate_header"),
		Entry("two keys", twice(callers.HeaderIdempotencyKey, "a"), prompt, 400, "duplicate_header"),
		Entry("team that is not UTF-8", request(completions, callers.HeaderTeam, "\xff"), prompt, 400, "invalid_utf8"),
		Entry("other header that is not UTF-8", request(completions, "X-Other", "\xc3\x28"), prompt, 400, "invalid_utf8"),
		Entry("negative budget", request(completions, callers.HeaderBudgetMS, "-1"), prompt, 400, "invalid_budget"),
		Entry("zero budget", request(completions, callers.HeaderBudgetMS, "0"), prompt, 400, "invalid_budget"),
		Entry("budget with a sign", request(completions, callers.HeaderBudgetMS, "+5"), prompt, 400, "invalid_budget"),
		Entry("budget with a unit", request(completions, callers.HeaderBudgetMS, "5s"), prompt, 400, "invalid_budget"),
		Entry("budget of more than a day", request(completions, callers.HeaderBudgetMS, "86400001"), prompt, 400, "invalid_budget"),
		Entry("budget that exceeds 64 bits", request(completions, callers.HeaderBudgetMS, "99999999999999999999"), prompt, 400, "invalid_budget"),
		Entry("long key", request(completions, callers.HeaderIdempotencyKey, strings.Repeat("k", 129)), prompt, 400, "oversize_key"),
		Entry("empty key", emptyKey(), prompt, 400, "invalid_key"),
		Entry("empty body", request(completions), "", 400, "malformed_json"),
		Entry("truncated body", request(completions), `{"prompt":"h`, 400, "malformed_json"),
		Entry("two documents", request(completions), prompt+prompt, 400, "malformed_json"),
		Entry("line feed in a string", request(completions), "{\"prompt\":\"a\nb\"}", 400, "malformed_json"),
		Entry("unterminated nesting", request(completions), `{"prompt":"a","x":`+strings.Repeat("[", 1<<20), 400, "malformed_json"),
		Entry("body that is not UTF-8", request(completions), "{\"prompt\":\"\xff\"}", 400, "invalid_utf8"),
		Entry("body that is an array", request(completions), `[]`, 400, "wrong_type"),
		Entry("body that is a string", request(completions), `"prompt"`, 400, "wrong_type"),
		Entry("no prompt", request(completions), `{}`, 400, "missing_prompt"),
		Entry("prompt field in another case", request(completions), `{"Prompt":"hi"}`, 400, "missing_prompt"),
		Entry("null prompt", request(completions), `{"prompt":null}`, 400, "missing_prompt"),
		Entry("empty prompt", request(completions), `{"prompt":""}`, 400, "missing_prompt"),
		Entry("prompt that is a list", request(completions), `{"prompt":["hi"]}`, 400, "wrong_type"),
		Entry("prompt that is a number", request(completions), `{"prompt":1}`, 400, "wrong_type"),
		Entry("two prompts", request(completions), `{"prompt":"a","prompt":"b"}`, 400, "duplicate_field"),
		Entry("second prompt field with an escape in its name", request(completions), `{"prompt":"a","pr\u006fmpt":"b"}`, 400, "duplicate_field"),
		Entry("zero max_tokens", request(completions), `{"prompt":"a","max_tokens":0}`, 400, "invalid_max_tokens"),
		Entry("negative max_tokens", request(completions), `{"prompt":"a","max_tokens":-1}`, 400, "invalid_max_tokens"),
		Entry("max_tokens above the limit", request(completions), `{"prompt":"a","max_tokens":1048577}`, 400, "invalid_max_tokens"),
		Entry("max_tokens that exceeds 64 bits", request(completions), `{"prompt":"a","max_tokens":99999999999999999999}`, 400, "invalid_max_tokens"),
		Entry("fractional max_tokens", request(completions), `{"prompt":"a","max_tokens":1.5}`, 400, "wrong_type"),
		Entry("max_tokens that is a string", request(completions), `{"prompt":"a","max_tokens":"5"}`, 400, "wrong_type"),
		Entry("stream that is a number", request(completions), `{"prompt":"a","stream":1}`, 400, "wrong_type"),
		Entry("no messages", request(chats), prompt, 400, "missing_messages"),
		Entry("empty messages", request(chats), chat(` [ ] `), 400, "missing_messages"),
		Entry("messages that are an object", request(chats), chat(`{}`), 400, "wrong_type"),
		Entry("message that is a string", request(chats), chat(`["hi"]`), 400, "wrong_type"),
		Entry("message without role", request(chats), chat(`[{"content":"hi"}]`), 400, "wrong_type"),
		Entry("message without content", request(chats), chat(`[{"role":"user"}]`), 400, "wrong_type"),
		Entry("content that is a number", request(chats), chat(`[{"role":"user","content":1}]`), 400, "wrong_type"),
		Entry("two contents", request(chats), chat(`[{"role":"user","content":"a","content":"b"}]`), 400, "duplicate_field"),
		Entry("part that is an image", request(chats), chat(`[{"role":"user","content":[{"type":"image_url"}]}]`), 400, "unsupported_content"),
		Entry("part without text", request(chats), chat(`[{"role":"user","content":[{"type":"text"}]}]`), 400, "wrong_type"),
	)
})

var _ = Describe("parsed requests", func() {
	// Guards against a limit, a budget or a prompt length that differs from what the engine parses from the same body.
	It("contain the fields of a completion and the unchanged body", func() {
		body := []byte(`{ "x" : {"prompt": ["]", "\\"]}, "prompt" : "a\n\u00e9\ud83d\ude00" , "max_tokens":7,"stream" : true }`)
		before := bytes.Clone(body)
		r := request(completions, callers.HeaderBudgetMS, "1500", callers.HeaderIdempotencyKey, "k")
		req, refusal := callers.Parse(r, body)
		Expect(refusal).To(BeNil())
		Expect(*req).To(Equal(callers.Request{
			Kind: callers.KindCompletion, Team: "field", Profile: "lawn", Budget: 1500 * time.Millisecond, Key: "k",
			Method: "POST", Stream: true, MaxTokens: 7, PromptTokens: 2, PrefixHash: xxhash.Sum64String("a\né😀"), Body: before,
		}))
		Expect(&req.Body[0]).To(BeIdenticalTo(&body[0]))
	})

	// Guards against different estimates for the same prompt, and against a hash that depends on bytes after the prefix.
	DescribeTable("estimate the tokens of a prompt and hash its first 4 KiB", func(length int, tokens int64) {
		text := strings.Repeat("0123456789abcdef", length/16+1)[:length]
		req, refusal := callers.Parse(request(completions), []byte(`{"prompt":"`+text+`"}`))
		Expect(refusal).To(BeNil())
		Expect(req.PromptTokens).To(Equal(tokens))
		Expect(req.PrefixHash).To(Equal(xxhash.Sum64String(text[:min(length, 4096)])))
	},
		Entry("of 1 byte", 1, int64(1)),
		Entry("of 4 bytes", 4, int64(1)),
		Entry("of 5 bytes", 5, int64(2)),
		Entry("of 4096 bytes", 4096, int64(1024)),
		Entry("of 4 MB", 4_000_000, int64(1_000_000)),
	)

	// Guards against different hashes for equal chats.
	It("do not depend on whether the content of a chat is a string or text parts", func() {
		plain, refusal := callers.Parse(request(chats), []byte(chat(`[{"role":"system","content":"be brief"},{"role":"user","content":"hello"}]`)))
		Expect(refusal).To(BeNil())
		parts, refusal := callers.Parse(request(chats), []byte(chat(
			`[{"content":"be brief","role":"system"}, {"role":"user","content":[{"type":"text","text":"hel"},{"text":"lo","type":"text"}]}]`)))
		Expect(refusal).To(BeNil())
		Expect(plain.Kind).To(Equal(callers.KindChat))
		Expect(plain.PrefixHash).To(Equal(xxhash.Sum64String("system\nbe brief\nuser\nhello\n")))
		Expect(parts.PrefixHash).To(Equal(plain.PrefixHash))
		Expect(parts.PromptTokens).To(Equal(plain.PromptTokens))
	})

	// Guards against a service that gets a path or body that differs from what the caller sent.
	DescribeTable("contain the name, path and method of a plain service", func(target, name, path string) {
		r := requestWithMethod("PUT", target)
		req, refusal := callers.Parse(r, []byte("\xff\x00"))
		Expect(refusal).To(BeNil())
		Expect(*req).To(Equal(callers.Request{
			Kind: callers.KindService, Team: "field", Profile: "lawn", Method: "PUT", Body: []byte("\xff\x00"),
			ServiceName: name, ServicePath: path,
		}))
	},
		Entry("without a path", "/services/round-desk", "round-desk", "/"),
		Entry("with a path and a query", "/services/a/visits/7?day=1&x=%20", "a", "/visits/7?day=1&x=%20"),
		Entry("with escapes", "/services/a/b%2Fc%20d", "a", "/b%2Fc%20d"),
		Entry("with an empty query", "/services/a?", "a", "/?"),
	)

	// Guards against copies of a long prompt: parsing a body of 4 MB without escapes must allocate much less memory than that.
	It("of 4 MB are parsed without a copy of the prompt", func() {
		body := []byte(`{"prompt":"` + strings.Repeat("x", 4<<20) + `"}`)
		r := request(completions)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, refusal := callers.Parse(r, body)
		runtime.ReadMemStats(&after)
		Expect(refusal).To(BeNil())
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
	})
})

// FuzzParse guards against panics, against refusals without a code and against an estimate for another prompt than the one
// that encoding/json parses from the same body.
func FuzzParse(f *testing.F) {
	for _, body := range []string{
		prompt, `{}`, `[]`, `"`, `{"prompt":"\u0061\ud800"}`, `{"prompt":"a","max_tokens":1e3}`, `{"a":[{"b":"]}"},[]],"prompt":"x"}`,
		`{"messages":[{"role":"user","content":[{"type":"text","text":"a\"b\\"}]}]}`, `{"messages":[]}`, "\xff", `{"":0,"prompt":"a"}`,
		" {\t\"prompt\" :\n\"a\" , \"stream\": true\r\n} ", `{"messages":[{"role":"a","content":""},{"role":"","content":[]}]}`,
	} {
		f.Add(completions, "team", "100", "key", body)
		f.Add(chats, "team", "", "", body)
	}
	f.Add("/services/a/b", "", "-1", "\xff", "")
	f.Fuzz(func(t *testing.T, target, team, budget, key, body string) {
		r := request("/", callers.HeaderTeam, team, callers.HeaderBudgetMS, budget, callers.HeaderIdempotencyKey, key)
		if target == "" || target[0] != '/' {
			return
		}
		r.URL.Path = target
		req, refusal := callers.Parse(r, []byte(body))
		if (req == nil) == (refusal == nil) {
			t.Fatalf("Parse returned request %v and refusal %v", req, refusal)
		}
		if refusal != nil {
			if refusal.Code == "" || refusal.Outcome != outcome.NotRun || refusal.Status/100 != 4 {
				t.Fatalf("refusal without a code or with a wrong outcome or status: %v", refusal)
			}
			return
		}
		if string(req.Body) != body {
			t.Fatalf("the body was changed")
		}
		if text, ok := parsePrompt(req.Kind, body); req.Kind != callers.KindService && (!ok || req.PromptTokens != int64(len(text)+3)/4) {
			t.Fatalf("the prompt %q has an estimate of %d tokens", text, req.PromptTokens)
		}
	})
}

// parsePrompt returns the prompt text that encoding/json parses from a body.
func parsePrompt(kind callers.Kind, body string) (string, bool) {
	var top map[string]any
	if err := json.NewDecoder(strings.NewReader(body)).Decode(&top); err != nil {
		return "", false
	}
	if kind != callers.KindChat {
		text, ok := top["prompt"].(string)
		return text, ok
	}
	var text strings.Builder
	messages, ok := top["messages"].([]any)
	for _, message := range messages {
		fields := message.(map[string]any)
		_, _ = io.WriteString(&text, fields["role"].(string)+"\n")
		switch content := fields["content"].(type) {
		case string:
			_, _ = io.WriteString(&text, content)
		case []any:
			for _, part := range content {
				_, _ = io.WriteString(&text, part.(map[string]any)["text"].(string))
			}
		}
		_, _ = io.WriteString(&text, "\n")
	}
	return text.String(), ok
}
