// Package callers parses the requests that callers send to acacia-gateway. It does no I/O.
package callers

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The request headers that Parse reads. HeaderTeam and HeaderProfile are mandatory.
const (
	HeaderTeam           = "X-Acacia-Team"
	HeaderProfile        = "X-Acacia-Profile"
	HeaderBudgetMS       = "X-Acacia-Budget-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The paths of model requests, and the path prefix of requests to plain services.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	pathServices        = "/services/"
)

// The codes of refused requests.
const (
	CodeUnknownPath     = "unknown_path"
	CodeWrongMethod     = "wrong_method"
	CodeInvalidPath     = "invalid_path"
	CodeMissingTeam     = "missing_team"
	CodeMissingProfile  = "missing_profile"
	CodeDuplicateHeader = "duplicate_header"
	// CodeInvalidHeader means that the team or the profile is longer than maxNameBytes.
	CodeInvalidHeader      = "invalid_header"
	CodeInvalidBudget      = "invalid_budget"
	CodeInvalidKey         = "invalid_key"
	CodeOversizeKey        = "oversize_key"
	CodeInvalidUTF8        = "invalid_utf8"
	CodeMalformedJSON      = "malformed_json"
	CodeDuplicateField     = "duplicate_field"
	CodeWrongType          = "wrong_type"
	CodeMissingPrompt      = "missing_prompt"
	CodeMissingMessages    = "missing_messages"
	CodeInvalidMaxTokens   = "invalid_max_tokens"
	CodeUnsupportedContent = "unsupported_content"
)

const (
	// maxNameBytes bounds the names of teams, profiles and services.
	maxNameBytes           = 128
	maxIdempotencyKeyBytes = 128

	// maxBudget is the longest time budget that a caller may state. A profile may allow less.
	maxBudget = 24 * time.Hour
)

// Kind is the kind of a request.
type Kind string

// The kinds of a request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindService    Kind = "service"
)

// Request is a parsed request of a caller.
type Request struct {
	Kind Kind
	// Team and Profile are the values of HeaderTeam and HeaderProfile.
	Team    string
	Profile string
	// Budget is the time budget that the caller states, or zero if the profile's default applies.
	Budget time.Duration
	// Key is the idempotency key; it may be empty. Parse checks its length; package idem checks its format.
	Key    string
	Method string
	// Body is the complete body, unchanged.
	Body []byte

	// Stream is true if the caller requests a completion as server-sent events.
	Stream bool
	// MaxTokens is the output limit of a completion, or zero if the profile's limit applies.
	MaxTokens int64
	// PromptTokens is the estimated length of the prompt: its length in bytes divided by BytesPerToken, rounded up. The
	// prompt of a chat is the concatenation of the role, a line feed, the content and a line feed of every message.
	PromptTokens int64
	// PrefixHash is the xxhash of the first 4 KiB of the prompt.
	PrefixHash uint64

	// ServiceName is the name of the plain service. ServicePath is the path and query that the service receives; it begins
	// with a slash. Both are empty for model requests.
	ServiceName string
	ServicePath string
}

// Parse parses an HTTP request whose body was read completely into body. It returns the parsed request, or the refusal of
// the request. Parse neither copies nor changes body, and the returned request refers to it.
func Parse(r *http.Request, body []byte) (*Request, *outcome.Error) {
	req := &Request{Method: r.Method, Body: body}
	if refusal := req.parseTarget(r); refusal != nil {
		return nil, refusal
	}
	if refusal := req.parseHeader(r.Header); refusal != nil {
		return nil, refusal
	}
	if req.Kind == KindService {
		return req, nil
	}
	if refusal := req.parseBody(); refusal != nil {
		return nil, refusal
	}
	return req, nil
}

func newRefusal(code, message string) *outcome.Error {
	return newRefusalWithStatus(http.StatusBadRequest, code, message)
}

func newRefusalWithStatus(status int, code, message string) *outcome.Error {
	return outcome.Refusal(status, outcome.StageAdmission, code, message, 0)
}

func (req *Request) parseTarget(r *http.Request) *outcome.Error {
	path := r.URL.EscapedPath()
	switch {
	case path == PathCompletions:
		req.Kind = KindCompletion
	case path == PathChatCompletions:
		req.Kind = KindChat
	case strings.HasPrefix(path, pathServices):
		req.Kind = KindService
		return req.parseService(r, strings.TrimPrefix(path, pathServices))
	default:
		return newRefusalWithStatus(http.StatusNotFound, CodeUnknownPath, "the path is not served")
	}
	if r.Method != http.MethodPost {
		return newRefusalWithStatus(http.StatusMethodNotAllowed, CodeWrongMethod, "the path accepts POST only")
	}
	return nil
}

// parseService parses the path after pathServices: the name of a service, and the path that the service receives.
func (req *Request) parseService(r *http.Request, remainder string) *outcome.Error {
	name, path, _ := strings.Cut(remainder, "/")
	if !isServiceName(name) {
		return newRefusalWithStatus(http.StatusNotFound, CodeUnknownPath, "the path contains no valid service name")
	}
	// A service that resolves dot segments would serve another path than the one that the caller's request names.
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return newRefusal(CodeInvalidPath, "the path contains a dot segment")
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch,
		http.MethodDelete:
	default:
		return newRefusalWithStatus(http.StatusMethodNotAllowed, CodeWrongMethod, "the method is not supported")
	}
	req.ServiceName = name
	req.ServicePath = "/" + path
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		req.ServicePath += "?" + r.URL.RawQuery
	}
	return nil
}

func isServiceName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name == "." || name == ".." {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

func (req *Request) parseHeader(header http.Header) *outcome.Error {
	for name, values := range header {
		for _, value := range values {
			if !utf8.ValidString(name) || !utf8.ValidString(value) {
				return newRefusal(CodeInvalidUTF8, "a header is not valid UTF-8")
			}
		}
	}
	for _, name := range []string{HeaderTeam, HeaderProfile, HeaderBudgetMS, HeaderIdempotencyKey} {
		if len(header[name]) > 1 {
			return newRefusal(CodeDuplicateHeader, "the header "+name+" occurs more than once")
		}
	}
	req.Team, req.Profile, req.Key = header.Get(HeaderTeam), header.Get(HeaderProfile), header.Get(HeaderIdempotencyKey)
	switch {
	case req.Team == "":
		return newRefusal(CodeMissingTeam, "the header "+HeaderTeam+" is missing")
	case req.Profile == "":
		return newRefusal(CodeMissingProfile, "the header "+HeaderProfile+" is missing")
	case len(req.Team) > maxNameBytes, len(req.Profile) > maxNameBytes:
		return newRefusal(CodeInvalidHeader, "the team or profile header is too long")
	case req.Key == "" && len(header[HeaderIdempotencyKey]) > 0:
		return newRefusal(CodeInvalidKey, "the idempotency key is empty")
	case len(req.Key) > maxIdempotencyKeyBytes:
		return newRefusal(CodeOversizeKey, "the idempotency key is too long")
	}
	return req.parseBudget(header)
}

func (req *Request) parseBudget(header http.Header) *outcome.Error {
	values := header[HeaderBudgetMS]
	if len(values) == 0 {
		return nil
	}
	// ParseUint accepts neither a sign nor an underscore in base 10.
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || ms == 0 || ms > uint64(maxBudget/time.Millisecond) {
		return newRefusal(CodeInvalidBudget, "the time budget is not a whole number of milliseconds from 1 to 86400000")
	}
	req.Budget = time.Duration(ms) * time.Millisecond
	return nil
}
