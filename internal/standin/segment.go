package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// segmentContent identifies the part of a prompt whose KV cache a segment holds.
type segmentContent struct {
	Bytes int    `json:"bytes"`
	Hash  uint64 `json:"hash,string"`
}

type segmentBody struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
}

type segmentResponse struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	segmentContent
}

// segmentReference identifies an exported segment and the engine that holds it.
type segmentReference struct {
	id      string
	address string
}

// importError is the failure of a primary to import a segment.
type importError struct {
	id  string
	err error
}

func (e *importError) Error() string { return fmt.Sprintf("import of segment %s: %v", e.id, e.err) }

func (e *importError) Unwrap() error { return e.err }

// serveSegment prefills one segment of a grouped prompt and keeps it until it is imported, released or cancelled.
func (e *Engine) serveSegment(w http.ResponseWriter, r *http.Request) {
	var body segmentBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.ID == "" {
		refuse(w, http.StatusBadRequest, "bad_request", "the body must be JSON with id and prompt")
		return
	}
	priority, err := intHeader(r.Header, "X-Priority", 0)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.acceptFenceHeader(w, r) {
		return
	}
	tokens := EstimateTokens(len(body.Prompt))
	content := segmentContent{Bytes: len(body.Prompt), Hash: xxhash.Sum64String(body.Prompt)}
	s, err := e.admit(r.Context(), admission{
		id:             body.ID,
		priority:       int(priority),
		prefillTokens:  tokens,
		reservedTokens: tokens,
		segment:        &content,
	})
	if err != nil {
		refuseAdmission(w, err)
		return
	}
	defer s.cancel(nil)
	out := &responseWriter{engine: e, ctx: s.ctx, w: w}
	if err := e.exportSegment(s); err != nil {
		e.abandon(s)
		out.fail(err)
		return
	}
	response := mustJSON(segmentResponse{ID: s.id, Tokens: tokens, segmentContent: content})
	w.Header().Set("Content-Type", "application/json")
	if err := out.write(response); err != nil {
		out.fail(err)
	}
}

func (e *Engine) exportSegment(s *stream) error {
	e.startPrefill(s)
	select {
	case <-s.prefillDone:
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.phase = PhaseExported
	return nil
}

// serveImport responds to the primary's import of an exported segment and frees the segment's memory.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	if e.waitUntilResponsive(r.Context()) != nil {
		return
	}
	s := e.awaitSegment(r.Context(), r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_segment", "no exported segment has this id")
		return
	}
	writeJSON(w, http.StatusOK, segmentResponse{ID: s.id, Tokens: s.reservedTokens, segmentContent: *s.segment})
}

// The primary and the helpers of a group get their requests at the same time. An import may therefore arrive before the
// request for its segment.
const (
	importPollInterval = 5 * time.Millisecond
	// unknownSegmentTimeout is the time for which an import waits for a segment that is unknown to the engine.
	unknownSegmentTimeout = 5 * time.Second
)

// awaitSegment waits until the segment is exported, and frees it. It returns nil if the primary cancels the import, or if
// the segment is unknown for unknownSegmentTimeout.
func (e *Engine) awaitSegment(ctx context.Context, id string) *stream {
	ticker := time.NewTicker(importPollInterval)
	defer ticker.Stop()
	lastKnown := time.Now()
	for {
		if s := e.takeSegment(id); s != nil {
			return s
		}
		if e.knowsStream(id) {
			lastKnown = time.Now()
		}
		if time.Since(lastKnown) > unknownSegmentTimeout {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *Engine) knowsStream(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.streams {
		if s.id == id {
			return true
		}
	}
	return false
}

func (e *Engine) takeSegment(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.streams {
		if s.id == id && s.phase == PhaseExported {
			e.free(s)
			e.stats.Imported++
			return s
		}
	}
	return nil
}

// parseImports parses "ID@IP:PORT, ID@IP:PORT", with the segments in the order of the prompt.
func parseImports(value string) ([]segmentReference, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	var references []segmentReference
	for part := range strings.SplitSeq(value, ",") {
		id, address, ok := strings.Cut(strings.TrimSpace(part), "@")
		if !ok || id == "" || address == "" {
			return nil, fmt.Errorf("X-Import has the malformed entry %q", part)
		}
		references = append(references, segmentReference{id: id, address: address})
	}
	return references, nil
}

// importSegments fetches the segments for a primary and checks that, in order, they form the beginning of its prompt.
func importSegments(ctx context.Context, c completion) error {
	remaining := c.prompt
	for _, reference := range c.imports {
		content, err := fetchSegment(ctx, reference)
		if err != nil {
			return &importError{id: reference.id, err: err}
		}
		if content.Bytes > len(remaining) || xxhash.Sum64(remaining[:content.Bytes]) != content.Hash {
			return &importError{id: reference.id, err: fmt.Errorf("the segment's content differs from the prompt")}
		}
		remaining = remaining[content.Bytes:]
	}
	if len(c.imports) > 0 && EstimateTokens(len(remaining)) > c.ownTokens {
		return &importError{id: "own", err: fmt.Errorf("the segments and X-Own-Tokens do not cover the prompt")}
	}
	return nil
}

func fetchSegment(ctx context.Context, reference segmentReference) (segmentContent, error) {
	target := "http://" + reference.address + "/v1/segments/" + url.PathEscape(reference.id) + "/import"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return segmentContent{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return segmentContent{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return segmentContent{}, fmt.Errorf("helper responded with status %s", response.Status)
	}
	var segment segmentResponse
	err = json.NewDecoder(response.Body).Decode(&segment)
	return segment.segmentContent, err
}
