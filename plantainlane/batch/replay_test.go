package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// jobQueue is the queue of one service: a Queue or a baseline.
type jobQueue interface {
	Add(now time.Time, j *Job)
	Next(now time.Time) *Call
	Done(now time.Time, c *Call, results []Result, busy bool) (unused []string)
	Release(handles []string) (unknown []string)
	Freeable() map[string][]string
	Freed(upstream string, handles []string)
	WaitTimes(now time.Time) WaitTimes
}

// fifoQueue is a baseline that serves jobs in order of arrival and rejects none. A call holds the pieces of one job if
// maxJobs is 1, and of any number of jobs if maxJobs is 0.
type fifoQueue struct {
	*Queue
	maxJobs int
	pending []*Job
}

func (f *fifoQueue) Add(now time.Time, j *Job) {
	j.addedAt, j.handles, j.zones = now, make([]string, j.Pieces), make(map[string]int)
	f.pending = append(f.pending, j)
}

func (f *fifoQueue) Next(now time.Time) *Call {
	for _, u := range f.upstreams {
		if u.calls > 0 || len(f.pending) == 0 {
			continue
		}
		var items []Item
		for len(f.pending) > 0 {
			j := f.pending[0]
			isFull := len(items)+j.unsent() > f.spec.MaxPieces || f.maxJobs == 1 && len(items) > 0
			if isFull || u.used+(len(items)+j.unsent())*j.Bytes > f.spec.MemoryBytes {
				break
			}
			for j.unsent() > 0 {
				items = append(items, Item{Job: j, Piece: j.takePiece()})
			}
			f.pending = f.pending[1:]
		}
		if len(items) > 0 {
			u.calls++
			return &Call{Upstream: u, Items: items, StartedAt: now}
		}
	}
	return nil
}

// stageSpec describes one stage of the replayed route: its batch specification, the number of upstreams, the number of
// pieces per request and the bytes of a result.
type stageSpec struct {
	spec   site.Batch
	count  int
	pieces int
	bytes  int
}

// threeStages is a route like that of the users' chat requests: result memory limits the second stage before its calls
// are full.
var threeStages = []stageSpec{
	{site.Batch{Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, MemoryBytes: 9_600_000, KeepFor: 4 * time.Second}, 4, 1, 8_000},
	{site.Batch{Slots: 1, MaxPieces: 26, CallTime: 240 * time.Millisecond, PieceTime: 8 * time.Millisecond, MemoryBytes: 2_800_000, KeepFor: 4 * time.Second}, 5, 8, 60_000},
	{site.Batch{Slots: 1, MaxPieces: 18, CallTime: 240 * time.Millisecond, PieceTime: 11 * time.Millisecond, MemoryBytes: 210_000, KeepFor: 4 * time.Second}, 5, 6, 6_000},
}

const (
	replayTarget   = 2 * time.Second
	replayDeadline = 8 * time.Second
	// replayFinalTime is the time from the end of the last stage until the request is finished.
	replayFinalTime = 100 * time.Millisecond
	replayStep      = 5 * time.Millisecond
)

// replay runs requests through the three stages in simulated time.
type replay struct {
	queues []jobQueue
	// events holds the ends of calls and requests, by time.
	events map[time.Time][]func(now time.Time)
	now    time.Time
	random *rand.Rand
	// waitTimes holds the wait times of each queue, as published every 100 ms.
	waitTimes []WaitTimes
	// endedCalls is the number of calls that ended, which makes the handles of each call distinct.
	endedCalls int
	// requests, onTime, late and rejected count requests. calls and pieces count what was sent, by stage.
	requests, onTime, late, rejected int
	calls, pieces                    []int
}

func newReplay(newQueue func(s stageSpec, waitTimesOf func(service string) WaitTimes) jobQueue) *replay {
	r := &replay{
		events: make(map[time.Time][]func(time.Time)), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 6)),
		waitTimes: make([]WaitTimes, len(threeStages)), calls: make([]int, len(threeStages)), pieces: make([]int, len(threeStages)),
	}
	for _, s := range threeStages {
		// The name of a service is the index of its stage.
		r.queues = append(r.queues, newQueue(s, func(service string) WaitTimes {
			var i int
			_, _ = fmt.Sscan(service, &i)
			return r.waitTimes[i]
		}))
	}
	return r
}

// schedule runs do after a time, which is rounded to a multiple of replayStep.
func (r *replay) schedule(after time.Duration, do func(now time.Time)) {
	t := r.now.Add(after.Round(replayStep))
	r.events[t] = append(r.events[t], do)
}

