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

func TestOrdersLostLateAndRepeatedReachTheDeclaredState(t *testing.T) {
	for seed := range uint64(20) {
		inSite(t, func(is *is.I, ctx context.Context) {
			s := newSite(ctx, 6, func(i int, cfg *engine.Config) { cfg.ChecksFencing = i%2 == 0 },
				model("a", "1", 3), model("b", "1", 2))
			l := s.lead(1, seed)
			l.link.loss, l.link.repeat, l.link.delay = 0.3, 0.3, 3*time.Second
			is.True(s.run(5*time.Minute, l))
			// It stays settled while late answers and orders arrive.
			time.Sleep(10 * time.Second)
			is.True(s.run(tick, l))
		})
	}
}

func TestVersionChangeKeepsCapacity(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 4, func(i int, cfg *engine.Config) {}, model("a", "1", 3))
		l := s.lead(1, 1)
		is.True(s.run(time.Minute, l))
		s.models = []wire.Model{model("a", "2", 3)}
		s.lowest["a"] = 3
		is.True(s.run(time.Minute, l))
		is.Equal(s.lowest["a"], 3)
		zones := map[string]bool{}
		for _, a := range s.announcements() {
			if len(a.Models) > 0 {
				zones[a.Zone] = true
			}
		}
		is.Equal(len(zones), 3) // replicas are spread over zones
	})
}

func TestVersionChangeWithoutRoomIsReportedAndCutsNothing(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 3, func(i int, cfg *engine.Config) { cfg.Slots = 1 }, model("a", "1", 3))
		l := s.lead(1, 1)
		is.True(s.run(time.Minute, l))
		s.models = []wire.Model{model("a", "2", 3)}
		s.lowest["a"] = 3
		is.True(!s.run(time.Minute, l))
		is.Equal(s.lowest["a"], 3)
		is.Equal(l.last.Stalls, []Stall{{Model: "a@2", Reason: reasonNoRoom}})
	})
}

func TestUndeclaredModelsStayUntilTheirPlaceIsNeeded(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 3, func(_ int, cfg *engine.Config) {
			cfg.Slots, cfg.Models = 1, []string{"other@1"}
		})
		l := s.lead(1, 1)
		s.run(30*time.Second, l) // nothing declared
		is.Equal(applied(s), 0)
		s.models = []wire.Model{model("a", "1", 2)}
		s.run(time.Minute, l)
		_, declared := s.serving(s.models[0])
		is.Equal(declared, 2)
		others, _ := s.serving(model("other", "1", 0))
		is.Equal(others, 1) // the one whose place was not needed
	})
}

func TestTwoOldVersionsMakeRoom(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 2, func(_ int, cfg *engine.Config) { cfg.Models = []string{"a@1", "a@2"} }, model("a", "3", 2))
		s.lowest["a"] = 2
		is.True(s.run(time.Minute, s.lead(1, 1)))
		is.Equal(s.lowest["a"], 2)
	})
}

// A leader is cut off silently with an order on its way and more to come; the next one changes the declarations.
func TestCutOffLeaderComesBackWithQueuedOrders(t *testing.T) {
	queued := 0
	for seed := range uint64(40) {
		for _, checks := range []bool{true, false} {
			inSite(t, func(is *is.I, ctx context.Context) {
				s := newSite(ctx, 4, func(i int, cfg *engine.Config) { cfg.ChecksFencing = checks },
					model("a", "1", 2), model("b", "1", 2))
				old := s.lead(1, seed)
				is.True(s.run(time.Minute, old))

				s.models = []wire.Model{model("a", "2", 2), model("b", "1", 2)}
				if seed%2 == 1 {
					old.link.delay = 3 * time.Second // some are still on their way when the next one leads
				}
				s.run(time.Duration(seed)*tick/2, old)
				old.link.sever()
				old.confirmed = false // its lease runs on for a while
				s.run(time.Second, old)

				s.models = []wire.Model{model("a", "3", 2), model("b", "1", 1)}
				next := s.lead(2, seed+100)
				took := time.Now()
				firstOrder := time.Time{}
				for range 300 {
					next.step()
					old.step() // still believes itself leader while its lease lasts
					if len(next.last.Orders) > 0 && firstOrder.IsZero() {
						firstOrder = time.Now()
					}
					time.Sleep(tick)
				}
				is.True(s.settled())
				if !checks {
					timing := DefaultTiming()
					is.True(firstOrder.Sub(took) >= timing.Lease+timing.Skew) // it waited the old one out
				}
				before := applied(s)
				old.link.join()
				s.run(10*time.Second, next)
				is.True(s.settled())
				is.Equal(applied(s), before) // none of the queued orders was applied
				is.True(!mixed(s))
				old.step()
				is.Equal(len(old.last.Orders), 0)
				is.Equal(old.late, 0)
				queued += old.queued
			})
		}
	}
	if queued < 40 {
		t.Errorf("only %d orders were queued behind the cut", queued)
	}
}

