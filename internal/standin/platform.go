package standin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

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
