package settings

import (
	"os"
	"time"

	"github.com/acacialift/acacialift/internal/strictyaml"
)

// Entry holds the settings of acacia-entry.
type Entry struct {
	Common    `yaml:",inline"`
	Addresses EntryAddresses `yaml:"addresses"`
	// Platform is the address of the platform's store, IP:port.
	Platform string `yaml:"platform"`
	// Seeds are peer addresses of other instances, which need not be up. This instance discovers its peers through them.
	Seeds []string `yaml:"seeds"`
	// PeersKey is the key with which all instances of a deployment authenticate to each other.
	PeersKey   Key             `yaml:"peers_key"`
	Bounds     EntryBounds     `yaml:"bounds"`
	Limits     EntryLimits     `yaml:"limits"`
	Scheduling EntryScheduling `yaml:"scheduling"`
}

// Mode states for which services a part of the scheduling is enabled.
type Mode string

// The modes. ModeByPriority enables a part for the model services whose profiles have different priorities. ModeAuto does so too, and
// also for those with tight gaps (fleet.Catalog.HasTightGaps).
const (
	ModeOff        Mode = "off"
	ModeByPriority Mode = "by_priority"
	ModeAuto       Mode = "auto"
	ModeOn         Mode = "on"
)

// Published tells what operators have published about a service that may enable a part.
type Published interface {
	IsRanked(service string) bool
	HasTightGaps(service string) bool
}

// Enabled reports whether the mode enables a part for a service.
func (m Mode) Enabled(published Published, service string) bool {
	switch m {
	case ModeOn:
		return true
	case ModeAuto:
		return published.IsRanked(service) || published.HasTightGaps(service)
	case ModeByPriority:
		return published.IsRanked(service)
	}
	return false
}

// EntryScheduling switches the parts of the scheduling under shortage. A part without a mode is off.
type EntryScheduling struct {
	// Queue lets requests wait at the scheduler of a shard until there is capacity.
	Queue Mode `yaml:"queue"`
	// ReturnTimes takes the Retry-After of a refusal from a schedule of expected capacity.
	ReturnTimes Mode `yaml:"return_times"`
	// Pace adapts placement to the observed speed of endpoints, and starts new and recovered endpoints slowly.
	Pace Mode `yaml:"pace"`
}

// EntryLimits holds the resource limits of the process on its machine. Zero means that the limit is unknown.
type EntryLimits struct {
	// ProcessorShare is a fraction of a CPU core. Instances with a higher value do more of the work that instances share.
	ProcessorShare float64 `yaml:"processor_share"`
	// MemoryMB is the memory in units of 2^20 bytes.
	MemoryMB float64 `yaml:"memory_mb"`
	// Descriptors is the maximum number of open files and sockets.
	Descriptors float64 `yaml:"descriptors"`
}

// EntryAddresses holds the listening addresses of acacia-entry; each is IP:port.
type EntryAddresses struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Peers     string `yaml:"peers"`
	Metrics   string `yaml:"metrics"`
}

// EntryBounds holds the guarantees that operators give to callers and endpoints.
type EntryBounds struct {
	// StopGrace is the time from the termination signal until the process is killed.
	StopGrace strictyaml.Duration `yaml:"stop_grace"`
	// StrictRevocation makes an instance refuse all keys shortly before RevocationTime has passed since its catalog was last
	// confirmed.
	StrictRevocation bool                `yaml:"strict_revocation"`
	RevocationTime   strictyaml.Duration `yaml:"revocation_time"`
	// RetryRatio, RetrySlack and RetryWindow bound the retries that all instances together send to a service. In a window,
	// these are at most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64             `yaml:"retry_ratio"`
	RetrySlack  float64             `yaml:"retry_slack"`
	RetryWindow strictyaml.Duration `yaml:"retry_window"`
	// ColdFactor and ColdSlack bound the requests that all instances together send to an endpoint in cold start. In a
	// second, these are at most ColdFactor times the cold start rate of its service, plus ColdSlack.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
	// LeastInstances is the minimum number by which an instance divides the bounds of the fleet. It divides by 1.5 times the
	// largest number of live instances, including itself, that it has known since its start, if that is more.
	LeastInstances int `yaml:"least_instances"`
	// MaxConnections is the maximum number of connections from callers.
	MaxConnections int `yaml:"max_connections"`
}

