package entry

import (
	"context"
	"time"
)

// maintenanceInterval is the time between two rounds of runMaintenance.
const maintenanceInterval = time.Second

// forgetQuarantine deletes old evidence about parts of prompts and updates the gauges.
func (p *Process) forgetQuarantine(now time.Time) {
	for _, c := range p.quarantine.Forget(now) {
		c.Log(p.log.Info(), p.options.State.EndpointID)
	}
	quarantined, suspected := p.quarantine.Counts()
	p.metrics.SetGauge("quarantined_parts", int64(quarantined))
	p.metrics.SetGauge("suspected_parts", int64(suspected))
}

// runMaintenance closes expired idle connections, deletes outdated counts and limits of endpoints, reports the number of live
// peers to the fleet share, and updates the gauges, once per maintenanceInterval.
func (p *Process) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.client.ExpireIdle()
			p.coldLimiter.Forget(now)
			p.rateLimiter.Forget(now)
			p.forgetQuarantine(now)
			p.maintainPace(now)
			p.metrics.SetGauge("limited_endpoints", int64(p.rateLimiter.Count()))
			p.metrics.SetGauge("connections", int64(p.callerServer.Connections()))
			p.metrics.SetGauge("buffered_bytes", p.callerServer.BufferedBytes())
			p.metrics.SetGauge("endpoint_dials", p.client.Dials())
			peers := p.sharer.LiveCount(now)
			p.fleetShare.ObservePeers(peers)
			p.quarantine.SetInstances(peers + 1)
			p.metrics.SetGauge("peers", int64(peers))
			p.updateQueueMetrics()
		}
	}
}
