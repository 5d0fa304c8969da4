package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/platform"
)

// sourcePeer is the source of values that were fetched from another controller.
const sourcePeer = "peer"

// documents stores the two published values, which come from the platform or from peers.
type documents struct {
	controller *Controller
	configs    *platform.Store[*config.Index]
	instances  *platform.Store[*config.InstanceList]
	client     *platform.Client
}

func newDocuments(c *Controller) *documents {
	clock := clockwork.NewRealClock()
	return &documents{
		controller: c,
		configs:    platform.NewConfigStore(clock),
		instances:  platform.NewInstancesStore(clock),
		client: platform.NewClient(platform.ClientOptions{
			Addresses: c.settings.Platform,
			Exchange:  countingExchange{c},
			Clock:     clock,
			Rand:      c.newRand(),
		}),
	}
}

// newRand returns a new source at each call, because goroutines must not share a source.
func (c *Controller) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(c.incarnation)))
}

// serve polls the platform for both values and applies accepted values until the context ends.
func (d *documents) serve(ctx context.Context) error {
	tree := daemon.NewTree("documents", d.controller.log)
	tree.Add(platform.NewPoller(d.pollerOptions(platform.KindConfig, d.configs)))
	tree.Add(platform.NewPoller(d.pollerOptions(platform.KindInstances, d.instances)))
	tree.Add(daemon.Service{Name: "adopt", Run: d.applyAccepted})
	return tree.Serve(ctx)
}

func (d *documents) pollerOptions(kind platform.Kind, store platform.Offerer) platform.PollerOptions {
	return platform.PollerOptions{
		Kind:     kind,
		Client:   d.client,
		Store:    store,
		Watching: func() bool { return d.watching(kind) },
		Clock:    clockwork.NewRealClock(),
		Rand:     d.controller.newRand(),
		Log:      d.controller.log,
	}
}

func (d *documents) watching(kind platform.Kind) bool {
	c := d.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []string
	for _, instance := range c.table.Live() {
		live = append(live, instance.Name)
	}
	return platform.IsWatcher(kind, c.settings.Instance, live)
}

// applyAccepted applies accepted values and announces them to the peers, until the context ends.
func (d *documents) applyAccepted(ctx context.Context) error {
	configs, cancelConfigs := d.configs.Subscribe()
	defer cancelConfigs()
	instances, cancelInstances := d.instances.Subscribe()
	defer cancelInstances()
	for {
		d.applyCurrent()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-configs:
		case <-instances:
		}
	}
}

func (d *documents) applyCurrent() {
	index, list := d.configs.Current(), d.instances.Current()
	event := d.controller.log.Info()
	var newIndex *config.Index
	var newList *config.InstanceList
	if index != nil {
		newIndex = index.Value
		event = event.Uint64("revision", index.Revision).Str("source", index.Source)
	}
	if list != nil {
		newList = list.Value
		event = event.Uint64("list_revision", list.Revision).Str("list_source", list.Source)
	}
	if index == nil && list == nil {
		return
	}
	d.controller.applyDocuments(newIndex, newList)
	event.Msg("documents_in_force")
	d.controller.triggerHeartbeatRound()
}

// offer submits a value from a peer to its store, which accepts it if it is valid and newer.
func (d *documents) offer(subject peer.Subject, data []byte, source string) {
	var verdict platform.Verdict
	var err error
	if subject == peer.SubjectConfig {
		verdict, err = d.configs.Offer(data, source)
	} else {
		verdict, err = d.instances.Offer(data, source)
	}
	d.controller.log.Info().Str("subject", string(subject)).Str("source", source).Str("verdict", string(verdict)).
		AnErr("error", err).Msg("document_offered")
}

// bytes returns the published bytes of the value in force, or nil.
func (d *documents) bytes(subject peer.Subject) []byte {
	_, data := d.current(subject)
	return data
}

func (d *documents) current(subject peer.Subject) (uint64, []byte) {
	if subject == peer.SubjectConfig {
		if current := d.configs.Current(); current != nil {
			return current.Revision, current.Bytes
		}
		return 0, nil
	}
	if current := d.instances.Current(); current != nil {
		return current.Revision, current.Bytes
	}
	return 0, nil
}

// reply returns the reply to a peer that requested a value. Revision 0 means that this instance does not have the value in
// the requested revision or a higher one.
func (d *documents) reply(request *peer.DocumentRequest) peer.Document {
	revision, data := d.current(request.Subject)
	if revision == 0 || revision < request.MinRevision {
		return peer.Document{Subject: request.Subject}
	}
	return peer.Document{Subject: request.Subject, Revision: revision, Bytes: data}
}