// The defaults of durations that a deployment does not set.
const (
	defaultStopGrace      = 8 * time.Second
	defaultRevocationTime = 5 * time.Second
	defaultRetryWindow    = 10 * time.Second
)

// LoadEntry reads and validates the settings file of acacia-entry. Invalid content is returned as a *FindingsError.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, data)
}

// ParseEntry is LoadEntry for a file that was already read.
func ParseEntry(path string, data []byte) (*Entry, error) {
	s := &Entry{Common: defaultCommon(), Bounds: defaultBounds()}
	c := newChecker(path, data, s)
	c.common(&s.Common)
	c.address("addresses.callers", s.Addresses.Callers)
	c.address("addresses.readiness", s.Addresses.Readiness)
	c.address("addresses.peers", s.Addresses.Peers)
	c.address("addresses.metrics", s.Addresses.Metrics)
	c.address("platform", s.Platform)
	for _, seed := range s.Seeds {
		c.seed(seed)
	}
	c.key("peers_key", &s.PeersKey, "")
	c.bounds(&s.Bounds)
	c.entryLimits(&s.Limits)
	c.scheduling(&s.Scheduling)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultBounds returns the bounds of a deployment that sets none: no retries of requests that were sent to an endpoint,
// cold starts at the cold start rate of the service, and the shortest durations that deployments usually set.
func defaultBounds() EntryBounds {
	return EntryBounds{
		StopGrace:      strictyaml.Duration(defaultStopGrace),
		RevocationTime: strictyaml.Duration(defaultRevocationTime),
		RetryWindow:    strictyaml.Duration(defaultRetryWindow),
		ColdFactor:     1,
	}
}

func (c *checker) entryLimits(l *EntryLimits) {
	for path, value := range map[string]float64{
		"limits.processor_share": l.ProcessorShare, "limits.memory_mb": l.MemoryMB, "limits.descriptors": l.Descriptors,
	} {
		if value < 0 {
			c.report.Add(path, "must not be negative")
		}
	}
}

func (c *checker) scheduling(s *EntryScheduling) {
	for path, mode := range map[string]*Mode{
		"scheduling.queue": &s.Queue, "scheduling.return_times": &s.ReturnTimes, "scheduling.pace": &s.Pace,
	} {
		switch *mode {
		case "":
			*mode = ModeOff
		case ModeOff, ModeByPriority, ModeAuto, ModeOn:
		default:
			c.report.Add(path, "must be off, by_priority, auto or on")
		}
	}
}

func (c *checker) seed(seed string) {
	if seed == "" {
		c.report.Add("seeds", "a seed must not be empty")
	}
}

func (c *checker) bounds(b *EntryBounds) {
	c.positive("bounds.stop_grace", b.StopGrace)
	c.positive("bounds.revocation_time", b.RevocationTime)
	c.positive("bounds.retry_window", b.RetryWindow)
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		c.report.Add("bounds.retry_ratio", "must be from 0 to 1")
	}
	if b.RetrySlack < 0 {
		c.report.Add("bounds.retry_slack", "must not be negative")
	}
	if b.ColdFactor < 0 {
		c.report.Add("bounds.cold_factor", "must not be negative")
	}
	if b.ColdSlack < 0 {
		c.report.Add("bounds.cold_slack", "must not be negative")
	}
	if b.LeastInstances < 1 {
		c.report.Add("bounds.least_instances", "must be at least 1")
	}
	if b.MaxConnections < 1 {
		c.report.Add("bounds.max_connections", "must be at least 1")
	}
}

func (c *checker) positive(path string, value strictyaml.Duration) {
	if value <= 0 {
		c.report.Add(path, "must be more than 0s")
	}
}
