// Package callers reads callers' requests.
package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/outcome"
)

// Kind tells the callers' interfaces apart.
type Kind string

// The kinds of a request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindService    Kind = "service"
)

const (
	bytesPerToken = 4
	prefixBytes   = 4 << 10
)

// Request is a caller's request.
type Request struct {
	Kind    Kind
	Team    string
	Profile string
	// Budget is 0 if the caller names none.
	Budget       time.Duration
	Key          string
	Stream       bool
	MaxTokens    int64
	PromptTokens int64
	PrefixHash   uint64
	// Body is forwarded unchanged.
	Body        []byte
	Method      string
	ServiceName string
	// ServicePath includes the query.
	ServicePath string
}

// Parse reads a request.
func Parse(r *http.Request) (*Request, *outcome.Error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuse("unreadable_body", "the body could not be read")
	}
	req := &Request{
		Team:    r.Header.Get("X-Acacia-Team"),
		Profile: r.Header.Get("X-Acacia-Profile"),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
		Body:    body,
	}
	if budget := r.Header.Get("X-Acacia-Budget-Ms"); budget != "" {
		ms, err := strconv.Atoi(budget)
		if err != nil || ms <= 0 {
			return nil, refuse("bad_budget", "the time budget must be a positive number of milliseconds")
		}
		req.Budget = time.Duration(ms) * time.Millisecond
	}
	if rest, ok := strings.CutPrefix(r.URL.RequestURI(), "/services/"); ok {
		name, path, _ := strings.Cut(rest, "/")
		req.Kind, req.ServiceName, req.ServicePath = KindService, name, "/"+path
		return req, nil
	}
	return parseCompletion(r.URL.Path, req)
}

func parseCompletion(path string, req *Request) (*Request, *outcome.Error) {
	var content struct {
		Prompt    string `json:"prompt"`
		Stream    bool   `json:"stream"`
		MaxTokens int64  `json:"max_tokens"`
	}
	switch path {
	case "/v1/completions":
		req.Kind = KindCompletion
	case "/v1/chat/completions":
		req.Kind = KindChat
	default:
		return nil, refuse("unknown_path", "no such path")
	}
	if err := json.Unmarshal(req.Body, &content); err != nil {
		return nil, refuse("malformed_json", "the body is not valid JSON")
	}
	req.Stream = content.Stream
	req.MaxTokens = content.MaxTokens
	req.PromptTokens = int64((len(content.Prompt) + bytesPerToken - 1) / bytesPerToken)
	req.PrefixHash = xxhash.Sum64String(content.Prompt[:min(prefixBytes, len(content.Prompt))])
	return req, nil
}

func refuse(code, message string) *outcome.Error {
	return outcome.Refusal(http.StatusBadRequest, outcome.StageAdmission, code, message, 0)
}
