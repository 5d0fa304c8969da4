// Package loadgen sends load at a fixed rate to gateways, checks every answer byte for byte against what the stand-ins
// must have answered, and measures what callers experience.
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
	// Share is its part of the model requests, 0 to 1.
	Share float64
	// Profile is used instead of Options.Profiles unless it is empty.
	Profile string
}

// longClassTokens is the length above which a class counts as long.
const longClassTokens = 100_000

// defaultLongShare makes one prompt in fifty longer than 100 k tokens.
const defaultLongShare = 0.02

// DefaultClasses returns the classes with the given share of prompts over 100 k tokens.
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

// Team is a team and its part of the requests relative to the others.
type Team struct {
	Name   string
	Weight float64
}

// largeTeams is the number of teams at the head of the list that send most requests.
const largeTeams = 3

// largeTeamWeight is the weight of a large team; the others have weight 1.
const largeTeamWeight = 6

// DefaultTeams returns team-01 to team-10.
func DefaultTeams() []Team {
	names := make([]string, 10)
	for i := range names {
		names[i] = fmt.Sprintf("team-%02d", i+1)
	}
	return WeightedTeams(names)
}

// WeightedTeams returns the teams with the first few of them large.
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
	// Gateways are the IP:port addresses, used in turn.
	Gateways []string
	// Requests is the number of planned requests, without repeats.
	Requests int
	// Rate is the mean number of arrivals per second; arrivals are a Poisson process.
	Rate float64
	// Seed determines the plan: arrivals, classes, teams, profiles and prompts.
	Seed uint64
	// Classes are the prompt lengths; the default is DefaultClasses with one long prompt in fifty.
	Classes []Class
	// WithoutLong leaves the prompts over 100 k tokens out of the plan and changes nothing else.
	WithoutLong bool
	// Teams are the teams; the default is DefaultTeams.
	Teams []Team
	// TeamHeader names the header of the team; the default is X-Acacia-Team.
	TeamHeader string
	// Profiles are the model profiles, drawn with equal chance.
	Profiles []string
	// MinOutputTokens and MaxOutputTokens bound the drawn output length; the defaults are 8 and 64.
	MinOutputTokens int
	MaxOutputTokens int
	// ChatShare and WholeShare are the parts of the model requests that are chats and that are not streamed.
	ChatShare  float64
	WholeShare float64
	// Service names the plain service; empty sends model requests only.
	Service string
	// ServiceProfile is the profile of the requests to the plain service.
	ServiceProfile string
	// ServiceShare is the part of the requests that go to the plain service, if one is named; the default is 0.2. Half
	// of them are reads.
	ServiceShare float64
	// ServiceBudget is the time budget of requests to the plain service; 0 stands for Budget.
	ServiceBudget time.Duration
	// DuplicateShare is the part of the bookings that are sent again with the same key at another gateway; the default
	// is 0.2.
	DuplicateShare float64
	// Budget is the time budget that requests ask for; 0 leaves it to the profile.
	Budget time.Duration
	// Timeout ends an attempt on the tool's side; the default is 10 min.
	Timeout time.Duration
	// MaxRetries bounds the retries of one request after a refusal with Retry-After; the default is 3, negative is none.
	MaxRetries int
	// MaxRetryAfter bounds the wait for Retry-After; the default is 10 s.
	MaxRetryAfter time.Duration
	// MaxInFlight bounds the concurrent requests up to 100 k tokens, MaxLongInFlight those above. A request that waits
	// for this bound is timed from its planned arrival and counted as sent late. The defaults are 1000 and 16.
	MaxInFlight     int
	MaxLongInFlight int
	// Stats are addresses of stand-ins whose executions are compared with the answers after the run.
	Stats []string
}

const (
	defaultServiceShare    = 0.2
	defaultDuplicateShare  = 0.2
	defaultMinOutputTokens = 8
	defaultMaxOutputTokens = 64
	defaultTimeout         = 10 * time.Minute
	defaultMaxRepeats      = 3
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

// complete sets the defaults and checks the options.
func (o *Options) complete() error {
	setDefault(&o.ServiceShare, defaultServiceShare)
	setDefault(&o.DuplicateShare, defaultDuplicateShare)
	setDefault(&o.MinOutputTokens, defaultMinOutputTokens)
	setDefault(&o.MaxOutputTokens, max(defaultMaxOutputTokens, o.MinOutputTokens))
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxRetries, defaultMaxRepeats)
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
		findings = append(findings, errors.New("no gateway is named"))
	}
	if o.Requests <= 0 {
		findings = append(findings, errors.New("the number of requests must be positive"))
	}
	if !(o.Rate > 0) {
		findings = append(findings, errors.New("the rate must be positive"))
	}
	if len(o.Profiles) == 0 {
		findings = append(findings, errors.New("no profile is named"))
	}
	if o.MinOutputTokens < 1 || o.MaxOutputTokens < o.MinOutputTokens {
		findings = append(findings, errors.New("the bounds of the output tokens must be positive and in order"))
	}
	for _, class := range o.Classes {
		if class.Tokens*bytesPerToken < minPromptBytes || class.Share < 0 {
			findings = append(findings, fmt.Errorf("class %q is too short or has a negative share", class.Name))
		}
	}
	return errors.Join(findings...)
}
