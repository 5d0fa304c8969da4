package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.yaml.in/yaml/v3"

	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/platform"
)

const (
	maxLongPoll       = 60 * time.Second
	fileCheckInterval = 500 * time.Millisecond
	maxKeptRevisions  = 100
	maxPublishedBytes = 4 << 20
	maxCountedSeconds = 600
	controlPath       = "/control/"
	maxResponseDelay  = 10 * time.Minute
)

// DownMode is the behaviour of the stand-in during an outage.
type DownMode string

// The modes of an outage.
const (
	// DownOff is no outage.
	DownOff DownMode = "off"
	// DownError responds to each read with 503.
	DownError DownMode = "error"
	// DownHang sends no response to reads.
	DownHang DownMode = "hang"
)

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// Addresses are the listening IP:port addresses of the configuration service and the instance list.
	Addresses []string
	// ControlAddress is the listening IP:port of the control endpoint.
	ControlAddress string
	// ConfigFile and InstancesFile are the paths of files to publish at the start and after each change; they may be empty.
	ConfigFile    string
	InstancesFile string
	Clock         clockwork.Clock
}

// Platform is a fake of the configuration service and the instance list.
type Platform struct {
	options PlatformOptions
	servers []*httpserver.Server
	control *httpserver.Server

	mu             sync.Mutex
	values         map[platform.Kind][]publishedValue
	publishedFiles map[platform.Kind]string
	// staleRevisions maps the index of a listening address to the revisions to which it is pinned.
	staleRevisions map[int]map[platform.Kind]uint64
	down           DownMode
	delay          time.Duration
	reads          readCounter
	// changed is closed and replaced when values, staleRevisions, down or delay change.
	changed chan struct{}
}

type publishedValue struct {
	revision uint64
	data     []byte
}

// NewPlatform returns a platform that already listens on its addresses. It responds once Serve is called.
func NewPlatform(options PlatformOptions) (*Platform, error) {
	p := &Platform{
		options:        options,
		values:         make(map[platform.Kind][]publishedValue),
		publishedFiles: make(map[platform.Kind]string),
		staleRevisions: make(map[int]map[platform.Kind]uint64),
		down:           DownOff,
		changed:        make(chan struct{}),
	}
	if err := p.publishChangedFiles(); err != nil {
		return nil, err
	}
	for i, address := range options.Addresses {
		server, err := httpserver.New(httpserver.Options{Address: address, Handler: p.valuesHandler(i)})
		if err != nil {
			p.close()
			return nil, err
		}
		p.servers = append(p.servers, server)
	}
	control, err := httpserver.New(httpserver.Options{
		Address: options.ControlAddress, Handler: p.controlHandler(), MaxBodyBytes: maxPublishedBytes,
	})
	if err != nil {
		p.close()
		return nil, err
	}
	p.control = control
	return p, nil
}

func (p *Platform) close() {
	for _, server := range p.servers {
		server.Close()
	}
}

// Addresses returns the listening addresses in the order of the options.
func (p *Platform) Addresses() []string {
	addresses := make([]string, len(p.servers))
	for i, server := range p.servers {
		addresses[i] = server.Address()
	}
	return addresses
}

// ControlAddress returns the listening address of the control endpoint.
func (p *Platform) ControlAddress() string { return p.control.Address() }

// Serve runs the platform until the context ends.
func (p *Platform) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	errs := make(chan error, len(p.servers)+1)
	for _, server := range append(p.servers, p.control) {
		running.Go(func() { errs <- server.Serve(ctx) })
	}
	running.Go(func() { p.watchFiles(ctx) })
	running.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Publish replaces the served value. The revision is not checked, because tests also publish lower ones.
func (p *Platform) Publish(kind platform.Kind, revision uint64, data []byte) {
	p.update(func() {
		values := append(p.values[kind], publishedValue{revision: revision, data: data})
		p.values[kind] = values[max(0, len(values)-maxKeptRevisions):]
	})
}

// SetDown begins or ends an outage.
func (p *Platform) SetDown(mode DownMode) { p.update(func() { p.down = mode }) }

// SetDelay sets the delay of each response to a read.
func (p *Platform) SetDelay(delay time.Duration) { p.update(func() { p.delay = delay }) }

// SetStale pins one listening address to an earlier revision of a value. Revision 0 makes it serve the newest one again.
func (p *Platform) SetStale(address int, kind platform.Kind, revision uint64) {
	p.update(func() {
		if p.staleRevisions[address] == nil {
			p.staleRevisions[address] = make(map[platform.Kind]uint64)
		}
		p.staleRevisions[address][kind] = revision
	})
}

