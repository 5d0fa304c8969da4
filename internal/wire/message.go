package wire

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// ParseRequest returns the request of a whole head, with an empty body, and the framing of its body.
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

// parse runs nbhttp's parser over one head. The parser recovers from a panic and then returns nil, so that only the
// processor's completion counts as success. It needs no engine and no connection, because the head is whole and the
// processor keeps no buffers.
func parse(processor nbhttp.Processor, complete *bool, head []byte, isAnswer bool) error {
	err := nbhttp.NewParser(nil, nil, processor, isAnswer, nil).Parse(head)
	var known *MalformedError
	if errors.As(err, &known) {
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

// checkRequestLine refuses what nbhttp's parser would accept: repeated spaces, words after the version, lower-case
// methods and targets with bytes outside ASCII.
func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return malformed("request line has not three parts")
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

// Response is the head of an answer.
type Response struct {
	// Status is the status code, 100 to 999.
	Status int
	// Header lacks Content-Length and Transfer-Encoding, which Framing replaces.
	Header  http.Header
	Framing Framing
}

// ParseResponse returns the head of an answer.
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
	p := &answerProcessor{answer: &Response{Header: make(http.Header), Framing: framing}}
	// nbhttp's parser takes the next header for the reason phrase if the phrase is empty or begins with no letter.
	startLine = fmt.Sprintf("%s %d Status", version, status)
	if err := parse(p, &p.complete, joinHead(startLine, fields), true); err != nil {
		return nil, err
	}
	return p.answer, nil
}

func splitStatusLine(line string) (string, int, error) {
	version, rest, _ := strings.Cut(line, " ")
	if err := checkVersion(version); err != nil {
		return "", 0, err
	}
	digits, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	if err != nil || len(digits) != 3 || status < 100 {
		return "", 0, malformed("invalid status code")
	}
	return version, status, nil
}

// answerProcessor collects the parts of one answer head.
type answerProcessor struct {
	nbhttp.EmptyProcessor
	answer   *Response
	complete bool
}

// OnStatus implements nbhttp.Processor.
func (p *answerProcessor) OnStatus(_ *nbhttp.Parser, code int, _ string) { p.answer.Status = code }

// OnHeader implements nbhttp.Processor.
func (p *answerProcessor) OnHeader(_ *nbhttp.Parser, name, value string) {
	p.answer.Header[name] = append(p.answer.Header[name], value)
}

// OnComplete implements nbhttp.Processor.
func (p *answerProcessor) OnComplete(*nbhttp.Parser) { p.complete = true }
