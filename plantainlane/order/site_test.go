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
	least  time.Duration
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
		time.AfterFunc(l.least+time.Duration(l.random.Int64N(int64(l.delay)+1)), f)
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
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
	// late counts orders decided after the lease, queued those decided behind a cut.
	late, queued int
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
	l.last = l.planner.Step(now, Input{
		Models: l.site.models, Engines: pointers(l.site.announcements()), Fencing: l.fencing, LeaseUntil: l.until,
	}, inbox)
	for _, d := range l.last.Orders {
		if !now.Before(l.until) {
			l.late++
		}
		if l.link.isCut() {
			l.queued++
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
