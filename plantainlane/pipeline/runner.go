package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/cost"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// Picker chooses upstreams.
type Picker interface {
	Pick(now time.Time, q route.Query) (route.Target, bool)
}

// Caller calls upstreams.
type Caller interface {
	Do(ctx context.Context, call upstream.Call) (upstream.Answer, error)
	Stream(ctx context.Context, call upstream.Call, token func(upstream.Token) error) (upstream.End, error)
}

// Committer commits commands to the control log.
type Committer interface {
	Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer
}

// Recorder takes events for the time line.
type Recorder interface {
	Record(now time.Time, e wire.Event)
}

// Policies returns the policy of a service.
type Policies func(service string) wire.UpstreamPolicy

// Runner runs requests. Several goroutines may use it.
type Runner struct {
	// Instance and Incarnation identify this instance in claims.
	Instance    string
	Incarnation int
	Picker      Picker
	Caller      Caller
	Committer   Committer
	Recorder    Recorder
	Policies    Policies
	Ledger      *cost.Ledger
	// Background outlives requests: claims are ended under it.
	Background context.Context
}

// execution is one request under way.
type execution struct {
	*Runner
	*Request
	// sent tells that a byte of some attempt went out.
	sent bool
	// sentOnce tells that a byte of an attempt that may not be repeated went out.
	sentOnce bool
	costs    []wire.StageCost
}

// Run runs a request and returns its whole answer, or a *Failure.
func (r *Runner) Run(ctx context.Context, req *Request) (*wire.PipelineAnswer, error) {
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, ErrDeadline)
	defer cancel()
	x := &execution{Runner: r, Request: req}
	if Idempotent(req.Pipeline) {
		answer, err := x.run(ctx)
		x.charge()
		return answer, err
	}
	return x.runOnce(ctx)
}

func (x *execution) run(ctx context.Context) (*wire.PipelineAnswer, error) {
	body := x.Input
	for i := range x.Pipeline.Stages {
		out, err := x.runStage(ctx, &x.Pipeline.Stages[i], body)
		if err != nil {
			return nil, x.failure(ctx, err)
		}
		body = out
	}
	return x.answer(body), nil
}

func (x *execution) answer(output json.RawMessage) *wire.PipelineAnswer {
	return &wire.PipelineAnswer{
		RequestID: x.ID,
		Status:    "complete",
		Output:    &output,
		Cost:      x.costs,
		ElapsedMs: float64(time.Since(x.Started)) / float64(time.Millisecond),
	}
}

// failure says what is known of the execution. NotRun is said only if no byte of any attempt went out.
func (x *execution) failure(ctx context.Context, err error) *Failure {
	f := &Failure{Execution: NotRun, Detail: err.Error()}
	if x.sent {
		f.Execution = Unknown
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrDeadline) || errors.Is(err, ErrDeadline):
		f.Reason = ErrDeadline
	case ctx.Err() != nil:
		f.Reason = ErrCancelled
	case errors.Is(err, ErrNoUpstream):
		f.Reason = ErrNoUpstream
		f.RetryAfter = time.Second
	default:
		f.Reason = ErrUpstream
		f.RetryAfter = time.Second
	}
	x.record("requestFailed", "", "", f.Reason.Error())
	return f
}

// charge counts the request's cost for its workspace.
func (x *execution) charge() {
	for _, r := range x.costRows() {
		x.Ledger.Add(r)
	}
}

func (x *execution) costRows() []wire.CostRow {
	rows := make([]wire.CostRow, 0, len(x.costs))
	for _, c := range x.costs {
		rows = append(rows, wire.CostRow{
			Workspace:   x.Contract.Workspace,
			Pipeline:    x.Pipeline.Name,
			Stage:       c.Stage,
			Units:       c.Units,
			WastedUnits: c.WastedUnits,
			Attempts:    c.Attempts,
			Requests:    1,
		})
	}
	return rows
}

func (x *execution) record(kind, attempt, target, detail string) {
	e := wire.Event{Kind: kind, Request: &x.ID, Workspace: &x.Contract.Workspace}
	if attempt != "" {
		e.Attempt = &attempt
	}
	if target != "" {
		e.Upstream = &target
	}
	if detail != "" {
		e.Detail = &detail
	}
	x.Recorder.Record(time.Now(), e)
}
