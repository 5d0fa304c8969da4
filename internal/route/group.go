package route

import (
	"fmt"
	"sort"

	"github.com/acacialift/acacialift/internal/peer"
)

// Member is one endpoint of a group with the size of its segment of the prompt.
type Member struct {
	Choice
	// PromptTokens is the length of the segment. OutputTokens is set only for the leader, which decodes the response.
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
	return fmt.Sprintf("%d endpoints have room for a segment, but the group needs %d", e.Found, e.Wanted)
}

// ChooseGroup selects the endpoints that prefill a prompt together, sorted by name, which is the order in which all gateways
// reserve. The segments differ by at most one token. The first member is the leader. The members are the first endpoints
// with room for the leader's segment and the output, in the rendezvous order that is also used for single long prompts.
func ChooseGroup(request Request, size int, candidates []Candidate, refusals Refusals) ([]Member, error) {
	if size < 1 {
		return nil, &GroupError{Wanted: size}
	}
	segmentTokens := request.PromptTokens / int64(size)
	remainder := request.PromptTokens % int64(size)
	largest := request
	if remainder > 0 {
		largest.PromptTokens = segmentTokens + 1
	} else {
		largest.PromptTokens = segmentTokens
	}
	largest.Class = peer.ClassOf(largest.PromptTokens)
	usable, skipped := Usable(largest, candidates, refusals)
	var withRoom []Choice
	for _, choice := range orderLong(largest, usable) {
		if choice.Reason == ReasonConcentrated {
			withRoom = append(withRoom, choice)
		} else {
			skipped = append(skipped, Skip{choice.Endpoint, choice.Reason})
		}
	}
	if len(withRoom) < size {
		return nil, &GroupError{Wanted: size, Found: len(withRoom), Skipped: skipped}
	}
	withRoom = withRoom[:size]
	sort.Slice(withRoom, func(i, j int) bool { return withRoom[i].Endpoint < withRoom[j].Endpoint })
	members := make([]Member, size)
	for i, choice := range withRoom {
		members[i] = Member{Choice: choice, PromptTokens: segmentTokens}
		if int64(i) < remainder {
			members[i].PromptTokens++
		}
	}
	members[0].OutputTokens = request.OutputTokens
	return members, nil
}
