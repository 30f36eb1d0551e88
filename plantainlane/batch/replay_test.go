package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// waitingLine is how the orders of one service wait: the queue, or a baseline.
type waitingLine interface {
	Add(now time.Time, o *Job)
	Next(now time.Time) *Call
	Done(now time.Time, c *Call, results []Result, busy bool) (unused []string)
	Release(handles []string) (unknown []string)
	Freeable() map[string][]string
	Freed(upstream string, handles []string)
	WaitTimes(now time.Time) WaitTimes
}

// firstCome is a baseline: calls hold what came first, of many requests or of one, and nothing is turned away.
type firstCome struct {
	*Queue
	size    int
	waiting []*Job
}

func (f *firstCome) Add(now time.Time, o *Job) {
	o.added, o.handles, o.zones = now, make([]string, o.Pieces), make(map[string]int)
	f.waiting = append(f.waiting, o)
}

func (f *firstCome) Next(now time.Time) *Call {
	for _, u := range f.upstreams {
		if u.calls > 0 || len(f.waiting) == 0 {
			continue
		}
		var items []Item
		for len(f.waiting) > 0 {
			o := f.waiting[0]
			isFull := len(items)+o.unsent() > f.spec.MaxPieces || f.size == 1 && len(items) > 0
			if isFull || u.used+(len(items)+o.unsent())*o.Bytes > f.spec.MemoryBytes {
				break
			}
			for o.unsent() > 0 {
				items = append(items, Item{Job: o, Piece: o.take()})
			}
			f.waiting = f.waiting[1:]
		}
		if len(items) > 0 {
			u.calls++
			return &Call{Upstream: u, Items: items, StartedAt: now}
		}
	}
	return nil
}

// stageSpec is one stage of the replayed route.
type stageSpec struct {
	spec   site.Batch
	count  int
	pieces int
	bytes  int
}

// threeStages is a route like the users' chats: the second stage's room binds before its calls do.
var threeStages = []stageSpec{
	{site.Batch{Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, MemoryBytes: 9_600_000, KeepFor: 4 * time.Second}, 4, 1, 8_000},
	{site.Batch{Slots: 1, MaxPieces: 26, CallTime: 240 * time.Millisecond, PieceTime: 8 * time.Millisecond, MemoryBytes: 2_800_000, KeepFor: 4 * time.Second}, 5, 8, 60_000},
	{site.Batch{Slots: 1, MaxPieces: 18, CallTime: 240 * time.Millisecond, PieceTime: 11 * time.Millisecond, MemoryBytes: 210_000, KeepFor: 4 * time.Second}, 5, 6, 6_000},
}

const (
	replayAim      = 2 * time.Second
	replayDeadline = 8 * time.Second
	replayRun      = 100 * time.Millisecond
	replayStep     = 5 * time.Millisecond
)

// replay is a play of requests through the three stages.
type replay struct {
	lines   []waitingLine
	ends    map[time.Time][]func(now time.Time)
	now     time.Time
	random  *rand.Rand
	waits   []WaitTimes
	handles int
	// asked, timely, late and refused count requests; calls and pieces what was sent.
	asked, timely, late, refused int
	calls, pieces                []int
}

func newReplay(line func(s stageSpec, next func(service string) WaitTimes) waitingLine) *replay {
	r := &replay{
		ends: make(map[time.Time][]func(time.Time)), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 6)),
		waits: make([]WaitTimes, len(threeStages)), calls: make([]int, len(threeStages)), pieces: make([]int, len(threeStages)),
	}
	for _, s := range threeStages {
		r.lines = append(r.lines, line(s, func(service string) WaitTimes {
			var i int
			_, _ = fmt.Sscan(service, &i)
			return r.waits[i]
		}))
	}
	return r
}

func (r *replay) at(after time.Duration, do func(now time.Time)) {
	t := r.now.Add(after.Round(replayStep))
	r.ends[t] = append(r.ends[t], do)
}

// play sends requests at a rate for so long, with a burst in the midst, until all have ended.
func (r *replay) play(perSecond, burst float64, seconds int) {
	end := r.now.Add(time.Duration(seconds) * time.Second)
	from, to := r.now.Add(2*time.Second), r.now.Add(8*time.Second)
	for ; r.now.Before(end.Add(replayDeadline)); r.now = r.now.Add(replayStep) {
		rate := perSecond
		if r.now.After(from) && r.now.Before(to) {
			rate *= burst
		}
		if r.now.Before(end) && r.random.Float64() < rate*replayStep.Seconds() {
			r.asked++
			r.order(0, r.now, nil)
		}
		for _, do := range r.ends[r.now] {
			do(r.now)
		}
		delete(r.ends, r.now)
		r.send()
		if r.now.UnixMilli()%100 == 0 {
			for i, l := range r.lines {
				r.waits[i] = l.WaitTimes(r.now)
			}
		}
	}
}

