package instance

import (
	"context"
	"sync"
	"time"

	"plantainlane/plantainlane/caller"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// queryTimeout is the maximum wait for the answer of one instance.
const queryTimeout = 2 * time.Second

// others returns the IDs of the other instances that are not silent.
func (x *Instance) others() []string {
	var out []string
	for id, i := range x.View().Instances.All() {
		if id != x.self.ID && !i.Silent {
			out = append(out, id)
		}
	}
	return out
}

// queryOthers sends a frame to all other instances concurrently and calls handle once for each of them, one call at a
// time. In the call, ok is false if the instance didn't answer within queryTimeout.
func (x *Instance) queryOthers(ctx context.Context, f wire.Frame, handle func(id string, a wire.Frame, ok bool)) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range x.others() {
		wg.Go(func() {
			a, ok := x.loop.Query(ctx, id, f)
			mu.Lock()
			defer mu.Unlock()
			handle(id, a, ok)
		})
	}
	wg.Wait()
}

// Timeline returns the events of all instances that match a query, merged into one order. The answer lists the
// instances that did not answer.
func (x *Instance) Timeline(ctx context.Context, q wire.TimelineQuery) wire.TimelineAnswer {
	own := x.ring.Select(q)
	lists := [][]wire.Event{own.Events}
	out := wire.TimelineAnswer{Dropped: own.Dropped, Unreachable: []string{}}
	x.queryOthers(ctx, wire.Frame{TimelineQuery: &q}, func(id string, a wire.Frame, ok bool) {
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

// Cost returns the cost totals of a workspace, or of all workspaces if workspace is empty. It first commits this
// instance's newest totals and requests the other instances to commit theirs, then queries the leader for the totals.
// PendingInstances of the answer lists the instances whose commit isn't confirmed. If the leader didn't answer,
// PendingInstances also contains "leader", and the answer has no rows.
func (x *Instance) Cost(ctx context.Context, workspace string) wire.CostAnswer {
	pending := []string{}
	if !x.flushCosts(ctx) {
		pending = append(pending, x.self.ID)
	}
	flush := true
	x.queryOthers(ctx, wire.Frame{CostFlush: &flush}, func(id string, a wire.Frame, ok bool) {
		if !ok || a.CostFlushed == nil || !*a.CostFlushed {
			pending = append(pending, id)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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

// Find returns the outcome of a request that another instance ran. It queries the instance that ran the request, and
// then the leader, because the control log holds the outcomes of requests that aren't idempotent. If this instance is
// the leader, the query to the leader goes to its own control goroutine. Find returns false if neither query finds the
// outcome.
func (x *Instance) Find(ctx context.Context, workspace, requestID string) (*wire.PipelineAnswer, bool) {
	query := wire.Frame{ResultQuery: &wire.ResultQuery{Workspace: workspace, RequestID: requestID}}
	v := x.View()
	for _, to := range []string{caller.InstanceOf(requestID), v.Leader} {
		if to == "" || (to == x.self.ID && to != v.Leader) {
			continue
		}
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		a, ok := x.loop.Query(queryCtx, to, query)
		cancel()
		if ok && a.ResultAnswer != nil && a.ResultAnswer.Found {
			return a.ResultAnswer.Answer, true
		}
	}
	return nil, false
}
