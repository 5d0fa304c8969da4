package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	creditTimeout = 300 * time.Millisecond
	// heldCheck is the time between two looks for reservations whose endpoint has another owner, which is told of them at
	// once.
	heldCheck = 500 * time.Millisecond
	// heldInterval is the time after which a known owner is told of the held reservations again. It leaves room for two
	// lost reports before credit.HolderTimeout ends. At the two-year size a gateway holds more than 200 reservations, and
	// repeating them is the largest part of the traffic between gateways and owners.
	heldInterval   = 2 * time.Second
	reportTimeout  = time.Second
	endpointPrefix = "endpoint/"
)

// credited is a granted reservation of one endpoint.
type credited struct {
	endpoint *config.Endpoint
	ask      peer.CreditRequest
	reply    peer.CreditReply
	// expires is the time on this process's monotonic clock after which the credit must not be used; it counts from the
	// moment the ask was sent.
	expires time.Time
}

// usable tells whether the credit may still be used. It is checked immediately before the dispatch.
func (c *credited) usable(now time.Time) bool { return now.Before(c.expires) }

// heldCredits asks owners for credits, reports their use, and repeats the list of held ones to each owner.
type heldCredits struct {
	node        *peer.Node
	views       *views
	instance    string
	incarnation int64

	mu   sync.Mutex
	held map[string]heldItem
	// homesTold is the time of the last report to the homes of open claims.
	homesTold time.Time
	// homes counts the open key claims by the address of the key's home.
	homes map[string]int
	// outbox holds the reports that wait for a sender, by owner address; an entry exists while a sender runs.
	outbox map[string][]peer.CreditReportItem
}

// heldItem is a held reservation and the address and time at which an owner was last told of it.
type heldItem struct {
	peer.CreditReportItem
	owner string
	told  time.Time
}

func newHeldCredits(node *peer.Node, v *views, instance string, incarnation int64) *heldCredits {
	return &heldCredits{
		node: node, views: v, instance: instance, incarnation: incarnation,
		held: make(map[string]heldItem), homes: make(map[string]int),
		outbox: make(map[string][]peer.CreditReportItem),
	}
}

// String implements fmt.Stringer.
func (h *heldCredits) String() string { return "held-credits" }

// Serve repeats the held reservations until the context ends, and tells new owners of them.
func (h *heldCredits) Serve(ctx context.Context) error {
	ticker := time.NewTicker(heldCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.sendHeld(ctx)
		}
	}
}

func (h *heldCredits) sendHeld(ctx context.Context) {
	for address, items := range h.dueReports(time.Now()) {
		h.send(ctx, address, items)
	}
}

// dueReports returns the reports to send now by the address of the owner. Each holds all reservations of that owner.
func (h *heldCredits) dueReports(now time.Time) map[string][]peer.CreditReportItem {
	h.mu.Lock()
	defer h.mu.Unlock()
	byOwner := make(map[string][]string)
	due := make(map[string]bool)
	for id, item := range h.held {
		owner, ok := h.owner(item.Endpoint)
		if !ok {
			continue
		}
		byOwner[owner.Address] = append(byOwner[owner.Address], id)
		if item.owner != owner.Address || now.Sub(item.told) >= heldInterval {
			due[owner.Address] = true
		}
	}
	reports := make(map[string][]peer.CreditReportItem)
	for address := range due {
		for _, id := range byOwner[address] {
			item := h.held[id]
			item.owner, item.told = address, now
			h.held[id] = item
			report := item.CreditReportItem
			report.State = peer.ReportHeld
			reports[address] = append(reports[address], report)
		}
	}
	if now.Sub(h.homesTold) >= heldInterval {
		h.homesTold = now
		// An empty report keeps the home of an open claim from taking this gateway for dead.
		for home := range h.homes {
			if _, ok := reports[home]; !ok {
				reports[home] = nil
			}
		}
	}
	return reports
}

func (h *heldCredits) openKey(home string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homes[home]++
}

