package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
)

const (
	// maxGroups bounds the group prompts that a gateway serves at the same time, because each is in memory three times:
	// as received, decoded, and as segments.
	maxGroups = 4
)

// errSegmentFailed is the cancellation cause of a group's requests after a member has failed.
var errSegmentFailed = errors.New("a member of the group failed")

// groupMember is one endpoint of a group with its segment of the prompt.
type groupMember struct {
	route.Member
	granted *grantedCredit
	segment string
}

// groupSize returns the number of endpoints that the prompt needs: 1 if it fits into one engine's memory, 0 if it does not
// fit into the profile's largest group.
func (x *exchange) groupSize() int {
	if x.service.Kind != config.KindModel {
		return 1
	}
	limits := credit.LimitsOf(x.service, nil)
	if x.req.PromptTokens+x.req.MaxTokens <= limits.MaxTokens(x.class) {
		return 1
	}
	for size := 2; size <= x.profile.Group; size++ {
		segmentTokens := x.req.PromptTokens/int64(size) + 1
		if segmentTokens+x.req.MaxTokens+int64(size) <= limits.MaxTokens(peer.ClassOf(segmentTokens)) {
			return size
		}
	}
	return 0
}

func promptTooLarge() *outcome.Error {
	return outcome.Refusal(http.StatusRequestEntityTooLarge, outcome.StageAdmission, "prompt_too_large",
		"the prompt and its output are larger than the memory that the serving profile provides", 0)
}

// serveGroup reserves capacity at all members of a group or at none, and dispatches the prompt in segments.
func (x *exchange) serveGroup(ctx context.Context, size int) *outcome.Error {
	if x.req.Kind != callers.KindCompletion {
		return promptTooLarge()
	}
	select {
	case x.gateway.groups <- struct{}{}:
		defer func() { <-x.gateway.groups }()
	case <-ctx.Done():
		return x.endWithoutCredit(ctx, "gateway_groups")
	}
	for {
		members, refusal := x.reserveGroup(ctx, size)
		if refusal != nil {
			return refusal
		}
		final, retry := x.dispatchGroup(ctx, members)
		if !retry {
			return final
		}
	}
}

// reserveGroup requests credits from the members' owners in the order of the endpoints' names. It holds no credit while it
// waits, so two groups cannot deadlock. If a group cannot be reserved, larger ones are tried, because endpoints in cold
// start accept only smaller segments.
func (x *exchange) reserveGroup(ctx context.Context, smallest int) ([]*groupMember, *outcome.Error) {
	for {
		for size := smallest; size <= x.profile.Group; size++ {
			x.refusals.clear()
			if members := x.tryGroup(ctx, size); members != nil {
				return members, nil
			}
		}
		if final := x.waitForCredit(ctx, x.gateway.jitter(maxCreditWait)); final != nil {
			return nil, final
		}
	}
}

// tryGroup selects a group of the given size and reserves capacity at its members. It returns nil if that fails.
func (x *exchange) tryGroup(ctx context.Context, size int) []*groupMember {
	latest := x.gateway.views.current.Load()
	chosen, err := route.ChooseGroup(x.routeRequest(), size, x.candidates(latest), x.refusals.reasons)
	if err != nil {
		x.log.Info().Int("size", size).Str("reason", err.Error()).Msg("group_wait")
		x.refusals.lastReason = "group_members"
		return nil
	}
	return x.reserveMembers(ctx, latest.index, chosen)
}

// reserveMembers requests a credit for each member. If one owner refuses, it releases all credits and returns nil.
func (x *exchange) reserveMembers(ctx context.Context, index *config.Index, chosen []route.Member) []*groupMember {
	x.creditRequests++
	members := make([]*groupMember, 0, len(chosen))
	for i, member := range chosen {
		request := x.creditRequest(ctx, member.Endpoint, fmt.Sprintf("%s-%d", partName(x.creditRequests), i))
		request.Group = true
		// Segment boundaries are moved to the start of a character, which can make the leader's segment slightly longer.
		request.PromptTokens, request.OutputTokens = member.PromptTokens+int64(len(chosen)), member.OutputTokens
		request.Class = peer.ClassOf(request.PromptTokens)
		granted := x.requestCredit(ctx, index.Endpoint(member.Endpoint), request, member.Choice)
		if granted == nil {
			x.releaseGroup(members)
			return nil
		}
		members = append(members, &groupMember{Member: member, granted: granted})
	}
	return members
}

func (x *exchange) releaseGroup(members []*groupMember) {
	for _, member := range members {
		x.gateway.credits.reportState(member.granted, peer.ReportUnused, 0)
	}
}

// splitPrompt assigns consecutive segments to all members but the first, from the start of the prompt. The first member,
// the leader, gets the remaining text.
func splitPrompt(prompt string, members []*groupMember) {
	remaining := prompt
	for _, member := range members[1:] {
		end := min(len(remaining), int(member.PromptTokens)*callers.BytesPerToken)
		for end > 0 && end < len(remaining) && !utf8.RuneStart(remaining[end]) {
			end--
		}
		member.segment, remaining = remaining[:end], remaining[end:]
	}
	members[0].segment = remaining
}

