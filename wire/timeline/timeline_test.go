package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// The wall clock of one process is an hour ahead of the other's. A message from the first to the second must still be
// ordered before its receipt, and once wall time passes the observed reading, the clock follows wall time again.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	is := is.New(t)
	ahead, behind := new(Clock), new(Clock)
	now := time.UnixMilli(100_000)
	sent := ahead.Now(now.Add(time.Hour))
	first := behind.Now(now)
	received := behind.Observe(now, sent)
	is.Equal(Compare(first, sent), -1)
	is.Equal(Compare(sent, received), -1)
	is.Equal(Compare(received, behind.Now(now.Add(time.Second))), -1)
	is.Equal(behind.Now(now.Add(2*time.Hour)).Logical, 0)
}

// Wall time can stand still between readings or be set back. Each reading must still be later than the previous one.
func TestClockNeverRepeats(t *testing.T) {
	is := is.New(t)
	c, last := new(Clock), wire.HLC{}
	for _, wall := range []int64{5, 5, 3, 6, 6, 1} {
		got := c.Now(time.UnixMilli(wall))
		is.Equal(Compare(last, got), -1)
		last = got
	}
}

func event(wall, logical int, instance, kind, request string) wire.Event {
	return wire.Event{Time: wire.HLC{WallMs: wall, Logical: logical}, Instance: instance, Kind: kind, Request: &request}
}

// The lists of several instances can contain the same event. Merge must return it once, but keep different events with
// the same time.
func TestMerge(t *testing.T) {
	is := is.New(t)
	a := event(1, 0, "a", "sent", "r")
	b := event(1, 1, "b", "received", "r")
	c := event(2, 0, "a", "answered", "r")
	duplicate := event(1, 1, "b", "received", "r")
	got := Merge([]wire.Event{a, c}, []wire.Event{b}, []wire.Event{duplicate})
	is.Equal(len(got), 3)
	is.Equal([]string{got[0].Kind, got[1].Kind, got[2].Kind}, []string{"sent", "received", "answered"})
	is.Equal(len(Merge([]wire.Event{b}, []wire.Event{event(1, 1, "b", "received", "other")})), 2)
}

func TestSelect(t *testing.T) {
	events := []wire.Event{event(1, 0, "a", "x", "r"), event(2, 0, "b", "x", "s"), event(3, 0, "a", "x", "s")}
	tests := map[string]struct {
		query wire.TimelineQuery
		want  int
	}{
		"all":      {wire.TimelineQuery{}, 3},
		"request":  {wire.TimelineQuery{Request: "s"}, 2},
		"instance": {wire.TimelineQuery{Instance: "a"}, 2},
		"since":    {wire.TimelineQuery{SinceMs: 2}, 2},
		"both":     {wire.TimelineQuery{Instance: "a", Request: "s"}, 1},
		"revision": {wire.TimelineQuery{Revision: 4}, 0},
		"limit":    {wire.TimelineQuery{Limit: 1}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Select(tt.query, events)
			is.Equal(len(got), tt.want)
			if tt.query.Limit == 1 {
				is.Equal(got[0].Time.WallMs, 3)
			}
		})
	}
}
