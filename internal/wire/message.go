package wire

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// ParseRequest parses a complete head. It returns the request, with an empty body, and the framing of the body.
func ParseRequest(head []byte) (*http.Request, Framing, error) {
	startLine, fields, err := splitHead(head)
	if err != nil {
		return nil, Framing{}, err
	}
	if err := checkRequestLine(startLine); err != nil {
		return nil, Framing{}, err
	}
	fields, framing, err := extractFraming(fields)
	if err != nil {
		return nil, Framing{}, err
	}
	p := &requestProcessor{request: &http.Request{Header: make(http.Header), Body: http.NoBody}}
	if err := parse(p, &p.complete, joinHead(startLine, fields), false); err != nil {
		return nil, Framing{}, err
	}
	if err := finishRequest(p.request, framing); err != nil {
		return nil, Framing{}, err
	}
	return p.request, framing, nil
}

// parse runs nbhttp's parser on one head. The parser recovers from a panic and then returns nil, so only the completion
// flag of the processor shows success. The parser needs no engine and no connection, because the head is complete and the
// processor keeps no buffers.
func parse(processor nbhttp.Processor, complete *bool, head []byte, isResponse bool) error {
	err := nbhttp.NewParser(nil, nil, processor, isResponse, nil).Parse(head)
	var malformedErr *MalformedError
	if errors.As(err, &malformedErr) {
		return err
	}
	if err != nil {
		return malformed("%v", err)
	}
	if !*complete {
		return malformed("incomplete head")
	}
	return nil
}

// checkRequestLine rejects request lines that nbhttp's parser would accept: with repeated spaces, text after the version,
// a lower-case method or non-ASCII bytes in the target.
func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return malformed("request line does not have three parts")
	}
	if strings.Trim(parts[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return malformed("invalid method")
	}
	if strings.IndexFunc(parts[1], func(r rune) bool { return r <= ' ' || r > '~' }) >= 0 {
		return malformed("invalid request target")
	}
	return checkVersion(parts[2])
}

func finishRequest(r *http.Request, framing Framing) error {
	r.Host = r.Header.Get("Host")
	if _, present := r.Header["Host"]; !present && r.ProtoAtLeast(1, 1) {
		return malformed("missing header Host")
	}
	r.Header.Del("Host")
	if framing.Chunked && !r.ProtoAtLeast(1, 1) {
		return malformed("chunked body in HTTP/1.0")
	}
	r.ContentLength = max(framing.Length, 0)
	if framing.Chunked {
		r.ContentLength = LengthUnknown
		r.TransferEncoding = []string{"chunked"}
	}
	r.Close = !r.ProtoAtLeast(1, 1) || hasToken(r.Header, "Connection", "close")
	return nil
}

// requestProcessor collects the parts of one request head.
type requestProcessor struct {
	nbhttp.EmptyProcessor
	request  *http.Request
	complete bool
}

// OnMethod implements nbhttp.Processor.
func (p *requestProcessor) OnMethod(_ *nbhttp.Parser, method string) { p.request.Method = method }

// OnURL implements nbhttp.Processor.
func (p *requestProcessor) OnURL(_ *nbhttp.Parser, uri string) error {
	target, err := url.ParseRequestURI(uri)
	if err != nil {
		return malformed("invalid request target")
	}
	p.request.RequestURI = uri
	p.request.URL = target
	return nil
}

// OnProto implements nbhttp.Processor.
func (p *requestProcessor) OnProto(_ *nbhttp.Parser, proto string) error {
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok {
		return ErrVersion
	}
	p.request.Proto, p.request.ProtoMajor, p.request.ProtoMinor = proto, major, minor
	return nil
}

// OnHeader implements nbhttp.Processor.
func (p *requestProcessor) OnHeader(_ *nbhttp.Parser, name, value string) {
	p.request.Header[name] = append(p.request.Header[name], value)
}

// OnComplete implements nbhttp.Processor.
func (p *requestProcessor) OnComplete(*nbhttp.Parser) { p.complete = true }

// statusLineStart matches the start of a status line that ParseResponse accepts, and not a Via header with an IP address.
var statusLineStart = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}[ \r]`)

// ContainsStatusLine reports whether the head of a response contains a second status line, for example in a header value. The head of a
// response that stopped there goes on with that of another response, and the status and the headers of both are mixed.
func ContainsStatusLine(head []byte) bool {
	return len(statusLineStart.FindAllIndex(head, 2)) > 1
}

// The range of status codes (RFC 9110 section 15). Others have no class, so that it is not known what the response means.
const (
	minStatus = 100
	maxStatus = 599
)

// Response is the parsed head of an HTTP response.
type Response struct {
	// Status is the status code, 100 to 599.
	Status int
	// Header lacks Content-Length and Transfer-Encoding, which Framing replaces.
	Header  http.Header
	Framing Framing
}

// ParseResponse parses the complete head of a response.
func ParseResponse(head []byte) (*Response, error) {
	startLine, fields, err := splitHead(head)
	if err != nil {
		return nil, err
	}
	version, status, err := splitStatusLine(startLine)
	if err != nil {
		return nil, err
	}
	fields, framing, err := extractFraming(fields)
	if err != nil {
		return nil, err
	}
	if framing.Chunked && version == "HTTP/1.0" {
		return nil, malformed("chunked body in HTTP/1.0")
	}
	p := &responseProcessor{response: &Response{Header: make(http.Header), Framing: framing}}
	// If the reason phrase is empty or does not begin with a letter, nbhttp's parser would use the next header as the phrase.
	startLine = fmt.Sprintf("%s %d Status", version, status)
	if err := parse(p, &p.complete, joinHead(startLine, fields), true); err != nil {
		return nil, err
	}
	return p.response, nil
}

func splitStatusLine(line string) (string, int, error) {
	version, statusAndReason, _ := strings.Cut(line, " ")
	if err := checkVersion(version); err != nil {
		return "", 0, err
	}
	digits, _, _ := strings.Cut(statusAndReason, " ")
	status, err := strconv.Atoi(digits)
	if err != nil || len(digits) != 3 || status < minStatus || status > maxStatus {
		return "", 0, malformed("invalid status code")
	}
	return version, status, nil
}

// responseProcessor collects the parts of one response head.
type responseProcessor struct {
	nbhttp.EmptyProcessor
	response *Response
	complete bool
}

// OnStatus implements nbhttp.Processor.
func (p *responseProcessor) OnStatus(_ *nbhttp.Parser, code int, _ string) { p.response.Status = code }

// OnHeader implements nbhttp.Processor.
func (p *responseProcessor) OnHeader(_ *nbhttp.Parser, name, value string) {
	p.response.Header[name] = append(p.response.Header[name], value)
}

// OnComplete implements nbhttp.Processor.
func (p *responseProcessor) OnComplete(*nbhttp.Parser) { p.complete = true }
