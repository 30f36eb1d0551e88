package pipeline

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// attempt is one call of a stage to an upstream and the outcome of the call.
type attempt struct {
	call upstream.Call
	// target is the chosen upstream. An upstream with a role is an engine.
	target route.Target
	output json.RawMessage
	// units is the cost of the attempt in cost units, whether its answer is used or not.
	units float64
	// tokens is the number of new tokens received by this attempt.
	tokens int
	// progress is the progress of a stream, including the tokens of previous attempts of the stage.
	progress engine.Progress
	// lastTokenAt is when the newest token was received.
	lastTokenAt time.Time
	// streamTimes holds the time from the start of the request to the first token, and the times between tokens.
	streamTimes metric.StreamTimes
	// exportKV is set if the engine is to export the KV cache of a failed stream, so that the next attempt can import
	// it.
	exportKV bool
	// kv identifies the exported KV cache; nil if none was exported.
	kv  *wire.KVHandle
	err error
}

// prepare chooses the upstream of the next attempt and builds the call. It prefers an upstream that the stage has not
// tried yet. If no upstream serves the model version of a stream that already has tokens, it chooses one that serves
// the requested model. The error wraps ErrNoUpstream if no upstream can take the call.
func (x *execution) prepare(s *stageRun) (*attempt, error) {
	q := x.query(s)
	now := time.Now()
	target, ok := x.Picker.Pick(now, q)
	if !ok && len(s.tried) > 0 {
		q.Avoid = nil
		target, ok = x.Picker.Pick(now, q)
	}
	if !ok && q.Model != x.Model && s.stage.UsesModel {
		// No upstream serves the model version that the stream started on any more.
		q.Model = x.Model
		target, ok = x.Picker.Pick(now, q)
	}
	if !ok {
		return nil, errors.Wrapf(ErrNoUpstream, "stage %q: no upstream of service %q accepts work", s.stage.Name, s.stage.Service)
	}
	s.tried = append(s.tried, target.ID)
	s.cost.Attempts++
	call := upstream.Call{
		Peer:        quota.Peer{Address: target.Address, ID: target.ID, Incarnation: target.Incarnation},
		Path:        s.stage.Path,
		Attempt:     x.ID + "." + s.stage.Name + "." + strconv.Itoa(s.cost.Attempts),
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
	if err := x.adaptCall(s, a); err != nil {
		target.Done(now, route.Outcome{Result: route.Cancelled})
		return nil, err
	}
	x.record("attemptSent", call.Attempt, target.ID, s.stage.Name)
	return a, nil
}

// makeCall makes the call, stores its outcome in the attempt, and reports the outcome to the balancer, the metrics and
// the latency statistics of the service. A cancelled call counts in the statistics only if it took longer than the
// median.
func (x *execution) makeCall(ctx context.Context, s *stageRun, a *attempt) {
	start := time.Now()
	var answer upstream.Answer
	if s.stage.Streams {
		answer, a.err = x.stream(ctx, a)
	} else {
		answer, a.err = x.Client.Do(ctx, a.call)
	}
	if a.err == nil && !json.Valid(answer.Output) {
		a.err = errors.Wrapf(upstream.ErrTruncated, "answer of stage %q is not valid JSON", s.stage.Name)
	}
	now := time.Now()
	took := now.Sub(start)
	label := metric.Stage{Pipeline: x.Pipeline.Name, Stage: s.stage.Name, Service: s.stage.Service}
	x.Observer.Observe(label, took, a.err == nil)
	if s.stage.Streams {
		x.Observer.ObserveStream(label, a.streamTimes)
	}
	result := x.resultOf(ctx, s, a.err, took)
	a.target.Done(now, route.Outcome{Result: result, Latency: took})
	var refusal *quota.Refusal
	if errors.As(a.err, &refusal) {
		a.target.SetAside(refusal.Until, refusal.Leaving, refusal.Paused)
	}
	if result == route.Success || result == route.Cancelled && took > s.service.Latency.Median() {
		s.service.Latency.Observe(took)
	}
	if a.err != nil {
		x.stopOnEngine(ctx, s, a)
	}
	x.reportToGuard(ctx, s, a)
	a.output = answer.Output
	a.units = unitsOf(s.stage, answer, a.err)
}

// streamOutput is the output of a streamed stage whose tokens are collected into one answer.
type streamOutput struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// unitsOf returns the cost units charged for an attempt: 0 if the work certainly did not run, otherwise the cost that
// the upstream reported, or the stage's declared cost if the upstream reported none.
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

// resultOf returns the result of an attempt, as reported to the balancer. A call that was cancelled at the stage's
// deadline counts as a failure of the upstream only if it took longer than nine in ten calls of the service do, and
// longer than minFailureTime. A shorter call counts as cancelled: the stage may have had little time left.
func (x *execution) resultOf(ctx context.Context, s *stageRun, err error, took time.Duration) route.Result {
	switch {
	case err == nil:
		return route.Success
	case errors.Is(err, quota.ErrNoPermit):
		return route.Cancelled
	case errors.Is(err, upstream.ErrRefused):
		return route.Refused
	case errors.Is(err, upstream.ErrSilent), ctx.Err() == nil:
		return route.Failure
	case errors.Is(context.Cause(ctx), ErrDeadline) && took > max(s.service.Latency.High(), minFailureTime):
		return route.Failure
	}
	return route.Cancelled
}

// errorKind returns the name under which an error appears in time line events. The error's text is left out, since it
// may hold content of the request.
func errorKind(err error) string {
	for _, kind := range []struct {
		err  error
		name string
	}{
		{upstream.ErrRefused, "refused"},
		{quota.ErrNoPermit, "limit"},
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
