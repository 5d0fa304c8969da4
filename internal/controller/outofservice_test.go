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
	// distributionTime is the time within which a revision reaches the voters that can receive it.
	distributionTime = 2 * time.Second
	step             = 50 * time.Millisecond
	endpoint         = "turf-0"
	wallStartMS      = 1_700_000_000_000
)

// scenario simulates an endpoint's owner, its voters and a gateway, while operators take the endpoint or its domain out of
// service.
type scenario struct {
	t        *rapid.T
	now      time.Time
	list     *config.InstanceList
	voters   map[string]*lease.Voter
	holder   *lease.Holder
	account  *credit.Account
	acquired time.Time
	index    *config.Index
	// revisionsDue holds, for each instance, the times at which it receives revisions that it has not received yet.
	revisionsDue map[string]map[uint64]time.Time
	// partitioned contains the instances that exchange no messages with the owner from partitionedAt on; uninformed contains
	// the instances that receive no revisions.
	partitioned   map[string]bool
	uninformed    map[string]bool
	partitionedAt time.Time
	// From pausedFrom to pausedTo the owner's process is paused: it neither sends nor receives.
	pausedFrom, pausedTo time.Time
	// lastUsable is the latest time at which a request may be dispatched with a granted credit.
	lastUsable time.Time
	requests   int
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

func newScenario(t *rapid.T) *scenario {
	s := &scenario{
		t: t, now: time.Unix(1_000_000, 0), list: &config.InstanceList{Revision: 1}, voters: make(map[string]*lease.Voter),
		holder: lease.NewHolder(instanceName(0), 1), index: document(1, false, false),
		revisionsDue: make(map[string]map[uint64]time.Time), partitioned: make(map[string]bool),
		uninformed: make(map[string]bool),
	}
	for i := range 6 {
		s.list.Instances = append(s.list.Instances, config.Instance{
			Name: instanceName(i), Domain: fmt.Sprintf("d%d", i%3), Region: "r",
		})
	}
	for i := range 6 {
		s.voters[instanceName(i)] = lease.NewVoter(instanceName(i))
		s.voters[instanceName(i)].SetView(s.now, wallStartMS, s.index, s.list)
		s.revisionsDue[instanceName(i)] = make(map[uint64]time.Time)
	}
	s.holder.SetView(s.now, s.index, s.list)
	s.holder.Want(s.now, lease.EndpointResource(endpoint))
	return s
}

func (s *scenario) wallMS() int64 {
	return wallStartMS + s.now.Sub(time.Unix(1_000_000, 0)).Milliseconds()
}

func (s *scenario) paused() bool { return !s.now.Before(s.pausedFrom) && s.now.Before(s.pausedTo) }

// tick advances the owner, the voters and the gateway by one step.
func (s *scenario) tick(indexes map[uint64]*config.Index) {
	s.now = s.now.Add(step)
	for i := range 6 {
		name := instanceName(i)
		for revision, at := range s.revisionsDue[name] {
			if s.now.Before(at) || (i == 0 && s.paused()) {
				continue
			}
			delete(s.revisionsDue[name], revision)
			s.voters[name].SetView(s.now, s.wallMS(), indexes[revision], s.list)
			if i == 0 {
				s.applyAsOwner(indexes[revision])
			}
		}
	}
	if s.paused() {
		return
	}
	// Credit is requested before claims are sent: a credit request may be the first message that a resumed owner handles.
	s.requestCredit()
	s.exchangeClaims()
}

func (s *scenario) applyAsOwner(index *config.Index) {
	if index.Revision() < s.index.Revision() {
		return
	}
	s.index = index
	s.holder.SetView(s.now, index, s.list)
}

func (s *scenario) exchangeClaims() {
	for _, outgoing := range s.holder.Claims(s.now, s.wallMS()) {
		if s.partitioned[outgoing.Voter] && !s.now.Before(s.partitionedAt) {
			continue
		}
		promise := s.voters[outgoing.Voter].Answer(s.now, s.wallMS(), outgoing.Claim)
		s.holder.HandlePromise(s.now, s.wallMS(), outgoing.Voter, promise)
	}
}

// requestCredit handles a credit request as the controller does, which grants only under a lease that is valid now. The
// gateway, which receives no revision, requests credit in each step and may use it until it expires by its own clock.
func (s *scenario) requestCredit() {
	held, ok := s.holder.Holds(s.now, lease.EndpointResource(endpoint))
	if !ok {
		s.account = nil
		return
	}
	if s.account == nil || !s.acquired.Equal(held.AcquiredAt) {
		s.acquired = held.AcquiredAt
		s.account = credit.New(credit.Options{
			Endpoint: endpoint, Limits: credit.LimitsOf(s.index.Service("s"), nil), AcquiredAt: held.AcquiredAt,
		})
	}
	ep := s.index.Endpoint(endpoint)
	s.account.SetOutOfService(s.index.Domain(ep.Domain).OutOfService)
	s.account.SetLeaving(ep.Leaving)
	s.account.EngineReport(s.now, engine.LoadReport{StartID: "a", AtMS: s.wallMS(), MemoryTokens: 100_000, Warm: true}, s.now)
	if !held.MayGrant(s.now) {
		return
	}
	s.requests++
	id := fmt.Sprintf("g:1:%d:1", s.requests)
	reply := s.account.Reserve(s.now, peer.CreditRequest{
		RequestID: id, Endpoint: endpoint, Class: peer.ClassShort, PromptTokens: 10, OutputTokens: 10, BudgetLeft: time.Minute,
	}, "g", 1)
	if reply.Granted {
		s.lastUsable = s.now.Add(reply.ValidFor)
		s.account.Report(s.now, peer.CreditReport{Gateway: "g", Incarnation: 1, Items: []peer.CreditReportItem{
			{RequestID: id, Endpoint: endpoint, State: peer.ReportUnused, Class: peer.ClassShort},
		}})
	}
}

// publish schedules a revision. It reaches the instances within distributionTime, except for the uninformed ones.
func (s *scenario) publish(revision uint64) {
	for i := range 6 {
		name := instanceName(i)
		if s.uninformed[name] {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, int(distributionTime/step)).Draw(s.t, "spread")) * step
		s.revisionsDue[name][revision] = s.now.Add(delay)
	}
}

