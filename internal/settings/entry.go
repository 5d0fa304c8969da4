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
	// Platform is the IP:port of the platform's store.
	Platform string `yaml:"platform"`
	// Seeds are peers' addresses of instances that may be up.
	Seeds []string `yaml:"seeds"`
	// PeersKey is the key that all instances of a deployment present to each other.
	PeersKey Key         `yaml:"peers_key"`
	Bounds   EntryBounds `yaml:"bounds"`
	Limits   EntryLimits `yaml:"limits"`
}

// EntryLimits holds what the process may use of its machine. A limit of zero is not known.
type EntryLimits struct {
	// ProcessorShare is a part of a core. Instances with more of it take on more of the common work.
	ProcessorShare float64 `yaml:"processor_share"`
	// MemoryMB is in MB of 2^20 bytes.
	MemoryMB float64 `yaml:"memory_mb"`
	// Descriptors is the number of open files and sockets.
	Descriptors float64 `yaml:"descriptors"`
}

// EntryAddresses holds the listening addresses of acacia-entry; each is IP:port.
type EntryAddresses struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Peers     string `yaml:"peers"`
	Metrics   string `yaml:"metrics"`
}

// EntryBounds holds what operators promise to callers and endpoints.
type EntryBounds struct {
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace strictyaml.Duration `yaml:"stop_grace"`
	// StrictRevocation refuses keys on an instance that is out of touch with the store for RevocationTime.
	StrictRevocation bool                `yaml:"strict_revocation"`
	RevocationTime   strictyaml.Duration `yaml:"revocation_time"`
	// RetryRatio, RetrySlack and RetryWindow bound the repeats that all instances together send to a service: in a
	// window, RetryRatio for each request and RetrySlack besides.
	RetryRatio  float64             `yaml:"retry_ratio"`
	RetrySlack  float64             `yaml:"retry_slack"`
	RetryWindow strictyaml.Duration `yaml:"retry_window"`
	// ColdFactor and ColdSlack bound the requests that all instances together send to an endpoint in cold start: in a
	// second, ColdFactor times the rate of its service and ColdSlack besides.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
	// LeastInstances is the least number of instances among which the bounds are divided; more are counted as they are
	// heard of.
	LeastInstances int `yaml:"least_instances"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `yaml:"max_connections"`
}

// The times of a deployment that states none.
const (
	defaultStopGrace      = 8 * time.Second
	defaultRevocationTime = 5 * time.Second
	defaultRetryWindow    = 10 * time.Second
)

// LoadEntry reads and checks the settings file of acacia-entry. Faults of the content are returned as a *FindingsError.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, data)
}

// ParseEntry is LoadEntry for a file that was read already.
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
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultBounds returns the bounds of a deployment that states none: no repeats beyond refusals, a cold start at the rate
// that endpoints state, and the shortest usual times.
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
