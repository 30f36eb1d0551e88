package pipeline

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

var (
	lookup = pipelineOf(wire.Stage{Name: "look", Idempotent: true})
	hedged = wire.UpstreamPolicy{
		MaxAttempts: 2, RetryBudget: 0.1, HedgeQuantile: 0.95, EjectAfterFailures: 5, EjectForMs: 1000,
		MaxEjectedShare: 0.5, SilentAfterMs: 500, QueueLimit: 100,
	}
)

// sleepOr waits, or ends with the context.
func sleepOr(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func TestHedgeLoserIsCancelledAndItsCostWasted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 5, hedged)
		var stuck atomic.Bool
		var cancelled atomic.Int32
		w.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
			run()
			wait := 10 * time.Millisecond
			if stuck.Swap(false) {
				wait = time.Minute
			}
			if err := sleepOr(ctx, wait); err != nil {
				cancelled.Add(1)
				return upstream.Answer{}, err
			}
			return answerTo(call), nil
		}
		for range 50 {
			_, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
			is.NoErr(err)
		}
		e.Services.Review(time.Now())
		stuck.Store(true)
		answer, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.NoErr(err)
		is.Equal(cancelled.Load(), int32(1))
		is.True(answer.ElapsedMs < 50)
		is.Equal(answer.Cost, []wire.StageCost{{Stage: "look", Attempts: 2, Units: 2, WastedUnits: 2}})
		row := e.ledger.Totals()[0]
		is.Equal(row.Units, 102.0)
		is.Equal(row.WastedUnits, 2.0)
		is.Equal(e.Services.Get("s").Semaphore.InFlight(), 0)
	})
}

func TestFailingServiceIsNotMultiplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 5, hedged)
		calls, failed := 0, 0
		w.respond = func(_ context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
			run()
			if calls++; calls%2 == 0 {
				return upstream.Answer{}, &upstream.StatusError{Status: 500, Cost: 2}
			}
			return answerTo(call), nil
		}
		for range 1000 {
			if _, err := e.Run(t.Context(), newRequest(lookup, "", time.Second)); err != nil {
				failed++
			}
			time.Sleep(time.Millisecond)
		}
		is.True(calls <= 1106) // a tenth of the first attempts, and the few that a budget starts with
		row := e.ledger.Totals()[0]
		is.Equal(row.Attempts, calls)
		is.Equal(row.Units+row.WastedUnits, 2*float64(calls))
		is.Equal(row.Units, 2*float64(1000-failed))
	})
}

// TestAttemptsThatReachNobodyAreFree has a policy of two attempts and no retry budget to speak of: one call fails, and
// three connections are refused before the one that answers.
func TestAttemptsThatReachNobodyAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 5, wire.UpstreamPolicy{MaxAttempts: 2, RetryBudget: 0.1, EjectAfterFailures: 50, QueueLimit: 10})
		faults := []error{upstream.ErrNotRun, upstream.ErrSilent, upstream.ErrNotRun, upstream.ErrNotRun}
		w.respond = func(_ context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
			if len(faults) > 0 {
				err := faults[0]
				faults = faults[1:]
				return upstream.Answer{}, err
			}
			run()
			return answerTo(call), nil
		}
		_, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.NoErr(err)

		w.respond = func(context.Context, upstream.Call, func()) (upstream.Answer, error) {
			return upstream.Answer{}, upstream.ErrNotRun
		}
		_, err = e.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.Equal(outcomeOf(nil, err), NotRun) // and it ends
	})
}

func TestIdempotentWorkMovesFromASilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 3, wire.UpstreamPolicy{MaxAttempts: 2, RetryBudget: 0.1, EjectAfterFailures: 5, QueueLimit: 10})
		first := ""
		w.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
			if first == "" {
				first = call.Address
				_ = sleepOr(ctx, 500*time.Millisecond)
				return upstream.Answer{}, upstream.ErrSilent
			}
			is.True(call.Address != first)
			run()
			return answerTo(call), nil
		}
		answer, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.NoErr(err)
		is.Equal(answer.Cost[0].Attempts, 2)
	})
}

func TestAnswerThatIsNotWholeIsNotGiven(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	e := w.newEntry(t, "a", 2, wire.UpstreamPolicy{MaxAttempts: 1, QueueLimit: 10})
	w.respond = func(context.Context, upstream.Call, func()) (upstream.Answer, error) {
		return upstream.Answer{Output: []byte(`{"text":"hal`), Cost: 2, Reported: true}, nil
	}
	_, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
	is.True(errors.Is(err, ErrUpstream))
	is.Equal(outcomeOf(nil, err), Unknown)
	is.Equal(e.ledger.Totals()[0].WastedUnits, 2.0)
}

func TestRequestThatCanNotFinishIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 2, hedged)
		w.respond = func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
			run()
			return answerTo(call), sleepOr(ctx, 200*time.Millisecond)
		}
		for range 30 {
			_, err := e.Run(t.Context(), newRequest(lookup, "", time.Second))
			is.NoErr(err)
		}
		e.Services.Review(time.Now())
		before := w.ran["/look"]
		_, err := e.Run(t.Context(), newRequest(lookup, "", 100*time.Millisecond))
		is.True(errors.Is(err, limit.ErrDeadline))
		is.Equal(outcomeOf(nil, err), NotRun)
		is.Equal(w.ran["/look"], before)
	})
}

func TestCallerThatLeavesCancelsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		e := w.newEntry(t, "a", 2, hedged)
		w.respond = func(ctx context.Context, _ upstream.Call, run func()) (upstream.Answer, error) {
			run()
			return upstream.Answer{}, sleepOr(ctx, time.Hour)
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		started := time.Now()
		_, err := e.Run(ctx, newRequest(lookup, "", time.Minute))
		is.True(errors.Is(err, ErrCancelled))
		is.Equal(time.Since(started), 50*time.Millisecond)
		is.Equal(e.Services.Get("s").Semaphore.InFlight(), 0)
	})
}