// drawFailures draws the uninformed and the partitioned instances. The owner may lose contact with the platform, with its
// peers, or with both. Up to two voters may lose contact with the platform, with the owner, or with both.
func (s *scenario) drawFailures() {
	s.partitionedAt = s.now
	owner := instanceName(0)
	s.uninformed[owner] = rapid.Bool().Draw(s.t, "owner uninformed")
	if rapid.Bool().Draw(s.t, "owner partitioned") {
		for i := 1; i < 6; i++ {
			s.partitioned[instanceName(i)] = true
		}
	}
	for range rapid.IntRange(0, 2).Draw(s.t, "voters that fail") {
		name := instanceName(rapid.IntRange(1, 5).Draw(s.t, "voter"))
		s.uninformed[name] = rapid.Bool().Draw(s.t, "voter uninformed")
		s.partitioned[name] = s.partitioned[name] || rapid.Bool().Draw(s.t, "voter partitioned")
	}
}

// Guards against new requests to an endpoint more than 5 s after operators took it or its failure domain out of service.
// The owner and up to two voters may be partitioned, the owner may be paused during the change, the gateway never receives
// the revision, and the endpoint may be taken out of service, put back and taken out again.
func TestNoNewWorkAfterOutOfService(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t)
		leaving := rapid.Bool().Draw(t, "leaving endpoint instead of domain")
		makeIndex := func(rev uint64, out bool) *config.Index { return document(rev, out && !leaving, out && leaving) }
		indexes := map[uint64]*config.Index{2: makeIndex(2, true), 3: makeIndex(3, false), 4: makeIndex(4, true)}
		for range int(10 * time.Second / step) {
			s.tick(indexes)
		}
		if s.lastUsable.Before(s.now) {
			t.Fatalf("the owner granted no credit before the change")
		}
		s.drawFailures()
		s.pausedFrom = s.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause at")) * step)
		s.pausedTo = s.pausedFrom.Add(time.Duration(rapid.IntRange(0, 160).Draw(t, "pause")) * step)
		s.publish(2)
		published := s.now
		if rapid.Bool().Draw(t, "in and out again") {
			for revision := uint64(3); revision <= 4; revision++ {
				for range rapid.IntRange(0, 40).Draw(t, "between") {
					s.tick(indexes)
				}
				s.publish(revision)
			}
			published = s.now
		}
		for range int(15 * time.Second / step) {
			s.tick(indexes)
		}
		if late := s.lastUsable.Sub(published); late > noNewWorkBound {
			t.Fatalf("a credit was usable until %v after the publication", late)
		}
	})
}
