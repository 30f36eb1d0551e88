package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// crashUnder reports an end of an upstream under a send with a part.
func crashUnder(d *Detector, now time.Time, n int, workspace, part string) {
	d.Report(now, []wire.BrokenSend{{
		Upstream: fmt.Sprint("u", n), Service: "s", Send: fmt.Sprint("r", n), Workspace: workspace, Parts: []string{"first", part},
	}}, nil)
	d.Suspects(now)
}

// TestLiftedEntryComesBack guards against an entry that an operator has lifted and that comes back though its content was
// answered since, or that doesn't come back at the next end of an upstream though it wasn't.
func TestLiftedEntryComesBack(t *testing.T) {
	for _, answered := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1_000_000, 0)
		lifted := NewEntry(now.Add(-time.Hour), "s", "", []string{"p"}, time.Minute)
		d := NewDetector(noNews{})
		crashUnder(d, now, 1, "w", "p")
		is.Equal(len(d.Blame(now, []wire.QuarantineEntry{lifted})), 0) // nobody had time to say that it was answered
		if answered {
			d.Report(now, nil, []wire.ServedPart{{Service: "s", Part: "p", AgoMs: 60_000}})
		}
		found := d.Blame(now.Add(answerTime), []wire.QuarantineEntry{lifted})
		is.Equal(len(found) == 1, !answered)
		if !answered {
			is.Equal(found[0].ID, lifted.ID)
			is.True(IsActive(&found[0], now.Add(time.Hour)))
		}
	}
}

// TestEntryIsForOneWorkspace guards against an entry that stays with one workspace though its content ends upstreams under
// another one's requests, and against one that takes in other content of that workspace.
func TestEntryIsForOneWorkspace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	e := NewEntry(now, "s", "w", []string{"p"}, time.Hour)
	d := NewDetector(noNews{})
	now = now.Add(time.Minute)
	crashUnder(d, now, 1, "w", "p") // it was under way
	crashUnder(d, now, 2, "other", "q")
	is.Equal(len(d.Blame(now.Add(answerTime), []wire.QuarantineEntry{e})), 0)
	crashUnder(d, now, 3, "other", "p")
	found := d.Blame(now.Add(answerTime), []wire.QuarantineEntry{e})
	is.Equal(len(found), 1)
	is.Equal(found[0].Workspace, "")
	is.Equal(found[0].Parts, []string{"p"})
	is.True(Covers(&found[0], &e))
}

// TestPartsThatCannotBeToldApart guards against an entry that refuses requests with only one of two parts that were always
// together, and against one that keeps a part with which requests were answered since.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	d := NewDetector(noNews{})
	for n := range 4 {
		crashUnder(d, now, n, "w", "p")
		for i := range 30 {
			d.Report(now.Add(500*time.Millisecond), nil, []wire.ServedPart{{Service: "s", Part: anyPart, Answers: 1, AgoMs: 10 * i}})
		}
		now = now.Add(time.Second)
	}
	found := d.Blame(now, nil)
	is.Equal(len(found), 1)
	is.Equal(found[0].Parts, []string{"first", "p"})
	d.Report(now.Add(time.Second), nil, []wire.ServedPart{{Service: "s", Part: "first"}})
	narrowed := d.Narrowed(now.Add(time.Second), found)
	is.Equal(len(narrowed), 1)
	is.Equal(narrowed[0].Parts, []string{"p"})
}
