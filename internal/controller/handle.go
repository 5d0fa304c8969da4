package controller

import (
	"time"

	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

// Handle implements peer.Handler.
func (c *Controller) Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	c.recordGatewayContact(from)
	switch envelope.Kind {
	case peer.KindHeartbeat:
		return handle(envelope, c.handleHeartbeat, peer.KindHeartbeat)
	case peer.KindDocumentRequest:
		return handle(envelope, c.handleDocumentRequest, peer.KindDocument)
	case peer.KindClaim:
		return handle(envelope, c.handleClaim, peer.KindPromise)
	case peer.KindSummary:
		return handle(envelope, c.handleSummary, peer.KindAck)
	case peer.KindViewRequest:
		return handle(envelope, c.handleViewRequest, peer.KindView)
	case peer.KindCreditRequest:
		return handle(envelope,
			func(request *peer.CreditRequest) any { return c.handleCreditRequest(from, request) }, peer.KindCreditReply)
	case peer.KindCreditReport:
		return handle(envelope, c.handleCreditReport, peer.KindAck)
	case peer.KindKeyClaim:
		return handle(envelope, func(claim *peer.KeyClaim) any { return c.handleKeyClaim(from, claim) }, peer.KindKeyReply)
	case peer.KindKeyEnd:
		return handle(envelope, c.handleKeyEnd, peer.KindAck)
	}
	return peer.KindError, peer.Error{Code: "unexpected_kind", Message: "controllers do not handle messages of this kind"}
}

// handle decodes a message and returns the handler's reply with its kind.
func handle[M any](envelope *peer.Envelope, f func(*M) any, reply peer.Kind) (peer.Kind, any) {
	var message M
	if err := envelope.Decode(&message); err != nil {
		return peer.KindError, peer.Error{Code: "malformed_body", Message: err.Error()}
	}
	return reply, f(&message)
}

func (c *Controller) handleHeartbeat(heartbeat *peer.Heartbeat) any {
	c.receiveHeartbeat(*heartbeat)
	return c.heartbeatTo(heartbeat.Name)
}

func (c *Controller) handleDocumentRequest(request *peer.DocumentRequest) any {
	return c.documents.reply(request)
}

func (c *Controller) handleClaim(claim *peer.Claim) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.voter.Answer(now, now.UnixMilli(), claim)
}

func (c *Controller) handleSummary(summary *peer.Summary) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.apply(time.Now(), summary)
	return peer.Ack{}
}

func (c *Controller) handleViewRequest(request *peer.ViewRequest) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.gateway = gatewayContact{receivedAt: now, incarnation: request.Incarnation, stats: request.Stats}
	return c.viewFor(request)
}

// handleCreditRequest grants credit only while the lease on the endpoint is valid by this process's clock.
func (c *Controller) handleCreditRequest(from peer.Hello, request *peer.CreditRequest) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	owned := c.accounts[request.Endpoint]
	held, ok := c.holder.Holds(now, lease.EndpointResource(request.Endpoint))
	if owned == nil || !ok {
		return peer.CreditReply{Reason: credit.ReasonNotOwner}
	}
	if !held.MayGrant(now) {
		return peer.CreditReply{Reason: credit.ReasonAcquiring, RetryAfter: held.GrantFrom.Sub(now)}
	}
	reply := owned.account.Reserve(now, *request, from.Name, from.Incarnation)
	if reply.Granted {
		c.count("credit.granted")
	} else {
		c.count("credit.refused." + reply.Reason)
		if reply.Reason == credit.ReasonUnconfirmed {
			owned.shortIntervalUntil = now.Add(shortReportTime)
		}
	}
	s := reply.Summary
	c.log.Info().Str("request_id", request.RequestID).Str("endpoint", request.Endpoint).Str("gateway", from.Name).
		Str("team", request.Team).Str("class", string(request.Class)).Int64("prompt_tokens", request.PromptTokens).
		Int64("output_tokens", request.OutputTokens).Bool("granted", reply.Granted).Str("reason", reply.Reason).
		Str("state", string(s.State)).Int64("free_tokens", s.FreeTokens).Int("free_streams", s.FreeStreams).
		Int64("queued_tokens", s.QueuedTokens).Int64("report_age_ms", s.AgeMS).Msg("credit")
	return reply
}

func (c *Controller) handleCreditReport(report *peer.CreditReport) any {
	report.RestoreIDs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	byEndpoint := make(map[string][]peer.CreditReportItem)
	for _, item := range report.Items {
		byEndpoint[item.Endpoint] = append(byEndpoint[item.Endpoint], item)
	}
	for endpoint, items := range byEndpoint {
		if owned := c.accounts[endpoint]; owned != nil {
			owned.account.Report(now, peer.CreditReport{
				Gateway: report.Gateway, Incarnation: report.Incarnation, Items: items,
			})
			c.logState(now, endpoint, owned)
		}
	}
	return peer.Ack{}
}
