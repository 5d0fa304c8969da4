// Package loadgen sends requests at a fixed mean rate to gateways, checks every response byte for byte against the
// response that the stand-ins generate for the request, and measures latencies and outcomes as callers see them.
package loadgen

import (
	"errors"
	"fmt"
	"time"
)

// Class is a class of prompt lengths.
type Class struct {
	// Name labels the class in results.
	Name string
	// Tokens is the length of its prompts.
	Tokens int
	// Share is its fraction of the model requests, 0 to 1.
	Share float64
	// Profile is used instead of Options.Profiles if it is not empty.
	Profile string
}

// longClassTokens is the length above which a class is treated as long.
const longClassTokens = 100_000

// defaultLongShare makes one prompt in fifty longer than 100 k tokens.
const defaultLongShare = 0.02

// DefaultClasses returns the default classes, with the given fraction of prompts over 100 k tokens.
func DefaultClasses(longShare float64) []Class {
	short := 1 - longShare
	return []Class{
		{Name: "1k", Tokens: 1_000, Share: short * 0.46},
		{Name: "4k", Tokens: 4_000, Share: short * 0.30},
		{Name: "16k", Tokens: 16_000, Share: short * 0.16},
		{Name: "64k", Tokens: 64_000, Share: short * 0.08},
		{Name: "256k", Tokens: 256_000, Share: longShare * 0.75},
		{Name: "1M", Tokens: 1_000_000, Share: longShare * 0.25},
	}
}

// Team is a team with its number of requests relative to other teams.
type Team struct {
	Name   string
	Weight float64
}

// largeTeams is the number of teams at the start of the list that have largeTeamWeight.
const largeTeams = 3

// largeTeamWeight is the weight of a large team; all other teams have weight 1.
const largeTeamWeight = 6

// DefaultTeams returns team-01 to team-10.
func DefaultTeams() []Team {
	names := make([]string, 10)
	for i := range names {
		names[i] = fmt.Sprintf("team-%02d", i+1)
	}
	return WeightedTeams(names)
}

// WeightedTeams returns teams with the given names. The first three teams are large.
func WeightedTeams(names []string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i] = Team{Name: name, Weight: 1}
		if i < largeTeams {
			teams[i].Weight = largeTeamWeight
		}
	}
	return teams
}

// Options configures a run.
type Options struct {
	// Gateways are the IP:port addresses, used in round-robin order.
	Gateways []string
	// Requests is the number of planned requests, without retries.
	Requests int
	// Rate is the mean number of arrivals per second; arrivals are a Poisson process.
	Rate float64
	// Seed determines the plan: arrivals, classes, teams, profiles and prompts.
	Seed uint64
	// Classes are the prompt lengths; the default is DefaultClasses with one long prompt in fifty.
	Classes []Class
	// WithoutLong removes the prompts over 100 k tokens from the plan and changes nothing else.
	WithoutLong bool
	// Teams are the teams that send the requests; the default is DefaultTeams.
	Teams []Team
	// TeamHeader is the name of the header that holds the team; the default is X-Acacia-Team.
	TeamHeader string
	// Profiles are the model profiles, drawn with equal probability.
	Profiles []string
	// MinOutputTokens and MaxOutputTokens are the bounds of the drawn output length; the defaults are 8 and 64.
	MinOutputTokens int
	MaxOutputTokens int
	// ChatShare and NonStreamedShare are the fractions of the model requests that are chats and that are not streamed.
	ChatShare        float64
	NonStreamedShare float64
	// Service is the name of the plain service. If it is empty, only model requests are sent.
	Service string
	// ServiceProfile is the profile of the requests to the plain service.
	ServiceProfile string
	// ServiceShare is the fraction of requests that go to the plain service, if Service is set; the default is 0.2. Half
	// of these requests are reads.
	ServiceShare float64
	// ServiceBudget is the time budget of requests to the plain service; the default is Budget.
	ServiceBudget time.Duration
	// DuplicateShare is the fraction of bookings that are also sent to another gateway with the same key; the default is
	// 0.2.
	DuplicateShare float64
	// Budget is the time budget that requests state; 0 means that they state none and the default of the profile applies.
	Budget time.Duration
	// Timeout is the time after which the load generator ends an attempt; the default is 10 min.
	Timeout time.Duration
	// MaxRetries is the maximum number of retries of one request after a refusal with Retry-After. The default is 3; a
	// negative number means none.
	MaxRetries int
	// MaxRetryAfter is the maximum wait before a retry; the default is 10 s.
	MaxRetryAfter time.Duration
	// MaxInFlight limits the concurrent requests with prompts up to 100 k tokens, MaxLongInFlight the ones with longer
	// prompts. The time of a request that waits for this limit is measured from its planned arrival, and the request is
	// counted as sent late. The defaults are 1000 and 16.
	MaxInFlight     int
	MaxLongInFlight int
	// Stats are the addresses of stand-ins whose execution counts are compared with the responses after the run.
	Stats []string
}

const (
	defaultServiceShare    = 0.2
	defaultDuplicateShare  = 0.2
	defaultMinOutputTokens = 8
	defaultMaxOutputTokens = 64
	defaultTimeout         = 10 * time.Minute
	defaultMaxRetries      = 3
	defaultMaxRetryAfter   = 10 * time.Second
	defaultMaxInFlight     = 1000
	defaultMaxLongInFlight = 16
	defaultTeamHeader      = "X-Acacia-Team"
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// prepare sets the defaults and checks the options.
func (o *Options) prepare() error {
	setDefault(&o.ServiceShare, defaultServiceShare)
	setDefault(&o.DuplicateShare, defaultDuplicateShare)
	setDefault(&o.MinOutputTokens, defaultMinOutputTokens)
	setDefault(&o.MaxOutputTokens, max(defaultMaxOutputTokens, o.MinOutputTokens))
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxRetries, defaultMaxRetries)
	setDefault(&o.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&o.MaxInFlight, defaultMaxInFlight)
	setDefault(&o.MaxLongInFlight, defaultMaxLongInFlight)
	setDefault(&o.ServiceBudget, o.Budget)
	setDefault(&o.TeamHeader, defaultTeamHeader)
	if len(o.Classes) == 0 {
		o.Classes = DefaultClasses(defaultLongShare)
	}
	if len(o.Teams) == 0 {
		o.Teams = DefaultTeams()
	}
	return o.check()
}

func (o *Options) check() error {
	var findings []error
	if len(o.Gateways) == 0 {
		findings = append(findings, errors.New("no gateway is given"))
	}
	if o.Requests <= 0 {
		findings = append(findings, errors.New("the number of requests must be positive"))
	}
	if !(o.Rate > 0) {
		findings = append(findings, errors.New("the rate must be positive"))
	}
	if len(o.Profiles) == 0 {
		findings = append(findings, errors.New("no profile is given"))
	}
	if o.MinOutputTokens < 1 || o.MaxOutputTokens < o.MinOutputTokens {
		findings = append(findings, errors.New("the minimum of the output tokens must be positive and not above the maximum"))
	}
	for _, class := range o.Classes {
		if class.Tokens*bytesPerToken < minPromptBytes || class.Share < 0 {
			findings = append(findings, fmt.Errorf("class %q has too few tokens or a negative share", class.Name))
		}
	}
	return errors.Join(findings...)
}
