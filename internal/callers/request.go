// Package callers parses the requests of callers. It does no I/O.
package callers

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The headers that callers set.
const (
	HeaderTeam     = "X-Acacia-Team"
	HeaderProfile  = "X-Acacia-Profile"
	HeaderBudgetMS = "X-Acacia-Budget-Ms"
	HeaderKey      = "Idempotency-Key"
)

// The paths that callers use.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	pathServices        = "/services/"
)

// The codes of refused requests.
const (
	CodeUnknownPath        = "unknown_path"
	CodeWrongMethod        = "wrong_method"
	CodeInvalidPath        = "invalid_path"
	CodeMissingTeam        = "missing_team"
	CodeMissingProfile     = "missing_profile"
	CodeDuplicateHeader    = "duplicate_header"
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
	maxNameBytes = 128
	maxKeyBytes  = 128

	// maxBudget is the longest time budget that a caller may state. Profiles set lower limits.
	maxBudget = 24 * time.Hour
)

// Kind is the kind of service that a request is for.
type Kind string

// The kinds of a request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindService    Kind = "service"
)

// Request is a parsed request of a caller.
type Request struct {
	Kind    Kind
	Team    string
	Profile string
	// Budget is the time budget that the caller states, or zero if the profile's default applies.
	Budget time.Duration
	// Key is the idempotency key; it may be empty. Its length has been checked, its format has not.
	Key    string
	Method string
	// Body is the complete body, unchanged.
	Body []byte

	// Stream is true if the caller requests a completion as server-sent events.
	Stream bool
	// MaxTokens is the output limit of a completion, or zero if the profile's limit applies.
	MaxTokens int64
	// PromptTokens is the estimated length of the prompt: its bytes divided by 4, rounded up. The prompt of a chat is
	// each message's role and content, each followed by a line feed.
	PromptTokens int64
	// PrefixHash is the xxhash of the first 4 KiB of the prompt.
	PrefixHash uint64

	// ServiceName is the name of the plain service, and ServicePath the path on it, which begins with a slash and includes
	// the query. Both are empty for completions.
	ServiceName string
	ServicePath string
}

// Parse returns the parsed form of an HTTP request, or the error response that refuses it. The body of the HTTP request was
// read completely into body. Parse neither copies nor changes body, and the returned request refers to it.
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

func refuse(code, message string) *outcome.Error {
	return refuseStatus(http.StatusBadRequest, code, message)
}

func refuseStatus(status int, code, message string) *outcome.Error {
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
		return refuseStatus(http.StatusNotFound, CodeUnknownPath, "the path is not served")
	}
	if r.Method != http.MethodPost {
		return refuseStatus(http.StatusMethodNotAllowed, CodeWrongMethod, "the path accepts POST only")
	}
	return nil
}

func (req *Request) parseService(r *http.Request, nameAndPath string) *outcome.Error {
	name, path, _ := strings.Cut(nameAndPath, "/")
	if !isServiceName(name) {
		return refuseStatus(http.StatusNotFound, CodeUnknownPath, "the path contains no valid service name")
	}
	// A service that resolves dot segments would serve a path that differs from the one checked here.
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return refuse(CodeInvalidPath, "the path contains a dot segment")
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch,
		http.MethodDelete:
	default:
		return refuseStatus(http.StatusMethodNotAllowed, CodeWrongMethod, "the method is not supported")
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
				return refuse(CodeInvalidUTF8, "a header is not valid UTF-8")
			}
		}
	}
	for _, name := range []string{HeaderTeam, HeaderProfile, HeaderBudgetMS, HeaderKey} {
		if len(header[name]) > 1 {
			return refuse(CodeDuplicateHeader, "the header "+name+" occurs more than once")
		}
	}
	req.Team, req.Profile, req.Key = header.Get(HeaderTeam), header.Get(HeaderProfile), header.Get(HeaderKey)
	switch {
	case req.Team == "":
		return refuse(CodeMissingTeam, "the header "+HeaderTeam+" is missing")
	case req.Profile == "":
		return refuse(CodeMissingProfile, "the header "+HeaderProfile+" is missing")
	case len(req.Team) > maxNameBytes, len(req.Profile) > maxNameBytes:
		return refuse(CodeInvalidHeader, "the team or profile header is too long")
	case req.Key == "" && len(header[HeaderKey]) > 0:
		return refuse(CodeInvalidKey, "the idempotency key is empty")
	case len(req.Key) > maxKeyBytes:
		return refuse(CodeOversizeKey, "the idempotency key is too long")
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
		return refuse(CodeInvalidBudget, "the time budget is not a whole number of milliseconds from 1 to 86400000")
	}
	req.Budget = time.Duration(ms) * time.Millisecond
	return nil
}
