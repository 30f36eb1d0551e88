package pipeline

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// attempt is one call to an upstream and what came of it.
type attempt struct {
	call   upstream.Call
	target route.Target
	output json.RawMessage
	// units is what the attempt cost, whether its answer is used or not.
	units float64
	// tokens that this attempt generated.
	tokens int
	// progress of a stream, with the tokens of earlier attempts.
	progress engine.Progress
	// tokenAt is when the newest token came; times are the waits for tokens.
	tokenAt time.Time
	times   metric.StreamTimes
	// export says that the KV cache may help the next attempt; kv names it once it was exported.
	export bool
	kv     *wire.KVHandle
	err    error
}

// prepare chooses an upstream that was not tried yet, or else any, for the next attempt.
func (x *execution) prepare(s *stageRun) (*attempt, error) {
	q := x.query(s)
	now := time.Now()
	target, ok := x.Picker.Pick(now, q)
	if !ok && len(s.tried) > 0 {
		q.Avoid = nil
		target, ok = x.Picker.Pick(now, q)
	}
	if !ok && q.Model != x.Model && s.stage.UsesModel {
		// The version that the stream began on is gone.
		q.Model = x.Model
		target, ok = x.Picker.Pick(now, q)
	}
	if !ok {
		return nil, errors.Wrap(ErrNoUpstream, s.stage.Service)
	}
	s.tried = append(s.tried, target.ID)
	s.tally.Attempts++
	call := upstream.Call{
		Address:     target.Address,
		Path:        s.stage.Path,
		Attempt:     x.ID + "." + s.stage.Name + "." + strconv.Itoa(s.tally.Attempts),
		Request:     x.ID,
		Workspace:   x.Contract.Workspace,
		Priority:    x.Contract.Priority,
		Model:       q.Model,
		MaxTokens:   x.MaxTokens,
		Body:        s.body,
		Fresh:       !s.stage.Idempotent,
		SilentAfter: time.Duration(s.service.Policy().SilentAfterMs) * time.Millisecond,
	}
	a := &attempt{call: call, target: target}
	if err := x.aim(s, a); err != nil {
		target.Done(now, route.Outcome{Result: route.Cancelled})
		return nil, err
	}
	x.record("attemptSent", call.Attempt, target.ID, s.stage.Name)
	return a, nil
}

// send makes the call and reports to the balancer how it went.
func (x *execution) send(ctx context.Context, s *stageRun, a *attempt) {
	start := time.Now()
	var answer upstream.Answer
	if s.stage.Streams {
		answer, a.err = x.stream(ctx, a)
	} else {
		answer, a.err = x.Caller.Do(ctx, a.call)
	}
	if a.err == nil && !json.Valid(answer.Output) {
		a.err = errors.Wrap(upstream.ErrTruncated, "answer is not JSON")
	}
	now := time.Now()
	took := now.Sub(start)
	label := metric.Stage{Pipeline: x.Pipeline.Name, Stage: s.stage.Name, Service: s.stage.Service}
	x.Observer.Observe(label, took, a.err == nil)
	if s.stage.Streams {
		x.Observer.ObserveStream(label, a.times)
	}
	result := x.resultOf(ctx, s, a.err, took)
	a.target.Done(now, route.Outcome{Result: result, Latency: took})
	if result == route.Success || result == route.Cancelled && took > s.service.Latency.Median() {
		s.service.Latency.Observe(took)
	}
	if a.err != nil {
		x.abandon(ctx, s, a)
	}
	a.output = answer.Output
	a.units = unitsOf(s.stage, answer, a.err)
}

// streamOutput is the output of a streamed stage that was collected.
type streamOutput struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// unitsOf returns the units charged for an attempt: what the upstream reported, or the stage's declared cost
// if the work may have run.
func unitsOf(s *wire.Stage, a upstream.Answer, err error) float64 {
	var status *upstream.StatusError
	switch {
	case errors.Is(err, upstream.ErrNotRun):
		return 0
	case errors.As(err, &status) && status.Cost > 0:
		return status.Cost
	case a.Reported:
		return a.Cost
	}
	return s.CostUnits
}

// resultOf tells the balancer what an attempt says of its upstream. A call that the deadline ended counts
// against the upstream only if it took longer than calls of the service usually do.
func (x *execution) resultOf(ctx context.Context, s *stageRun, err error, took time.Duration) route.Result {
	switch {
	case err == nil:
		return route.Success
	case errors.Is(err, upstream.ErrRefused):
		return route.Refused
	case errors.Is(err, upstream.ErrSilent), ctx.Err() == nil:
		return route.Failure
	case errors.Is(context.Cause(ctx), ErrDeadline) && took > max(s.service.Latency.High(), minPatience):
		return route.Failure
	}
	return route.Cancelled
}

// kindOf names an error for the time line, without its text.
func kindOf(err error) string {
	for _, kind := range []struct {
		err  error
		name string
	}{
		{upstream.ErrRefused, "refused"},
		{upstream.ErrNotRun, "notRun"},
		{upstream.ErrSilent, "silent"},
		{upstream.ErrForeignAnswer, "foreignAnswer"},
		{upstream.ErrTruncated, "truncated"},
		{engine.ErrGap, "gap"},
		{ErrDeadline, "deadline"},
		{errHedged, "hedged"},
		{context.Canceled, "cancelled"},
	} {
		if errors.Is(err, kind.err) {
			return kind.name
		}
	}
	return "failed"
}
