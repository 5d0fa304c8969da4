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
	// shortReportInterval applies until an account has its first report, which a new owner needs before it grants, and
	// while asks are refused because the latest report does not show the work that was granted.
	shortReportInterval = 250 * time.Millisecond
	// shortReportTime is how long such a refusal keeps the interval short.
	shortReportTime = 2 * time.Second
	reportTimeout   = 2 * time.Second
	// cancelRepeat is the time after which a cancel order for a stream that is still reported is sent again.
	cancelRepeat   = 2 * time.Second
	maxReportBytes = 1 << 20
)

func (c *Controller) serveEngineReports(ctx context.Context) error {
	return every(ctx, reportTick, c.pollEngines)
}

// pollEngines asks the owned model engines for their load and cancels streams without a live gateway.
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
		if owned.reportedAt.IsZero() || now.Before(owned.shortUntil) {
			interval = shortReportInterval
		}
		if now.Sub(owned.polled) < interval-reportTick/2 {
			continue
		}
		owned.polling, owned.polled = true, now
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

// logState logs a change of an endpoint's state with the reason of the ramp's last return to its first step.
func (c *Controller) logState(now time.Time, name string, owned *ownedAccount) {
	state := owned.account.Summary(now).State
	if state == owned.state {
		return
	}
	c.log.Info().Str("endpoint", name).Str("from", string(owned.state)).Str("to", string(state)).
		Str("last_drop", owned.account.LastDrop()).Str("start_id", owned.report.StartID).Msg("endpoint_state")
	owned.state = state
}

func (c *Controller) loadReport(ctx context.Context, address string) (*engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := c.fetch(ctx, engine.Request{Method: http.MethodGet, Target: "/load", Address: address})
	if err != nil {
		return nil, err
	}
	var report engine.LoadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("decode load report: %w", err)
	}
	return &report, nil
}

// cancelOrphans orders the engine to drop streams that no live gateway holds; the caller holds the lock.
func (c *Controller) cancelOrphans(ctx context.Context, now time.Time, owned *ownedAccount) {
	for _, id := range owned.account.Orphans(now) {
		if now.Sub(owned.cancelled[id]) < cancelRepeat {
			continue
		}
		owned.cancelled[id] = now
		fence := max(owned.acquired.UnixMilli(), owned.report.Fence+1)
		owned.account.SetFence(fence)
		go c.cancelStream(ctx, owned.endpoint.Name, owned.endpoint.Address, id, fence)
	}
	for id, at := range owned.cancelled {
		if now.Sub(at) > time.Minute {
			delete(owned.cancelled, id)
		}
	}
}

func (c *Controller) cancelStream(ctx context.Context, endpoint, address, id string, fence int64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	order, err := json.Marshal(engine.Order{Fence: fence, Action: engine.ActionCancel, ID: id})
	if err == nil {
		_, err = c.fetch(ctx, engine.Request{Method: http.MethodPost, Target: "/orders", Address: address, Body: order})
	}
	c.count("orphans.cancelled")
	c.log.Info().Str("endpoint", endpoint).Str("request_id", id).Int64("fence", fence).
		Str("reason", "no_live_gateway").AnErr("error", err).Msg("orphan_cancel")
}

// fetch returns the body of a 200 answer.
func (c *Controller) fetch(ctx context.Context, req engine.Request) ([]byte, error) {
	answer, err := c.engines.Fetch(ctx, req, maxReportBytes)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("%s %s answered %d", req.Method, req.Target, answer.Status)
	}
	return answer.Body, nil
}
