package pipeline

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// purchase has an idempotent stage and then one that must not run twice.
var purchase = pipelineOf(wire.Stage{Name: "check", Idempotent: true}, wire.Stage{Name: "buy"})

// failFirst returns a committer hook that loses the first command for which kind is true, or the answer to the command.
// The hook then calls fault, if set.
func failFirst(kind func(wire.Command) bool, fault func()) func(wire.Command) bool {
	failed := false
	return func(cmd wire.Command) bool {
		if failed || !kind(cmd) {
			return true
		}
		failed = true
		if fault != nil {
			fault()
		}
		return false
	}
}

func isClaim(cmd wire.Command) bool   { return cmd.Claim != nil }
func isResolve(cmd wire.Command) bool { return cmd.Resolve != nil }

// failFirstBuy makes the first call of stage buy, which must not run twice, fail with the error that fail returns. runs
// is whether the call's work runs all the same.
func failFirstBuy(cl *cluster, runs bool, fail func(ctx context.Context) error) {
	healthy := cl.respond
	failed := false
	cl.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
		if call.Path != "/buy" || failed {
			return healthy(ctx, call, run)
		}
		failed = true
		if runs {
			run()
		}
		return upstream.Answer{}, fail(ctx)
	}
}

// waitUntilDone waits for the end of ctx and returns its cause.
func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

// TestAtMostOnceAtEachStep injects a fault at each step of a request that is not idempotent: a lost message, an
// upstream that fails, a caller that disconnects, an instance that is killed. It guards against work that runs twice
// when the caller sends the request again, and against a failure reported as not run although the work ran.
func TestAtMostOnceAtEachStep(t *testing.T) {
	notRun := errors.Join(errors.New("connection refused"), upstream.ErrNotRun)
	tests := []struct {
		name  string
		fault func(cl *cluster, inst *instance, disconnect context.CancelFunc)
		// firstOutcome is the outcome of the first request: "complete" for an answer, the execution of a failure, or
		// "any".
		firstOutcome string
		// resendOutcome is the outcome of a repeated request at another instance after the first instance was removed.
		resendOutcome string
		// ran is how often the work of stage buy ran in total.
		ran int
	}{
		{"no fault", func(*cluster, *instance, context.CancelFunc) {}, "complete", "complete", 1},
		{"claim is lost", func(_ *cluster, inst *instance, _ context.CancelFunc) {
			inst.committer.before = failFirst(isClaim, nil)
		}, NotRun, "complete", 1},
		{"answer to the claim is lost", func(_ *cluster, inst *instance, _ context.CancelFunc) {
			inst.committer.after = failFirst(isClaim, nil)
		}, NotRun, "complete", 1},
		{"killed after the claim", func(_ *cluster, inst *instance, disconnect context.CancelFunc) {
			inst.committer.after = failFirst(isClaim, func() { inst.kill(); disconnect() })
		}, NotRun, Unknown, 0},
		{"connection refused", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, false, func(context.Context) error { return notRun })
		}, "complete", "complete", 1},
		{"upstream is busy", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, false, func(context.Context) error { return errors.Join(upstream.ErrRefused, upstream.ErrNotRun) })
		}, "complete", "complete", 1},
		{"lost before it ran", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, false, func(context.Context) error { return upstream.ErrSilent })
		}, Unknown, Unknown, 0},
		{"silent after it ran", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, true, func(context.Context) error { return upstream.ErrSilent })
		}, Unknown, Unknown, 1},
		{"answer belongs to another attempt", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, true, func(context.Context) error { return upstream.ErrForeignAnswer })
		}, Unknown, Unknown, 1},
		{"answer is truncated", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, true, func(context.Context) error { return upstream.ErrTruncated })
		}, Unknown, Unknown, 1},
		{"answer after the deadline", func(cl *cluster, _ *instance, _ context.CancelFunc) {
			failFirstBuy(cl, true, waitUntilDone)
		}, Unknown, Unknown, 1},
		{"caller leaves before the answer", func(cl *cluster, _ *instance, disconnect context.CancelFunc) {
			healthy := cl.respond
			cl.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
				answer, err := healthy(ctx, call, run)
				if call.Path == "/buy" {
					disconnect()
				}
				return answer, errors.Join(err, context.Cause(ctx))
			}
		}, "complete", "complete", 1},
		{"caller leaves while it runs", func(cl *cluster, _ *instance, disconnect context.CancelFunc) {
			failFirstBuy(cl, true, func(ctx context.Context) error { disconnect(); return waitUntilDone(ctx) })
		}, Unknown, Unknown, 1},
		{"killed while it runs", func(cl *cluster, inst *instance, disconnect context.CancelFunc) {
			failFirstBuy(cl, true, func(ctx context.Context) error { inst.kill(); disconnect(); return waitUntilDone(ctx) })
		}, Unknown, Unknown, 1},
		{"resolution is lost", func(_ *cluster, inst *instance, _ context.CancelFunc) {
			inst.committer.before = failFirst(isResolve, nil)
		}, Ran, "complete", 1},
		{"answer to the resolution is lost", func(_ *cluster, inst *instance, _ context.CancelFunc) {
			inst.committer.after = failFirst(isResolve, nil)
		}, Ran, "complete", 1},
		{"killed before the resolution", func(_ *cluster, inst *instance, disconnect context.CancelFunc) {
			inst.committer.before = func(cmd wire.Command) bool {
				if isResolve(cmd) {
					inst.kill()
					disconnect()
				}
				return !isResolve(cmd)
			}
		}, "any", Unknown, 1},
		{"caller leaves after the resolution", func(_ *cluster, inst *instance, disconnect context.CancelFunc) {
			inst.committer.after = func(cmd wire.Command) bool {
				if isResolve(cmd) {
					disconnect()
				}
				return true
			}
		}, "complete", "complete", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkAtMostOnce(t, test.fault, test.firstOutcome, test.resendOutcome, test.ran) })
		})
	}
}

