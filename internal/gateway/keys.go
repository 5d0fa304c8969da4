package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/idem"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	keyClaimTimeout       = time.Second
	keyClaimRetryInterval = 100 * time.Millisecond
	// keyEndAttempts and keyEndRetryInterval bound the attempts to report a request's end to the key's home. If no report
	// arrives, the home still refuses duplicates, because it treats the first request as running or its outcome as unknown.
	keyEndAttempts      = 10
	keyEndRetryInterval = time.Second
	duplicateRetryAfter = time.Second
)

// errKeyHomeUnknown means that the current view contains no home for the key.
var errKeyHomeUnknown = errors.New("the key's home is not known")

// serveKeyed serves a non-idempotent request with an idempotency key. The key's home must grant the claim before the
// request is dispatched.
func (x *exchange) serveKeyed(ctx context.Context) *outcome.Error {
	key, err := idem.ParseKey(x.req.Key)
	if err != nil {
		return badRequest("invalid_key", err.Error())
	}
	reply, home, err := x.claimKey(ctx, key)
	if err != nil {
		return x.claimFailure(ctx, err)
	}
	if reply.Verdict != peer.KeyGranted {
		return keyRefusal(reply)
	}
	x.gateway.credits.addOpenClaim(home)
	defer x.gateway.credits.removeOpenClaim(home)
	final := x.serve(ctx)
	x.reportKeyEnd(home, key, reply.Token, final)
	return final
}

// claimKey claims the key at its home and retries until the home replies. A retry is safe, because the home grants the
// same token to claims with the same request ID.
func (x *exchange) claimKey(ctx context.Context, key idem.Key) (*peer.KeyReply, string, error) {
	claim := peer.KeyClaim{
		Service:   x.service.Name,
		Key:       key.Text,
		LabelMS:   key.LabelMS,
		Digest:    x.digest(),
		RequestID: x.id.String(),
	}
	// lost is true for each home that may have granted the claim in a reply that did not arrive.
	lost := make(map[string]bool)
	defer func() { x.releaseLostClaims(lost, claim) }()
	for {
		reply, home, err := x.tryClaim(ctx, key, &claim)
		if home != "" {
			lost[home] = err != nil
		}
		retry := err != nil || (reply.Verdict == peer.KeyRefused && reply.Reason == idem.ReasonNotHome)
		if !retry {
			x.log.Info().Str("key", key.Text).Str("home", home).Str("verdict", string(reply.Verdict)).
				Str("reason", reply.Reason).Msg("key_claim")
			return reply, home, nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				return reply, home, nil
			}
			return nil, home, err
		case <-time.After(x.gateway.jitter(keyClaimRetryInterval)):
		}
	}
}

func (x *exchange) tryClaim(ctx context.Context, key idem.Key, claim *peer.KeyClaim) (*peer.KeyReply, string, error) {
	home, ok := x.gateway.views.current.Load().owners[key.Resource(claim.Service)]
	if !ok {
		return nil, "", errKeyHomeUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, keyClaimTimeout)
	defer cancel()
	var reply peer.KeyReply
	if err := x.gateway.node.Call(ctx, home.Address, peer.KindKeyClaim, claim, &reply); err != nil {
		return nil, home.Address, err
	}
	return &reply, home.Address, nil
}

// digest returns a hash of the request, with which the home detects a key that is reused for another request.
func (x *exchange) digest() uint64 {
	digest := xxhash.New()
	for _, part := range []string{x.req.Method, x.req.ServicePath} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(x.req.Body)
	return digest.Sum64()
}

// releaseLostClaims releases claims whose replies were lost. Otherwise, a home that recorded such a claim would refuse each
// retry with the same key as a duplicate of a running request until the key expires. To get the token, the claim is sent
// again: the home grants the same token, or, if the first claim never arrived, grants this one, which is then released.
func (x *exchange) releaseLostClaims(lost map[string]bool, claim peer.KeyClaim) {
	for home, isLost := range lost {
		if isLost {
			go x.releaseClaim(home, claim)
		}
	}
}

