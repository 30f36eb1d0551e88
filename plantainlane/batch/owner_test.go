package batch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// grownStage is a stage as on a site with about 70 instances: its upstreams complete 1,600 pieces per second.
var grownStage = site.Batch{
	Slots: 1, MaxPieces: 48, CallTime: 240 * time.Millisecond, PieceTime: 4300 * time.Microsecond,
	MemoryBytes: 5_300_000, KeepFor: 4 * time.Second,
}

// timedExecutor answers a call after the time that the batch specification states.
type timedExecutor struct {
	spec  site.Batch
	calls atomic.Int64
}

func (e *timedExecutor) Execute(_ context.Context, c *Call) ([]Result, bool, error) {
	time.Sleep(e.spec.CallTime + time.Duration(len(c.Items))*e.spec.PieceTime)
	return completedResults(c, fmt.Sprint(c.Upstream.Address, "/", e.calls.Add(1))), false, nil
}

func (*timedExecutor) Free(context.Context, []string) { time.Sleep(5 * time.Millisecond) }

// startOwner starts the owner of a queue with 15 upstreams. It calls read before it reads the upstreams from the control
// state, and before it determines the owner from it.
func startOwner(ctx context.Context, executor Executor, read func()) *owner {
	zones := make([]string, 15)
	source := func() (site.Batch, []Upstream, bool) {
		read()
		return grownStage, upstreams(zones...), true
	}
	isOwner := func() bool {
		read()
		return true
	}
	publish := func(WaitTimes) {}
	o := newOwner(queueID{service: "encode"}, executor, source, publish, func(string) WaitTimes { return WaitTimes{} }, isOwner)
	go o.run(ctx)
	return o
}

// submitBurst submits jobs of one piece for three seconds and releases their results. It returns the number of jobs
// and of those that were completed within the time that a call may wait and take.
func submitBurst(ctx context.Context, o *owner, perSecond int) (submitted, onTime int) {
	const inTime = time.Second
	var completed atomic.Int64
	for range 3 * perSecond {
		start := time.Now()
		j := &Job{
			Request: "r", Pieces: 1, Bytes: 60_000, NextServices: []string{"later"},
			Due: start.Add(inTime), Deadline: start.Add(10 * time.Second),
		}
		j.OnDone = func(out Outcome) {
			if out.Reason == "" && time.Since(start) <= inTime {
				completed.Add(1)
			}
			go o.send(ctx, released{out.Handles})
		}
		o.send(ctx, added{j})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	time.Sleep(10 * time.Second)
	return 3 * perSecond, int(completed.Load())
}

// TestOwnerKeepsUpWithBurstOnSlowProcessor guards against an owner that does the same work for each message: in a burst
// it falls behind, and its upstreams idle although jobs wait.
func TestOwnerKeepsUpWithBurstOnSlowProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o := startOwner(ctx, &timedExecutor{spec: grownStage}, func() { time.Sleep(250 * time.Microsecond) })
		submitted, onTime := submitBurst(ctx, o, 1100)
		t.Logf("%d of %d on time", onTime, submitted)
		is.True(onTime >= submitted*99/100)
		cancel()
		synctest.Wait()
	})
}

// freeze is a time in which the process of an owner doesn't run.
type freeze struct{ from, until time.Time }

// wait returns at the end of the freeze, immediately if the process runs.
func (f freeze) wait() {
	if now := time.Now(); now.After(f.from) && now.Before(f.until) {
		time.Sleep(f.until.Sub(now))
	}
}

// frozenExecutor returns the answers that are received during the freeze when it ends.
type frozenExecutor struct {
	timedExecutor
	freeze freeze
}

func (e *frozenExecutor) Execute(ctx context.Context, c *Call) ([]Result, bool, error) {
	results, busy, err := e.timedExecutor.Execute(ctx, c)
	e.freeze.wait()
	return results, busy, err
}

// TestThawedOwnerDoesNotTakeUpstreamsForSlow guards against an owner that was frozen and takes the time for which it
// stood still for the upstreams' time: it then sends calls to a few of them only, though jobs wait.
func TestThawedOwnerDoesNotTakeUpstreamsForSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := freeze{from: time.Now().Add(time.Second), until: time.Now().Add(6 * time.Second)}
		o := startOwner(ctx, &frozenExecutor{timedExecutor: timedExecutor{spec: grownStage}, freeze: f}, f.wait)
		for range 400 {
			j, _ := newJob(time.Now(), 1, time.Minute, 2*time.Minute)
			o.send(ctx, added{j})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		for _, u := range o.queue.upstreams {
			is.True(u.isFast())
			is.Equal(u.failures, 0)
		}
	})
}

// TestThawedOwnerServesJobsOfNextOwner guards against an owner that was frozen for so long that its jobs were submitted to
// the next owner, and that runs them as well when it continues.
func TestThawedOwnerServesJobsOfNextOwner(t *testing.T) {
	for name, tt := range map[string]struct {
		frozen time.Duration
		runs   bool
	}{
		"noticed by the others": {5 * time.Second, false},
		"short":                 {500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				f := freeze{from: time.Now().Add(time.Second), until: time.Now().Add(time.Second + tt.frozen)}
				executor := &timedExecutor{spec: grownStage}
				o := startOwner(ctx, executor, f.wait)
				time.Sleep(time.Second + 100*time.Millisecond)
				j, out := newJob(time.Now(), 1, time.Minute, 2*time.Minute)
				j.Remote = true
				o.send(ctx, added{j})
				time.Sleep(tt.frozen + 2*time.Second)
				cancel()
				synctest.Wait()
				is.Equal(executor.calls.Load() == 1, tt.runs)
				is.Equal(out.Reason == ReasonNoOwner, !tt.runs)
			})
		})
	}
}
