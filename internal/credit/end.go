package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Report applies a gateway's report. Repeated, late and reordered items are harmless: an end is final.
func (a *Account) Report(now time.Time, report peer.CreditReport) {
	a.noteIncarnation(report.Gateway, report.Incarnation)
	for _, h := range a.holds {
		if h.gateway == report.Gateway && h.incarnation == report.Incarnation {
			h.contacted = now
		}
	}
	for _, item := range report.Items {
		if item.Endpoint == a.options.Endpoint && item.RequestID != "" {
			a.reportItem(now, report, item)
		}
	}
	a.refresh(now)
}

func (a *Account) reportItem(now time.Time, report peer.CreditReport, item peer.CreditReportItem) {
	if _, ended := a.ended[item.RequestID]; ended {
		return
	}
	h := a.holds[item.RequestID]
	end, isEnd := ends[item.State]
	if h == nil && (!isEnd || a.mayRunOn(item.State)) {
		h = &hold{usableTill: now.Add(usableFor)}
		a.holds[item.RequestID] = h
		a.adopt(h, report, item)
	}
	if isEnd {
		end(a, now, item, h)
		return
	}
	if h.gateway == "" {
		a.adopt(h, report, item)
	}
	if report.Incarnation >= a.incarnations[report.Gateway] {
		// A report of a process that a newer one has replaced was sent before the older one died.
		h.lastHeld = now
		h.contacted = now
		h.gone = false
	}
	h.reported = true
	h.started = h.started || item.State == peer.ReportStarted || item.State == peer.ReportPrefill
	if item.State == peer.ReportPrefill {
		h.prefilled = true
		a.firstToken(now, h, item.FirstToken)
	}
}

// mayRunOn tells whether the engine may still hold a stream that its gateway has ended.
func (a *Account) mayRunOn(state peer.ReportState) bool {
	return !a.limits.Plain && (state == peer.ReportCancelled || state == peer.ReportFailed)
}

// adopt completes a hold that this account did not grant with what its gateway knows.
func (a *Account) adopt(h *hold, report peer.CreditReport, item peer.CreditReportItem) {
	h.gateway, h.incarnation = report.Gateway, report.Incarnation
	h.team = item.Team
	h.tokens = max(h.tokens, a.tokens(item.PromptTokens, item.OutputTokens))
	h.prompt = item.PromptTokens
	h.class = peer.ClassOf(item.PromptTokens)
}

// ends maps the final report states to their effects. The hold is nil if the account does not know the request.
var ends = map[peer.ReportState]func(a *Account, now time.Time, item peer.CreditReportItem, h *hold){
	peer.ReportUnused:    (*Account).reportUnused,
	peer.ReportDone:      (*Account).reportDone,
	peer.ReportFailed:    (*Account).reportFailed,
	peer.ReportCancelled: (*Account).reportCancelled,
}

func (a *Account) reportUnused(now time.Time, item peer.CreditReportItem, h *hold) {
	if h != nil && (h.started || h.everListed) {
		return
	}
	a.release(now, item.RequestID)
}

func (a *Account) reportDone(now time.Time, item peer.CreditReportItem, h *hold) {
	if h == nil {
		a.release(now, item.RequestID)
		return
	}
	a.firstToken(now, h, item.FirstToken)
	a.completed(now, h)
	if h.group {
		// A member's segment stays in memory until it is imported or released. The gateway reports it as held until then
		// and as done afterwards; a segment that is listed HolderTimeout later is an orphan.
		h.prefilled = true
		a.close(now, item.RequestID, h)
		return
	}
	a.release(now, item.RequestID)
}

func (a *Account) reportFailed(now time.Time, item peer.CreditReportItem, h *hold) {
	a.ramp.drop(dropRequestFailed)
	a.reportCancelled(now, item, h)
}

func (a *Account) reportCancelled(now time.Time, item peer.CreditReportItem, h *hold) {
	if !a.mayRunOn(item.State) {
		a.release(now, item.RequestID)
		return
	}
	a.close(now, item.RequestID, h)
}

// close keeps counting a hold that its gateway has ended until the engine no longer lists it.
func (a *Account) close(now time.Time, id string, h *hold) {
	a.ended[id] = now
	h.closed = true
	h.lastHeld = now
}

// release removes a hold; late reports about it are ignored from now on.
func (a *Account) release(now time.Time, id string) {
	delete(a.holds, id)
	a.ended[id] = now
}

// noteIncarnation records a gateway's process. A newer process of the same instance proves that the older one is dead.
func (a *Account) noteIncarnation(gateway string, incarnation int64) {
	if incarnation > a.incarnations[gateway] {
		a.incarnations[gateway] = incarnation
		a.GatewayDead(gateway, incarnation-1)
	}
}

// GatewayDead records that a gateway's process and all earlier ones of its instance are dead. Their streams become orphans
// HolderTimeout after the last report that held them. A report of the same process that arrives later proves it alive.
func (a *Account) GatewayDead(gateway string, incarnation int64) {
	for _, h := range a.holds {
		if h.gateway == gateway && h.incarnation <= incarnation {
			h.gone = true
		}
	}
}

// releasePlain releases the holds of a plain service that cannot be in progress any more. It has no engine report to
// prove it; a hold ends with its budget, with its gateway, or when the gateway keeps reporting and no longer names it.
func (a *Account) releasePlain(now time.Time) {
	for id, h := range a.holds {
		silence := now.Sub(h.lastHeld)
		switch {
		case now.Before(h.usableTill) || silence < HolderTimeout:
		case h.gone, h.deadline.IsZero(), now.After(h.deadline), h.contacted.Sub(h.lastHeld) >= HolderTimeout:
			a.release(now, id)
		}
	}
}
