// Package route decides from which endpoints a gateway requests a credit for a request, and in which order. It does no
// I/O; the random source is passed in.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxSummaryAge is the age of a summary above which its endpoint is skipped. An owner whose engine report is as old grants
	// nothing either.
	maxSummaryAge = 15 * time.Second
	// coldWaitFactor is the factor by which an endpoint in cold start is expected to be slower.
	coldWaitFactor = 4
	// similarWaitRatio and similarWaitSlack bound the expected waits that are treated as equal: up to the smallest one
	// times similarWaitRatio plus similarWaitSlack.
	similarWaitRatio = 1.25
	similarWaitSlack = 25 * time.Millisecond
)

// Request holds the properties of a request on which the decision depends.
type Request struct {
	ID      string
	Service string
	// Plain is true for plain services, which use streams only.
	Plain   bool
	Profile string
	Team    string
	Class   peer.LengthClass
	// PromptTokens and OutputTokens are reserved together in the engine's memory.
	PromptTokens int64
	OutputTokens int64
	// Prefix is a hash of the prompt's prefix; 0 means none.
	Prefix uint64
}

// Candidate is the state of one endpoint of the request's service as the gateway knows it.
type Candidate struct {
	Endpoint string
	// Owned is true if the endpoint's owner is known; only the owner can grant credits.
	Owned bool
	// AcceptsWork is false if the endpoint is leaving or its failure domain is out of service.
	AcceptsWork bool
	Summary     peer.EndpointSummary
	// Age is the time since the summary was confirmed.
	Age time.Duration
	// LocalStreams and LocalTokens are the grants to this gateway that the summary does not include.
	LocalStreams int
	LocalTokens  int64
	// PrefillRate is the service's prefill speed in tokens per second.
	PrefillRate float64
	// LongPrefills is the service's limit on concurrent prefills of long prompts at one endpoint.
	LongPrefills int
	// CachedTokens is the part of the prompt that the endpoint probably has in its prefix cache.
	CachedTokens int64
}

// Refusals maps the endpoints that refused this request to their reasons. They are skipped. A gateway deletes an entry when
// the owner's retry delay has passed.
type Refusals map[string]string

// The reasons for an endpoint's position in the order.
const (
	ReasonLeastWait    = "least_wait"
	ReasonPrefix       = "prefix"
	ReasonConcentrated = "concentrated"
	ReasonLongPrefill  = "long_prefill"
	ReasonFull         = "full"
	ReasonLeastLoaded  = "least_requests"
	ReasonRandomTwo    = "random_two"
)

// The reasons for skipping a candidate.
const (
	SkipRefused      = "refused"
	SkipOutOfService = "out_of_service"
	SkipLeaving      = "leaving"
	SkipNoOwner      = "no_owner"
	SkipStale        = "stale"
	SkipColdFull     = "cold_full"
)

// Choice is one endpoint to request a credit from, with the figures for the log line of the decision.
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

// Skip is a candidate that no credit is requested from.
type Skip struct {
	Endpoint string
	Reason   string
}

// Decision is the result of a policy.
type Decision struct {
	// Choices are the endpoints to request a credit from, best first.
	Choices []Choice
	Skipped []Skip
}

// Policy orders the candidates of a request.
type Policy interface {
	Order(request Request, candidates []Candidate, refusals Refusals) Decision
}

// Usable returns the candidates that a credit may be requested from, and the skipped ones with their reasons. All policies
// use it, so that the baselines differ from LeastWait only in the order.
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
	case candidate.Age > maxSummaryAge:
		return SkipStale
	case (state == peer.EndpointCold || state == peer.EndpointUnknown) && candidate.full(request):
		return SkipColdFull
	default:
		return ""
	}
}

// full reports whether the request does not fit the streams and tokens that the endpoint's owner can still grant.
func (c Candidate) full(request Request) bool {
	if c.Summary.FreeStreams <= c.LocalStreams {
		return true
	}
	return !request.Plain && c.Summary.FreeTokens-c.LocalTokens < request.PromptTokens+request.OutputTokens
}

// cacheSaving returns the prefill time that the cached prefix saves. An endpoint with a saving of at most similarWaitSlack
// does not stay first in shuffleSimilar. Otherwise, short prompts that are sent repeatedly would always go to the same
// endpoints, and the endpoints of a failure domain that is back in service would get no work.
func (c Candidate) cacheSaving() time.Duration {
	if c.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(c.CachedTokens) / c.PrefillRate * float64(time.Second))
}

// wait estimates the time to the request's first token: the time of the queued prefills and of the part of the prompt that
// is not cached. The order by wait thus weighs the time that a cached prefix saves against the endpoint's queue.
func (c Candidate) wait(request Request) time.Duration {
	if c.PrefillRate <= 0 {
		return 0
	}
	tokens := c.Summary.QueuedTokens + c.LocalTokens + max(request.PromptTokens-c.CachedTokens, 0)
	wait := float64(tokens) / c.PrefillRate
	if c.Summary.State == peer.EndpointCold || c.Summary.State == peer.EndpointUnknown {
		wait *= coldWaitFactor
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
		FreeTokens:   c.Summary.FreeTokens - c.LocalTokens,
		FreeStreams:  c.Summary.FreeStreams - c.LocalStreams,
		LongPrefills: c.Summary.LongPrefills,
		CachedTokens: c.CachedTokens,
		Age:          c.Age,
	}
}

