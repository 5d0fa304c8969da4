package controller_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	// noNewWorkBound is the bound of guarantees P4 and P8 in docs/design.md.
	noNewWorkBound = 5 * time.Second
	// spreadBound is the time in which a revision reaches the voters that answer claims.
	spreadBound = 2 * time.Second
	step        = 50 * time.Millisecond
	endpoint    = "turf-0"
	wallStartMS = 1_700_000_000_000
)

// outage is one run: an endpoint's owner, its voters and a gateway, while operators take the domain or the endpoint out
// of service.
type outage struct {
	t        *rapid.T
	now      time.Time
	list     *config.InstanceList
	voters   map[string]*lease.Voter
	holder   *lease.Holder
	account  *credit.Account
	acquired time.Time
	index    *config.Index
	// adopt holds, for each instance, the time at which it gets a revision; a missing entry means never.
	adopt map[string]map[uint64]time.Time
	// cut holds the instances that exchange no message with the owner from cutAt on, uninformed those that get no
	// revision.
	cut        map[string]bool
	uninformed map[string]bool
	cutAt      time.Time
	// pausedFrom and pausedTo bound a time in which the owner neither acts nor receives.
	pausedFrom, pausedTo time.Time
	// lastUse is the latest time at which a granted credit may be handed over.
	lastUse time.Time
	asks    int
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }

func document(revision uint64, out, leaving bool) *config.Index {
	d := &config.Document{Revision: revision}
	for i := range 3 {
		d.Domains = append(d.Domains, config.Domain{Name: fmt.Sprintf("d%d", i), Region: "r", OutOfService: i == 0 && out})
	}
	d.Services = []config.Service{{
		Name: "s", Kind: config.KindModel, Region: "r", PrefillRate: 50_000,
		Warm: config.Limit{Streams: 8, Tokens: 100_000}, Cold: config.Limit{Streams: 8, Tokens: 100_000},
	}}
	d.Endpoints = []config.Endpoint{{Name: endpoint, Service: "s", Domain: "d0", Leaving: leaving}}
	return config.NewIndex(d)
}

func newOutage(t *rapid.T) *outage {
	o := &outage{
		t: t, now: time.Unix(1_000_000, 0), list: &config.InstanceList{Revision: 1}, voters: make(map[string]*lease.Voter),
		holder: lease.NewHolder(instanceName(0), 1), index: document(1, false, false),
		adopt: make(map[string]map[uint64]time.Time), cut: make(map[string]bool),
		uninformed: make(map[string]bool),
	}
	for i := range 6 {
		o.list.Instances = append(o.list.Instances, config.Instance{
			Name: instanceName(i), Domain: fmt.Sprintf("d%d", i%3), Region: "r",
		})
	}
	for i := range 6 {
		o.voters[instanceName(i)] = lease.NewVoter(instanceName(i))
		o.voters[instanceName(i)].SetView(o.now, wallStartMS, o.index, o.list)
		o.adopt[instanceName(i)] = make(map[uint64]time.Time)
	}
	o.holder.SetView(o.now, o.index, o.list)
	o.holder.Want(o.now, lease.EndpointResource(endpoint))
	return o
}

func (o *outage) wallMS() int64 {
	return wallStartMS + o.now.Sub(time.Unix(1_000_000, 0)).Milliseconds()
}

func (o *outage) paused() bool { return !o.now.Before(o.pausedFrom) && o.now.Before(o.pausedTo) }

// tick lets one step pass for the owner, the voters and the gateway.
func (o *outage) tick(indexes map[uint64]*config.Index) {
	o.now = o.now.Add(step)
	for i := range 6 {
		name := instanceName(i)
		for revision, at := range o.adopt[name] {
			if o.now.Before(at) || (i == 0 && o.paused()) {
				continue
			}
			delete(o.adopt[name], revision)
			o.voters[name].SetView(o.now, o.wallMS(), indexes[revision], o.list)
			if i == 0 {
				o.adoptAsOwner(indexes[revision])
			}
		}
	}
	if o.paused() {
		return
	}
	// An ask may be the first thing that a resumed owner handles.
	o.act()
	o.exchangeClaims()
}

func (o *outage) adoptAsOwner(index *config.Index) {
	if index.Revision() < o.index.Revision() {
		return
	}
	o.index = index
	o.holder.SetView(o.now, index, o.list)
}

func (o *outage) exchangeClaims() {
	for _, outgoing := range o.holder.Claims(o.now, o.wallMS()) {
		if o.cut[outgoing.Voter] && !o.now.Before(o.cutAt) {
			continue
		}
		promise := o.voters[outgoing.Voter].Answer(o.now, o.wallMS(), outgoing.Claim)
		o.holder.HandlePromise(o.now, o.wallMS(), outgoing.Voter, promise)
	}
}

