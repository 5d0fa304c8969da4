package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Report applies a gateway's report. Repeated, late and reordered items do no harm, because items about an ended request
// are ignored.
func (a *Account) Report(now time.Time, report peer.CreditReport) {
	a.recordIncarnation(report.Gateway, report.Incarnation)
	for _, r := range a.reservations {
		if r.gateway == report.Gateway && r.incarnation == report.Incarnation {
			r.lastGatewayReport = now
		}
	}
	for _, item := range report.Items {
		if item.Endpoint == a.options.Endpoint && item.RequestID != "" {
			a.applyItem(now, report, item)
		}
	}
	a.refresh(now)
}

func (a *Account) applyItem(now time.Time, report peer.CreditReport, item peer.CreditReportItem) {
	if _, ended := a.ended[item.RequestID]; ended {
		return
	}
	r := a.reservations[item.RequestID]
	handleEnd, isEnd := endHandlers[item.State]
	if r == nil && (!isEnd || a.mayStillRun(item.State)) {
		r = &reservation{listingDeadline: now.Add(listingTimeout)}
		a.reservations[item.RequestID] = r
		a.setFromReport(r, report, item)
	}
	if isEnd {
		handleEnd(a, now, item, r)
		return
	}
	if r.gateway == "" {
		a.setFromReport(r, report, item)
	}
	if report.Incarnation >= a.incarnations[report.Gateway] {
		// A report with a lower incarnation was sent by a process that has died since, so it is no evidence of a holder.
		r.lastHeldReport = now
		r.lastGatewayReport = now
		r.gatewayDead = false
	}
	r.reported = true
	r.dispatched = r.dispatched || item.State == peer.ReportStarted || item.State == peer.ReportPrefill
	if item.State == peer.ReportPrefill {
		r.prefillDone = true
		a.firstToken(now, r, item.FirstToken)
	}
}

// mayStillRun reports whether the engine may still hold a stream that its gateway has ended in the given state.
func (a *Account) mayStillRun(state peer.ReportState) bool {
	return !a.limits.Plain && (state == peer.ReportCancelled || state == peer.ReportFailed)
}

// setFromReport sets the gateway, team and size of a reservation that this account did not grant, from a gateway's report.
func (a *Account) setFromReport(r *reservation, report peer.CreditReport, item peer.CreditReportItem) {
	r.gateway, r.incarnation = report.Gateway, report.Incarnation
	r.team = item.Team
	r.tokens = max(r.tokens, a.tokens(item.PromptTokens, item.OutputTokens))
	r.promptTokens = item.PromptTokens
	r.class = peer.ClassOf(item.PromptTokens)
}

// endHandlers maps the final report states to their handlers. The reservation is nil if the account does not know the
// request.
var endHandlers = map[peer.ReportState]func(a *Account, now time.Time, item peer.CreditReportItem, r *reservation){
	peer.ReportUnused:    (*Account).endUnused,
	peer.ReportDone:      (*Account).endDone,
	peer.ReportFailed:    (*Account).endFailed,
	peer.ReportCancelled: (*Account).endCancelled,
}

func (a *Account) endUnused(now time.Time, item peer.CreditReportItem, r *reservation) {
	if r != nil && (r.dispatched || r.everListed) {
		return
	}
	a.release(now, item.RequestID)
}

func (a *Account) endDone(now time.Time, item peer.CreditReportItem, r *reservation) {
	if r == nil {
		a.release(now, item.RequestID)
		return
	}
	a.firstToken(now, r, item.FirstToken)
	a.completed(now, r)
	if r.group {
		// A group member's segment stays in the engine's memory until it is imported or released. The gateway reports the
		// segment as held until then and as done afterwards. A segment that is still listed HolderTimeout later is an
		// orphan.
		r.prefillDone = true
		a.close(now, item.RequestID, r)
		return
	}
	a.release(now, item.RequestID)
}

func (a *Account) endFailed(now time.Time, item peer.CreditReportItem, r *reservation) {
	a.ramp.drop(dropRequestFailed)
	a.endCancelled(now, item, r)
}

func (a *Account) endCancelled(now time.Time, item peer.CreditReportItem, r *reservation) {
	if !a.mayStillRun(item.State) {
		a.release(now, item.RequestID)
		return
	}
	a.close(now, item.RequestID, r)
}

// close records that the gateway has ended the stream. The reservation remains until the engine no longer lists the stream.
func (a *Account) close(now time.Time, id string, r *reservation) {
	a.ended[id] = now
	r.closed = true
	r.lastHeldReport = now
}

// release removes a reservation. Late gateway reports about it are ignored for endedRetention.
func (a *Account) release(now time.Time, id string) {
	delete(a.reservations, id)
	a.ended[id] = now
}

// recordIncarnation records the incarnation of a gateway's process. A higher one proves that the earlier processes of the
// same instance are dead.
func (a *Account) recordIncarnation(gateway string, incarnation int64) {
	if incarnation > a.incarnations[gateway] {
		a.incarnations[gateway] = incarnation
		a.GatewayDead(gateway, incarnation-1)
	}
}

// GatewayDead records that a gateway's process and all earlier ones of its instance are dead. Their streams become orphans
// HolderTimeout after the last report about them. A later report of the same process shows that it is alive and undoes
// this.
func (a *Account) GatewayDead(gateway string, incarnation int64) {
	for _, r := range a.reservations {
		if r.gateway == gateway && r.incarnation <= incarnation {
			r.gatewayDead = true
		}
	}
}

// releasePlain releases the reservations of a plain service whose requests cannot be in progress any more. A plain service
// has no engine report to show that. A reservation that no gateway has reported for HolderTimeout is therefore released if
// its budget has passed or is unknown, if its gateway is dead, or if its gateway still sends reports that do not name it.
func (a *Account) releasePlain(now time.Time) {
	for id, r := range a.reservations {
		sinceHeldReport := now.Sub(r.lastHeldReport)
		switch {
		case now.Before(r.listingDeadline) || sinceHeldReport < HolderTimeout:
		case r.gatewayDead, r.deadline.IsZero(), now.After(r.deadline), r.lastGatewayReport.Sub(r.lastHeldReport) >= HolderTimeout:
			a.release(now, id)
		}
	}
}
