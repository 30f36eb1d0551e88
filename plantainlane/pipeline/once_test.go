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

var purchase = pipelineOf(wire.Stage{Name: "check", Idempotent: true}, wire.Stage{Name: "buy"})

// onFirst returns a hook that fails the first command of a kind.
func onFirst(kind func(wire.Command) bool, fault func()) func(wire.Command) bool {
	done := false
	return func(cmd wire.Command) bool {
		if done || !kind(cmd) {
			return true
		}
		done = true
		if fault != nil {
			fault()
		}
		return false
	}
}

func isClaim(cmd wire.Command) bool   { return cmd.Claim != nil }
func isResolve(cmd wire.Command) bool { return cmd.Resolve != nil }

// onBuy fails the first call of the stage that must not be repeated.
func onBuy(w *world, runs bool, fail func(ctx context.Context) error) {
	healthy := w.respond
	failed := false
	w.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
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

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

func TestAtMostOnceAtEachStep(t *testing.T) {
	notRun := errors.Join(errors.New("connection refused"), upstream.ErrNotRun)
	tests := []struct {
		name  string
		fault func(w *world, e *entry, leave context.CancelFunc)
		// first is what the first caller is told; "complete" for the whole answer.
		first string
		// resent is what a resend at another instance is told once the first instance is forgotten.
		resent string
		ran    int
	}{
		{"no fault", func(*world, *entry, context.CancelFunc) {}, "complete", "complete", 1},
		{"claim is lost", func(_ *world, e *entry, _ context.CancelFunc) {
			e.committer.before = onFirst(isClaim, nil)
		}, NotRun, "complete", 1},
		{"answer to the claim is lost", func(_ *world, e *entry, _ context.CancelFunc) {
			e.committer.after = onFirst(isClaim, nil)
		}, NotRun, "complete", 1},
		{"killed after the claim", func(_ *world, e *entry, leave context.CancelFunc) {
			e.committer.after = onFirst(isClaim, func() { e.kill(); leave() })
		}, NotRun, Unknown, 0},
		{"connection refused", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, false, func(context.Context) error { return notRun })
		}, "complete", "complete", 1},
		{"upstream is busy", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, false, func(context.Context) error { return errors.Join(upstream.ErrRefused, upstream.ErrNotRun) })
		}, "complete", "complete", 1},
		{"lost before it ran", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, false, func(context.Context) error { return upstream.ErrSilent })
		}, Unknown, Unknown, 0},
		{"silent after it ran", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, true, func(context.Context) error { return upstream.ErrSilent })
		}, Unknown, Unknown, 1},
		{"answer is another's", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, true, func(context.Context) error { return upstream.ErrForeignAnswer })
		}, Unknown, Unknown, 1},
		{"answer is truncated", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, true, func(context.Context) error { return upstream.ErrTruncated })
		}, Unknown, Unknown, 1},
		{"answer after the deadline", func(w *world, _ *entry, _ context.CancelFunc) {
			onBuy(w, true, untilDone)
		}, Unknown, Unknown, 1},
		{"caller leaves before the answer", func(w *world, _ *entry, leave context.CancelFunc) {
			healthy := w.respond
			w.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
				answer, err := healthy(ctx, call, run)
				if call.Path == "/buy" {
					leave()
				}
				return answer, errors.Join(err, context.Cause(ctx))
			}
		}, "complete", "complete", 1},
		{"caller leaves while it runs", func(w *world, _ *entry, leave context.CancelFunc) {
			onBuy(w, true, func(ctx context.Context) error { leave(); return untilDone(ctx) })
		}, Unknown, Unknown, 1},
		{"killed while it runs", func(w *world, e *entry, leave context.CancelFunc) {
			onBuy(w, true, func(ctx context.Context) error { e.kill(); leave(); return untilDone(ctx) })
		}, Unknown, Unknown, 1},
		{"record is lost", func(_ *world, e *entry, _ context.CancelFunc) {
			e.committer.before = onFirst(isResolve, nil)
		}, Ran, "complete", 1},
		{"answer to the record is lost", func(_ *world, e *entry, _ context.CancelFunc) {
			e.committer.after = onFirst(isResolve, nil)
		}, Ran, "complete", 1},
		{"killed before the record", func(_ *world, e *entry, leave context.CancelFunc) {
			e.committer.before = func(cmd wire.Command) bool {
				if isResolve(cmd) {
					e.kill()
					leave()
				}
				return !isResolve(cmd)
			}
		}, "any", Unknown, 1},
		{"caller leaves before the reply", func(_ *world, e *entry, leave context.CancelFunc) {
			e.committer.after = func(cmd wire.Command) bool {
				if isResolve(cmd) {
					leave()
				}
				return true
			}
		}, "complete", "complete", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stepThrough(t, test.fault, test.first, test.resent, test.ran) })
		})
	}
}

func stepThrough(t *testing.T, fault func(*world, *entry, context.CancelFunc), first, resent string, ran int) {
	is := is.New(t)
	w := newWorld()
	policy := wire.UpstreamPolicy{MaxAttempts: 3, RetryBudget: 0.5, EjectAfterFailures: 5, QueueLimit: 10}
	a, b := w.newEntry(t, "a", 3, policy), w.newEntry(t, "b", 3, policy)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	fault(w, a, leave)
	answer, err := a.Run(ctx, newRequest(purchase, "key", time.Second))
	told := outcomeOf(answer, err)
	if first != "any" {
		is.Equal(told, first)
	}
	if told == NotRun {
		is.Equal(w.ran["/buy"], 0) // notRun is only said of work that did not run
	}
	early, earlyErr := b.Run(t.Context(), newRequest(purchase, "key", 100*time.Millisecond))
	early2 := outcomeOf(early, earlyErr)
	is.True(early2 != NotRun || w.ran["/buy"] == 0)
	time.Sleep(time.Minute)
	w.apply(wire.Command{Forget: &wire.InstanceInfo{ID: "a", Incarnation: 1}})
	again, err := b.Run(t.Context(), newRequest(purchase, "key", time.Second))
	is.Equal(outcomeOf(again, err), resent)
	is.Equal(w.ran["/buy"], ran)
	if again != nil && answer != nil {
		is.Equal(string(*again.Output), string(*answer.Output)) // the same answer
	}
	_, err = b.Run(t.Context(), &Request{
		ID: "other", Contract: &contract, Pipeline: purchase, Key: "key", Digest: "another body", Started: time.Now(),
		Deadline: time.Now().Add(time.Second),
	})
	is.True(errors.Is(err, ErrKeyMismatch))
}

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
