package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/expiry/expirytest"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// confirmedLog is the log of a leader that a quorum last confirmed at a given time.
type confirmedLog struct {
	*Solo
	at time.Time
}

func (l *confirmedLog) ConfirmedSince(t time.Time) bool { return !l.at.Before(t) }

// TestResumedLeaderConfirms guards against a leader that was suspended, while another one may have been elected, and confirms
// that its configuration is the newest because its monotonic clock stood still.
func TestResumedLeaderConfirms(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	log := &confirmedLog{NewSolo("a", 1), now}
	c := New(wire.InstanceInfo{ID: "a", Incarnation: 1}, WithLog(log, &state.State{}, 0))
	sequence := 0
	isConfirmed := func(at time.Time) bool {
		sequence++
		request := wire.LeaseRequest{Info: wire.InstanceInfo{ID: "b", Incarnation: 1}, Sequence: sequence}
		for _, o := range c.Step(at, FrameReceived{Frame: wire.Frame{From: "b", LeaseRequest: &request}}) {
			if a := o.Frame.LeaseAnswer; a != nil && a.Sequence == sequence {
				return a.DurationMs > 0
			}
		}
		t.Fatal("no answer")
		return false
	}
	c.Step(now)      // a leads
	isConfirmed(now) // registers b
	is.True(isConfirmed(now))
	resumed := expirytest.Suspend(now, 4*time.Second)
	is.True(!isConfirmed(resumed.Add(time.Millisecond)))
	log.at = resumed.Add(2 * time.Millisecond)
	is.True(isConfirmed(resumed.Add(3 * time.Millisecond)))
}

// TestResumedInstanceHoldsLease guards against an instance that was suspended beyond the end of its lease, and serves on
// because its monotonic clock stood still.
func TestResumedInstanceHoldsLease(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := &View{LeaseUntil: now.Add(10 * time.Second), CertainUntil: now.Add(2 * time.Second)}
	is.True(v.LeaseHeld(now))
	is.True(v.IsCertain(now))
	resumed := expirytest.Suspend(now, 4*time.Second)
	is.True(v.LeaseHeld(resumed))
	is.True(!v.IsCertain(resumed))
	is.True(!v.LeaseHeld(expirytest.Suspend(now, 11*time.Second)))
}
