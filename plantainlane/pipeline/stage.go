package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/retry"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// minPatience is the time that an upstream always has before a passed deadline counts against it.
const minPatience = 100 * time.Millisecond

// errHedged ends an attempt when another one of the same stage was answered first.
var errHedged = errors.New("pipeline: another attempt was answered")

// stageRun is one stage of one request under way.
type stageRun struct {
	stage    *wire.Stage
	service  *Service
	body     json.RawMessage
	tally    *wire.StageCost
	deadline time.Time
	// tried are the upstreams of the attempts so far.
	tried []string
	// unsent counts the attempts that reached no upstream.
	unsent int
	// progress is how far the longest failed stream came, on a version of the model.
	progress engine.Progress
	model    string
	// tokenAt is when its newest token came.
	tokenAt time.Time
	// kv names the KV cache of that stream, if it was exported.
	kv *wire.KVHandle
	// onEngine says that the last failed attempt was on an engine, so that another one can go on.
	onEngine bool
}

// runStage passes the service's gate and attempts the stage until one attempt is answered or no further one is
// allowed. A stage that is not idempotent is attempted again only if the attempt before certainly did not run.
func (x *execution) runStage(ctx context.Context, i int, body json.RawMessage) (json.RawMessage, error) {
	s := x.newStageRun(i, body)
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, ErrDeadline)
	defer cancel()
	if err := x.enter(ctx, s); err != nil {
		return nil, err
	}
	defer s.leaveSince(time.Now())
	s.service.RecordAttempt()
	for {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		out, err := x.race(ctx, s)
		if err == nil {
			return out, nil
		}
		if !x.waitToRetry(ctx, s, err) {
			return nil, err
		}
		x.record("retry", "", "", s.stage.Name)
	}
}

// leaveSince gives back a place at the gate that was taken at a time.
func (s *stageRun) leaveSince(entered time.Time) {
	now := time.Now()
	s.service.Semaphore.Release(now, now.Sub(entered))
}

func (x *execution) newStageRun(i int, body json.RawMessage) *stageRun {
	stages := x.Pipeline.Stages
	stage := &stages[i]
	x.costs = append(x.costs, wire.StageCost{Stage: stage.Name})
	later := stages[i+1:]
	return &stageRun{
		stage: stage, service: x.Services.Get(stage.Service), body: body, tally: &x.costs[len(x.costs)-1],
		deadline: retry.StageDeadline(x.Deadline, x.Deadline.Sub(x.Started), later, x.estimates(later)),
	}
}

// estimates returns the usual times of stages.
func (x *execution) estimates(stages []wire.Stage) []retry.Estimate {
	out := make([]retry.Estimate, len(stages))
	for i := range stages {
		out[i] = x.Services.Get(stages[i].Service).Estimate()
	}
	return out
}

func (x *execution) enter(ctx context.Context, s *stageRun) error {
	return s.service.Semaphore.Acquire(ctx, time.Now(), &limit.Waiter{
		Workspace: x.Contract.Workspace,
		Weight:    float64(1 + x.Contract.Priority),
		Deadline:  s.deadline,
		Needs:     retry.ExpectedTime([]retry.Estimate{s.service.Estimate()}),
	})
}

// race makes one attempt and, if its answer is later than usual, a hedge beside it. The first answer counts;
// the other attempt is cancelled and its cost is wasted.
func (x *execution) race(ctx context.Context, s *stageRun) (json.RawMessage, error) {
	first, err := x.prepare(s)
	if err != nil {
		return nil, err
	}
	delay, hedge := s.service.HedgeDelay()
	if !hedge || !s.stage.Idempotent || x.OnToken != nil && s.stage.Streams {
		x.send(ctx, s, first)
		return x.settle(s, first)
	}
	raceCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan *attempt, 2)
	start := func(a *attempt) {
		go func() {
			x.send(raceCtx, s, a)
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
				defer s.leaveSince(time.Now())
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
			if _, err = x.settle(s, a); err == nil {
				x.waste(s, a)
			}
		}
	}
	if winner != nil {
		return x.settle(s, winner)
	}
	return nil, err
}

// hedge prepares a second attempt if the service has a place and the budget allows it.
func (x *execution) hedge(s *stageRun) *attempt {
	if !s.service.Semaphore.TryAcquire() {
		return nil
	}
	if s.service.Hedge(time.Now(), s.deadline, s.tally.Attempts) {
		if a, err := x.prepare(s); err == nil {
			x.record("hedge", a.call.Attempt, a.target.ID, s.stage.Name)
			return a
		}
	}
	s.service.Semaphore.Release(time.Now(), 0)
	return nil
}

// settle charges an attempt and returns its answer.
func (x *execution) settle(s *stageRun, a *attempt) (json.RawMessage, error) {
	x.tokens += a.tokens
	if !errors.Is(a.err, upstream.ErrNotRun) {
		x.sent = true
		x.sentOnce = x.sentOnce || !s.stage.Idempotent
	}
	if a.err != nil {
		s.keep(a)
		s.tally.WastedUnits += a.units
		x.record("attemptFailed", a.call.Attempt, a.target.ID, kindOf(a.err))
		return nil, a.err
	}
	s.tally.Units += a.units
	x.record("attemptAnswered", a.call.Attempt, a.target.ID, s.stage.Name)
	return a.output, nil
}

// waste moves the units of an answer that came second.
func (x *execution) waste(s *stageRun, a *attempt) {
	s.tally.Units -= a.units
	s.tally.WastedUnits += a.units
}

// waitToRetry waits until the stage may be attempted again, or reports false.
func (x *execution) waitToRetry(ctx context.Context, s *stageRun, err error) bool {
	if !x.mayRepeat(s, err) {
		return false
	}
	wait, giveBack, ok := s.retry(err)
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		giveBack()
		return false
	}
}

// retry tells how long to wait before the next attempt, if one is allowed. An attempt that reached no upstream counts
// apart from the others. GiveBack returns what the next attempt took from the budget.
func (s *stageRun) retry(err error) (wait time.Duration, giveBack func(), ok bool) {
	now := time.Now()
	if errors.Is(err, upstream.ErrNotRun) && !errors.Is(err, upstream.ErrRefused) {
		s.unsent++
		wait, ok = s.service.RetryUnsent(now, s.deadline, s.unsent)
		return wait, func() {}, ok
	}
	wait, ok = s.service.Retry(now, s.deadline, s.tally.Attempts-s.unsent)
	return wait, s.service.Budget.Return, ok
}

func (x *execution) mayRepeat(s *stageRun, err error) bool {
	switch {
	case errors.Is(err, ErrNoUpstream):
		return false
	case errors.Is(err, upstream.ErrNotRun):
		return true
	case s.progress.Next() > 0 && x.OnToken != nil && !s.onEngine:
		return false
	}
	return s.stage.Idempotent
}
