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
		content := (&execution{Request: req}).contentOf("s", req.Input)
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
