package order

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/engine"
	"plantainlane/wire"
)

// link carries a leader's actions to engines with loss, delay and repetition. A cut link holds what is sent until
// it is joined again.
type link struct {
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	repeat float64
	delay  time.Duration
	cut    bool
	held   []func()
}

func (l *link) carry(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.held = append(l.held, f)
		return
	}
	if l.random.Float64() < l.loss {
		return
	}
	copies := 1
	if l.random.Float64() < l.repeat {
		copies = 2
	}
	for range copies {
		time.AfterFunc(time.Duration(l.random.Int64N(int64(l.delay)+1)), f)
	}
}

func (l *link) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

func (l *link) join() {
	l.mu.Lock()
	held := l.held
	l.cut, l.held = false, nil
	l.mu.Unlock()
	for _, f := range held {
		l.carry(f)
	}
}

// site is engines, a weight store and leaders on one clock.
type site struct {
	ctx     context.Context
	engines map[string]*engine.Engine
	order   []string
	store   *engine.WeightStore
	models  []wire.Model
	zones   map[string]string
	// lowest counts the least engines that served a model since the last reset.
	lowest map[string]int
}

// leader is a planner with its link.
type leader struct {
	site    *site
	planner *Planner
	link    link
	fencing int
	// until is when its lease ends; moved on while confirmed.
	until     time.Time
	confirmed bool
	inbox     chan Report
	last      Actions
	// late counts orders decided after the lease.
	late int
}

const tick = 100 * time.Millisecond

func newSite(ctx context.Context, n int, configure func(i int, cfg *engine.Config), models ...wire.Model) *site {
	s := &site{
		ctx: ctx, engines: map[string]*engine.Engine{}, models: models, zones: map[string]string{},
		store: engine.NewWeightStore(wire.Rate{PerSecond: 1, Burst: 2}), lowest: map[string]int{},
	}
	for i := range n {
		cfg := engine.DefaultConfig(fmt.Sprintf("e%d", i))
		configure(i, &cfg)
		e := engine.New(cfg, s.store)
		s.engines[cfg.ID], s.zones[cfg.ID] = e, fmt.Sprintf("zone-%d", i%3)
		s.order = append(s.order, cfg.ID)
		go e.Run(ctx)
	}
	return s
}

func (s *site) lead(fencing int, seed uint64) *leader {
	l := &leader{
		site: s, fencing: fencing, confirmed: true, inbox: make(chan Report, 1000),
		planner: NewPlanner(WithSeed(seed), WithWeightRate(wire.Rate{PerSecond: 1, Burst: 2})),
		link:    link{random: rand.New(rand.NewPCG(seed, 1)), delay: 50 * time.Millisecond},
	}
	return l
}

// step runs one tick of a leader.
func (l *leader) step() {
	now := time.Now()
	if l.confirmed {
		l.until = now.Add(DefaultTiming().Lease)
	}
	var inbox []Report
	for len(l.inbox) > 0 {
		inbox = append(inbox, <-l.inbox)
	}
	l.last = l.planner.Step(now, Tables{
		Models: l.site.models, Engines: pointers(l.site.announcements()), Fencing: l.fencing, LeaseUntil: l.until,
	}, inbox)
	for _, d := range l.last.Orders {
		if !now.Before(l.until) {
			l.late++
		}
		l.link.carry(func() {
			answer := l.site.engines[d.Order.Upstream].Order(l.site.ctx, d.Order)
			l.link.carry(func() { l.inbox <- Report{Upstream: d.Order.Upstream, Answer: &answer} })
		})
	}
	for _, r := range l.last.Reads {
		l.link.carry(func() {
			state := l.site.engines[r.Upstream].State()
			l.link.carry(func() { l.inbox <- Report{Upstream: r.Upstream, State: &state, StartedAt: now} })
		})
	}
}

func (s *site) announcements() []wire.Announcement {
	var list []wire.Announcement
	for _, id := range s.order {
		a := s.engines[id].Announcement()
		a.Zone = s.zones[id]
		list = append(list, a)
	}
	return list
}

func pointers(list []wire.Announcement) iter.Seq[*wire.Announcement] {
	return func(yield func(*wire.Announcement) bool) {
		for i := range list {
			if !yield(&list[i]) {
				return
			}
		}
	}
}

// serving counts the engines that serve a model at any version, and those at the declared one.
func (s *site) serving(m wire.Model) (any, declared int) {
	for _, a := range s.announcements() {
		if slices.ContainsFunc(a.Models, func(key string) bool { return nameOf(key) == m.Name }) {
			any++
		}
		if slices.Contains(a.Models, m.Name+"@"+m.Version) {
			declared++
		}
	}
	return any, declared
}

// settled reports whether the declarations hold, and nothing else is loaded.
func (s *site) settled() bool {
	total := 0
	for _, m := range s.models {
		_, declared := s.serving(m)
		if declared != m.Replicas {
			return false
		}
		total += declared
	}
	for _, a := range s.announcements() {
		total -= len(a.Models)
	}
	return total == 0
}

// run steps leaders for a time, or until the site has settled.
func (s *site) run(d time.Duration, leaders ...*leader) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for _, l := range leaders {
			l.step()
		}
		for _, m := range s.models {
			n, _ := s.serving(m)
			s.lowest[m.Name] = min(s.lowest[m.Name], n)
		}
		if s.settled() {
			return true
		}
	}
	return false
}

func model(name, version string, replicas int) wire.Model {
	return wire.Model{Name: name, Version: version, Adapters: []string{}, Replicas: replicas, LoadCost: 1}
}

// inSite runs f on a paused clock.
func inSite(t *testing.T, f func(is *is.I, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(is.New(t), ctx)
		cancel()
		synctest.Wait()
	})
}

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

// A leader is cut off silently with an order on its way and more to come; the next one changes the declarations.
func TestCutOffLeaderComesBackWithQueuedOrders(t *testing.T) {
	for seed := range uint64(20) {
		for _, checks := range []bool{true, false} {
			inSite(t, func(is *is.I, ctx context.Context) {
				s := newSite(ctx, 4, func(i int, cfg *engine.Config) { cfg.ChecksFencing = checks },
					model("a", "1", 2), model("b", "1", 2))
				old := s.lead(1, seed)
				is.True(s.run(time.Minute, old))

				s.models = []wire.Model{model("a", "2", 2), model("b", "1", 2)}
				s.run(time.Duration(seed)*tick, old)
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
			})
		}
	}
}

func applied(s *site) int {
	n := 0
	for _, e := range s.engines {
		n += len(e.Ledger().Orders)
	}
	return n
}

// mixed reports whether any engine applied an old leader's order after a new one's.
func mixed(s *site) bool {
	for _, e := range s.engines {
		highest := 0
		for _, o := range e.Ledger().Orders {
			if o.Order.Fencing < highest {
				return true
			}
			highest = max(highest, o.Order.Fencing)
		}
	}
	return false
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
	tables := Tables{
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
	t := Tables{
		Engines: pointers(list), Fencing: 1, LeaseUntil: now.Add(time.Hour),
		Models: []wire.Model{model("m0", "1", 4000), model("m1", "1", 4000), model("m2", "1", 4000)},
	}
	p.Step(now, t, nil)
	p.Step(now, t, reports)
	for b.Loop() {
		p.Step(now, t, nil)
	}
}
