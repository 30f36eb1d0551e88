package instance

import (
	"context"
	"sync"
	"time"

	"plantainlane/plantainlane/caller"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// gatherWait bounds the wait for the answer of one instance.
const gatherWait = 2 * time.Second

// others returns the IDs of the other instances that may answer.
func (x *Instance) others() []string {
	var out []string
	for id, i := range x.View().Instances.All() {
		if id != x.self.ID && !i.Silent {
			out = append(out, id)
		}
	}
	return out
}

// ask sends a frame to each other instance and passes each answer on; ok is false for one that did not come.
func (x *Instance) ask(ctx context.Context, f wire.Frame, take func(id string, a wire.Frame, ok bool)) {
	ctx, cancel := context.WithTimeout(ctx, gatherWait)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, id := range x.others() {
		wait.Go(func() {
			a, ok := x.loop.Query(ctx, id, f)
			mu.Lock()
			defer mu.Unlock()
			take(id, a, ok)
		})
	}
	wait.Wait()
}

// Timeline returns the events of all instances, in one order.
func (x *Instance) Timeline(ctx context.Context, q wire.TimelineQuery) wire.TimelineAnswer {
	own := x.ring.Select(q)
	lists := [][]wire.Event{own.Events}
	out := wire.TimelineAnswer{Dropped: own.Dropped, Unreachable: []string{}}
	x.ask(ctx, wire.Frame{TimelineQuery: &q}, func(id string, a wire.Frame, ok bool) {
		if !ok || a.Timeline == nil {
			out.Unreachable = append(out.Unreachable, id)
			return
		}
		lists = append(lists, a.Timeline.Events)
		out.Dropped += a.Timeline.Dropped
	})
	out.Events = wiretimeline.Select(q, wiretimeline.Merge(lists...))
	return out
}

// Cost returns the totals of all instances, after each has committed its newest.
func (x *Instance) Cost(ctx context.Context, workspace string) wire.CostAnswer {
	pending := []string{}
	if !x.flushCosts(ctx) {
		pending = append(pending, x.self.ID)
	}
	flush := true
	x.ask(ctx, wire.Frame{CostFlush: &flush}, func(id string, a wire.Frame, ok bool) {
		if !ok || a.CostFlushed == nil || !*a.CostFlushed {
			pending = append(pending, id)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, gatherWait)
	defer cancel()
	out := wire.CostAnswer{Rows: []wire.CostRow{}, PendingInstances: pending}
	a, ok := x.loop.Query(ctx, x.View().Leader, wire.Frame{CostQuery: &wire.CostQuery{Workspace: workspace}})
	if !ok || a.Cost == nil {
		out.PendingInstances = append(out.PendingInstances, "leader")
		return out
	}
	out.Rows = a.Cost.Rows
	return out
}

// Find returns the outcome of a request that ran elsewhere: from the instance that ran it, or, if it was
// not idempotent, from the control log.
func (x *Instance) Find(ctx context.Context, workspace, requestID string) (*wire.PipelineAnswer, bool) {
	query := wire.Frame{ResultQuery: &wire.ResultQuery{Workspace: workspace, RequestID: requestID}}
	v := x.View()
	for _, to := range []string{caller.InstanceOf(requestID), v.Leader} {
		if to == "" || (to == x.self.ID && to != v.Leader) {
			continue
		}
		try, cancel := context.WithTimeout(ctx, gatherWait)
		a, ok := x.loop.Query(try, to, query)
		cancel()
		if ok && a.ResultAnswer != nil && a.ResultAnswer.Found {
			return a.ResultAnswer.Answer, true
		}
	}
	return nil, false
}
