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
	// maxGroups bounds the group prompts that a gateway serves at once, because each holds its prompt three times: as
	// received, decoded, and as segments.
	maxGroups = 4
)

// errSegmentFailed cancels the leader of a group when a member fails.
var errSegmentFailed = errors.New("a member of the group failed")

// groupMember is one endpoint of a group with its part of the prompt.
type groupMember struct {
	route.Member
	credited *credited
	text     string
}

// groupSize returns the number of endpoints that the prompt needs: 1 if one engine's memory holds it, 0 if the profile's
// group is too small.
func (x *exchange) groupSize() int {
	if x.service.Kind != config.KindModel {
		return 1
	}
	limits := credit.LimitsOf(x.service, nil)
	if x.req.PromptTokens+x.req.MaxTokens <= limits.MaxTokens(x.class) {
		return 1
	}
	for size := 2; size <= x.profile.Group; size++ {
		share := x.req.PromptTokens/int64(size) + 1
		if share+x.req.MaxTokens+int64(size) <= limits.MaxTokens(peer.ClassOf(share)) {
			return size
		}
	}
	return 0
}

func promptTooLarge() *outcome.Error {
	return outcome.Refusal(http.StatusRequestEntityTooLarge, outcome.StageAdmission, "prompt_too_large",
		"the prompt and its output are larger than the memory that the serving profile provides", 0)
}

// serveGroup reserves all members of a group or none, and hands the prompt over in segments.
func (x *exchange) serveGroup(ctx context.Context, size int) *outcome.Error {
	if x.req.Kind != callers.KindCompletion {
		return promptTooLarge()
	}
	select {
	case x.gateway.groups <- struct{}{}:
		defer func() { <-x.gateway.groups }()
	case <-ctx.Done():
		return x.giveUp(ctx, "gateway_groups")
	}
	for {
		members, refused := x.reserveGroup(ctx, size)
		if refused != nil {
			return refused
		}
		final, again := x.handOverGroup(ctx, members)
		if !again {
			return final
		}
	}
}

// reserveGroup asks the members' owners in the order of the endpoints' names. It holds nothing while it waits, so that
// two groups cannot block each other. Larger groups are tried after smaller ones, because endpoints in cold start take
// smaller segments.
func (x *exchange) reserveGroup(ctx context.Context, smallest int) ([]*groupMember, *outcome.Error) {
	for {
		for size := smallest; size <= x.profile.Group; size++ {
			x.refused.clear()
			if members := x.tryGroup(ctx, size); members != nil {
				return members, nil
			}
		}
		if final := x.waitForCredit(ctx, x.gateway.jitter(maxCreditWait)); final != nil {
			return nil, final
		}
	}
}

// tryGroup selects a group of the given size and asks for it.
func (x *exchange) tryGroup(ctx context.Context, size int) []*groupMember {
	latest := x.gateway.views.current.Load()
	chosen, err := route.ChooseGroup(x.routeRequest(), size, x.candidates(latest), x.refused.reasons)
	if err != nil {
		x.log.Info().Int("size", size).Str("reason", err.Error()).Msg("group_wait")
		x.refused.last = "group_members"
		return nil
	}
	return x.askGroup(ctx, latest.index, chosen)
}

// askGroup returns nil after releasing every credit if one owner refuses.
func (x *exchange) askGroup(ctx context.Context, index *config.Index, chosen []route.Member) []*groupMember {
	x.asks++
	members := make([]*groupMember, 0, len(chosen))
	for i, member := range chosen {
		ask := x.creditAsk(ctx, member.Endpoint, fmt.Sprintf("%s-%d", partName(x.asks), i))
		ask.Group = true
		// A boundary inside a character moves, so that the leader may get a little more than its share.
		ask.PromptTokens, ask.OutputTokens = member.PromptTokens+int64(len(chosen)), member.OutputTokens
		ask.Class = peer.ClassOf(ask.PromptTokens)
		granted := x.ask(ctx, index.Endpoint(member.Endpoint), ask, member.Choice)
		if granted == nil {
			x.releaseGroup(members)
			return nil
		}
		members = append(members, &groupMember{Member: member, credited: granted})
	}
	return members
}

func (x *exchange) releaseGroup(members []*groupMember) {
	for _, member := range members {
		x.gateway.held.progress(member.credited, peer.ReportUnused, 0)
	}
}

