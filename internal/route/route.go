// Package route decides which endpoints a gateway asks for a request, and in which order. It does no I/O; randomness is
// passed in.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxViewAge is the age of an endpoint's figures beyond which it is skipped; the owner grants nothing by then either.
	maxViewAge = 15 * time.Second
	// coldSlowdown is the factor by which an endpoint in cold start is expected to be slower.
	coldSlowdown = 4
	// nearRatio and nearWait bound the expected waits that count as equal.
	nearRatio = 1.25
	nearWait  = 25 * time.Millisecond
)

// Request is what the decision depends on.
type Request struct {
	ID      string
	Service string
	// Plain is true for plain services, which use streams only.
	Plain   bool
	Profile string
	Team    string
	Class   peer.LengthClass
	// PromptTokens and OutputTokens are reserved together.
	PromptTokens int64
	OutputTokens int64
	// Prefix is a hash of the prompt's beginning; 0 means none.
	Prefix uint64
}

// Candidate is one endpoint of the request's service as a gateway knows it.
type Candidate struct {
	Endpoint string
	// Owned is true if an owner is known; nobody else can grant credits.
	Owned bool
	// AcceptsWork is false if the endpoint is leaving or its failure domain is out of service.
	AcceptsWork bool
	Summary     peer.EndpointSummary
	// Age is the time since the owner made the summary.
	Age time.Duration
	// OwnStreams and OwnTokens are this gateway's grants that the summary does not include.
	OwnStreams int
	OwnTokens  int64
	// PrefillRate is the service's prefill speed in tokens per second.
	PrefillRate float64
	// LongPrefills is the service's bound on long prompts in prefill.
	LongPrefills int
	// CachedTokens is the part of the prompt that the endpoint probably has in its prefix cache.
	CachedTokens int64
}

// Refusals maps the endpoints that refused this request to the reason. They are not asked again; a gateway deletes an
// entry when the owner's retry hint has passed.
type Refusals map[string]string

// The reasons for a place in the order.
const (
	ReasonLeastWait    = "least_wait"
	ReasonPrefix       = "prefix"
	ReasonConcentrated = "concentrated"
	ReasonLongPrefill  = "long_prefill"
	ReasonFull         = "full"
	ReasonLeastLoaded  = "least_requests"
	ReasonRandomTwo    = "random_two"
)

// The reasons for leaving a candidate out.
const (
	SkipRefused      = "refused"
	SkipOutOfService = "out_of_service"
	SkipLeaving      = "leaving"
	SkipNoOwner      = "no_owner"
	SkipStale        = "stale"
	SkipColdFull     = "cold_full"
)

// Choice is one endpoint to ask, with the figures for the decision log line.
type Choice struct {
	Endpoint string
	Reason   string
	// Wait is the expected time to the first token; 0 if the service has no prefill rate.
	Wait         time.Duration
	State        peer.EndpointState
	FreeTokens   int64
	FreeStreams  int
	LongPrefills int
	CachedTokens int64
	Age          time.Duration
}

// Skip is a candidate that is not asked.
type Skip struct {
	Endpoint string
	Reason   string
}

// Decision is the result of a policy.
type Decision struct {
	// Choices are the endpoints to ask, best first.
	Choices []Choice
	Skipped []Skip
}

// Policy orders the candidates of a request.
type Policy interface {
	Order(request Request, candidates []Candidate, refusals Refusals) Decision
}

// Usable returns the candidates that may be asked, and the others with the reason. All policies use it, so that baselines
// differ in the order only.
func Usable(request Request, candidates []Candidate, refusals Refusals) ([]Candidate, []Skip) {
	var usable []Candidate
	var skipped []Skip
	for _, candidate := range candidates {
		if reason := skipReason(request, candidate, refusals); reason != "" {
			skipped = append(skipped, Skip{candidate.Endpoint, reason})
			continue
		}
		usable = append(usable, candidate)
	}
	return usable, skipped
}

func skipReason(request Request, candidate Candidate, refusals Refusals) string {
	_, refused := refusals[candidate.Endpoint]
	switch state := candidate.Summary.State; {
	case refused:
		return SkipRefused
	case !candidate.AcceptsWork:
		return SkipOutOfService
	case state == peer.EndpointLeaving:
		return SkipLeaving
	case !candidate.Owned:
		return SkipNoOwner
	case candidate.Age > maxViewAge:
		return SkipStale
	case (state == peer.EndpointCold || state == peer.EndpointUnknown) && candidate.full(request):
		return SkipColdFull
	default:
		return ""
	}
}

// full tells whether the request does not fit what the endpoint's owner can still grant.
func (c Candidate) full(request Request) bool {
	if c.Summary.FreeStreams <= c.OwnStreams {
		return true
	}
	return !request.Plain && c.Summary.FreeTokens-c.OwnTokens < request.PromptTokens+request.OutputTokens
}

// cachedTime is the prefill time that the cached prefix saves. A saving below nearWait does not decide: repeated short
// prompts would keep an endpoint of a returned failure domain without work.
func (c Candidate) cachedTime() time.Duration {
	if c.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(c.CachedTokens) / c.PrefillRate * float64(time.Second))
}

// wait estimates the time to the request's first token: the queued prefills, then the part of the prompt that is not
// cached. Time that a cached prefix saves is thereby weighed against the queue that it leads to.
func (c Candidate) wait(request Request) time.Duration {
	if c.PrefillRate <= 0 {
		return 0
	}
	tokens := c.Summary.QueuedTokens + c.OwnTokens + max(request.PromptTokens-c.CachedTokens, 0)
	wait := float64(tokens) / c.PrefillRate
	if c.Summary.State == peer.EndpointCold || c.Summary.State == peer.EndpointUnknown {
		wait *= coldSlowdown
	}
	return time.Duration(wait * float64(time.Second))
}

