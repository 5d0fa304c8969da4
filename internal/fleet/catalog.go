// Package fleet holds the state of the fleet that operators and endpoints publish, decoded into Go types: the catalog of
// profiles, services and teams, the endpoints, and the failure domains that are out of service.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind states whether a request of a profile may run more than once, and whether its response is a stream.
type Kind string

// The kinds of profiles.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests have a stream of events as response. They run at most once unless the profile is resumable.
	Streaming Kind = "streaming"
)

// WeightedService is a service with its weight in the traffic split of a profile.
type WeightedService struct {
	Service string
	Weight  int
}

// Profile is a serving profile: the rules for serving a group of requests. The host and path of a request select it.
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
	// Objective is the target time to the response, or to the first event of a stream. A request that exceeds it is late.
	Objective time.Duration
	// MaxGap is the target for the time between two events of a stream. A stream that exceeds it is late.
	MaxGap time.Duration
	// MaxAttempts is the maximum number of times that a request is sent to an endpoint, including the first.
	MaxAttempts int
	// Priority is the priority that operators publish; 0 is the highest. See Catalog.Rank.
	Priority int
	// Callers need no API key for Public profiles.
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
	// MemoryTokens is the size of an engine's KV cache, its memory, in tokens.
	MemoryTokens int64
	// StepTime is the basic time of one decoding step. StepTimePerStream is added for each decoding stream, and
	// StepTimePerContext for each 1,000 tokens of the contexts of these streams.
	StepTime           time.Duration
	StepTimePerStream  time.Duration
	StepTimePerContext time.Duration
	// Stride is the number of decoding steps that an engine runs as one unit, a pass, while streams are decoding.
	Stride int
	// PrefillRate is the number of prompt tokens that an engine prefills per second, without AttentionTime.
	PrefillRate float64
	// AttentionTime is the additional prefill time per million pairs of a token and an earlier token. A prompt of n tokens
	// has n*n/2 pairs.
	AttentionTime time.Duration
}

// PrefillTime returns how long one engine needs to prefill a prompt without helpers. Helpers are further engines that
// prefill parts of the prompt.
func (e *Engine) PrefillTime(tokens int64) time.Duration {
	n := float64(tokens)
	seconds := n/e.PrefillRate + n*n/2e6*e.AttentionTime.Seconds()
	return time.Duration(min(seconds, MaxEngineTime.Seconds()) * float64(time.Second))
}

// MaxEngineTime bounds the predicted times of an engine, so that their sums over all requests stay within their type.
const MaxEngineTime = time.Hour

// PassTime returns the time of a pass that decodes the given number of streams and prefills nothing. contextTokens is the
// total length of the contexts of these streams.
func (e *Engine) PassTime(streams int, contextTokens int64) time.Duration {
	step := float64(e.StepTime) + float64(streams)*float64(e.StepTimePerStream) + float64(contextTokens)/1000*float64(e.StepTimePerContext)
	return time.Duration(min(float64(e.Stride)*step, float64(MaxEngineTime)))
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all instances together.
	MaxConnections int
	// ColdRate is the number of requests per second that an endpoint in cold start can handle according to the operators.
	// Package limit computes the bound on its requests from this rate. Zero means that there is no bound.
	ColdRate float64
	// HealthPath is the path of the endpoints' health check; empty if operators have published none.
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
}

// Key is a hash of the name. It identifies the service in messages between instances.
func (s *Service) Key() uint32 { return fold(xxhash.Sum64String(s.Name)) }

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeadTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Team is a customer. Its callers authenticate with one of its API keys.
type Team struct {
	Name string
	// Priority is the priority that operators publish; 0 is the highest. HasPriority is false if they publish none.
	Priority    int
	HasPriority bool
}

// Catalog is one version of the configuration document that operators publish. It must not be changed after NewCatalog.
type Catalog struct {
	Version  int64
	Profiles []Profile
	Services map[string]*Service
	Limits   Limits
	// Teams maps an API key to the team that it belongs to. HasTeams is true if the document has a list of teams, even an
	// empty one. Otherwise callers need no API key.
	Teams    map[string]Team
	HasTeams bool
	// Ignored describes the numbers of the document that are out of their range and not used.
	Ignored []string

	byHost map[string][]*Profile
	byKey  map[uint32]*Service
	ranks  map[string]serviceRanks
}

// NewCatalog returns the catalog with indexes by host and by service key. It shares the profiles and services with c.
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
	c.ranks = ranksOf(&c)
	return &c
}

// ServiceByKey returns the service with a key, or nil.
func (c *Catalog) ServiceByKey(key uint32) *Service { return c.byKey[key] }

// Match returns the profile of the host with the longest PathPrefix that the path begins with, or nil if there is none.
func (c *Catalog) Match(host, path string) *Profile {
	for _, p := range c.byHost[host] {
		if strings.HasPrefix(path, p.PathPrefix) {
			return p
		}
	}
	return nil
}
