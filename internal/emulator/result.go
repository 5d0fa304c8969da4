package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/placement"
)

// Result holds the outcomes of a run.
type Result struct {
	Kinds map[string]*KindResult
	// Value is the value of the served requests, as a fraction of the value if all requests were on time.
	Value float64
	// PrefillFraction is the fraction of the engines' time that they spent on prefill.
	PrefillFraction float64
	// Teams holds the outcomes of each team.
	Teams map[uint32]*TeamResult
	// Refusals counts the refusals of all attempts by kind and reason.
	Refusals map[string]map[string]int
	Returns  ReturnResult
	Pace     PaceResult
}

// TeamResult sums the outcomes of a team.
type TeamResult struct {
	Requests, Served int
	// RequestedTime is the engine time of all requests, UsedTime that of the served ones.
	RequestedTime, UsedTime time.Duration
}

// KindResult sums the outcomes of a kind.
type KindResult struct {
	// Late counts the requests with a late first event or an exceeded gap. NotServed counts the refused requests and those
	// that ended after their time limit.
	Requests, OnTime, Late, NotServed int
	// Refused counts the requests whose first attempt was refused.
	Refused int
	// RefusedAfterRetry counts the refused requests that had been retried after an earlier refusal.
	RefusedAfterRetry int
	// MaxEarned is the sum of the values of all requests if they were on time, Earned that of the served requests.
	Earned, MaxEarned float64
	// LargeRequests counts the requests whose prompts are in about the largest tenth of the kind, LargeServed those of them
	// that were served.
	LargeRequests, LargeServed int
}

// recordOutcome counts a request that has ended. A request that ended after its time limit is counted as not served.
func (r *run) recordOutcome(call *request) {
	result := r.kindResult(call.kind)
	switch {
	case r.now-call.at > call.kind.TimeLimit:
		result.NotServed++
		return
	case call.gapExceeded || call.firstEventAt-call.at+networkRoundTrip > call.kind.Objective:
		result.Late++
		result.Earned += call.value(call.kind.LateValue)
	default:
		result.OnTime++
		result.Earned += call.value(call.kind.Value)
	}
	if call.isInLargestTenth() {
		result.LargeServed++
	}
	if call.team > 0 {
		team := r.teamResult(call.team)
		team.Served++
		team.UsedTime += r.engineTime(call)
	}
}

func (r *run) engineTime(call *request) time.Duration {
	return placement.EngineTime(&r.options.Engine, placement.Need{Tokens: call.tokens, Output: call.outputTokens})
}

// RunSeeds runs a pattern with several seeds. It adds up the counts and values of the kinds, and averages Value and
// PrefillFraction.
func RunSeeds(pattern Pattern, policy Policy, seeds int) Result {
	sum := Result{
		Kinds: make(map[string]*KindResult), Teams: make(map[uint32]*TeamResult), Refusals: make(map[string]map[string]int),
	}
	for seed := range seeds {
		result := Run(pattern.Options(policy, uint64(seed)+1))
		sum.Value += result.Value / float64(seeds)
		sum.PrefillFraction += result.PrefillFraction / float64(seeds)
		sum.Pace.add(&result.Pace)
		for name, k := range result.Kinds {
			if sum.Kinds[name] == nil {
				sum.Kinds[name] = &KindResult{}
			}
			sum.Kinds[name].add(k)
		}
		sum.addTeams(&result)
		sum.addRefusals(&result)
	}
	return sum
}

func (r *Result) addTeams(other *Result) {
	for id, t := range other.Teams {
		if r.Teams[id] == nil {
			r.Teams[id] = &TeamResult{}
		}
		r.Teams[id].Requests += t.Requests
		r.Teams[id].Served += t.Served
		r.Teams[id].RequestedTime += t.RequestedTime
		r.Teams[id].UsedTime += t.UsedTime
	}
}

func (r *Result) addRefusals(other *Result) {
	for kind, reasons := range other.Refusals {
		if r.Refusals[kind] == nil {
			r.Refusals[kind] = make(map[string]int)
		}
		for reason, count := range reasons {
			r.Refusals[kind][reason] += count
		}
	}
}

// Served returns the number of requests that were served.
func (k *KindResult) Served() int { return k.OnTime + k.Late }

// ServedFraction returns the fraction of the requests that were served.
func (k *KindResult) ServedFraction() float64 { return fraction(k.Served(), k.Requests) }

// LargeServedFraction returns the fraction of the requests in the largest tenth that were served.
func (k *KindResult) LargeServedFraction() float64 { return fraction(k.LargeServed, k.LargeRequests) }

// UsedFraction returns the fraction of the requested engine time that was served.
func (t *TeamResult) UsedFraction() float64 {
	return t.UsedTime.Seconds() / max(t.RequestedTime.Seconds(), time.Millisecond.Seconds())
}

func fraction(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// String returns a table of the outcomes of each kind, the reasons of refusals, and the range of the teams.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "value %.3f, prefill %.3f\n", r.Value, r.PrefillFraction)
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[name]
		fmt.Fprintf(&b, "%-7s requests %5d on_time %.3f late %.3f served %.3f largest %.3f refused %4d again %4d value %.3f %v\n",
			name, k.Requests, fraction(k.OnTime, k.Requests), fraction(k.Late, k.Requests), k.ServedFraction(),
			k.LargeServedFraction(), k.Refused, k.RefusedAfterRetry, k.Earned/max(k.MaxEarned, 1), r.Refusals[name])
	}
	for _, id := range slices.Sorted(maps.Keys(r.Teams)) {
		t := r.Teams[id]
		fmt.Fprintf(&b, "team %2d requests %4d served %.3f used %.1f s of %.1f s\n",
			id, t.Requests, fraction(t.Served, t.Requests), t.UsedTime.Seconds(), t.RequestedTime.Seconds())
	}
	return b.String()
}

func (k *KindResult) add(other *KindResult) {
	k.Requests += other.Requests
	k.OnTime += other.OnTime
	k.Late += other.Late
	k.NotServed += other.NotServed
	k.Refused += other.Refused
	k.RefusedAfterRetry += other.RefusedAfterRetry
	k.Earned += other.Earned
	k.MaxEarned += other.MaxEarned
	k.LargeRequests += other.LargeRequests
	k.LargeServed += other.LargeServed
}
