package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// known returns what waitForRun asks: after a time it is known whether the process of the run is gone, unless the wait is over before.
func known(after time.Duration, isGone bool) func(ctx context.Context) bool {
	return func(ctx context.Context) bool {
		select {
		case <-time.After(after):
			return isGone
		case <-ctx.Done():
			return false
		}
	}
}

// TestRunIsTakenForEnded guards against a run that is taken for ended before its process is known to be gone or has had the time to
// notice, and against a wait that is longer than that.
func TestRunIsTakenForEnded(t *testing.T) {
	tests := map[string]struct {
		isGone func(ctx context.Context) bool
		leaves time.Duration // when the caller leaves
		wait   time.Duration
	}{
		"gone":                     {known(0, true), time.Minute, 0},
		"gone, known late":         {known(300*time.Millisecond, true), time.Minute, 300 * time.Millisecond},
		"lives":                    {known(0, false), time.Minute, noticeTime},
		"lives, known late":        {known(300*time.Millisecond, false), time.Minute, noticeTime},
		"silent":                   {known(time.Minute, true), time.Minute, noticeTime},
		"lives, caller leaves":     {known(0, false), 200 * time.Millisecond, 200 * time.Millisecond},
		"silent, caller leaves":    {known(time.Minute, true), 200 * time.Millisecond, 200 * time.Millisecond},
		"silent, caller left then": {known(time.Minute, true), 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), tt.leaves)
				defer cancel()
				since := time.Now()
				isGone := waitForRun(ctx, tt.isGone)
				is.Equal(time.Since(since), tt.wait)
				is.Equal(isGone, tt.wait < noticeTime && tt.leaves == time.Minute)
			})
		})
	}
}
