package pipeline

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// runStage attempts a stage until one attempt is answered or no further one is allowed. A stage that is not
// idempotent is attempted again only if the attempt before certainly did not run.
func (x *execution) runStage(ctx context.Context, s *wire.Stage, body json.RawMessage) (json.RawMessage, error) {
	policy := x.Policies(s.Service)
	x.costs = append(x.costs, wire.StageCost{Stage: s.Name})
	tally := &x.costs[len(x.costs)-1]
	var tried []string
	for {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		q := route.Query{Service: s.Service, Avoid: tried}
		if s.UsesModel {
			q.Model = x.Model
		}
		target, ok := x.Picker.Pick(time.Now(), q)
		if !ok {
			return nil, errors.Wrap(ErrNoUpstream, s.Service)
		}
		tried = append(tried, target.ID)
		tally.Attempts++
		out, err := x.attempt(ctx, s, &policy, target, body, tally)
		if err == nil {
			return out, nil
		}
		if !x.mayRetry(s, &policy, tally.Attempts, err) {
			return nil, err
		}
		x.record("retry", "", target.ID, s.Name)
	}
}

func (x *execution) mayRetry(s *wire.Stage, policy *wire.UpstreamPolicy, attempts int, err error) bool {
	if attempts >= max(policy.MaxAttempts, 1) {
		return false
	}
	if s.Streams && x.Token != nil && x.sent && !errors.Is(err, upstream.ErrNotRun) {
		return false
	}
	return s.Idempotent || errors.Is(err, upstream.ErrNotRun)
}

// attempt makes one call and charges it.
func (x *execution) attempt(
	ctx context.Context, s *wire.Stage, policy *wire.UpstreamPolicy, target route.Target, body json.RawMessage, tally *wire.StageCost,
) (json.RawMessage, error) {
	call := upstream.Call{
		Address:     target.Address,
		Path:        s.Path,
		Attempt:     x.ID + "." + s.Name + "." + strconv.Itoa(tally.Attempts),
		Request:     x.ID,
		Workspace:   x.Contract.Workspace,
		Priority:    x.Contract.Priority,
		MaxTokens:   x.MaxTokens,
		Body:        body,
		Fresh:       !s.Idempotent,
		SilentAfter: time.Duration(policy.SilentAfterMs) * time.Millisecond,
	}
	if s.UsesModel {
		call.Model = x.Model
	}
	x.record("attemptSent", call.Attempt, target.ID, s.Name)
	start := time.Now()
	var answer upstream.Answer
	var err error
	if s.Streams {
		answer, err = x.stream(ctx, call)
	} else {
		answer, err = x.Caller.Do(ctx, call)
	}
	now := time.Now()
	target.Done(now, route.Outcome{Result: resultOf(ctx, err), Latency: now.Sub(start)})
	if !errors.Is(err, upstream.ErrNotRun) {
		x.sent = true
		x.sentOnce = x.sentOnce || !s.Idempotent
	}
	if err != nil {
		x.record("attemptFailed", call.Attempt, target.ID, kindOf(err))
		tally.WastedUnits += wasted(s, answer, err)
		return nil, err
	}
	x.record("attemptAnswered", call.Attempt, target.ID, s.Name)
	if !answer.Reported {
		answer.Cost = s.CostUnits
	}
	tally.Units += answer.Cost
	return answer.Output, nil
}

// stream runs a streamed call. Tokens go to the caller as they come, or are collected as a whole answer.
func (x *execution) stream(ctx context.Context, call upstream.Call) (upstream.Answer, error) {
	var text strings.Builder
	next := 0
	end, err := x.Caller.Stream(ctx, call, func(t upstream.Token) error {
		if t.Offset != next {
			return errors.Wrapf(upstream.ErrTruncated, "token %d after %d", t.Offset, next-1)
		}
		next++
		if x.Token != nil {
			return x.Token(t.Offset, t.Text)
		}
		text.WriteString(t.Text)
		return nil
	})
	if err == nil && end.Tokens != next {
		err = errors.Wrapf(upstream.ErrTruncated, "%d of %d tokens", next, end.Tokens)
	}
	a := upstream.Answer{Cost: end.CostUnits, Reported: err == nil}
	if err != nil {
		return a, err
	}
	a.Output, err = json.Marshal(streamOutput{Text: text.String(), Tokens: next})
	return a, err
}

// streamOutput is the output of a streamed stage that was collected.
type streamOutput struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// wasted returns the units charged for an attempt that brought no answer: what the upstream reported, or
// the stage's declared cost if the work may have run.
func wasted(s *wire.Stage, a upstream.Answer, err error) float64 {
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

func resultOf(ctx context.Context, err error) route.Result {
	switch {
	case err == nil:
		return route.Success
	case errors.Is(err, upstream.ErrNotRun):
		return route.Refused
	case ctx.Err() != nil && !errors.Is(err, ErrDeadline):
		return route.Cancelled
	}
	return route.Failure
}

// kindOf names an error for the time line, without its text.
func kindOf(err error) string {
	for _, kind := range []struct {
		err  error
		name string
	}{
		{upstream.ErrNotRun, "notRun"},
		{upstream.ErrSilent, "silent"},
		{upstream.ErrForeignAnswer, "foreignAnswer"},
		{upstream.ErrTruncated, "truncated"},
		{ErrDeadline, "deadline"},
		{context.Canceled, "cancelled"},
	} {
		if errors.Is(err, kind.err) {
			return kind.name
		}
	}
	return "failed"
}
