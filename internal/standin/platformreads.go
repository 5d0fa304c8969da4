package standin

import (
	"time"
)

// Reads returns the total number of reads and the highest number within one clock second.
func (p *Platform) Reads() (total, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads.total, p.reads.peak
}

// readCounter counts reads per clock second.
type readCounter struct {
	total         int
	peak          int
	currentSecond int64
	currentReads  int
	// perSecond holds the counts of the last maxCountedSeconds seconds with at least one read.
	perSecond []SecondCount
}

// SecondCount is the number of reads within one clock second.
type SecondCount struct {
	Unix  int64 `json:"unix"`
	Reads int   `json:"reads"`
}

func (c *readCounter) add(now time.Time) {
	c.total++
	if second := now.Unix(); second != c.currentSecond || len(c.perSecond) == 0 {
		c.currentSecond, c.currentReads = second, 0
		c.perSecond = append(c.perSecond, SecondCount{Unix: second})
		c.perSecond = c.perSecond[max(0, len(c.perSecond)-maxCountedSeconds):]
	}
	c.currentReads++
	c.perSecond[len(c.perSecond)-1].Reads = c.currentReads
	c.peak = max(c.peak, c.currentReads)
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads.add(p.options.Clock.Now())
}