// Choice returns the candidate as a choice with its figures.
func (c Candidate) Choice(request Request, reason string) Choice {
	return Choice{
		Endpoint:     c.Endpoint,
		Reason:       reason,
		Wait:         c.wait(request),
		State:        c.Summary.State,
		FreeTokens:   c.Summary.FreeTokens - c.OwnTokens,
		FreeStreams:  c.Summary.FreeStreams - c.OwnStreams,
		LongPrefills: c.Summary.LongPrefills,
		CachedTokens: c.CachedTokens,
		Age:          c.Age,
	}
}

// LeastWait is the system's policy. Prompts up to medium length go to the endpoint with the least expected wait, and to
// one with a long prefill in progress only if no other has room. Long prompts are concentrated on the first endpoints
// with room in an order that all gateways share.
type LeastWait struct {
	random *rand.Rand
}

// NewLeastWait returns the policy. Each gateway needs a source with a seed of its own.
func NewLeastWait(random *rand.Rand) *LeastWait { return &LeastWait{random: random} }

// Order implements Policy.
func (p *LeastWait) Order(request Request, candidates []Candidate, refusals Refusals) Decision {
	usable, skipped := Usable(request, candidates, refusals)
	if request.Class == peer.ClassLong {
		return Decision{Choices: concentrate(request, usable), Skipped: skipped}
	}
	choices := make([]Choice, 0, len(usable))
	for _, candidate := range usable {
		choices = append(choices, candidate.Choice(request, tier(request, candidate)))
	}
	sort.SliceStable(choices, func(i, j int) bool { return less(choices[i], choices[j]) })
	p.mixNearEquals(choices)
	return Decision{Choices: choices, Skipped: skipped}
}

// tier returns the reason that decides first; see tierRank for the order.
func tier(request Request, candidate Candidate) string {
	switch {
	case candidate.full(request):
		return ReasonFull
	case candidate.Summary.LongPrefills > 0:
		return ReasonLongPrefill
	case request.Prefix != 0 && candidate.cachedTime() > nearWait:
		return ReasonPrefix
	default:
		return ReasonLeastWait
	}
}

// tierRank orders the reasons. A full endpoint is still asked last, because the view may be older than its newest end.
var tierRank = map[string]int{ReasonLongPrefill: 1, ReasonFull: 2}

func less(a, b Choice) bool {
	if tierRank[a.Reason] != tierRank[b.Reason] {
		return tierRank[a.Reason] < tierRank[b.Reason]
	}
	return a.Wait < b.Wait
}

// mixNearEquals shuffles neighbours in the order whose waits are nearly equal, so that gateways with the same old view do
// not all ask the same endpoint. The older the view, the less a difference means. An endpoint with a cached prefix stays
// first if its wait is the least: otherwise the time that the cache saves is less than its longer queue.
func (p *LeastWait) mixNearEquals(choices []Choice) {
	for start := 0; start < len(choices); {
		first := choices[start]
		bound := time.Duration(float64(first.Wait)*nearRatio) + nearWait + first.Age/4
		end := start + 1
		for end < len(choices) && choices[end].Wait <= bound && tierRank[choices[end].Reason] == tierRank[first.Reason] {
			end++
		}
		if first.Reason == ReasonPrefix {
			start++
		}
		p.shuffle(choices[start:end])
		start = end
	}
}

// shuffle puts choices in random order, where the chance to come first is proportional to the free streams. An endpoint in
// cold start has the chance of the one with the most free streams: its small limit rises only with completed work, so that
// a share by free streams would keep the endpoints of a returned failure domain cold.
func (p *LeastWait) shuffle(choices []Choice) {
	most := 1
	for _, choice := range choices {
		most = max(most, choice.FreeStreams)
	}
	keys := make(map[string]float64, len(choices))
	for _, choice := range choices {
		weight := max(choice.FreeStreams, 1)
		if choice.State == peer.EndpointCold || choice.State == peer.EndpointWarming {
			weight = most
		}
		keys[choice.Endpoint] = p.random.ExpFloat64() / float64(weight)
	}
	sort.Slice(choices, func(i, j int) bool { return keys[choices[i].Endpoint] < keys[choices[j].Endpoint] })
}

// concentrate puts endpoints with room for a long prompt first, in rendezvous order of the service.
func concentrate(request Request, usable []Candidate) []Choice {
	choices := make([]Choice, 0, len(usable))
	for _, candidate := range usable {
		reason := ReasonConcentrated
		switch {
		case candidate.full(request):
			reason = ReasonFull
		case request.Class == peer.ClassLong && candidate.Summary.LongPrefills >= max(candidate.LongPrefills, 1):
			reason = ReasonLongPrefill
		}
		choices = append(choices, candidate.Choice(request, reason))
	}
	sort.Slice(choices, func(i, j int) bool {
		a, b := choices[i], choices[j]
		if tierRank[a.Reason] != tierRank[b.Reason] {
			return tierRank[a.Reason] < tierRank[b.Reason]
		}
		return rendezvousBefore(request.Service, a.Endpoint, b.Endpoint)
	})
	return choices
}

// rendezvousBefore orders two endpoints of a service by their rendezvous hash, highest first.
func rendezvousBefore(service, a, b string) bool {
	hashA, hashB := xxhash.Sum64String(service+"\x00"+a), xxhash.Sum64String(service+"\x00"+b)
	if hashA != hashB {
		return hashA > hashB
	}
	return a < b
}