// checkAtMostOnce runs a request with a fault at instance a. It repeats the request at instance b, before and after
// instance a is removed, and then sends another request with the same key.
func checkAtMostOnce(t *testing.T, fault func(*cluster, *instance, context.CancelFunc), firstOutcome, resendOutcome string, ran int) {
	is := is.New(t)
	cl := newCluster()
	policy := wire.UpstreamPolicy{MaxAttempts: 3, RetryBudget: 0.5, EjectAfterFailures: 5, QueueLimit: 10}
	a, b := cl.newInstance(t, "a", 3, policy), cl.newInstance(t, "b", 3, policy)
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	fault(cl, a, disconnect)
	answer, err := a.Run(ctx, newRequest(purchase, "key", time.Second))
	outcome := outcomeOf(answer, err)
	if firstOutcome != "any" {
		is.Equal(outcome, firstOutcome)
	}
	if outcome == NotRun {
		is.Equal(cl.ran["/buy"], 0) // notRun is reported only if the work did not run
	}
	// Instance a may still be resolving its claim.
	earlyAnswer, earlyErr := b.Run(t.Context(), newRequest(purchase, "key", 100*time.Millisecond))
	earlyOutcome := outcomeOf(earlyAnswer, earlyErr)
	is.True(earlyOutcome != NotRun || cl.ran["/buy"] == 0)
	time.Sleep(time.Minute)
	cl.apply(wire.Command{Forget: &wire.InstanceInfo{ID: "a", Incarnation: 1}})
	repeated, err := b.Run(t.Context(), newRequest(purchase, "key", time.Second))
	is.Equal(outcomeOf(repeated, err), resendOutcome)
	is.Equal(cl.ran["/buy"], ran)
	if repeated != nil && answer != nil {
		is.Equal(string(*repeated.Output), string(*answer.Output)) // the same answer
	}
	_, err = b.Run(t.Context(), &Request{
		ID: "other", Contract: &contract, Pipeline: purchase, Key: "key", Digest: "another body", Started: time.Now(),
		Deadline: time.Now().Add(time.Second),
	})
	is.True(errors.Is(err, ErrKeyMismatch))
}

// outcomeOf returns the status of an answer or the execution of a failure.
func outcomeOf(answer *wire.PipelineAnswer, err error) string {
	if err == nil {
		return answer.Status
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.Execution
	}
	return err.Error()
}
