// Package config holds the document that operators publish: failure domains, services, endpoints, serving profiles and
// teams.
package config

import "github.com/acacialift/acacialift/internal/strictyaml"

// Document is one revision of the published configuration.
type Document struct {
	// Revision orders documents; an instance never returns to a lower revision.
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

// ServiceKind distinguishes services of model engines from plain services.
type ServiceKind string

// The kinds of a service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a set of interchangeable endpoints.
type Service struct {
	Name   string      `yaml:"name"`
	Kind   ServiceKind `yaml:"kind"`
	Region string      `yaml:"region"`
	// Model is required for model services.
	Model string `yaml:"model"`
	// Warm is the limit of a warm endpoint.
	Warm Limit `yaml:"warm"`
	// Cold is the limit of an endpoint in cold start, which is the first step of the ramp to the warm limit.
	Cold Limit `yaml:"cold"`
	// LongPrefills is the maximum number of long prompts in prefill on one endpoint at a time; the default is 1.
	LongPrefills int `yaml:"long_prefills"`
	// ShortShare is the fraction of tokens and streams reserved for short prompts, 0 to 1; the default is 0.25.
	ShortShare *float64 `yaml:"short_share"`
	// PrefillRate is the expected prefill throughput of a warm endpoint in tokens per second.
	PrefillRate float64 `yaml:"prefill_rate"`
}

// Limit bounds the load of one endpoint.
type Limit struct {
	// Streams is the number of concurrent requests.
	Streams int `yaml:"streams"`
	// Tokens is the size of the KV cache in tokens; 0 for plain services.
	Tokens int64 `yaml:"tokens"`
}

// Fencing states whether an engine rejects orders with an outdated fencing number.
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
	// Fencing defaults to FencingIgnored, because the default must not assume protection that the engine may lack.
	Fencing Fencing `yaml:"fencing"`
}

// Profile is a named set of serving parameters that a caller selects.
type Profile struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// DefaultBudget is the time budget of a request that does not state one.
	DefaultBudget Duration `yaml:"default_budget"`
	// MaxBudget is the largest time budget that a request may state.
	MaxBudget Duration `yaml:"max_budget"`
	// MaxOutputTokens is the largest output of a completion, and the default if the request states none.
	MaxOutputTokens int64 `yaml:"max_output_tokens"`
	// Group is the number of endpoints that together serve a prompt larger than one engine's memory. 0 disables groups;
	// 1 is not allowed.
	Group int `yaml:"group"`
	// Idempotent declares that every request of the profile may be executed more than once.
	Idempotent bool `yaml:"idempotent"`
}

// Team is a group of callers that gets a fair share of the capacity.
type Team struct {
	Name string `yaml:"name"`
	// Weight is the team's share of the capacity relative to other teams; the default is 1.
	Weight int `yaml:"weight"`
}

// Duration is a time.Duration in the notation "30s".
type Duration = strictyaml.Duration