// order has a stage of a request made, and the next one after it.
func (r *replay) order(stage int, came time.Time, inputs []string) {
	s, rest := threeStages[stage], replayRun
	var next []string
	for j := stage + 1; j < len(threeStages); j++ {
		rest += threeStages[j].spec.CallTime + time.Duration(threeStages[j].pieces)*threeStages[j].spec.PieceTime
		next = append(next, fmt.Sprint(j))
	}
	o := &Job{
		Request: "r", Stage: stage, Pieces: s.pieces, Bytes: s.bytes, Inputs: inputs, NextServices: next, HoldsMemory: stage == 2,
		Due: came.Add(replayAim*9/10 - rest), Deadline: came.Add(replayDeadline - rest),
	}
	o.OnDone = func(out Outcome) {
		if stage > 0 {
			r.lines[stage-1].Release(inputs)
		}
		switch {
		case out.Reason != "":
			r.refused++
		case stage+1 < len(threeStages):
			r.order(stage+1, came, out.Handles)
		default:
			r.at(replayRun, func(now time.Time) { r.finish(now, came, out.Handles) })
		}
	}
	r.lines[stage].Add(r.now, o)
}

func (r *replay) finish(now, came time.Time, handles []string) {
	r.lines[len(r.lines)-1].Release(handles)
	if now.Sub(came) <= replayAim {
		r.timely++
	} else if now.Sub(came) <= replayDeadline {
		r.late++
	}
}

func (r *replay) send() {
	for i, l := range r.lines {
		for id, handles := range l.Freeable() {
			l.Freed(id, handles)
		}
		for c := l.Next(r.now); c != nil; c = l.Next(r.now) {
			r.calls[i]++
			r.pieces[i] += len(c.Items)
			took := threeStages[i].spec.CallTime + time.Duration(len(c.Items))*threeStages[i].spec.PieceTime
			r.at(took, func(now time.Time) {
				r.handles++
				l.Release(l.Done(now, c, made(c, fmt.Sprint("h", i, ".", r.handles)), false))
			})
		}
	}
}

func (r *replay) line(name string) string {
	fill := func(i int) float64 {
		return float64(r.pieces[i]) / float64(max(r.calls[i], 1)*threeStages[i].spec.MaxPieces)
	}
	return fmt.Sprintf("%-16s asked %4d  in time %4d  late %4d  refused %4d  fill %.2f %.2f %.2f",
		name, r.asked, r.timely, r.late, r.refused, fill(0), fill(1), fill(2))
}

// replayQueue returns the queue of a stage as owners run it.
func replayQueue(s stageSpec, next func(service string) WaitTimes) waitingLine {
	q := newQueue(s.spec, make([]string, s.count)...)
	q.WaitTimesOf = next
	return q
}

// TestBurstBeforeThreeQueues replays a burst at three times what the second stage can make, and compares the queues
// with a call for each request and with calls of what came first.
func TestBurstBeforeThreeQueues(t *testing.T) {
	is := is.New(t)
	baseline := func(size int) func(s stageSpec, next func(string) WaitTimes) waitingLine {
		return func(s stageSpec, next func(string) WaitTimes) waitingLine {
			q, _ := replayQueue(s, nil).(*Queue)
			return &firstCome{Queue: q, size: size}
		}
	}
	const perSecond, burst, seconds = 18, 3, 20
	results := make(map[string]*replay)
	for name, line := range map[string]func(s stageSpec, next func(string) WaitTimes) waitingLine{
		"a call a request": baseline(1), "first come": baseline(0), "queues": replayQueue,
	} {
		r := newReplay(line)
		r.play(perSecond, burst, seconds)
		results[name] = r
		t.Log(r.line(name))
	}
	calm := newReplay(replayQueue)
	calm.play(perSecond, 1, seconds)
	t.Log(calm.line("queues, calm"))
	is.True(calm.timely > calm.asked*95/100)
	ours := results["queues"]
	is.True(ours.timely > results["first come"].timely)
	is.True(ours.timely > results["a call a request"].timely)
	is.True(ours.timely >= calm.timely) // goodput doesn't fall below that without the burst
}
