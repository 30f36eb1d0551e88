package order

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/engine"
	"plantainlane/wire"
)

// Lost, delayed and repeated orders and answers must not keep the engines from reaching the declared state.
func TestLostDelayedAndRepeatedOrdersConverge(t *testing.T) {
	for seed := range uint64(20) {
		withFakeClock(t, func(is *is.I, ctx context.Context) {
			c := newCluster(ctx, 6, func(i int, cfg *engine.Config) { cfg.ChecksFencing = i%2 == 0 },
				model("a", "1", 3), model("b", "1", 2))
			l := c.newLeader(1, seed)
			l.link.lossRate, l.link.repeatRate, l.link.jitter = 0.3, 0.3, 3*time.Second
			is.True(c.run(5*time.Minute, l))
			// The cluster stays converged while late orders and answers arrive.
			time.Sleep(10 * time.Second)
			is.True(c.run(tick, l))
		})
	}
}

// A version change that unloads the old version before the new one serves would leave fewer replicas for a while.
func TestVersionChangeKeepsCapacity(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 4, func(i int, cfg *engine.Config) {}, model("a", "1", 3))
		l := c.newLeader(1, 1)
		is.True(c.run(time.Minute, l))
		c.models = []wire.Model{model("a", "2", 3)}
		c.minServing["a"] = 3
		is.True(c.run(time.Minute, l))
		is.Equal(c.minServing["a"], 3)
		zones := map[string]bool{}
		for _, a := range c.announcements() {
			if len(a.Models) > 0 {
				zones[a.Zone] = true
			}
		}
		is.Equal(len(zones), 3) // replicas are spread over zones
	})
}

// Engines without a second slot can't load the new version alongside the old one. Unloading the old version first would
// cost capacity, so the planner reports a stall instead.
func TestVersionChangeWithoutFreeSlotStallsAndKeepsCapacity(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3, func(i int, cfg *engine.Config) { cfg.Slots = 1 }, model("a", "1", 3))
		l := c.newLeader(1, 1)
		is.True(c.run(time.Minute, l))
		c.models = []wire.Model{model("a", "2", 3)}
		c.minServing["a"] = 3
		is.True(!c.run(time.Minute, l))
		is.Equal(c.minServing["a"], 3)
		is.Equal(l.last.Stalls, []Stall{{Model: "a@2", Reason: reasonNoFreeSlot}})
	})
}

// An empty set of declarations must not unload what the engines serve.
func TestUndeclaredModelsStayUntilTheirSlotIsNeeded(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 3, func(_ int, cfg *engine.Config) {
			cfg.Slots, cfg.Models = 1, []string{"other@1"}
		})
		l := c.newLeader(1, 1)
		c.run(30*time.Second, l) // nothing is declared
		is.Equal(appliedOrders(c), 0)
		c.models = []wire.Model{model("a", "1", 2)}
		c.run(time.Minute, l)
		_, declared := c.countServing(c.models[0])
		is.Equal(declared, 2)
		others, _ := c.countServing(model("other", "1", 0))
		is.Equal(others, 1) // the engine whose slot no declared model needs
	})
}

// Engines whose slots are all taken by two old versions of a model can unload one of them without loss of capacity.
func TestTwoOldVersionsFreeSlots(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 2, func(_ int, cfg *engine.Config) { cfg.Models = []string{"a@1", "a@2"} }, model("a", "3", 2))
		c.minServing["a"] = 2
		is.True(c.run(time.Minute, c.newLeader(1, 1)))
		is.Equal(c.minServing["a"], 2)
	})
}

