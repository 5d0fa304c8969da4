package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/lease"
)

const (
	reportTick = 250 * time.Millisecond
	// reportInterval is the time between two load reports of an endpoint.
	reportInterval = time.Second
	// shortReportInterval applies until an account has its first report, which a new owner needs before it grants. It also
	// applies while credit requests are refused because the latest report does not yet contain the granted requests.
	shortReportInterval = 250 * time.Millisecond
	// shortReportTime is the time for which such a refusal shortens the interval.
	shortReportTime = 2 * time.Second
	reportTimeout   = 2 * time.Second
	// cancelRetryInterval is the time after which the cancel order is sent again if the stream is still reported.
	cancelRetryInterval = 2 * time.Second
	maxReportBytes      = 1 << 20
)

func (c *Controller) serveEngineReports(ctx context.Context) error {
	return runEvery(ctx, reportTick, c.pollEngines)
}

// pollEngines requests load reports from the owned model engines. Streams without a live gateway are then cancelled.
func (c *Controller) pollEngines(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return
	}
	for name, owned := range c.accounts {
		service := c.index.Service(owned.endpoint.Service)
		if service == nil || service.Kind != config.KindModel || owned.polling {
			continue
		}
		interval := reportInterval
		if owned.reportedAt.IsZero() || now.Before(owned.shortIntervalUntil) {
			interval = shortReportInterval
		}
		if now.Sub(owned.polledAt) < interval-reportTick/2 {
			continue
		}
		owned.polling, owned.polledAt = true, now
		go c.pollEngine(ctx, name, owned.endpoint.Address, owned)
	}
}

func (c *Controller) pollEngine(ctx context.Context, name, address string, owned *ownedAccount) {
	report, err := c.loadReport(ctx, address)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	owned.polling = false
	if _, held := c.holder.Holds(now, lease.EndpointResource(name)); !held || c.accounts[name] != owned {
		return
	}
	if err != nil {
		owned.account.ReportFailed(now)
		c.log.Warn().Str("endpoint", name).Err(err).Msg("load_report_failed")
		return
	}
	sampled, err := report.SampleTime(now)
	if err != nil {
		owned.account.ReportFailed(now)
		c.log.Warn().Str("endpoint", name).Err(err).Msg("load_report_refused")
		return
	}
	owned.account.EngineReport(now, *report, sampled)
	owned.report, owned.reportedAt = *report, now
	c.logState(now, name, owned)
	c.cancelOrphans(ctx, now, owned)
}

// logState logs a change of an endpoint's state and why its ramp last returned to the first step.
func (c *Controller) logState(now time.Time, name string, owned *ownedAccount) {
	state := owned.account.Summary(now).State
	if state == owned.loggedState {
		return
	}
	c.log.Info().Str("endpoint", name).Str("from", string(owned.loggedState)).Str("to", string(state)).
		Str("last_drop", owned.account.LastDrop()).Str("start_id", owned.report.StartID).Msg("endpoint_state")
	owned.loggedState = state
}

func (c *Controller) loadReport(ctx context.Context, address string) (*engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := c.fetchBody(ctx, engine.Request{Method: http.MethodGet, Target: "/load", Address: address})
	if err != nil {
		return nil, err
	}
	var report engine.LoadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("decode load report: %w", err)
	}
	return &report, nil
}

// cancelOrphans sends the engine cancel orders for streams that belong to no live gateway; the caller holds the lock.
func (c *Controller) cancelOrphans(ctx context.Context, now time.Time, owned *ownedAccount) {
	for _, id := range owned.account.Orphans(now) {
		if now.Sub(owned.cancelledAt[id]) < cancelRetryInterval {
			continue
		}
		owned.cancelledAt[id] = now
		fence := max(owned.acquiredAt.UnixMilli(), owned.report.Fence+1)
		owned.account.SetFence(fence)
		go c.cancelStream(ctx, owned.endpoint.Name, owned.endpoint.Address, id, fence)
	}
	for id, at := range owned.cancelledAt {
		if now.Sub(at) > time.Minute {
			delete(owned.cancelledAt, id)
		}
	}
}

func (c *Controller) cancelStream(ctx context.Context, endpoint, address, id string, fence int64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	order, err := json.Marshal(engine.Order{Fence: fence, Action: engine.ActionCancel, ID: id})
	if err == nil {
		_, err = c.fetchBody(ctx, engine.Request{Method: http.MethodPost, Target: "/orders", Address: address, Body: order})
	}
	c.count("orphans.cancelled")
	c.log.Info().Str("endpoint", endpoint).Str("request_id", id).Int64("fence", fence).
		Str("reason", "no_live_gateway").AnErr("error", err).Msg("orphan_cancel")
}

// fetchBody sends a request and returns the body of a 200 response.
func (c *Controller) fetchBody(ctx context.Context, req engine.Request) ([]byte, error) {
	response, err := c.engines.Fetch(ctx, req, maxReportBytes)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("%s %s returned status %d", req.Method, req.Target, response.Status)
	}
	return response.Body, nil
}
