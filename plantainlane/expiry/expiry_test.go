package expiry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/expiry/expirytest"
)

// TestRightOutlivesSuspension guards against a right that is still used after the machine was suspended beyond its end.
func TestRightOutlivesSuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	until := now.Add(2 * time.Second)
	is.True(!IsPast(now.Add(1999*time.Millisecond), until))
	is.True(IsPast(until, until))
	resumed := expirytest.Suspend(now, 4*time.Second)
	is.True(resumed.Before(until)) // the monotonic clock alone doesn't notice
	is.True(IsPast(resumed, until))
	is.Equal(Skipped(now, resumed), 4*time.Second)
	is.Equal(Skipped(now, until), time.Duration(0))
	setBack := expirytest.Suspend(now, -time.Hour).Add(2 * time.Second)
	is.True(IsPast(setBack, until))
	is.Equal(Skipped(now, setBack), time.Duration(0))
}
