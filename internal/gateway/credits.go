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
	// ownerCheckInterval is the time between two checks for held reservations whose endpoint has a new owner. The check
	// reports them to the new owner.
	ownerCheckInterval = 500 * time.Millisecond
	// heldReportInterval is the time between two reports of the held reservations to the same owner. Two of them are sent
	// before credit.HolderTimeout expires, so one may be lost. At the fleet size planned for two years ahead a gateway holds
	// more than 200 reservations, and these reports are the largest part of the traffic between gateways and owners.
	heldReportInterval = 2 * time.Second
	reportTimeout      = time.Second
	endpointPrefix     = "endpoint/"
)

// grantedCredit is the granted reservation of capacity at one endpoint.
type grantedCredit struct {
	endpoint *config.Endpoint
	request  peer.CreditRequest
	reply    peer.CreditReply
	// expires is the time on this process's monotonic clock from which the credit must not be used: the time at which the
	// request was sent plus the credit's validity.
	expires time.Time
}

// usable reports whether the credit may still be used. It is checked immediately before the dispatch.
func (c *grantedCredit) usable(now time.Time) bool { return now.Before(c.expires) }

// creditClient requests credits from owners, reports their use, and periodically reports all held credits to each owner.
type creditClient struct {
	node        *peer.Node
	views       *views
	instance    string
	incarnation int64

	mu   sync.Mutex
	held map[string]heldCredit
	// claimsReportedAt is the time of the last periodic report to the homes of open claims.
	claimsReportedAt time.Time
	// openClaims maps the address of a key home to the number of this gateway's open claims there.
	openClaims map[string]int
	// outbox holds the queued reports by owner address. An entry exists while a goroutine sends the reports for that
	// address.
	outbox map[string][]peer.CreditReportItem
}

// heldCredit is a held reservation, with the address of the owner it was last reported to and the time of that report.
type heldCredit struct {
	peer.CreditReportItem
	reportedTo string
	reportedAt time.Time
}

func newCreditClient(node *peer.Node, v *views, instance string, incarnation int64) *creditClient {
	return &creditClient{
		node: node, views: v, instance: instance, incarnation: incarnation,
		held: make(map[string]heldCredit), openClaims: make(map[string]int),
		outbox: make(map[string][]peer.CreditReportItem),
	}
}

// String implements fmt.Stringer.
func (c *creditClient) String() string { return "held-credits" }

// Serve reports the held reservations to their owners until the context is done.
func (c *creditClient) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.sendDueReports(ctx)
		}
	}
}

func (c *creditClient) sendDueReports(ctx context.Context) {
	for address, items := range c.dueReports(time.Now()) {
		c.sendReport(ctx, address, items)
	}
}

// dueReports returns the reports to send now, by owner address. Each report holds all reservations at that owner.
func (c *creditClient) dueReports(now time.Time) map[string][]peer.CreditReportItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	byOwner := make(map[string][]string)
	due := make(map[string]bool)
	for id, item := range c.held {
		owner, ok := c.owner(item.Endpoint)
		if !ok {
			continue
		}
		byOwner[owner.Address] = append(byOwner[owner.Address], id)
		if item.reportedTo != owner.Address || now.Sub(item.reportedAt) >= heldReportInterval {
			due[owner.Address] = true
		}
	}
	reports := make(map[string][]peer.CreditReportItem)
	for address := range due {
		for _, id := range byOwner[address] {
			item := c.held[id]
			item.reportedTo, item.reportedAt = address, now
			c.held[id] = item
			report := item.CreditReportItem
			report.State = peer.ReportHeld
			reports[address] = append(reports[address], report)
		}
	}
	if now.Sub(c.claimsReportedAt) >= heldReportInterval {
		c.claimsReportedAt = now
		// Without a report, even an empty one, the home of an open claim would treat this gateway as dead.
		for home := range c.openClaims {
			if _, ok := reports[home]; !ok {
				reports[home] = nil
			}
		}
	}
	return reports
}

func (c *creditClient) addOpenClaim(home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openClaims[home]++
}

func (c *creditClient) removeOpenClaim(home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openClaims[home]--
	if c.openClaims[home] == 0 {
		delete(c.openClaims, home)
	}
}

