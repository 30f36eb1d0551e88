package pipeline

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// allEnded says of each process that it has ended.
type allEnded struct{}

func (allEnded) HasEnded(context.Context, quarantine.Process) bool { return true }

// TestInputThatEndsUpstreamsRunsAgain guards against an input that ends each upstream that runs it and is given to the next
// one: by a retry, or by another request.
func TestInputThatEndsUpstreamsRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster()
		inst := cl.newInstance(t, "a", 5, hedgePolicy)
		g := quarantine.NewGuard(t.Context(), allEnded{}, func() {})
		inst.Guard = g
		runs := 0
		cl.respond = func(_ context.Context, _ upstream.Call, run func()) (upstream.Answer, error) {
			run()
			runs++
			return upstream.Answer{}, errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "read answer"), upstream.ErrTruncated)
		}
		req := newRequest(lookup, "", time.Second)
		content := (&execution{Request: req}).contentOf(&wire.Stage{Name: "lookup", Service: "s"}, req.Input)
		_, err := inst.Run(t.Context(), req)
		is.True(errors.Is(err, ErrUpstream))
		is.Equal(runs, 2) // unknown input is tried again
		synctest.Wait()
		is.Equal(g.Broken.Value(), int64(2))

		suspects := []wire.SuspectPart{{Service: "s", Part: content.Parts[0], Crashes: 2}}
		g.Learn(time.Now(), wire.QuarantineUpdate{Version: 1, Suspects: suspects})
		_, err = inst.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.True(errors.Is(err, ErrUpstream))
		is.Equal(runs, 3) // suspect input is not tried again

		entries := []wire.QuarantineEntry{quarantine.NewEntry(time.Now(), "s", "", content.Parts, time.Minute)}
		g.Learn(time.Now(), wire.QuarantineUpdate{Version: 2, Entries: entries})
		_, err = inst.Run(t.Context(), newRequest(lookup, "", time.Second))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Reason, ErrQuarantined)
		is.Equal(failure.Execution, NotRun)
		is.True(failure.RetryAfter > 30*time.Second)
		is.Equal(runs, 3)
	})
}

// trialAsker answers queries for trials.
type trialAsker struct {
	answer   wire.TrialAnswer
	returned int
}

func (a *trialAsker) AskTrial(_ context.Context, q wire.TrialQuery) (wire.TrialAnswer, bool) {
	if q.Returned != 0 {
		a.returned++
		return wire.TrialAnswer{}, true
	}
	return a.answer, true
}

// TestSuspectStageRunsWithoutTrial guards against a stage that has ended upstreams and runs though it has no trial, or that runs more
// than once with one, and against a trial that isn't given back though the stage didn't run.
func TestSuspectStageRunsWithoutTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster()
		inst := cl.newInstance(t, "a", 5, hedgePolicy)
		asker := &trialAsker{answer: wire.TrialAnswer{Suspect: true, WaitMs: 10}}
		g := quarantine.NewGuard(t.Context(), allEnded{}, func() {}).WithAsker(asker)
		inst.Guard = g
		runs := 0
		failure := errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "read answer"), upstream.ErrTruncated)
		cl.respond = func(_ context.Context, _ upstream.Call, run func()) (upstream.Answer, error) {
			run()
			runs++
			return upstream.Answer{}, failure
		}
		req := newRequest(lookup, "", time.Second)
		x := &execution{Request: req}
		content := x.contentOf(&req.Pipeline.Stages[0], req.Input)
		g.Learn(time.Now(), wire.QuarantineUpdate{
			Version: 1, Suspects: []wire.SuspectPart{{Service: req.Pipeline.Stages[0].Service, Part: content.Exact.ID(), Crashes: 2}},
		})
		_, err := inst.Run(t.Context(), req)
		var f *Failure
		is.True(errors.As(err, &f))
		is.Equal(f.Reason, ErrQuarantined)
		is.Equal(f.Execution, NotRun)
		is.True(f.RetryAfter > 0)
		is.Equal(runs, 0)

		asker.answer = wire.TrialAnswer{Suspect: true, Trial: 5, ValidMs: 1000}
		_, err = inst.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.True(errors.Is(err, ErrUpstream))
		is.Equal(runs, 1)
		failure = errors.Mark(errors.New("refused"), upstream.ErrNotRun)
		_, err = inst.Run(t.Context(), newRequest(lookup, "", time.Second))
		is.True(err != nil)
		synctest.Wait()
		is.True(asker.returned > 0)
	})
}