// LeastWait is the default policy. Short and medium prompts go to the endpoint with the smallest expected wait, and to an
// endpoint with a long prefill in progress only if no other endpoint has room. Long prompts are concentrated on the first
// endpoints with room, in an order that is the same at all gateways.
type LeastWait struct {
	random *rand.Rand
}

// NewLeastWait returns the policy. Each gateway needs a random source with its own seed.
func NewLeastWait(random *rand.Rand) *LeastWait { return &LeastWait{random: random} }

// Order implements Policy.
func (p *LeastWait) Order(request Request, candidates []Candidate, refusals Refusals) Decision {
	usable, skipped := Usable(request, candidates, refusals)
	if request.Class == peer.ClassLong {
		return Decision{Choices: orderLong(request, usable), Skipped: skipped}
	}
	choices := make([]Choice, 0, len(usable))
	for _, candidate := range usable {
		choices = append(choices, candidate.Choice(request, choiceReason(request, candidate)))
	}
	sort.SliceStable(choices, func(i, j int) bool { return less(choices[i], choices[j]) })
	p.shuffleSimilar(choices)
	return Decision{Choices: choices, Skipped: skipped}
}

// choiceReason returns the reason for the candidate's position; reasonRank orders the reasons.
func choiceReason(request Request, candidate Candidate) string {
	switch {
	case candidate.full(request):
		return ReasonFull
	case candidate.Summary.LongPrefills > 0:
		return ReasonLongPrefill
	case request.Prefix != 0 && candidate.cacheSaving() > similarWaitSlack:
		return ReasonPrefix
	default:
		return ReasonLeastWait
	}
}

// reasonRank orders the reasons; those not listed come first. Full endpoints are not skipped but come last, because a
// request may have ended there since the summary was made.
var reasonRank = map[string]int{ReasonLongPrefill: 1, ReasonFull: 2}

func less(a, b Choice) bool {
	if reasonRank[a.Reason] != reasonRank[b.Reason] {
		return reasonRank[a.Reason] < reasonRank[b.Reason]
	}
	return a.Wait < b.Wait
}

// shuffleSimilar shuffles consecutive choices whose waits are similar, so that gateways with the same summaries do not all
// send their requests to the same endpoint. The range of similar waits grows with the summary's age, because an old wait is
// less accurate. An endpoint with a cached prefix stays first if its wait is the smallest. If it is not the smallest, the
// endpoint's queue is longer than the time that the cache saves.
func (p *LeastWait) shuffleSimilar(choices []Choice) {
	for start := 0; start < len(choices); {
		first := choices[start]
		bound := time.Duration(float64(first.Wait)*similarWaitRatio) + similarWaitSlack + first.Age/4
		end := start + 1
		for end < len(choices) && choices[end].Wait <= bound && reasonRank[choices[end].Reason] == reasonRank[first.Reason] {
			end++
		}
		if first.Reason == ReasonPrefix {
			start++
		}
		p.shuffle(choices[start:end])
		start = end
	}
}

// shuffle puts choices in random order, in which the probability to come first is proportional to the free streams. An
// endpoint in cold start has the same probability as the one with the most free streams. Its small limit rises only with
// completed work, so a probability by its free streams would keep the endpoints of a failure domain that is back in service
// cold.
func (p *LeastWait) shuffle(choices []Choice) {
	maxFreeStreams := 1
	for _, choice := range choices {
		maxFreeStreams = max(maxFreeStreams, choice.FreeStreams)
	}
	keys := make(map[string]float64, len(choices))
	for _, choice := range choices {
		weight := max(choice.FreeStreams, 1)
		if choice.State == peer.EndpointCold || choice.State == peer.EndpointWarming {
			weight = maxFreeStreams
		}
		keys[choice.Endpoint] = p.random.ExpFloat64() / float64(weight)
	}
	sort.Slice(choices, func(i, j int) bool { return keys[choices[i].Endpoint] < keys[choices[j].Endpoint] })
}

// orderLong orders the endpoints for a long prompt or for a group: by reasonRank, and within a rank in the rendezvous order
// of the service.
func orderLong(request Request, usable []Candidate) []Choice {
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
		if reasonRank[a.Reason] != reasonRank[b.Reason] {
			return reasonRank[a.Reason] < reasonRank[b.Reason]
		}
		return rendezvousBefore(request.Service, a.Endpoint, b.Endpoint)
	})
	return choices
}

// rendezvousBefore reports whether endpoint a comes before b in the service's rendezvous order, highest hash first.
func rendezvousBefore(service, a, b string) bool {
	hashA, hashB := xxhash.Sum64String(service+"\x00"+a), xxhash.Sum64String(service+"\x00"+b)
	if hashA != hashB {
		return hashA > hashB
	}
	return a < b
}