func (c *creditClient) owner(endpoint string) (peer.OwnerView, bool) {
	current := c.views.current.Load()
	if current == nil {
		return peer.OwnerView{}, false
	}
	owner, ok := current.owners[endpointPrefix+endpoint]
	return owner, ok
}

func (c *creditClient) sendReport(ctx context.Context, address string, items []peer.CreditReportItem) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := peer.CreditReport{Gateway: c.instance, Incarnation: c.incarnation, Items: items}
	report.ShortenIDs()
	// After a lost report, the owner learns the change from the next periodic report, which lists the held reservations.
	_ = c.node.Send(ctx, address, peer.KindCreditReport, report)
}

// reserve requests a credit from the endpoint's owner. If it is not granted, reserve returns nil, the reason for the log,
// and the owner's retry delay, or 0 if the owner sent none.
func (c *creditClient) reserve(
	ctx context.Context, endpoint *config.Endpoint, request peer.CreditRequest,
) (granted *grantedCredit, reason string, retryAfter time.Duration) {
	owner, ok := c.owner(request.Endpoint)
	if !ok {
		return nil, "no_owner", 0
	}
	callCtx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	sent := time.Now()
	var reply peer.CreditReply
	if err := c.node.Call(callCtx, owner.Address, peer.KindCreditRequest, request, &reply); err != nil {
		// The owner may have granted the credit in a lost or late reply. It keeps the reservation until it knows that no
		// stream uses it.
		c.queueReport(owner.Address, request, peer.ReportUnused, 0)
		return nil, "owner_unreachable", 0
	}
	c.views.storeOwnerReply(reply.Summary)
	if !reply.Granted {
		return nil, reply.Reason, reply.RetryAfter
	}
	c.mu.Lock()
	c.held[request.RequestID] = heldCredit{
		CreditReportItem: reportItem(request, peer.ReportHeld, 0), reportedTo: owner.Address, reportedAt: sent,
	}
	c.mu.Unlock()
	return &grantedCredit{endpoint: endpoint, request: request, reply: reply, expires: sent.Add(reply.ValidFor)}, "", 0
}

// streamCount returns the number of reservations that this gateway holds at an endpoint.
func (c *creditClient) streamCount(endpoint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, item := range c.held {
		if item.Endpoint == endpoint {
			n++
		}
	}
	return n
}

func reportItem(request peer.CreditRequest, state peer.ReportState, firstToken time.Duration) peer.CreditReportItem {
	return peer.CreditReportItem{
		RequestID: request.RequestID, Endpoint: request.Endpoint, State: state, Class: request.Class, Team: request.Team,
		PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, FirstToken: firstToken,
	}
}

// reportState reports a reservation's new state to the endpoint's current owner. A final state ends the reservation.
func (c *creditClient) reportState(granted *grantedCredit, state peer.ReportState, firstToken time.Duration) {
	switch state {
	case peer.ReportUnused, peer.ReportDone, peer.ReportFailed, peer.ReportCancelled:
		c.mu.Lock()
		delete(c.held, granted.request.RequestID)
		c.mu.Unlock()
	}
	if owner, ok := c.owner(granted.request.Endpoint); ok {
		c.queueReport(owner.Address, granted.request, state, firstToken)
	}
}

// queueReport queues a report; the reports to an address are sent in the order of the calls. It does not wait for the
// connection, because the credit could expire while the owner's address does not respond, and because a response to the
// caller must not wait for a report.
func (c *creditClient) queueReport(
	address string, request peer.CreditRequest, state peer.ReportState, firstToken time.Duration,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items, running := c.outbox[address]
	c.outbox[address] = append(items, reportItem(request, state, firstToken))
	if !running {
		go c.sendQueuedReports(address)
	}
}

func (c *creditClient) sendQueuedReports(address string) {
	for {
		c.mu.Lock()
		items := c.outbox[address]
		if len(items) == 0 {
			delete(c.outbox, address)
			c.mu.Unlock()
			return
		}
		c.outbox[address] = nil
		c.mu.Unlock()
		c.sendReport(context.Background(), address, items)
	}
}