// play sends requests at the given rate for the given number of seconds, and runs until all requests have ended. From
// second 2 to second 8 the rate is multiplied by burst.
func (r *replay) play(perSecond, burst float64, seconds int) {
	end := r.now.Add(time.Duration(seconds) * time.Second)
	from, to := r.now.Add(2*time.Second), r.now.Add(8*time.Second)
	for ; r.now.Before(end.Add(replayDeadline)); r.now = r.now.Add(replayStep) {
		rate := perSecond
		if r.now.After(from) && r.now.Before(to) {
			rate *= burst
		}
		if r.now.Before(end) && r.random.Float64() < rate*replayStep.Seconds() {
			r.requests++
			r.submit(0, r.now, nil)
		}
		for _, do := range r.events[r.now] {
			do(r.now)
		}
		delete(r.events, r.now)
		r.startCalls()
		if r.now.UnixMilli()%100 == 0 {
			for i, q := range r.queues {
				r.waitTimes[i] = q.WaitTimes(r.now)
			}
		}
	}
}

// submit submits a job for one stage of a request, and the jobs for the later stages as their inputs are completed.
func (r *replay) submit(stage int, arrived time.Time, inputs []string) {
	s, rest := threeStages[stage], replayFinalTime
	var next []string
	for j := stage + 1; j < len(threeStages); j++ {
		rest += threeStages[j].spec.CallTime + time.Duration(threeStages[j].pieces)*threeStages[j].spec.PieceTime
		next = append(next, fmt.Sprint(j))
	}
	job := &Job{
		Request: "r", Stage: stage, Pieces: s.pieces, Bytes: s.bytes, Inputs: inputs, NextServices: next, HoldsMemory: stage == 2,
		Due: arrived.Add(replayTarget*9/10 - rest), Deadline: arrived.Add(replayDeadline - rest),
	}
	job.OnDone = func(out Outcome) {
		if stage > 0 {
			r.queues[stage-1].Release(inputs)
		}
		switch {
		case out.Reason != "":
			r.rejected++
		case stage+1 < len(threeStages):
			r.submit(stage+1, arrived, out.Handles)
		default:
			r.schedule(replayFinalTime, func(now time.Time) { r.finish(now, arrived, out.Handles) })
		}
	}
	r.queues[stage].Add(r.now, job)
}

func (r *replay) finish(now, arrived time.Time, handles []string) {
	r.queues[len(r.queues)-1].Release(handles)
	if now.Sub(arrived) <= replayTarget {
		r.onTime++
	} else if now.Sub(arrived) <= replayDeadline {
		r.late++
	}
}

func (r *replay) startCalls() {
	for i, q := range r.queues {
		for id, handles := range q.Freeable() {
			q.Freed(id, handles)
		}
		for c := q.Next(r.now); c != nil; c = q.Next(r.now) {
			r.calls[i]++
			r.pieces[i] += len(c.Items)
			took := threeStages[i].spec.CallTime + time.Duration(len(c.Items))*threeStages[i].spec.PieceTime
			r.schedule(took, func(now time.Time) {
				r.endedCalls++
				q.Release(q.Done(now, c, completedResults(c, fmt.Sprint("h", i, ".", r.endedCalls)), false))
			})
		}
	}
}

func (r *replay) summary(name string) string {
	fill := func(i int) float64 {
		return float64(r.pieces[i]) / float64(max(r.calls[i], 1)*threeStages[i].spec.MaxPieces)
	}
	return fmt.Sprintf("%-16s requests %4d  on time %4d  late %4d  rejected %4d  fill %.2f %.2f %.2f",
		name, r.requests, r.onTime, r.late, r.rejected, fill(0), fill(1), fill(2))
}

// replayQueue returns a Queue for a stage, as an owner uses it.
func replayQueue(s stageSpec, waitTimesOf func(service string) WaitTimes) jobQueue {
	q := newQueue(s.spec, make([]string, s.count)...)
	q.WaitTimesOf = waitTimesOf
	return q
}

// TestBurstThroughThreeQueues replays a burst of three times the base rate, more than the second stage can run. It
// compares the queues with two baselines: a call for each request, and calls filled in order of arrival.
func TestBurstThroughThreeQueues(t *testing.T) {
	is := is.New(t)
	baseline := func(maxRequests int) func(s stageSpec, waitTimesOf func(string) WaitTimes) jobQueue {
		return func(s stageSpec, waitTimesOf func(string) WaitTimes) jobQueue {
			q, _ := replayQueue(s, nil).(*Queue)
			return &fifoQueue{Queue: q, maxJobs: maxRequests}
		}
	}
	const perSecond, burst, seconds = 18, 3, 20
	results := make(map[string]*replay)
	for name, newQueue := range map[string]func(s stageSpec, waitTimesOf func(string) WaitTimes) jobQueue{
		"single request": baseline(1), "arrival order": baseline(0), "queues": replayQueue,
	} {
		r := newReplay(newQueue)
		r.play(perSecond, burst, seconds)
		results[name] = r
		t.Log(r.summary(name))
	}
	calm := newReplay(replayQueue)
	calm.play(perSecond, 1, seconds)
	t.Log(calm.summary("queues, no burst"))
	is.True(calm.onTime > calm.requests*95/100)
	ours := results["queues"]
	is.True(ours.onTime > results["arrival order"].onTime)
	is.True(ours.onTime > results["single request"].onTime)
	is.True(ours.onTime >= calm.onTime) // goodput isn't lower than without the burst
}
