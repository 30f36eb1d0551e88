package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/retry"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// minFailureTime is the time that a call cancelled at the stage's deadline must have exceeded to count as a failure of
// its upstream.
const minFailureTime = 100 * time.Millisecond

// errHedged is the cancellation cause of an attempt when another attempt of the same stage was answered first.
var errHedged = errors.New("pipeline: another attempt was answered first")

// stageRun is a running stage of a request.
type stageRun struct {
	stage   *wire.Stage
	service *Service
	// body is the input of the stage, content what the quarantine knows it by.
	body    json.RawMessage
	content quarantine.Request
	// trial allows the next attempt if the stage may be attempted only on trial.
	trial quarantine.Trial
	// cost is the entry of the stage in the costs of the execution.
	cost     *wire.StageCost
	deadline time.Time
	// tried holds the IDs of the upstreams of the attempts so far.
	tried []string
	// unsent is the number of attempts that reached no upstream.
	unsent int
	// limited is the number of attempts that were not sent because of the limits of their upstreams.
	limited int
	// progress is the progress of the failed attempt that received the most tokens.
	progress engine.Progress
	// streamModel is the model of the attempt that progress is from.
	streamModel string
	// lastTokenAt is when the attempt that progress is from received its newest token.
	lastTokenAt time.Time
	// kv identifies the KV cache exported from the attempt that progress is from; nil if no cache was exported.
	kv *wire.KVHandle
	// failedOnEngine is set if the last failed attempt was made on an engine, so that an engine can continue its
	// stream.
	failedOnEngine bool
}

// runStage acquires a slot of the service's semaphore and attempts the stage until an attempt is answered or no further
// attempt is allowed. A stage that is not idempotent is attempted again only if the previous attempt certainly did not
// run.
func (x *execution) runStage(ctx context.Context, i int, body json.RawMessage) (json.RawMessage, error) {
	s := x.newStageRun(i, body)
	if err := x.checkQuarantine(s); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, ErrDeadline)
	defer cancel()
	if err := x.acquire(ctx, s); err != nil {
		return nil, err
	}
	defer s.release(time.Now())
	s.service.RecordAttempt()
	if err := x.obtainTrial(ctx, s); err != nil {
		return nil, err
	}
	for {
		if ctx.Err() != nil {
			x.endTrial(s, upstream.ErrNotRun)
			return nil, context.Cause(ctx)
		}
		out, err := x.attemptWithHedge(ctx, s)
		hasFailedTrial := x.endTrial(s, err) && !isAnswer(err)
		if err == nil {
			return out, nil
		}
		if hasFailedTrial || !x.waitToRetry(ctx, s, err) || x.obtainTrial(ctx, s) != nil {
			return nil, err
		}
		x.record("retry", "", "", s.stage.Name)
	}
}

// release releases a slot of the service's semaphore that was acquired at the given time.
func (s *stageRun) release(acquiredAt time.Time) {
	now := time.Now()
	s.service.Semaphore.Release(now, now.Sub(acquiredAt))
}

// newStageRun prepares the stage with index i. The deadline of the stage leaves the later stages their expected time.
func (x *execution) newStageRun(i int, body json.RawMessage) *stageRun {
	stages := x.Pipeline.Stages
	stage := &stages[i]
	x.costs = append(x.costs, wire.StageCost{Stage: stage.Name})
	later := stages[i+1:]
	return &stageRun{
		stage: stage, service: x.Services.Get(stage.Service), body: body, content: x.contentOf(stage, body), cost: &x.costs[len(x.costs)-1],
		deadline: retry.StageDeadline(x.Deadline, x.Deadline.Sub(x.Started), later, x.estimates(later)),
	}
}

// estimates returns the estimated latencies of the services of stages.
func (x *execution) estimates(stages []wire.Stage) []retry.Estimate {
	out := make([]retry.Estimate, len(stages))
	for i := range stages {
		out[i] = x.Services.Get(stages[i].Service).Estimate()
	}
	return out
}

// acquire acquires a slot of the service's semaphore. It returns a *limit.Refusal if the slot would come too late for
// the stage to finish before its deadline or if the queue is full, and the error of ctx if ctx ends first.
func (x *execution) acquire(ctx context.Context, s *stageRun) error {
	return s.service.Semaphore.Acquire(ctx, time.Now(), &limit.Waiter{
		Workspace: x.Contract.Workspace,
		Weight:    float64(1 + x.Contract.Priority),
		Deadline:  s.deadline,
		Needs:     retry.ExpectedTime([]retry.Estimate{s.service.Estimate()}),
	})
}