// A leader loses its connection while some of its orders are being delivered, and issues more until its lease ends.
// They reach the engines after the next leader has applied other declarations, and must have no effect.
func TestDisconnectedLeaderReconnectsWithQueuedOrders(t *testing.T) {
	queuedOrders := 0
	for seed := range uint64(40) {
		for _, checks := range []bool{true, false} {
			withFakeClock(t, func(is *is.I, ctx context.Context) {
				c := newCluster(ctx, 4, func(i int, cfg *engine.Config) { cfg.ChecksFencing = checks },
					model("a", "1", 2), model("b", "1", 2))
				old := c.newLeader(1, seed)
				is.True(c.run(time.Minute, old))

				c.models = []wire.Model{model("a", "2", 2), model("b", "1", 2)}
				if seed%2 == 1 {
					old.link.jitter = 3 * time.Second // some orders arrive after the next leader has started
				}
				c.run(time.Duration(seed)*tick/2, old)
				old.link.disconnect()
				old.confirmed = false // the lease is valid until its end
				c.run(time.Second, old)

				c.models = []wire.Model{model("a", "3", 2), model("b", "1", 1)}
				next := c.newLeader(2, seed+100)
				startedAt := time.Now()
				firstOrder := time.Time{}
				for range 300 {
					next.step()
					old.step() // issues orders until its lease ends
					if len(next.last.Orders) > 0 && firstOrder.IsZero() {
						firstOrder = time.Now()
					}
					time.Sleep(tick)
				}
				is.True(c.converged())
				if !checks {
					timing := DefaultTiming()
					is.True(firstOrder.Sub(startedAt) >= timing.Lease+timing.Skew) // it waits until the old orders have expired
				}
				before := appliedOrders(c)
				old.link.reconnect()
				c.run(10*time.Second, next)
				is.True(c.converged())
				is.Equal(appliedOrders(c), before) // none of the queued orders was applied
				is.True(!appliedStaleOrder(c))
				old.step()
				is.Equal(len(old.last.Orders), 0)
				is.Equal(old.afterLease, 0)
				queuedOrders += old.whileDisconnected
			})
		}
	}
	if queuedOrders < 40 {
		t.Errorf("only %d orders were queued while the old leader was disconnected", queuedOrders)
	}
}

// An engine that ignores fencing numbers applies an order of the previous leader after the next leader has started.
// The next leader must issue no order before the old one has expired, so that its own orders are applied last.
func TestNextLeaderWaitsForPendingOrders(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 1, func(_ int, cfg *engine.Config) { cfg.ChecksFencing, cfg.Slots = false, 3 },
			model("a", "1", 1))
		old := c.newLeader(1, 1)
		is.True(c.run(time.Minute, old))
		c.models = []wire.Model{model("a", "2", 1)}
		old.link.minDelay = 3 * time.Second
		for len(old.last.Orders) == 0 {
			c.run(tick, old)
		}
		old.link.disconnect()
		c.models = []wire.Model{model("a", "3", 1)}
		next := c.newLeader(2, 2)
		is.True(c.run(time.Minute, next))
		is.True(!appliedStaleOrder(c))
		staleLoads := 0
		for _, o := range c.engines["e0"].Ledger().Orders {
			if o.Order.Model == "a@2" && o.Order.Kind == Load {
				staleLoads++
			}
		}
		is.Equal(staleLoads, 1) // the old order was applied, and its load was undone
	})
}

// After the outage of a zone many replicas are missing at the same time. Loading them all would leave too few engines
// to serve, and a model that no engine serves must not wait behind the replicas of another.
func TestLoadsAreLimitedAndUnservedModelsComeFirst(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		// A zone has recovered: four of twelve engines are empty, and no engine serves model b.
		c := newCluster(ctx, 12, func(i int, cfg *engine.Config) {
			if i < 8 {
				cfg.Models = []string{"a@1"}
			}
			cfg.WeightUnits = 0.1
		}, model("a", "1", 12), model("b", "1", 2))
		for i := range c.models {
			c.models[i].LoadCost = 0.1 // the weight store's rate allows all loads at the same time
		}
		l := c.newLeader(1, 1)
		var loads []string
		maxLoading := 0
		for range 600 {
			l.step()
			for _, d := range l.last.Orders {
				loads = append(loads, d.Order.Model)
			}
			loadingNow := 0
			for _, e := range c.engines {
				for _, m := range e.State().Models {
					if m.State == loading {
						loadingNow++
					}
				}
			}
			maxLoading = max(maxLoading, loadingNow)
			time.Sleep(tick)
		}
		is.True(c.converged())
		is.Equal(loads[0], "b@1") // the model that no engine serves comes first
		is.True(maxLoading <= 3)  // a quarter of the engines load at the same time
		_, refusals := c.store.Counts()
		is.Equal(refusals, 0)
	})
}