func (h *heldCredits) closeKey(home string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homes[home]--
	if h.homes[home] == 0 {
		delete(h.homes, home)
	}
}

func (h *heldCredits) owner(endpoint string) (peer.OwnerView, bool) {
	current := h.views.current.Load()
	if current == nil {
		return peer.OwnerView{}, false
	}
	owner, ok := current.owners[endpointPrefix+endpoint]
	return owner, ok
}

func (h *heldCredits) send(ctx context.Context, address string, items []peer.CreditReportItem) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := peer.CreditReport{Gateway: h.instance, Incarnation: h.incarnation, Items: items}
	report.ShortenIDs()
	// A lost report is repeated by the list of held reservations, or found by its absence from it.
	_ = h.node.Send(ctx, address, peer.KindCreditReport, report)
}

// ask requests a credit from the endpoint's owner. A nil credit comes with the reason for the log and, if the owner
// gave one, the time after which a repeat can help.
func (h *heldCredits) ask(
	ctx context.Context, endpoint *config.Endpoint, ask peer.CreditRequest,
) (granted *credited, reason string, retry time.Duration) {
	owner, ok := h.owner(ask.Endpoint)
	if !ok {
		return nil, "no_owner", 0
	}
	callCtx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	sent := time.Now()
	var reply peer.CreditReply
	if err := h.node.Call(callCtx, owner.Address, peer.KindCreditRequest, ask, &reply); err != nil {
		// The grant may be under way. The owner keeps the reservation until it knows that no stream uses it.
		h.report(owner.Address, ask, peer.ReportUnused, 0)
		return nil, "owner_unreachable", 0
	}
	h.views.learn(reply.Summary)
	if !reply.Granted {
		return nil, reply.Reason, reply.RetryAfter
	}
	h.mu.Lock()
	h.held[ask.RequestID] = heldItem{
		CreditReportItem: reportItem(ask, peer.ReportHeld, 0), owner: owner.Address, told: sent,
	}
	h.mu.Unlock()
	return &credited{endpoint: endpoint, ask: ask, reply: reply, expires: sent.Add(reply.ValidFor)}, "", 0
}

// streams returns the number of requests that this gateway holds at an endpoint.
func (h *heldCredits) streams(endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, item := range h.held {
		if item.Endpoint == endpoint {
			n++
		}
	}
	return n
}

func reportItem(ask peer.CreditRequest, state peer.ReportState, firstToken time.Duration) peer.CreditReportItem {
	return peer.CreditReportItem{
		RequestID: ask.RequestID, Endpoint: ask.Endpoint, State: state, Class: ask.Class, Team: ask.Team,
		PromptTokens: ask.PromptTokens, OutputTokens: ask.OutputTokens, FirstToken: firstToken,
	}
}

// progress reports a change of a reservation to the endpoint's current owner.
func (h *heldCredits) progress(c *credited, state peer.ReportState, firstToken time.Duration) {
	switch state {
	case peer.ReportUnused, peer.ReportDone, peer.ReportFailed, peer.ReportCancelled:
		h.mu.Lock()
		delete(h.held, c.ask.RequestID)
		h.mu.Unlock()
	}
	if owner, ok := h.owner(c.ask.Endpoint); ok {
		h.report(owner.Address, c.ask, state, firstToken)
	}
}

// report sends a report in the order of the calls without waiting for the connection: a request must not use a credit
// that expired while the owner's address did not answer, and its answer must not wait for a report.
func (h *heldCredits) report(address string, ask peer.CreditRequest, state peer.ReportState, firstToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	items, running := h.outbox[address]
	h.outbox[address] = append(items, reportItem(ask, state, firstToken))
	if !running {
		go h.sendReports(address)
	}
}

func (h *heldCredits) sendReports(address string) {
	for {
		h.mu.Lock()
		items := h.outbox[address]
		if len(items) == 0 {
			delete(h.outbox, address)
			h.mu.Unlock()
			return
		}
		h.outbox[address] = nil
		h.mu.Unlock()
		h.send(context.Background(), address, items)
	}
}