// attemptWithHedge makes one attempt and, if it isn't answered within the service's hedge delay, a second concurrent
// attempt (a hedge). The first answer counts. The other attempt is cancelled and its cost counts as wasted. Stages that
// are not idempotent and streams that are passed to the caller are never hedged.
func (x *execution) attemptWithHedge(ctx context.Context, s *stageRun) (json.RawMessage, error) {
	first, err := x.prepareFirst(ctx, s)
	if err != nil {
		return nil, err
	}
	delay, hedge := s.service.HedgeDelay()
	if !hedge || s.trial.Number != 0 || !s.stage.Idempotent || x.OnToken != nil && s.stage.Streams {
		x.makeCall(ctx, s, first)
		return x.finalize(s, first)
	}
	raceCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan *attempt, 2)
	start := func(a *attempt) {
		go func() {
			x.makeCall(raceCtx, s, a)
			ended <- a
		}()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var winner *attempt
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			if second := x.hedge(s); second != nil {
				defer s.release(time.Now())
				running++
				start(second)
			}
		case a := <-ended:
			running--
			timer.Stop()
			if a.err == nil && winner == nil {
				winner = a
				cancel(errHedged)
				continue
			}
			if _, err = x.finalize(s, a); err == nil {
				x.moveToWasted(s, a)
			}
		}
	}
	if winner != nil {
		return x.finalize(s, winner)
	}
	return nil, err
}

// hedge prepares a second attempt if the service's semaphore has a free slot and the retry budget allows it; else nil.
func (x *execution) hedge(s *stageRun) *attempt {
	if !s.service.Semaphore.TryAcquire() {
		return nil
	}
	if s.service.Hedge(time.Now(), s.deadline, s.cost.Attempts) {
		if a, err := x.prepare(s); err == nil {
			x.record("hedge", a.call.Attempt, a.target.ID, s.stage.Name)
			return a
		}
		s.service.Budget.Return()
	}
	s.service.Semaphore.Release(time.Now(), 0)
	return nil
}

// finalize adds the cost and tokens of an ended attempt to the request, and returns the attempt's output or error.
// Units of a failed attempt count as wasted.
func (x *execution) finalize(s *stageRun, a *attempt) (json.RawMessage, error) {
	x.tokens += a.tokens
	if !errors.Is(a.err, upstream.ErrNotRun) {
		x.mayHaveRun = true
		x.nonIdempotentMayHaveRun = x.nonIdempotentMayHaveRun || !s.stage.Idempotent
	}
	if a.err != nil {
		s.recordProgress(a)
		s.cost.WastedUnits += a.units
		x.record("attemptFailed", a.call.Attempt, a.target.ID, errorKind(a.err))
		return nil, a.err
	}
	s.cost.Units += a.units
	x.record("attemptAnswered", a.call.Attempt, a.target.ID, s.stage.Name)
	return a.output, nil
}

// moveToWasted counts the units of an answer as wasted because another attempt was answered first.
func (x *execution) moveToWasted(s *stageRun, a *attempt) {
	s.cost.Units -= a.units
	s.cost.WastedUnits += a.units
}

// waitToRetry waits for the backoff before the next attempt. It returns false if no further attempt is allowed.
func (x *execution) waitToRetry(ctx context.Context, s *stageRun, err error) bool {
	if !x.mayRetry(s, err) {
		return false
	}
	if errors.Is(err, quota.ErrNoPermit) {
		// The upstream rests, so that the next attempt is made at another one.
		s.limited++
		return true
	}
	wait, returnBudget, ok := s.takeRetry(err)
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		returnBudget()
		return false
	}
}

// takeRetry returns the backoff before the next attempt, or ok false if no further attempt is allowed. It takes the
// next attempt from the retry budget, unless the last attempt reached no upstream: such attempts are counted
// separately. The function returnBudget returns to the budget what was taken; the caller calls it if the next attempt
// isn't made.
func (s *stageRun) takeRetry(err error) (wait time.Duration, returnBudget func(), ok bool) {
	now := time.Now()
	if errors.Is(err, upstream.ErrNotRun) && !errors.Is(err, upstream.ErrRefused) {
		s.unsent++
		wait, ok = s.service.RetryUnsent(now, s.deadline, s.unsent)
		return wait, func() {}, ok
	}
	wait, ok = s.service.Retry(now, s.deadline, s.cost.Attempts-s.unsent-s.limited)
	return wait, s.service.Budget.Return, ok
}

// mayRetry reports whether the stage may be attempted again after an error, apart from the retry budget and the
// deadline. After an attempt that may have run, a stage that is not idempotent may not be attempted again, and a stream
// that already passed tokens to the caller only if it failed on an engine.
func (x *execution) mayRetry(s *stageRun, err error) bool {
	switch {
	case errors.Is(err, ErrNoUpstream):
		return false
	case errors.Is(err, upstream.ErrNotRun):
		return true
	case s.progress.Next() > 0 && x.OnToken != nil && !s.failedOnEngine:
		return false
	}
	return s.stage.Idempotent && !x.Guard.MayCrashAgain(s.content)
}
