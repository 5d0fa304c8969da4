// Package config holds the document that operators publish: failure domains, services, endpoints, serving profiles and
// teams.
package config

import "github.com/acacialift/acacialift/internal/strictyaml"

// Document is one revision of the published configuration.
type Document struct {
	// Revision orders documents; an instance never goes back to a lower one.
	Revision  uint64     `yaml:"revision"`
	Domains   []Domain   `yaml:"domains"`
	Models    []Model    `yaml:"models"`
	Services  []Service  `yaml:"services"`
	Endpoints []Endpoint `yaml:"endpoints"`
	Profiles  []Profile  `yaml:"profiles"`
	Teams     []Team     `yaml:"teams"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// OutOfService stops new work to all endpoints of the domain.
	OutOfService bool `yaml:"out_of_service"`
}

// Model names a model that engines serve.
type Model struct {
	Name string `yaml:"name"`
}

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of a service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a set of equal endpoints.
type Service struct {
	Name   string      `yaml:"name"`
	Kind   ServiceKind `yaml:"kind"`
	Region string      `yaml:"region"`
	// Model is required for model services.
	Model string `yaml:"model"`
	// Warm bounds a warm endpoint.
	Warm Limit `yaml:"warm"`
	// Cold bounds an endpoint in cold start; it is the first step of the ramp.
	Cold Limit `yaml:"cold"`
	// LongPrefills is the number of long prompts that may be in prefill on one endpoint; the default is 1.
	LongPrefills int `yaml:"long_prefills"`
	// ShortShare is the share of tokens and streams reserved for short prompts, 0 to 1; the default is 0.25.
	ShortShare *float64 `yaml:"short_share"`
	// PrefillRate is the expected prefill speed of a warm endpoint in tokens per second.
	PrefillRate float64 `yaml:"prefill_rate"`
}

// Limit bounds the work of one endpoint.
type Limit struct {
	// Streams is the number of concurrent requests.
	Streams int `yaml:"streams"`
	// Tokens is the KV memory in tokens; 0 for plain services.
	Tokens int64 `yaml:"tokens"`
}

// Fencing tells whether an engine checks fencing numbers.
type Fencing string

// The fencing behaviours of an engine.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Endpoint is one server of a service.
type Endpoint struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Address is IP:port.
	Address string `yaml:"address"`
	Domain  string `yaml:"domain"`
	// Leaving stops new work to the endpoint.
	Leaving bool `yaml:"leaving"`
	// Fencing defaults to FencingIgnored, the weaker behaviour.
	Fencing Fencing `yaml:"fencing"`
}

// Profile is a named way of serving that a caller selects.
type Profile struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// DefaultBudget is the time budget of a request that names none.
	DefaultBudget Duration `yaml:"default_budget"`
	// MaxBudget bounds the time budget that a caller may ask for.
	MaxBudget Duration `yaml:"max_budget"`
	// MaxOutputTokens bounds and defaults the output of a completion.
	MaxOutputTokens int64 `yaml:"max_output_tokens"`
	// Group is the number of endpoints that take a prompt larger than one engine's memory together; 0 means none, and 1
	// is not allowed.
	Group int `yaml:"group"`
	// Idempotent declares that all requests of the profile may be repeated.
	Idempotent bool `yaml:"idempotent"`
}

// Team is a group of callers with a fair share.
type Team struct {
	Name string `yaml:"name"`
	// Weight is the team's share relative to the others; the default is 1.
	Weight int `yaml:"weight"`
}

// Duration is a time.Duration written as in "30s".
type Duration = strictyaml.Duration
