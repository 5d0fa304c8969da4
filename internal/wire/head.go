// Package wire reads HTTP/1.1 messages from a blocking connection. The head is parsed by nbhttp's parser after a strict
// check of its bytes, and the body is read by its declared length or chunk by chunk.
//
// Only checked heads without framing headers are passed to nbhttp's parser. On its own, the parser uses the first of two
// Content-Length headers, accepts a chunk size of "0x5" as zero, parses a folded line as a new header, treats a response
// without a length as empty, and loses the first header after an empty reason phrase.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// ErrHeadTooLarge means that a head exceeds its byte limit, or has more than maxFields.
var ErrHeadTooLarge = errors.New("message head exceeds the limit")

// maxFields bounds the header lines of a head. Many short ones take much more memory than their bytes.
const maxFields = 256

// ErrVersion means that the version of a message is neither HTTP/1.0 nor HTTP/1.1.
var ErrVersion = errors.New("unsupported HTTP version")

// MalformedError is a violation of the HTTP/1.1 syntax.
type MalformedError struct {
	// Reason names the violated rule; it contains no bytes of the message.
	Reason string
}

// Error implements the error interface.
func (e *MalformedError) Error() string { return "malformed message: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// ReadHead reads the start line and the header lines, up to and including the empty line that ends them. It skips at most
// one empty line before the start line, as RFC 9112 section 2.2 advises. It returns io.ErrUnexpectedEOF if the connection
// ends within the head, and io.EOF if the connection ends before it.
func ReadHead(r *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	lineStart := 0
	skipped := false
	for {
		// Reading whole lines would wait for the end of a line that already exceeds the limit.
		c, err := r.ReadByte()
		if errors.Is(err, io.EOF) && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(head) == limit {
			return nil, ErrHeadTooLarge
		}
		head = append(head, c)
		if c != '\n' {
			continue
		}
		line := head[lineStart:]
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return nil, malformed("line does not end with CR LF")
		}
		if len(line) > 2 {
			lineStart = len(head)
			continue
		}
		if lineStart > 0 {
			return head, nil
		}
		if skipped {
			return nil, malformed("empty start line")
		}
		skipped = true
		head = head[:0]
	}
}

// field is one header line.
type field struct {
	name  string
	value string
}

// splitHead returns the start line and the header fields of a head. It rejects folded lines and everything else that the
// field syntax of RFC 9110 section 5 does not allow.
func splitHead(head []byte) (string, []field, error) {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if len(lines) > maxFields+1 {
		return "", nil, ErrHeadTooLarge
	}
	for _, line := range lines {
		if at := strings.IndexFunc(line, isControl); at >= 0 {
			return "", nil, malformed("control character in the head")
		}
	}
	fields := make([]field, 0, len(lines)-1)
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return "", nil, malformed("header line without colon")
		}
		if !ValidFieldName(name) {
			return "", nil, malformed("invalid header name")
		}
		fields = append(fields, field{
			name:  textproto.CanonicalMIMEHeaderKey(name),
			value: textproto.TrimString(value),
		})
	}
	return lines[0], fields, nil
}

// isControl reports whether r is a control character other than the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// ValidFieldName reports whether the name is a token of RFC 9110 section 5.6.2.
func ValidFieldName(name string) bool {
	if name == "" {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

// ValidFieldValue reports whether the value can be sent in a header line.
func ValidFieldValue(value string) bool { return strings.IndexFunc(value, isControl) < 0 }

// singletonFields must not occur more than once, because recipients may differ in which of two values they use.
var singletonFields = map[string]bool{
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Host":              true,
	"Expect":            true,
	"Authorization":     true,
	"Content-Type":      true,
}

// extractFraming removes the framing headers and returns the framing that they declare.
func extractFraming(fields []field) ([]field, Framing, error) {
	seen := make(map[string]bool)
	remaining := make([]field, 0, len(fields))
	framing := Framing{Length: LengthUnknown}
	for _, f := range fields {
		if singletonFields[f.name] && seen[f.name] {
			return nil, Framing{}, malformed("duplicate header %s", f.name)
		}
		seen[f.name] = true
		switch f.name {
		case "Content-Length":
			length, err := parseLength(f.value)
			if err != nil {
				return nil, Framing{}, err
			}
			framing.Length = length
		case "Transfer-Encoding":
			if !strings.EqualFold(f.value, "chunked") {
				return nil, Framing{}, malformed("unsupported transfer encoding")
			}
			framing.Chunked = true
		default:
			remaining = append(remaining, f)
		}
	}
	if framing.Chunked && framing.Length != LengthUnknown {
		return nil, Framing{}, malformed("both Content-Length and Transfer-Encoding")
	}
	return remaining, framing, nil
}

func parseLength(value string) (int64, error) {
	if value == "" || strings.Trim(value, "0123456789") != "" {
		return 0, malformed("Content-Length is not a number")
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, malformed("Content-Length is out of range")
	}
	return length, nil
}

// joinHead returns a head for nbhttp's parser. No space follows the colon, because the parser would return that space as
// the value of a field with an empty value.
func joinHead(startLine string, fields []field) []byte {
	var b bytes.Buffer
	b.WriteString(startLine + "\r\n")
	for _, f := range fields {
		b.WriteString(f.name + ":" + f.value + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func checkVersion(version string) error {
	switch version {
	case "HTTP/1.1", "HTTP/1.0":
		return nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return ErrVersion
	}
	return malformed("missing HTTP version")
}

// hasToken reports whether a comma-separated header contains the token.
func hasToken(header http.Header, name, token string) bool {
	for _, value := range header[name] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}
