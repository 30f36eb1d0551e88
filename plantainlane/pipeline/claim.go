package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

const (
	// resolveTimeout bounds one attempt to commit the resolution of a claim.
	resolveTimeout = 10 * time.Second
	// claimDeadlineFraction is the fraction of the time left until the deadline that committing a claim may take.
	claimDeadlineFraction = 0.5
)

// runAtMostOnce runs a request that is not idempotent. It commits a claim of the idempotency key before the first byte
// is sent to an upstream, and resolves the claim with the answer, or as not run or unknown if there is none. A repeated
// request gets the stored answer at any instance.
func (x *execution) runAtMostOnce(ctx context.Context) (*wire.PipelineAnswer, error) {
	won, stored, err := x.claim(ctx)
	if !won {
		return stored, err
	}
	// The work continues if the caller disconnects: some of the work may already have run, and a repeated request is
	// to get the answer.
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), x.Deadline, ErrDeadline)
	defer cancel()
	answer, err := x.runStages(ctx)
	r := wire.Resolution{
		Workspace: x.Contract.Workspace,
		Key:       x.Key,
		Attempt:   x.ID,
		Cost:      x.costRows(),
		State:     state.ClaimRan,
	}
	if err != nil {
		var f *Failure
		errors.As(err, &f)
		r.State = state.ClaimUnknown
		if !x.nonIdempotentMayHaveRun {
			r.State = state.ClaimNotRun
		}
		x.resolveLater(r)
		return nil, err
	}
	if r.Result, err = json.Marshal(answer); err != nil || len(r.Result) > x.Contract.MaxResultBytes {
		r.Result = nil
		r.State = state.ClaimUnknown
		x.resolveLater(r)
		return nil, &Failure{Reason: ErrResultSize, Execution: Ran}
	}
	return x.resolve(ctx, r, answer)
}

// claim commits the claim of this execution and reports whether this execution now holds the key. Otherwise it returns
// the stored answer if another execution of the same request has finished, or a *Failure: another execution holds the
// key, the key was used for another request or has expired, or the commit was not confirmed in time.
func (x *execution) claim(ctx context.Context) (bool, *wire.PipelineAnswer, error) {
	remaining := time.Until(x.Deadline)
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(remaining)*claimDeadlineFraction))
	defer cancel()
	a := x.Committer.Propose(claimCtx, wire.Command{Claim: &wire.Claim{
		Workspace:   x.Contract.Workspace,
		Key:         x.Key,
		Digest:      x.Digest,
		Pipeline:    x.Pipeline.Name,
		Attempt:     x.ID,
		Instance:    x.Instance,
		Incarnation: x.Incarnation,
		RequestID:   x.ID,
		AtMs:        int(time.Now().UnixMilli()),
	}})
	if !a.Committed || a.Claim == nil {
		x.releaseClaim(a)
		return false, nil, &Failure{Reason: ErrNoClaim, Execution: NotRun, RetryAfter: time.Second}
	}
	x.record("claim."+a.Claim.State, x.ID, "", "")
	switch a.Claim.State {
	case state.ClaimWon:
		return true, nil, nil
	case state.ClaimRan:
		var stored wire.PipelineAnswer
		if err := json.Unmarshal(a.Claim.Result, &stored); err != nil {
			return false, nil, &Failure{Reason: ErrUnresolved, Execution: Ran, Detail: "stored answer can't be read"}
		}
		return false, &stored, nil
	case state.ClaimMismatch:
		return false, nil, &Failure{Reason: ErrKeyMismatch, Execution: NotRun}
	case state.ClaimExpired:
		return false, nil, &Failure{Reason: ErrExpiredKey, Execution: Unknown}
	case state.ClaimRunning:
		return false, nil, &Failure{Reason: ErrUnresolved, Execution: Unknown, RetryAfter: time.Second}
	}
	return false, nil, &Failure{Reason: ErrUnresolved, Execution: Unknown}
}

// releaseClaim resolves as not run a claim whose commit was not confirmed, so that the key can be used again. Nothing
// was sent to an upstream under such a claim. A refused proposal leaves no claim to release.
func (x *execution) releaseClaim(a wire.ProposeAnswer) {
	if a.Refusal != "" {
		return
	}
	x.resolveLater(wire.Resolution{
		Workspace: x.Contract.Workspace,
		Key:       x.Key,
		Attempt:   x.ID,
		State:     state.ClaimNotRun,
	})
}

// resolve commits the resolution r and then returns the answer in it, so that every repeated request gets the same
// answer. If the deadline passes first, it returns a *Failure with ErrDeadline and execution Ran; the commit continues
// in the background.
func (x *execution) resolve(ctx context.Context, r wire.Resolution, answer *wire.PipelineAnswer) (*wire.PipelineAnswer, error) {
	done := make(chan struct{})
	x.resolving.Go(func() {
		defer close(done)
		x.resolveUntilCommitted(r)
	})
	select {
	case <-done:
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), ErrDeadline) {
			return nil, &Failure{Reason: ErrDeadline, Execution: Ran}
		}
	}
	return answer, nil
}

// resolveLater resolves a claim in the background.
func (x *execution) resolveLater(r wire.Resolution) {
	x.resolving.Go(func() { x.resolveUntilCommitted(r) })
}

// resolveUntilCommitted proposes the resolution of a claim until the resolution is committed or this instance stops.
// When an instance is removed from the control log, its claims that are still running are resolved as unknown.
func (x *execution) resolveUntilCommitted(r wire.Resolution) {
	for x.Background.Err() == nil {
		ctx, cancel := context.WithTimeout(x.Background, resolveTimeout)
		r.AtMs = int(time.Now().UnixMilli())
		a := x.Committer.Propose(ctx, wire.Command{Resolve: &r})
		cancel()
		if a.Committed {
			return
		}
	}
}