// An order of the old leader is on its way to an engine that ignores fencing numbers when the next one leads.
func TestNextLeaderWaitsForOrdersUnderWay(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 1, func(_ int, cfg *engine.Config) { cfg.ChecksFencing, cfg.Slots = false, 3 }, model("a", "1", 1))
		old := s.lead(1, 1)
		is.True(s.run(time.Minute, old))
		s.models = []wire.Model{model("a", "2", 1)}
		old.link.least = 3 * time.Second
		for len(old.last.Orders) == 0 {
			s.run(tick, old)
		}
		old.link.sever()
		s.models = []wire.Model{model("a", "3", 1)}
		next := s.lead(2, 2)
		is.True(s.run(time.Minute, next))
		is.True(!mixed(s))
		late := 0
		for _, o := range s.engines["e0"].Ledger().Orders {
			if o.Order.Model == "a@2" && o.Order.Kind == Load {
				late++
			}
		}
		is.Equal(late, 1) // it did arrive, and was put right
	})
}

func TestLoadsArePacedUrgentFirst(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		// A zone comes back: four of twelve engines are empty, and model b serves nowhere.
		s := newSite(ctx, 12, func(i int, cfg *engine.Config) {
			if i < 8 {
				cfg.Models = []string{"a@1"}
			}
			cfg.WeightUnits = 0.1
		}, model("a", "1", 12), model("b", "1", 2))
		for i := range s.models {
			s.models[i].LoadCost = 0.1 // the store alone would let all load at once
		}
		l := s.lead(1, 1)
		var loads []string
		most := 0
		for range 600 {
			l.step()
			for _, d := range l.last.Orders {
				loads = append(loads, d.Order.Model)
			}
			coming := 0
			for _, e := range s.engines {
				for _, m := range e.State().Models {
					if m.State == loading {
						coming++
					}
				}
			}
			most = max(most, coming)
			time.Sleep(tick)
		}
		is.True(s.settled())
		is.Equal(loads[0], "b@1") // what serves nowhere comes first
		is.True(most <= 3)        // a quarter of the engines at once
		_, refusals := s.store.Counts()
		is.Equal(refusals, 0)
	})
}

func TestRefusingStoreSeesNoRetryStorm(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 10, func(int, *engine.Config) {}, model("a", "1", 10))
		s.store = engine.NewWeightStore(wire.Rate{PerSecond: 1, Burst: 1})
		for _, id := range s.order {
			cfg := engine.DefaultConfig(id)
			cfg.WeightUnits = 1
			s.engines[id] = engine.New(cfg, s.store)
			go s.engines[id].Run(ctx)
		}
		// Something else takes most of the store's rate, so that it refuses what the planner paces at one a second.
		other, stop := context.WithCancel(ctx)
		go func() {
			for other.Err() == nil {
				_ = s.store.Fetch(ctx, wire.WeightRequest{Units: 0.9})
				time.Sleep(tick)
			}
		}()
		l := s.lead(1, 1)
		is.True(!s.run(time.Minute, l))
		_, refusals := s.store.Counts()
		served := 0
		for _, e := range s.engines {
			served += e.Ledger().WeightRefusals
		}
		is.True(served >= 3 && served <= 20) // of up to 60 that the rate alone would have tried
		is.True(refusals >= served)
		stop()
		is.True(s.run(4*time.Minute, l))
	})
}

func TestSupersededLeaderStops(t *testing.T) {
	inSite(t, func(is *is.I, ctx context.Context) {
		s := newSite(ctx, 2, func(int, *engine.Config) {}, model("a", "1", 1))
		next := s.lead(7, 1)
		is.True(s.run(time.Minute, next))
		old := s.lead(3, 2)
		s.models = []wire.Model{model("a", "1", 2)}
		s.run(20*time.Second, old)
		is.True(old.last.NeedFencing)
		is.Equal(len(old.last.Orders), 0)
		is.True(!mixed(s))
	})
}

func TestNoOrderOutsideTheLease(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	tables := Input{
		Models: []wire.Model{model("a", "1", 1)}, Fencing: 1,
		Engines: pointers([]wire.Announcement{{ID: "e0", Incarnation: 1, ChecksFencing: true, Role: "both"}}),
	}
	known := []Report{{Upstream: "e0", StartedAt: now, State: &wire.EngineState{
		Upstream: "e0", Incarnation: 1, Role: "both", FreeSlots: 1,
	}}}
	for left, orders := range map[time.Duration]int{
		-time.Second: 0, DefaultTiming().Skew: 0, 2 * time.Second: 1,
	} {
		p := NewPlanner()
		p.Step(now.Add(-time.Minute), tables, nil) // fills the bucket
		tables.LeaseUntil = now.Add(left)
		a := p.Step(now, tables, known)
		is.Equal(len(a.Orders), orders)
		for _, d := range a.Orders {
			is.Equal(d.Until, tables.LeaseUntil) // shorter than Timing.Valid
			is.Equal(int64(d.Order.ExpiresMs), tables.LeaseUntil.UnixMilli())
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
	t := Input{
		Engines: pointers(list), Fencing: 1, LeaseUntil: now.Add(time.Hour),
		Models: []wire.Model{model("m0", "1", 4000), model("m1", "1", 4000), model("m2", "1", 4000)},
	}
	p.Step(now, t, nil)
	p.Step(now, t, reports)
	for b.Loop() {
		p.Step(now, t, nil)
	}
}