func (p *Platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns the total number of reads and the highest number within one clock second.
func (p *Platform) Reads() (total, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads.total, p.reads.peak
}

// readCounter counts reads per clock second.
type readCounter struct {
	total         int
	peak          int
	currentSecond int64
	currentReads  int
	// perSecond holds the counts of the last maxCountedSeconds seconds with at least one read.
	perSecond []SecondCount
}

// SecondCount is the number of reads within one clock second.
type SecondCount struct {
	Unix  int64 `json:"unix"`
	Reads int   `json:"reads"`
}

func (c *readCounter) add(now time.Time) {
	c.total++
	if second := now.Unix(); second != c.currentSecond || len(c.perSecond) == 0 {
		c.currentSecond, c.currentReads = second, 0
		c.perSecond = append(c.perSecond, SecondCount{Unix: second})
		c.perSecond = c.perSecond[max(0, len(c.perSecond)-maxCountedSeconds):]
	}
	c.currentReads++
	c.perSecond[len(c.perSecond)-1].Reads = c.currentReads
	c.peak = max(c.peak, c.currentReads)
}

// servedState is the state that determines the responses of one listening address.
type servedState struct {
	value   publishedValue
	down    DownMode
	delay   time.Duration
	changed chan struct{}
}

func (p *Platform) currentState(address int, kind platform.Kind) servedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := servedState{down: p.down, delay: p.delay, changed: p.changed}
	values := p.values[kind]
	stale := p.staleRevisions[address][kind]
	for _, value := range values {
		if stale == 0 || value.revision == stale {
			state.value = value
		}
	}
	return state
}

func (p *Platform) valuesHandler(address int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, ok := kindOf(r.URL.Path, "/v1/")
		if !ok || r.Method != http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, errAfter := queryUint(r, "after")
		wait, errWait := queryUint(r, "wait")
		if errAfter != nil || errWait != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.countRead()
		p.serveValue(r.Context(), w, address, kind, after, min(time.Duration(min(wait, 3600))*time.Second, maxLongPoll))
	})
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads.add(p.options.Clock.Now())
}

// serveValue responds when there is a value newer than the revision after, or when the wait has elapsed.
func (p *Platform) serveValue(ctx context.Context, w http.ResponseWriter, address int, kind platform.Kind, after uint64,
	wait time.Duration,
) {
	timer := p.options.Clock.NewTimer(wait)
	defer timer.Stop()
	state := p.currentState(address, kind)
	for waiting := wait > 0; waiting && state.down != DownError && state.value.revision <= after; {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
			waiting = false
		case <-state.changed:
		}
		state = p.currentState(address, kind)
	}
	for state.down == DownHang {
		select {
		case <-ctx.Done():
			return
		case <-state.changed:
		}
		state = p.currentState(address, kind)
	}
	if state.delay > 0 {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(state.delay):
		}
	}
	writeValue(w, state, after)
}

func writeValue(w http.ResponseWriter, state servedState, after uint64) {
	switch {
	case state.down == DownError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case state.value.revision <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Content-Type", "application/yaml")
		w.Header().Set("Content-Length", strconv.Itoa(len(state.value.data)))
		w.Header().Set(platform.RevisionHeader, strconv.FormatUint(state.value.revision, 10))
		_, _ = w.Write(state.value.data)
	}
}

func kindOf(path, prefix string) (platform.Kind, bool) {
	for _, kind := range []platform.Kind{platform.KindConfig, platform.KindInstances} {
		if path == prefix+string(kind) {
			return kind, true
		}
	}
	return "", false
}

// queryUint returns a query parameter, or 0 if it is missing.
func queryUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

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

// publishChangedFiles publishes the files whose content has changed.
func (p *Platform) publishChangedFiles() error {
	files := map[platform.Kind]string{
		platform.KindConfig:    p.options.ConfigFile,
		platform.KindInstances: p.options.InstancesFile,
	}
	for kind, file := range files {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if p.publishedFiles[kind] != string(data) {
			p.publishedFiles[kind] = string(data)
			p.Publish(kind, p.revisionOf(kind, data), data)
		}
	}
	return nil
}

// watchFiles publishes changed files until the context ends. If a file cannot be read, its last content stays published.
func (p *Platform) watchFiles(ctx context.Context) {
	ticker := p.options.Clock.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			_ = p.publishChangedFiles()
		}
	}
}
