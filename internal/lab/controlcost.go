package lab

import (
	"github.com/acacialift/acacialift/internal/status"
)

// Cost is the resource use of a process, averaged over a window.
type Cost struct {
	// CPUPercent is the CPU time in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// ResidentMB is the resident memory at the end of the window, in units of 2^20 bytes.
	ResidentMB float64 `json:"resident_mb"`
	// InKBps and OutKBps are the received and sent peer messages, in units of 1000 bytes per second.
	InKBps  float64 `json:"in_kb_per_s"`
	OutKBps float64 `json:"out_kb_per_s"`
	// Messages is the number of received peer messages per second.
	Messages float64 `json:"messages_per_s"`
}

func compareSnapshots(before, after counterSnapshot) ControlSample {
	seconds := after.at.Sub(before.at).Seconds()
	sample := ControlSample{Seconds: seconds}
	daemons := float64(len(after.reports))
	for i := range after.reports {
		old, current := before.reports[i], after.reports[i]
		cost := controllerCost(old.Control, current.Control, seconds)
		sample.Controller.add(cost, daemons)
		sample.MaxControllerCPUPercent = max(sample.MaxControllerCPUPercent, cost.CPUPercent)
		sample.MaxControllerMB = max(sample.MaxControllerMB, cost.ResidentMB)
		sample.Gateway.add(gatewayCost(before, after, i, seconds), daemons)
		sample.PlatformReads += float64(current.Control.PlatformReads-old.Control.PlatformReads) / seconds
	}
	return sample
}

func controllerCost(before, after status.Control, seconds float64) Cost {
	return Cost{
		CPUPercent: (after.CPUSeconds - before.CPUSeconds) / seconds * percent,
		ResidentMB: float64(after.ResidentBytes) / megabyte,
		InKBps:     float64(after.PeerBytesIn-before.PeerBytesIn) / seconds / kilobyte,
		OutKBps:    float64(after.PeerBytesOut-before.PeerBytesOut) / seconds / kilobyte,
		Messages:   float64(after.PeerMessages-before.PeerMessages) / seconds,
	}
}

// gatewayCost takes the CPU time and the memory from the operating system, and the bytes and messages from the gateway's
// own counters, which are up to 200 ms old.
func gatewayCost(before, after counterSnapshot, i int, seconds float64) Cost {
	old, current := before.reports[i].Gateway.Stats, after.reports[i].Gateway.Stats
	return Cost{
		CPUPercent: (after.gatewayUsage[i].cpu - before.gatewayUsage[i].cpu).Seconds() / seconds * percent,
		ResidentMB: float64(after.gatewayUsage[i].residentBytes) / megabyte,
		InKBps:     float64(current.PeerBytesIn-old.PeerBytesIn) / seconds / kilobyte,
		OutKBps:    float64(current.PeerBytesOut-old.PeerBytesOut) / seconds / kilobyte,
		Messages:   float64(current.PeerMessages-old.PeerMessages) / seconds,
	}
}

// add adds the contribution of one process to a mean over count processes.
func (c *Cost) add(other Cost, count float64) {
	c.CPUPercent += other.CPUPercent / count
	c.ResidentMB += other.ResidentMB / count
	c.InKBps += other.InKBps / count
	c.OutKBps += other.OutKBps / count
	c.Messages += other.Messages / count
}