func (x *exchange) releaseClaim(home string, claim peer.KeyClaim) {
	for range keyEndAttempts {
		var reply peer.KeyReply
		if x.callHome(home, peer.KindKeyClaim, claim, &reply) != nil {
			time.Sleep(keyEndRetryInterval)
			continue
		}
		if reply.Verdict == peer.KeyGranted {
			x.sendKeyEnd(home, peer.KeyEnd{
				Service: claim.Service, Key: claim.Key, Token: reply.Token, NotRun: true, Outcome: string(outcome.NotRun),
			})
		}
		return
	}
	x.log.Warn().Str("home", home).Msg("key_release_lost")
}

// claimFailure returns the final response to a request whose key's home could not be reached. This attempt was not
// dispatched. Its outcome says nothing about an earlier attempt with the same key, which may have run.
func (x *exchange) claimFailure(ctx context.Context, err error) *outcome.Error {
	code := "key_home_unreachable"
	if errors.Is(ctx.Err(), context.Canceled) {
		code = codeCallerLeft
	}
	x.log.Warn().Err(err).Msg("key_home_unreachable")
	return &outcome.Error{
		Outcome: outcome.NotRun, Stage: outcome.StageAdmission, Code: code,
		Status: http.StatusServiceUnavailable, RetrySafe: true, RetryAfter: duplicateRetryAfter,
		Message: "this attempt was not run because the key's state is not available; it is not known whether an earlier " +
			"attempt with the key ran; retry with the same key",
	}
}

// keyRefusal returns the final response to a request whose claim the key's home did not grant.
func keyRefusal(reply *peer.KeyReply) *outcome.Error {
	final := &outcome.Error{Stage: outcome.StageAdmission, Status: http.StatusConflict, RetrySafe: true}
	switch reply.Verdict {
	case peer.KeyRunning:
		final.Outcome, final.Code, final.RetryAfter = outcome.Unknown, "duplicate_running", duplicateRetryAfter
		final.Message = "a request with this key is running; this attempt was not run"
	case peer.KeyEnded:
		final.Outcome, final.Code = outcome.Failed, "duplicate_ended"
		final.Message = fmt.Sprintf("a request with this key has ended with status %d; this attempt was not run", reply.Status)
		if reply.Outcome == string(outcome.Unknown) {
			final.Outcome, final.Code, final.RetrySafe = outcome.Unknown, "duplicate_unknown", false
			final.Message = "a request with this key may have run; its result is not known"
		}
	case peer.KeyMismatch:
		final.Outcome, final.Code, final.Status = outcome.NotRun, "key_mismatch", http.StatusUnprocessableEntity
		final.Message = "the key was used for another request; this request was not run"
		final.RetrySafe = false
	case peer.KeyRefused:
		final.Outcome, final.Code, final.Status = outcome.NotRun, "key_"+reply.Reason, http.StatusServiceUnavailable
		final.Message = "this attempt was not run; retry with the same key"
		final.RetryAfter = reply.RetryAfter
	default:
		final.Outcome, final.Code, final.RetrySafe = outcome.Unknown, "key_"+reply.Reason, false
		final.Message = "an earlier request with this key may have run; this attempt was not run"
	}
	return final
}

// reportKeyEnd reports the end of a claimed request to the key's home in the background.
func (x *exchange) reportKeyEnd(home string, key idem.Key, token uint64, final *outcome.Error) {
	end := peer.KeyEnd{Service: x.service.Name, Key: key.Text, Token: token, Status: x.responseStatus}
	if final != nil {
		end.NotRun = final.Outcome == outcome.NotRun
		end.Outcome, end.Status = string(final.Outcome), final.Status
	}
	go x.sendKeyEnd(home, end)
}

func (x *exchange) sendKeyEnd(home string, end peer.KeyEnd) {
	for range keyEndAttempts {
		var ack peer.Ack
		if x.callHome(home, peer.KindKeyEnd, end, &ack) == nil {
			return
		}
		time.Sleep(keyEndRetryInterval)
	}
	x.log.Warn().Str("home", home).Msg("key_end_lost")
}

// callHome calls a key's home with a context of its own, because the request may have ended.
func (x *exchange) callHome(home string, kind peer.Kind, body, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), keyClaimTimeout)
	defer cancel()
	return x.gateway.node.Call(ctx, home, kind, body, reply)
}