// A weight store whose rate is used up by others refuses loads that the planner's own limiter allows. Without a backoff
// the planner would retry each of them and keep the store overloaded.
func TestRefusingStoreSeesNoRetryStorm(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 10, func(int, *engine.Config) {}, model("a", "1", 10))
		c.store = engine.NewWeightStore(wire.Rate{PerSecond: 1, Burst: 1})
		for _, id := range c.ids {
			cfg := engine.DefaultConfig(id)
			cfg.WeightUnits = 1
			c.engines[id] = engine.New(cfg, c.store)
			go c.engines[id].Run(ctx)
		}
		// Another client takes most of the store's rate, so that the store refuses loads although the planner orders only
		// one a second.
		otherCtx, stop := context.WithCancel(ctx)
		go func() {
			for otherCtx.Err() == nil {
				_ = c.store.Fetch(ctx, wire.WeightRequest{Units: 0.9})
				time.Sleep(tick)
			}
		}()
		l := c.newLeader(1, 1)
		is.True(!c.run(time.Minute, l))
		_, refusals := c.store.Counts()
		weightRefusals := 0
		for _, e := range c.engines {
			weightRefusals += e.Ledger().WeightRefusals
		}
		is.True(weightRefusals >= 3 && weightRefusals <= 20) // the rate alone would allow up to 60 attempts
		is.True(refusals >= weightRefusals)
		stop()
		is.True(c.run(4*time.Minute, l))
	})
}

// A leader whose order an engine refuses, because the engine has seen a higher fencing number, must stop issuing orders
// and get a new number.
func TestSupersededLeaderStops(t *testing.T) {
	withFakeClock(t, func(is *is.I, ctx context.Context) {
		c := newCluster(ctx, 2, func(int, *engine.Config) {}, model("a", "1", 1))
		next := c.newLeader(7, 1)
		is.True(c.run(time.Minute, next))
		old := c.newLeader(3, 2)
		c.models = []wire.Model{model("a", "1", 2)}
		c.run(20*time.Second, old)
		is.True(old.last.NeedFencing)
		is.Equal(len(old.last.Orders), 0)
		is.True(!appliedStaleOrder(c))
	})
}

// An order that is valid beyond the leader's lease could be applied after an order of the next leader.
func TestNoOrderOutsideTheLease(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	input := Input{
		Models: []wire.Model{model("a", "1", 1)}, Fencing: 1,
		Engines: pointers([]wire.Announcement{{ID: "e0", Incarnation: 1, ChecksFencing: true, Role: "both"}}),
	}
	reports := []Report{{Upstream: "e0", StartedAt: now, State: &wire.EngineState{
		Upstream: "e0", Incarnation: 1, Role: "both", FreeSlots: 1,
	}}}
	for leaseLeft, orders := range map[time.Duration]int{
		-time.Second: 0, DefaultTiming().Skew: 0, 2 * time.Second: 1,
	} {
		p := NewPlanner()
		p.Step(now.Add(-time.Minute), input, nil) // starts the load limiter's bucket, which is full a minute later
		input.LeaseUntil = now.Add(leaseLeft)
		a := p.Step(now, input, reports)
		is.Equal(len(a.Orders), orders)
		for _, d := range a.Orders {
			is.Equal(d.Until, input.LeaseUntil) // shorter than Timing.Valid
			is.Equal(int64(d.Order.ExpiresMs), input.LeaseUntil.UnixMilli())
		}
	}
}

func BenchmarkStep(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var list []wire.Announcement
	var reports []Report
	for i := range 12000 {
		id := fmt.Sprintf("e%05d", i)
		list = append(list, wire.Announcement{
			ID: id, Incarnation: 1, Role: "both", ChecksFencing: true, Models: []string{fmt.Sprintf("m%d@1", i%3)},
		})
		reports = append(reports, Report{Upstream: id, StartedAt: now, State: &wire.EngineState{
			Upstream: id, Incarnation: 1, Role: "both", FreeSlots: 1,
			Models: []wire.EngineModel{{Model: fmt.Sprintf("m%d@1", i%3), State: loaded}},
		}})
	}
	p := NewPlanner()
	input := Input{
		Engines: pointers(list), Fencing: 1, LeaseUntil: now.Add(time.Hour),
		Models: []wire.Model{model("m0", "1", 4000), model("m1", "1", 4000), model("m2", "1", 4000)},
	}
	p.Step(now, input, nil)
	p.Step(now, input, reports)
	for b.Loop() {
		p.Step(now, input, nil)
	}
}