// splitPrompt gives the leading members but the first their segments in order; the first, the leader, takes the rest.
func splitPrompt(prompt string, members []*groupMember) {
	rest := prompt
	for _, member := range members[1:] {
		end := min(len(rest), int(member.PromptTokens)*callers.BytesPerToken)
		for end > 0 && end < len(rest) && !utf8.RuneStart(rest[end]) {
			end--
		}
		member.text, rest = rest[:end], rest[end:]
	}
	members[0].text = rest
}

// handOverGroup sends the segments and the leader's request at once, within the validity of the credits. The leader
// waits for the segments.
func (x *exchange) handOverGroup(ctx context.Context, members []*groupMember) (final *outcome.Error, again bool) {
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
	ask := member.credited.ask
	body, err := json.Marshal(struct {
		ID     string `json:"id"`
		Prompt string `json:"prompt"`
	}{ask.RequestID, member.text})
	if err != nil {
		return err
	}
	receiver := &segmentReceiver{}
	request := engine.Request{
		Method: http.MethodPost, Target: "/v1/segments", Address: member.credited.endpoint.Address, Body: body,
		Header: http.Header{
			"X-Request-Id": {ask.RequestID}, "X-Priority": {x.priority()}, "Content-Type": {"application/json"},
		},
	}
	sent := time.Now()
	err = x.gateway.engines.Do(ctx, request, x.startCredit(member.credited), receiver)
	if err == nil {
		err = receiver.err()
	}
	if err == nil {
		x.gateway.held.progress(member.credited, peer.ReportPrefill, time.Since(sent))
	}
	return err
}

func (x *exchange) sendLeader(ctx context.Context, members []*groupMember) (*answerReceiver, error) {
	leader := members[0]
	imports := make([]string, 0, len(members)-1)
	for _, member := range members[1:] {
		imports = append(imports, member.credited.ask.RequestID+"@"+member.credited.endpoint.Address)
	}
	request := x.engineRequest(leader.credited.endpoint, leader.credited)
	request.Header.Set("X-Import", strings.Join(imports, ", "))
	own := callers.EstimateTokens(int64(len(leader.text)))
	request.Header.Set("X-Own-Tokens", strconv.FormatInt(own, 10))
	receiver := &answerReceiver{ctx: ctx, x: x, granted: leader.credited, sent: time.Now()}
	err := x.gateway.engines.Do(ctx, request, x.startAnswer(receiver), receiver)
	if err == nil {
		err = receiver.complete()
	}
	return receiver, err
}

// endGroup reports the end of every member and decides the outcome. The members' reservations last until the leader's
// stream ends.
func (x *exchange) endGroup(
	ctx context.Context, members []*groupMember, receiver *answerReceiver, err error, segmentErrors []error,
) (final *outcome.Error, again bool) {
	segmentFailure := firstFailure(segmentErrors)
	if segmentFailure != nil && errors.Is(err, context.Canceled) && ctx.Err() == nil {
		x.gateway.held.progress(members[0].credited, peer.ReportCancelled, 0)
	} else {
		x.reportEnd(ctx, members[0].credited, receiver, err)
	}
	for i, member := range members[1:] {
		failure := segmentErrors[i+1]
		x.gateway.held.progress(member.credited, segmentState(failure, receiver.whole), 0)
		if !notSent(failure) && !errors.Is(failure, errRefused) {
			x.bytesSent = true
			x.endUnknown = true
		}
	}
	endpoints := make([]string, 0, len(members))
	for _, member := range members {
		endpoints = append(endpoints, member.Endpoint)
	}
	if receiver.whole {
		x.answerStatus = receiver.status
		x.logAnswered(strings.Join(endpoints, "+"), receiver, err)
		return nil, false
	}
	if segmentFailure != nil {
		err = errors.Join(err, segmentFailure)
	}
	return x.judge(ctx, strings.Join(endpoints, "+"), receiver, err)
}

// firstFailure returns the error of the member that failed by itself; the others were cancelled because of it.
func firstFailure(segmentErrors []error) error {
	for _, err := range segmentErrors {
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

// segmentState is the final report of a member other than the leader. A member that did not fail by itself must not turn
// cold. The owner cancels a segment that stays exported.
func segmentState(failure error, whole bool) peer.ReportState {
	switch {
	case whole:
		return peer.ReportDone
	case notSent(failure):
		return peer.ReportUnused
	case failure == nil || errors.Is(failure, context.Canceled):
		return peer.ReportCancelled
	default:
		return peer.ReportFailed
	}
}

// segmentReceiver takes a member's answer to a segment.
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
		return fmt.Errorf("segment answered %d", r.status)
	}
	return nil
}
