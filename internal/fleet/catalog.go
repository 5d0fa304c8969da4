// Package fleet holds the state of the fleet that operators and endpoints publish, as typed values: the catalog of
// profiles, services and teams, the endpoints, and the failure domains that are out of service.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind states how often a request of a profile may run.
type Kind string

// The kinds of profiles.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events; they run at most once unless the profile is resumable.
	Streaming Kind = "streaming"
)

// WeightedService is a service with its weight in the traffic split of a profile.
type WeightedService struct {
	Service string
	Weight  int
}

// Profile is a serving profile. The host and path of a request select it.
type Profile struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// TrafficSplit has at least one entry with a positive weight.
	TrafficSplit []WeightedService
	// TimeLimit is the longest time from the arrival of a request to the end of its response.
	TimeLimit time.Duration
	// Objective is the time to the response, or to the first event of a stream, within which a request is on time.
	Objective time.Duration
	// MaxGap is the longest time between two events of a stream that is on time.
	MaxGap time.Duration
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts int
	// Priority is the rank of the profile; 0 is the highest.
	Priority int
	// Public profiles need no key.
	Public bool
	// Resumable streams may continue at another endpoint after the last event.
	Resumable bool
}

// Retryable reports whether a request of the profile may run more than once.
func (p *Profile) Retryable() bool {
	return p.Kind == Idempotent || p.Kind == Streaming && p.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the size of an engine's KV cache in tokens.
	MemoryTokens int64
	// StepTime is the time of one decoding step; StepTimePerStream and StepTimePerContext are added for each decoding
	// stream and for each 1,000 tokens of its context.
	StepTime           time.Duration
	StepTimePerStream  time.Duration
	StepTimePerContext time.Duration
	// Stride is the number of steps in a pass with decoding streams.
	Stride int
	// PrefillRate is the number of prompt tokens that an engine prefills in a second, without the time for attention.
	PrefillRate float64
	// AttentionTime is the prefill time for a million pairs of a token and an earlier token.
	AttentionTime time.Duration
}

// PrefillTime returns how long one engine needs to prefill a prompt without helpers.
func (e *Engine) PrefillTime(tokens int64) time.Duration {
	n := float64(tokens)
	seconds := n/e.PrefillRate + n*n/2e6*e.AttentionTime.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// PassTime returns how long a pass without prefill takes for a number of streams whose contexts have the given total
// length.
func (e *Engine) PassTime(streams int, contextTokens int64) time.Duration {
	step := e.StepTime + time.Duration(streams)*e.StepTimePerStream
	step += time.Duration(float64(contextTokens) / 1000 * float64(e.StepTimePerContext))
	return time.Duration(e.Stride) * step
}

// Service is a pool of endpoints of one kind.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all instances together.
	MaxConnections int
	// ColdRate is the number of requests per second that an endpoint in cold start can handle; zero means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Key identifies the service in messages between instances.
func (s *Service) Key() uint32 { return fold(xxhash.Sum64String(s.Name)) }

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeadTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Team is a customer whose callers present one of its keys.
type Team struct {
	Name     string
	Priority int
}

// Catalog is one version of what operators publish. It is immutable after it was built.
type Catalog struct {
	Version  int64
	Profiles []Profile
	Services map[string]*Service
	Limits   Limits
	// Teams maps a caller's key to its team. Callers need no key if HasTeams is false.
	Teams    map[string]Team
	HasTeams bool

	byHost map[string][]*Profile
	byKey  map[uint32]*Service
}

// NewCatalog returns a copy of the catalog with its indexes by host and by service key.
func NewCatalog(c Catalog) *Catalog {
	c.byHost = make(map[string][]*Profile)
	c.byKey = make(map[uint32]*Service, len(c.Services))
	for _, s := range c.Services {
		c.byKey[s.Key()] = s
	}
	for i := range c.Profiles {
		p := &c.Profiles[i]
		c.byHost[p.Host] = append(c.byHost[p.Host], p)
	}
	for _, profiles := range c.byHost {
		slices.SortStableFunc(profiles, func(a, b *Profile) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return &c
}

// ServiceByKey returns the service with a key, or nil.
func (c *Catalog) ServiceByKey(key uint32) *Service { return c.byKey[key] }

// Match returns the profile of the host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Profile {
	for _, p := range c.byHost[host] {
		if strings.HasPrefix(path, p.PathPrefix) {
			return p
		}
	}
	return nil
}