// dispatchGroup sends the segments and the leader's request concurrently, because the credits are valid only for a short
// time. The leader's engine waits for the segments.
func (x *exchange) dispatchGroup(ctx context.Context, members []*groupMember) (final *outcome.Error, retry bool) {
	x.stage = outcome.StageConnect
	prompt, err := x.decodePrompt()
	if err != nil {
		x.releaseGroup(members)
		return badRequest("malformed_json", "the body is not valid JSON"), false
	}
	splitPrompt(prompt, members)
	groupCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	segmentErrors := make([]error, len(members))
	var wait sync.WaitGroup
	for i, member := range members[1:] {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := x.sendSegment(groupCtx, member); err != nil {
				segmentErrors[i+1] = err
				cancel(fmt.Errorf("%w: %w", errSegmentFailed, err))
			}
		}()
	}
	receiver, err := x.sendLeader(groupCtx, members)
	if err != nil {
		cancel(errSegmentFailed)
	}
	wait.Wait()
	return x.endGroup(ctx, members, receiver, err, segmentErrors)
}

func (x *exchange) decodePrompt() (string, error) {
	var body struct {
		Prompt string `json:"prompt"`
	}
	err := json.Unmarshal(x.req.Body, &body)
	return body.Prompt, err
}

func (x *exchange) sendSegment(ctx context.Context, member *groupMember) error {
	creditRequest := member.granted.request
	body, err := json.Marshal(struct {
		ID     string `json:"id"`
		Prompt string `json:"prompt"`
	}{creditRequest.RequestID, member.segment})
	if err != nil {
		return err
	}
	receiver := &segmentReceiver{}
	request := engine.Request{
		Method: http.MethodPost, Target: "/v1/segments", Address: member.granted.endpoint.Address, Body: body,
		Header: http.Header{
			"X-Request-Id": {creditRequest.RequestID}, "X-Priority": {x.priority()}, "Content-Type": {"application/json"},
		},
	}
	sent := time.Now()
	err = x.gateway.engines.Do(ctx, request, x.startCredit(member.granted), receiver)
	if err == nil {
		err = receiver.err()
	}
	if err == nil {
		x.gateway.credits.reportState(member.granted, peer.ReportPrefill, time.Since(sent))
	}
	return err
}

func (x *exchange) sendLeader(ctx context.Context, members []*groupMember) (*responseReceiver, error) {
	leader := members[0]
	imports := make([]string, 0, len(members)-1)
	for _, member := range members[1:] {
		imports = append(imports, member.granted.request.RequestID+"@"+member.granted.endpoint.Address)
	}
	request := x.engineRequest(leader.granted.endpoint, leader.granted)
	request.Header.Set("X-Import", strings.Join(imports, ", "))
	ownTokens := callers.EstimateTokens(int64(len(leader.segment)))
	request.Header.Set("X-Own-Tokens", strconv.FormatInt(ownTokens, 10))
	receiver := &responseReceiver{ctx: ctx, x: x, granted: leader.granted, sentAt: time.Now()}
	err := x.gateway.engines.Do(ctx, request, x.startDispatch(receiver), receiver)
	if err == nil {
		err = receiver.finish()
	}
	return receiver, err
}

// endGroup reports the final state of each member and determines the outcome. The members' reservations last until the
// leader's stream ends.
func (x *exchange) endGroup(
	ctx context.Context, members []*groupMember, receiver *responseReceiver, err error, segmentErrors []error,
) (final *outcome.Error, retry bool) {
	segmentFailure := firstFailure(segmentErrors)
	if segmentFailure != nil && errors.Is(err, context.Canceled) && ctx.Err() == nil {
		x.gateway.credits.reportState(members[0].granted, peer.ReportCancelled, 0)
	} else {
		x.reportEnd(ctx, members[0].granted, receiver, err)
	}
	for i, member := range members[1:] {
		failure := segmentErrors[i+1]
		x.gateway.credits.reportState(member.granted, segmentState(failure, receiver.complete), 0)
		if !notSent(failure) && !errors.Is(failure, errRefused) {
			x.mayHaveRun = true
			x.mayStillRun = true
		}
	}
	endpoints := make([]string, 0, len(members))
	for _, member := range members {
		endpoints = append(endpoints, member.Endpoint)
	}
	if receiver.complete {
		x.responseStatus = receiver.status
		x.logAnswered(strings.Join(endpoints, "+"), receiver, err)
		return nil, false
	}
	if segmentFailure != nil {
		err = errors.Join(err, segmentFailure)
	}
	return x.resolveFailure(ctx, strings.Join(endpoints, "+"), receiver, err)
}

// firstFailure returns the first error that is not a cancellation, because the failure of one member cancels the others.
func firstFailure(segmentErrors []error) error {
	for _, err := range segmentErrors {
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

// segmentState returns the final state to report for a member other than the leader. A member that was cancelled because
// of another member's failure is not reported as failed, which would make it cold. The owner cancels a segment that is
// still exported.
func segmentState(failure error, complete bool) peer.ReportState {
	switch {
	case complete:
		return peer.ReportDone
	case notSent(failure):
		return peer.ReportUnused
	case failure == nil || errors.Is(failure, context.Canceled):
		return peer.ReportCancelled
	default:
		return peer.ReportFailed
	}
}

// segmentReceiver receives a member's response to a segment.
type segmentReceiver struct {
	status  int
	refused bool
}

// OnHead implements engine.Receiver.
func (r *segmentReceiver) OnHead(status int, header http.Header) error {
	r.status = status
	r.refused = header.Get(refusedHeader) == string(outcome.NotRun)
	return nil
}

// OnBody implements engine.Receiver.
func (r *segmentReceiver) OnBody([]byte) error { return nil }

func (r *segmentReceiver) err() error {
	if r.refused {
		return errRefused
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("segment request returned status %d", r.status)
	}
	return nil
}
