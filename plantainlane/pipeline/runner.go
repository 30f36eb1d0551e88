package pipeline

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/cost"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/retry"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// Picker chooses the upstream of an attempt.
type Picker interface {
	// Pick returns false if no upstream matches the query.
	Pick(now time.Time, q route.Query) (route.Target, bool)
	// RestsUntil returns the earliest time at which the limit of an upstream that matches the query allows a call again.
	// It returns false unless the limits of all such upstreams allow none now.
	RestsUntil(now time.Time, q route.Query) (time.Time, bool)
	// IsEvacuated reports whether a service has upstreams, and all are in evacuated zones.
	IsEvacuated(service string) bool
}

// UpstreamClient calls upstreams. Stream calls the function token for each received token.
type UpstreamClient interface {
	Do(ctx context.Context, call upstream.Call) (upstream.Answer, error)
	Stream(ctx context.Context, call upstream.Call, token func(upstream.Token) error) (upstream.End, error)
}

// Committer commits commands to the control log.
type Committer interface {
	Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer
}

// Recorder records events in the time line.
type Recorder interface {
	Record(now time.Time, e wire.Event)
}

// Observer records metrics: the latency of attempts and the times between streamed tokens.
type Observer interface {
	Observe(s metric.Stage, took time.Duration, ok bool)
	ObserveStream(s metric.Stage, t metric.StreamTimes)
}

// Admission admits requests within the limits of their contracts. It returns a *limit.Refusal for a request that
// exceeds these limits.
type Admission interface {
	Admit(ctx context.Context, now time.Time, a limit.Request) (limit.Ticket, error)
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	// Instance and Incarnation identify this instance in claims.
	Instance    string
	Incarnation int
	Picker      Picker
	Client      UpstreamClient
	Committer   Committer
	Recorder    Recorder
	Observer    Observer
	Admission   Admission
	Services    *Services
	// Engines may be nil. Streams are then neither resumed on their engine nor continued on another one.
	Engines Engines
	// Guard refuses input that ends upstreams; nil refuses none.
	Guard *quarantine.Guard
	// Ledger holds the cost totals of idempotent requests. Costs of other requests are committed with their claims.
	Ledger *cost.Ledger
	// Background is the context of work that continues after a request ends: resolving claims and cancelling attempts
	// on engines.
	Background context.Context

	// resolving counts the claims that are being resolved.
	resolving sync.WaitGroup
}

// WaitResolved waits until the claims of all ended requests are resolved in the control log, or until ctx ends.
func (r *Runner) WaitResolved(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.resolving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// execution is a running request.
type execution struct {
	*Runner
	*Request
	// mayHaveRun is set if the work of some attempt may have run.
	mayHaveRun bool
	// nonIdempotentMayHaveRun is set if the work of an attempt of a stage that is not idempotent may have run.
	nonIdempotentMayHaveRun bool
	// costs holds the cost of each stage that was started, in order.
	costs []wire.StageCost
	// tokens is the number of tokens received by all attempts.
	tokens int
}

// Run runs a request. It returns the complete answer or a *Failure.
func (r *Runner) Run(ctx context.Context, req *Request) (*wire.PipelineAnswer, error) {
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, ErrDeadline)
	defer cancel()
	x := &execution{Runner: r, Request: req}
	ticket, err := x.admit(ctx)
	if err != nil {
		return nil, x.failure(ctx, err)
	}
	defer x.releaseTicket(ticket)
	x.record("requestAdmitted", "", "", req.Pipeline.Name)
	if Idempotent(req.Pipeline) {
		answer, err := x.runStages(ctx)
		x.charge()
		return answer, err
	}
	return x.runAtMostOnce(ctx)
}

// admit admits the request within the contract's limits. It refuses a request that is not expected to finish before its
// deadline, or that can't because all upstreams of a stage are in evacuated zones.
func (x *execution) admit(ctx context.Context) (limit.Ticket, error) {
	request := limit.Request{
		Workspace: x.Contract.Workspace, Deadline: x.Deadline,
		Needs: retry.ExpectedTime(x.estimates(x.Pipeline.Stages)), Tokens: x.MaxTokens,
	}
	for _, s := range x.Pipeline.Stages {
		request.Units += s.CostUnits
		if x.Picker.IsEvacuated(s.Service) {
			return limit.Ticket{}, errors.Wrapf(ErrNoUpstream, "stage %q: all upstreams of service %q are in evacuated zones", s.Name, s.Service)
		}
	}
	now := time.Now()
	if now.Add(request.Needs).After(x.Deadline) {
		return limit.Ticket{}, &limit.Refusal{Reason: limit.ErrDeadline}
	}
	return x.Admission.Admit(ctx, now, request)
}

// releaseTicket releases the ticket of the request, with the tokens and cost units that the request used.
func (x *execution) releaseTicket(t limit.Ticket) {
	used := limit.Usage{Tokens: x.tokens}
	for _, c := range x.costs {
		used.Units += c.Units + c.WastedUnits
	}
	t.Done(time.Now(), used)
}

// runStages runs the stages in order. Each stage gets the output of the previous stage.
func (x *execution) runStages(ctx context.Context) (*wire.PipelineAnswer, error) {
	body := x.Input
	for i := range x.Pipeline.Stages {
		out, err := x.runStage(ctx, i, body)
		if err != nil {
			return nil, x.failure(ctx, err)
		}
		body = out
	}
	x.record("requestAnswered", "", "", x.Pipeline.Name)
	return x.newAnswer(body), nil
}

// newAnswer returns the complete answer with the output of the last stage.
func (x *execution) newAnswer(output json.RawMessage) *wire.PipelineAnswer {
	return &wire.PipelineAnswer{
		RequestID: x.ID,
		Status:    "complete",
		Output:    &output,
		Cost:      x.costs,
		ElapsedMs: float64(time.Since(x.Started)) / float64(time.Millisecond),
	}
}

// failure converts an error to a *Failure and records it in the time line. Execution is NotRun only if no work of any
// attempt can have run.
func (x *execution) failure(ctx context.Context, err error) *Failure {
	f := &Failure{Execution: NotRun, Detail: err.Error()}
	if x.mayHaveRun {
		f.Execution = Unknown
	}
	var refusal *limit.Refusal
	var inQuarantine *quarantined
	switch {
	case errors.As(err, &refusal):
		f.Reason, f.RetryAfter = refusal.Reason, refusal.RetryAfter
	case errors.Is(context.Cause(ctx), ErrDeadline) || errors.Is(err, ErrDeadline):
		f.Reason = ErrDeadline
	case ctx.Err() != nil:
		f.Reason = ErrCancelled
	case errors.As(err, &inQuarantine):
		f.Reason, f.RetryAfter = ErrQuarantined, inQuarantine.retryAfter
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

// charge adds the cost of an idempotent request to the totals of its workspace.
func (x *execution) charge() {
	for _, r := range x.costRows() {
		x.Ledger.Add(r)
	}
}

// costRows returns the cost of each stage as rows of the cost totals.
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

// record adds an event of the request to the time line. Empty arguments are left out.
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
