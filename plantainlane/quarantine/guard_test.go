package quarantine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// endedProcesses is a Checker that counts its calls.
type endedProcesses struct {
	mu    sync.Mutex
	calls int
}

func (e *endedProcesses) HasEnded(context.Context, Process) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	return true
}

// TestCallersFillGuard guards against a guard whose memory or reports grow with what callers send: parts without end, long
// ones, and many sends that break at once.
func TestCallersFillGuard(t *testing.T) {
	is := is.New(t)
	g := NewGuard(t.Context(), &endedProcesses{}, func() {})
	now := time.Unix(1_000_000, 0)
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprint(strings.Repeat("x", 1000), i))
	}
	parts := Parts(append([]string{""}, many...))
	is.Equal(len(parts), MaxParts-1) // the empty one is left out
	is.True(parts[0] != parts[1])
	for _, p := range parts {
		is.True(len(p) <= maxPartBytes)
	}
	for i := range 100_000 {
		g.Served(now, Request{Service: "s", Parts: []string{fmt.Sprint("part-", i)}})
	}
	is.True(len(g.served.newer)+len(g.served.older) <= 2*maxServed)
	for i := range 1000 {
		r := Request{ID: fmt.Sprint("r", i), Service: "s", Parts: parts}
		g.Ended(now, Process{Upstream: "u", Incarnation: 1}, r, Send{ID: r.ID})
	}
	is.Equal(len(g.Report(now, 1).Broken), maxBroken)
}

// TestReportIsLost guards against broken sends and answers that are reported no more though no leader has confirmed them, or
// that are reported for good.
func TestReportIsLost(t *testing.T) {
	is := is.New(t)
	g := NewGuard(t.Context(), &endedProcesses{}, func() {})
	now := time.Unix(1_000_000, 0)
	r := Request{ID: "r", Service: "s", Parts: []string{"first", "p"}}
	g.Ended(now, Process{Upstream: "u", Incarnation: 1}, r, Send{ID: "r.1"})
	is.True(g.TakeChanged())
	is.Equal(len(g.Report(now, 1).Broken), 1)
	is.Equal(len(g.Report(now, 2).Broken), 1) // the first report isn't confirmed
	g.Confirm(2)
	is.Equal(len(g.Report(now, 3).Broken), 0)
	g.Repeat()
	is.True(g.TakeChanged())
	is.Equal(len(g.Report(now, 4).Broken), 1) // another leader
	g.Confirm(4)

	g.Learn(now, wire.QuarantineUpdate{Version: 1, Suspects: []wire.SuspectPart{{Service: "s", Part: "p", Crashes: 1}}})
	is.Equal(len(g.Report(now, 5).Served), 0)
	g.Served(now, r)
	is.True(g.TakeChanged())
	is.Equal(len(g.Report(now, 6).Served), 1)
	is.Equal(len(g.Report(now, 7).Served), 1)
	g.Confirm(7)
	is.Equal(len(g.Report(now, 8).Served), 0)
	now = now.Add(evidenceWindow + time.Second)
	g.Repeat()
	is.Equal(len(g.Report(now, 9).Broken), 0) // no evidence any more
}

// TestOlderUpdateIsTaken guards against an entry that is forgotten because an update was overtaken by a newer one.
func TestOlderUpdateIsTaken(t *testing.T) {
	is := is.New(t)
	g := NewGuard(t.Context(), &endedProcesses{}, func() {})
	now := time.Unix(1_000_000, 0)
	e := NewEntry(now, "s", "w", []string{"p"}, time.Minute)
	g.Learn(now, wire.QuarantineUpdate{Version: 2, Entries: []wire.QuarantineEntry{e}})
	g.Learn(now, wire.QuarantineUpdate{Version: 1})
	refused := Request{Service: "s", Workspace: "w", Parts: []string{"first", "p"}}
	is.True(g.Refusal(now, refused) != nil)
	for _, sound := range []Request{
		{Service: "other", Workspace: "w", Parts: refused.Parts},
		{Service: "s", Workspace: "other", Parts: refused.Parts},
		{Service: "s", Workspace: "w", Parts: []string{"first"}},
	} {
		is.True(g.Refusal(now, sound) == nil)
	}
	is.True(g.Refusal(now.Add(time.Minute), refused) == nil) // the entry has ended
}

// TestSendsThatBreakTogetherAreCheckedOneByOne guards against a connection to the address of an ended process for each send
// that broke with it.
func TestSendsThatBreakTogetherAreCheckedOneByOne(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	c := &heldChecker{held: held}
	g := NewGuard(t.Context(), c, func() {})
	for i := range 50 {
		g.Broke(Process{Upstream: "u", Incarnation: 1, Address: "a"}, Request{ID: fmt.Sprint(i), Service: "s"}, Send{ID: fmt.Sprint(i)})
	}
	time.Sleep(50 * time.Millisecond)
	close(held)
	for range 100 {
		if g.Broken.Value() == 50 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.Broken.Value(), int64(50))
	is.True(c.calls <= 2)
}

// heldChecker is a Checker whose calls end when held is closed.
type heldChecker struct {
	endedProcesses
	held chan struct{}
}

func (c *heldChecker) HasEnded(ctx context.Context, p Process) bool {
	<-c.held
	return c.endedProcesses.HasEnded(ctx, p)
}

// BenchmarkGuard measures what a request costs at the guard while there are as many entries as are kept.
func BenchmarkGuard(b *testing.B) {
	g := NewGuard(b.Context(), &endedProcesses{}, func() {})
	now := time.Unix(1_000_000, 0)
	u := wire.QuarantineUpdate{Version: 1}
	for i := range 64 {
		u.Entries = append(u.Entries, NewEntry(now, "s", "", []string{fmt.Sprint("bad-", i)}, time.Minute))
	}
	g.Learn(now, u)
	r := Request{Service: "s", Workspace: "w", Parts: []string{"first", "topic", "session"}}
	for b.Loop() {
		if g.Refusal(now, r) != nil {
			b.Fatal("refused")
		}
		g.Served(now, r)
	}
}