// act is what the controller does with a credit ask: it grants only under a lease that holds now. The gateway, which
// never learns of any revision, asks all the time and may use a credit until it expires on its clock.
func (o *outage) act() {
	held, ok := o.holder.Holds(o.now, lease.EndpointResource(endpoint))
	if !ok {
		o.account = nil
		return
	}
	if o.account == nil || !o.acquired.Equal(held.AcquiredAt) {
		o.acquired = held.AcquiredAt
		o.account = credit.New(credit.Options{
			Endpoint: endpoint, Limits: credit.LimitsOf(o.index.Service("s"), nil), AcquiredAt: held.AcquiredAt,
		})
	}
	ep := o.index.Endpoint(endpoint)
	o.account.SetOutOfService(o.index.Domain(ep.Domain).OutOfService)
	o.account.SetLeaving(ep.Leaving)
	o.account.EngineReport(o.now, engine.LoadReport{StartID: "a", AtMS: o.wallMS(), MemoryTokens: 100_000, Warm: true}, o.now)
	if !held.MayGrant(o.now) {
		return
	}
	o.asks++
	id := fmt.Sprintf("g:1:%d:1", o.asks)
	reply := o.account.Reserve(o.now, peer.CreditRequest{
		RequestID: id, Endpoint: endpoint, Class: peer.ClassShort, PromptTokens: 10, OutputTokens: 10, BudgetLeft: time.Minute,
	}, "g", 1)
	if reply.Granted {
		o.lastUse = o.now.Add(reply.ValidFor)
		o.account.Report(o.now, peer.CreditReport{Gateway: "g", Incarnation: 1, Items: []peer.CreditReportItem{
			{RequestID: id, Endpoint: endpoint, State: peer.ReportUnused, Class: peer.ClassShort},
		}})
	}
}

// publish schedules a revision: it reaches each informed instance within spreadBound.
func (o *outage) publish(revision uint64) {
	for i := range 6 {
		name := instanceName(i)
		if o.uninformed[name] {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, int(spreadBound/step)).Draw(o.t, "spread")) * step
		o.adopt[name][revision] = o.now.Add(delay)
	}
}

// fail draws who gets no revisions and who exchanges no messages with the owner: the owner may lose the platform, its
// peers, or both; up to two voters may lose the platform, the owner, or both.
func (o *outage) fail() {
	o.cutAt = o.now
	owner := instanceName(0)
	o.uninformed[owner] = rapid.Bool().Draw(o.t, "owner uninformed")
	if rapid.Bool().Draw(o.t, "owner cut off") {
		for i := 1; i < 6; i++ {
			o.cut[instanceName(i)] = true
		}
	}
	for range rapid.IntRange(0, 2).Draw(o.t, "voters that fail") {
		name := instanceName(rapid.IntRange(1, 5).Draw(o.t, "voter"))
		o.uninformed[name] = rapid.Bool().Draw(o.t, "voter uninformed")
		o.cut[name] = o.cut[name] || rapid.Bool().Draw(o.t, "voter cut off")
	}
}

// Guards against new work for a failure domain or endpoint more than 5 s after it was taken out of service: with the owner
// cut off, up to two voters cut off, the owner paused across the change, a gateway that never learns of it, and a domain
// that goes out, in and out again.
func TestNoNewWorkAfterOutOfService(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		o := newOutage(t)
		leaving := rapid.Bool().Draw(t, "leaving endpoint instead of domain")
		out := func(revision uint64, is bool) *config.Index { return document(revision, is && !leaving, is && leaving) }
		indexes := map[uint64]*config.Index{2: out(2, true), 3: out(3, false), 4: out(4, true)}
		for range int(10 * time.Second / step) {
			o.tick(indexes)
		}
		if o.lastUse.Before(o.now) {
			t.Fatalf("the owner grants nothing before the change")
		}
		o.fail()
		o.pausedFrom = o.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause at")) * step)
		o.pausedTo = o.pausedFrom.Add(time.Duration(rapid.IntRange(0, 160).Draw(t, "pause")) * step)
		o.publish(2)
		published := o.now
		if rapid.Bool().Draw(t, "in and out again") {
			for revision := uint64(3); revision <= 4; revision++ {
				for range rapid.IntRange(0, 40).Draw(t, "between") {
					o.tick(indexes)
				}
				o.publish(revision)
			}
			published = o.now
		}
		for range int(15 * time.Second / step) {
			o.tick(indexes)
		}
		if late := o.lastUse.Sub(published); late > noNewWorkBound {
			t.Fatalf("a credit could be used %v after the publication", late)
		}
	})
}
