package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/platform"
)

// controlHandler serves the control endpoint:
//
//	POST /control/config?revision=N     publish the body; the default is the revision in the body, else the next one
//	POST /control/instances?revision=N  the same for the instance list
//	POST /control/down?mode=MODE        off, error or hang
//	POST /control/delay?ms=N            delay each response to a read
//	POST /control/stale?address=I&kind=KIND&revision=N
//	                                    pin address I (from 0) to an earlier revision; 0 unpins it
//	GET  /control/reads                 return the counts of reads as JSON
func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+controlPath+"{kind}", p.controlPublish)
	mux.HandleFunc("POST "+controlPath+"down", p.controlDown)
	mux.HandleFunc("POST "+controlPath+"delay", p.controlDelay)
	mux.HandleFunc("POST "+controlPath+"stale", p.controlStale)
	mux.HandleFunc("GET "+controlPath+"reads", p.controlReads)
	return mux
}

func (p *Platform) controlPublish(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindOf(r.URL.Path, controlPath)
	revision, err := queryUint(r, "revision")
	body, errBody := io.ReadAll(r.Body)
	if !ok || err != nil || errBody != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if revision == 0 {
		revision = p.revisionOf(kind, body)
	}
	p.Publish(kind, revision, body)
	_, _ = fmt.Fprintf(w, "%d\n", revision)
}

// revisionOf returns the revision in the value itself. Without one, it returns the last published revision plus one.
func (p *Platform) revisionOf(kind platform.Kind, data []byte) uint64 {
	var head struct {
		Revision uint64 `yaml:"revision"`
	}
	if err := yaml.Unmarshal(data, &head); err == nil && head.Revision > 0 {
		return head.Revision
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values[kind]
	if len(values) == 0 {
		return 1
	}
	return values[len(values)-1].revision + 1
}

func (p *Platform) controlDown(w http.ResponseWriter, r *http.Request) {
	switch mode := DownMode(r.URL.Query().Get("mode")); mode {
	case DownOff, DownError, DownHang:
		p.SetDown(mode)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (p *Platform) controlDelay(w http.ResponseWriter, r *http.Request) {
	ms, err := queryUint(r, "ms")
	if err != nil || ms > uint64(maxResponseDelay.Milliseconds()) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetDelay(time.Duration(ms) * time.Millisecond)
}

func (p *Platform) controlStale(w http.ResponseWriter, r *http.Request) {
	address, err := queryUint(r, "address")
	revision, errRevision := queryUint(r, "revision")
	kind, ok := kindOf(r.URL.Query().Get("kind"), "")
	if err != nil || errRevision != nil || !ok || address >= uint64(len(p.servers)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetStale(int(address), kind, revision)
}

func (p *Platform) controlReads(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	body, err := json.Marshal(map[string]any{
		"total": p.reads.total, "peak": p.reads.peak, "per_second": p.reads.perSecond,
	})
	p.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
