package route

import (
	"fmt"
	"sort"

	"github.com/acacialift/acacialift/internal/peer"
)

// Member is one endpoint of a group with its segment of the prompt.
type Member struct {
	Choice
	// PromptTokens is the length of the segment; OutputTokens is set for the leader only, which generates the answer.
	PromptTokens int64
	OutputTokens int64
}

// GroupError means that too few endpoints have room for a segment.
type GroupError struct {
	// Wanted is the group's size, Found the number of endpoints with room for a segment.
	Wanted, Found int
	Skipped       []Skip
}

// Error implements the error interface.
func (e *GroupError) Error() string {
	return fmt.Sprintf("%d endpoints have room for a segment, the group needs %d", e.Found, e.Wanted)
}

// ChooseGroup selects the endpoints that take a prompt together, in order of their names, which is the order in which all
// gateways reserve. The segments differ by at most one token. The first member is the leader. Members are the first
// endpoints with room for the leader's share in the rendezvous order of the service, like those of single long prompts.
func ChooseGroup(request Request, size int, candidates []Candidate, refusals Refusals) ([]Member, error) {
	if size < 1 {
		return nil, &GroupError{Wanted: size}
	}
	segment := request.PromptTokens / int64(size)
	longer := request.PromptTokens % int64(size)
	largest := request
	if longer > 0 {
		largest.PromptTokens = segment + 1
	} else {
		largest.PromptTokens = segment
	}
	largest.Class = peer.ClassOf(largest.PromptTokens)
	usable, skipped := Usable(largest, candidates, refusals)
	var free []Choice
	for _, choice := range concentrate(largest, usable) {
		if choice.Reason == ReasonConcentrated {
			free = append(free, choice)
		} else {
			skipped = append(skipped, Skip{choice.Endpoint, choice.Reason})
		}
	}
	if len(free) < size {
		return nil, &GroupError{Wanted: size, Found: len(free), Skipped: skipped}
	}
	free = free[:size]
	sort.Slice(free, func(i, j int) bool { return free[i].Endpoint < free[j].Endpoint })
	members := make([]Member, size)
	for i, choice := range free {
		members[i] = Member{Choice: choice, PromptTokens: segment}
		if int64(i) < longer {
			members[i].PromptTokens++
		}
	}
	members[0].OutputTokens = request.OutputTokens
	return members, nil
}
