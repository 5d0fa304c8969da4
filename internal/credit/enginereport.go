package credit

import (
	"sort"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
)

// maxFailedReports is the number of consecutive failed reads of the engine's load after which the ramp returns to its
// first step. A single failure may be a lost packet. Until the second one, the limit on unconfirmed work protects an
// engine that has restarted.
const maxFailedReports = 2

// engineState is the content of the engine's latest report.
type engineState struct {
	known   bool
	startID string
	// engineClockMS is the engine's wall clock at the sample.
	engineClockMS int64
	sampledAt     time.Time
	memoryTokens  int64
	// unattributed is the number of tokens in use that belong to no listed stream.
	unattributed int64
	warm         bool
	failedReads  int
}

// EngineReport applies a load report. sampledAt is a time on the owner's clock that is not later than the sample
// (engine.LoadReport.SampleTime). A report that is not newer than the latest one has no effect on the reservations.
func (a *Account) EngineReport(now time.Time, report engine.LoadReport, sampledAt time.Time) {
	newRun := a.engine.known && report.StartID != a.engine.startID
	if newRun {
		// This also applies to a report that is not newer: after a step of the engine's clock it may come from a later run.
		a.ramp.drop(dropNewStart)
	}
	if a.engine.known && !sampledAt.After(a.engine.sampledAt) {
		return
	}
	if a.engine.known && !newRun && report.AtMS <= a.engine.engineClockMS {
		// A step of a wall clock made an older sample look newer, or the engine sent its last sample again.
		return
	}
	a.checkWarmth(report, newRun)
	a.engine.known = true
	a.engine.startID = report.StartID
	a.engine.engineClockMS = report.AtMS
	a.engine.sampledAt = sampledAt
	a.engine.memoryTokens = report.MemoryTokens
	a.engine.failedReads = 0
	a.applyStreams(now, report, sampledAt)
	a.refresh(now)
}

// checkWarmth returns the ramp to its first step if the engine was warm and, without a restart, is not warm any more.
func (a *Account) checkWarmth(report engine.LoadReport, newRun bool) {
	if a.engine.warm && !report.Warm && !newRun {
		a.ramp.drop(dropLostWarmth)
	}
	a.engine.warm = report.Warm
}

// applyStreams updates the reservations from the listed streams. It confirms or adds the listed ones. It releases those
// that the engine does not list any more, or has not listed in time.
func (a *Account) applyStreams(now time.Time, report engine.LoadReport, sampledAt time.Time) {
	for _, r := range a.reservations {
		r.listed = false
	}
	listedTokens := int64(0)
	for _, stream := range report.Streams {
		listedTokens += stream.Tokens
		a.applyStream(now, stream, sampledAt)
	}
	a.engine.unattributed = max(report.UsedTokens-listedTokens, 0)
	for id, r := range a.reservations {
		switch {
		case r.listed:
		case r.everListed:
			a.release(now, id)
		case a.listingExpired(r, sampledAt):
			// The id is not recorded as ended. If the engine was only slow to list the stream, the gateway's next report
			// restores the reservation.
			delete(a.reservations, id)
		}
	}
}

// listingExpired reports whether a reservation that no engine report has listed can be released. A busy engine may be slow
// to accept the request. As long as its gateway reports that it holds the request, the reservation is therefore kept.
func (a *Account) listingExpired(r *reservation, sampledAt time.Time) bool {
	if sampledAt.Before(r.listingDeadline) {
		return false
	}
	return !r.reported || r.closed || !sampledAt.Before(r.lastHeldReport.Add(HolderTimeout))
}

func (a *Account) applyStream(now time.Time, stream engine.Stream, sampledAt time.Time) {
	r := a.reservations[stream.ID]
	if r == nil {
		endedAt, ended := a.ended[stream.ID]
		if ended && stream.Phase != engine.PhaseExported && sampledAt.Before(endedAt.Add(maxListingLag)) {
			return
		}
		r = &reservation{
			promptTokens:    stream.Tokens,
			class:           peer.ClassOf(stream.Tokens),
			listingDeadline: now,
		}
		a.reservations[stream.ID] = r
	}
	if !r.everListed {
		r.firstListed = now
	}
	r.listed = true
	r.everListed = true
	r.tokens = max(r.tokens, stream.Tokens)
	r.prefillDone = r.prefillDone || pastPrefill(stream.Phase)
}

// ReportFailed records a failed read of the engine's load.
func (a *Account) ReportFailed(now time.Time) {
	a.engine.failedReads++
	if a.engine.failedReads >= maxFailedReports {
		a.ramp.drop(dropReportFailed)
	}
	a.refresh(now)
}

// Orphans returns the sorted ids of the streams that the engine's latest report lists and that no live gateway has reported
// as held for HolderTimeout. The owner cancels them. They use part of the limit until a report no longer lists them, and are
// returned until then, because a cancellation may get lost.
func (a *Account) Orphans(now time.Time) []string {
	a.refresh(now)
	var ids []string
	for id, r := range a.reservations {
		since := r.firstListed
		if r.lastHeldReport.After(since) {
			since = r.lastHeldReport
		}
		if r.listed && now.Sub(since) >= HolderTimeout {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
