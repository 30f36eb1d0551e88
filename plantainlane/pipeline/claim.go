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
	// resolveTry bounds one try to end a claim.
	resolveTry = 10 * time.Second
	// claimReserve is the part of the deadline that a claim may take.
	claimReserve = 0.5
)

// runOnce runs a request that is not idempotent. Its claim is committed before the first byte is sent, and
// ended with the answer, so that a repeat at any instance gets that answer.
func (x *execution) runOnce(ctx context.Context) (*wire.PipelineAnswer, error) {
	won, stored, err := x.claim(ctx)
	if !won {
		return stored, err
	}
	// A caller that goes away does not end the work: it may have run, and a repeat is to get its answer.
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), x.Deadline, ErrDeadline)
	defer cancel()
	answer, err := x.run(ctx)
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
		if !x.sentOnce {
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

// claim commits the claim of this execution. It reports false with the stored answer or a failure if
// another execution holds the key, or if the claim's commit was not seen.
func (x *execution) claim(ctx context.Context) (bool, *wire.PipelineAnswer, error) {
	left := time.Until(x.Deadline)
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*claimReserve))
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
		x.release(a)
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

// release takes back a claim whose commit was not seen, so that the key can be used again. Nothing was
// sent under it.
func (x *execution) release(a wire.ProposeAnswer) {
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

// resolve commits the answer before it is given, so that every repeat gets the same. If the deadline comes
// first the answer is given all the same and its commit goes on.
func (x *execution) resolve(ctx context.Context, r wire.Resolution, answer *wire.PipelineAnswer) (*wire.PipelineAnswer, error) {
	done := make(chan struct{})
	x.ending.Go(func() {
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

func (x *execution) resolveLater(r wire.Resolution) {
	x.ending.Go(func() { x.resolveUntilCommitted(r) })
}

// resolveUntilCommitted tries until the end of the claim is committed or this instance stops; a claim left
// open is given up as unknown when the instance is forgotten.
func (x *execution) resolveUntilCommitted(r wire.Resolution) {
	for x.Background.Err() == nil {
		ctx, cancel := context.WithTimeout(x.Background, resolveTry)
		r.AtMs = int(time.Now().UnixMilli())
		a := x.Committer.Propose(ctx, wire.Command{Resolve: &r})
		cancel()
		if a.Committed {
			return
		}
	}
}
