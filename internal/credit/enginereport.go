package credit

import (
	"sort"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
)

// maxFailedReports is the number of failed reads of the engine's load in a row that return the ramp to its first step. A
// single one may be a lost packet; the bound on unconfirmed work covers the time until the second.
const maxFailedReports = 2

// engineView is what the engine's latest report says.
type engineView struct {
	known        bool
	startID      string
	atMS         int64
	sampledAt    time.Time
	memoryTokens int64
	// unattributed is the memory in use that no listed stream accounts for.
	unattributed int64
	// warm is true if the report says so.
	warm        bool
	failedReads int
}

// EngineReport applies a load report. sampledAt is a time on the owner's clock that is not later than the sample
// (engine.LoadReport.SampleTime). A report that is not newer than the latest one has no effect on the holds.
func (a *Account) EngineReport(now time.Time, report engine.LoadReport, sampledAt time.Time) {
	newRun := a.engine.known && report.StartID != a.engine.startID
	if newRun {
		// This also applies to a report that is not newer: after a step of the engine's clock it may be of a later run.
		a.ramp.drop(dropNewStart)
	}
	if a.engine.known && !sampledAt.After(a.engine.sampledAt) {
		return
	}
	if a.engine.known && !newRun && report.AtMS <= a.engine.atMS {
		// A step of a wall clock made an older sample look newer, or the engine repeats its last sample.
		return
	}
	a.checkWarmth(report, newRun)
	a.engine.known = true
	a.engine.startID = report.StartID
	a.engine.atMS = report.AtMS
	a.engine.sampledAt = sampledAt
	a.engine.memoryTokens = report.MemoryTokens
	a.engine.failedReads = 0
	a.applyStreams(now, report, sampledAt)
	a.refresh(now)
}

// checkWarmth returns the ramp to its first step if a run that was warm is not warm any more.
func (a *Account) checkWarmth(report engine.LoadReport, newRun bool) {
	if a.engine.warm && !report.Warm && !newRun {
		a.ramp.drop(dropLostWarmth)
	}
	a.engine.warm = report.Warm
}

// applyStreams compares the listed streams with the holds: listed ones are confirmed or added, and holds that the engine
// cannot have and will not get are released.
func (a *Account) applyStreams(now time.Time, report engine.LoadReport, sampledAt time.Time) {
	for _, h := range a.holds {
		h.listed = false
	}
	listedTokens := int64(0)
	for _, stream := range report.Streams {
		listedTokens += stream.Tokens
		a.applyStream(now, stream, sampledAt)
	}
	a.engine.unattributed = max(report.UsedTokens-listedTokens, 0)
	for id, h := range a.holds {
		switch {
		case h.listed:
		case h.everListed:
			a.release(now, id)
		case a.lapsed(h, sampledAt):
			// The id is not remembered as ended: if the engine was slow to list the stream, its gateway can claim it.
			delete(a.holds, id)
		}
	}
}

// lapsed tells whether a hold that no report has ever listed cannot become a stream any more. A gateway that says it holds
// the request is believed, because a busy engine may be slow to accept it, until its reports stop.
func (a *Account) lapsed(h *hold, sampledAt time.Time) bool {
	if sampledAt.Before(h.usableTill) {
		return false
	}
	return !h.reported || h.closed || !sampledAt.Before(h.lastHeld.Add(HolderTimeout))
}

func (a *Account) applyStream(now time.Time, stream engine.Stream, sampledAt time.Time) {
	h := a.holds[stream.ID]
	if h == nil {
		endedAt, ended := a.ended[stream.ID]
		if ended && stream.Phase != engine.PhaseExported && sampledAt.Before(endedAt.Add(endLag)) {
			return
		}
		h = &hold{
			prompt:     stream.Tokens,
			class:      peer.ClassOf(stream.Tokens),
			usableTill: now,
		}
		a.holds[stream.ID] = h
	}
	if !h.everListed {
		h.firstList = now
	}
	h.listed = true
	h.everListed = true
	h.tokens = max(h.tokens, stream.Tokens)
	h.prefilled = h.prefilled || phaseDone(stream.Phase)
}

// ReportFailed records a failed read of the engine's load.
func (a *Account) ReportFailed(now time.Time) {
	a.engine.failedReads++
	if a.engine.failedReads >= maxFailedReports {
		a.ramp.drop(dropReportFailed)
	}
	a.refresh(now)
}

// Orphans returns the ids of the streams that the engine's latest report lists and no live gateway has held for
// HolderTimeout, in order. The owner cancels them. They count against the endpoint until a report no longer lists them,
// and are returned until then, because a cancellation may get lost.
func (a *Account) Orphans(now time.Time) []string {
	a.refresh(now)
	var ids []string
	for id, h := range a.holds {
		since := h.firstList
		if h.lastHeld.After(since) {
			since = h.lastHeld
		}
		if h.listed && now.Sub(since) >= HolderTimeout {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
