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

// link calls functions, which stand for messages between a leader and engines, with loss, delay and repetition.
// While it is disconnected it queues them, and sends them when it is reconnected.
type link struct {
	mu         sync.Mutex
	random     *rand.Rand
	lossRate   float64
	repeatRate float64
	// minDelay and jitter make up the delay of each message: minDelay plus a random time of up to jitter.
	minDelay     time.Duration
	jitter       time.Duration
	disconnected bool
	queued       []func()
}

func (l *link) send(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disconnected {
		l.queued = append(l.queued, f)
		return
	}
	if l.random.Float64() < l.lossRate {
		return
	}
	copies := 1
	if l.random.Float64() < l.repeatRate {
		copies = 2
	}
	for range copies {
		time.AfterFunc(l.minDelay+time.Duration(l.random.Int64N(int64(l.jitter)+1)), f)
	}
}

func (l *link) isDisconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disconnected
}

func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = true
}

func (l *link) reconnect() {
	l.mu.Lock()
	queued := l.queued
	l.disconnected, l.queued = false, nil
	l.mu.Unlock()
	for _, f := range queued {
		l.send(f)
	}
}

// cluster is a set of fake engines with a weight store. Its leaders, of which several may run at the same time, send
// them orders.
type cluster struct {
	ctx     context.Context
	engines map[string]*engine.Engine
	ids     []string
	store   *engine.WeightStore
	models  []wire.Model
	zones   map[string]string
	// minServing is the smallest number of engines that served each model at any version since the test set it.
	minServing map[string]int
}

// leader is a planner with a lease and a link to the engines.
type leader struct {
	cluster *cluster
	planner *Planner
	link    link
	fencing int
	// until is when the lease ends; each step extends it while confirmed is set.
	until     time.Time
	confirmed bool
	inbox     chan Report
	// last is the result of the last step.
	last Actions
	// afterLease counts the orders issued after the end of the lease, whileDisconnected those issued while the link was
	// disconnected.
	afterLease, whileDisconnected int
}

const tick = 100 * time.Millisecond

func newCluster(ctx context.Context, n int, configure func(i int, cfg *engine.Config), models ...wire.Model) *cluster {
	c := &cluster{
		ctx: ctx, engines: map[string]*engine.Engine{}, models: models, zones: map[string]string{},
		store: engine.NewWeightStore(wire.Rate{PerSecond: 1, Burst: 2}), minServing: map[string]int{},
	}
	for i := range n {
		cfg := engine.DefaultConfig(fmt.Sprintf("e%d", i))
		configure(i, &cfg)
		e := engine.New(cfg, c.store)
		c.engines[cfg.ID], c.zones[cfg.ID] = e, fmt.Sprintf("zone-%d", i%3)
		c.ids = append(c.ids, cfg.ID)
		go e.Run(ctx)
	}
	return c
}

func (c *cluster) newLeader(fencing int, seed uint64) *leader {
	l := &leader{
		cluster: c, fencing: fencing, confirmed: true, inbox: make(chan Report, 1000),
		planner: NewPlanner(WithSeed(seed), WithWeightRate(wire.Rate{PerSecond: 1, Burst: 2})),
		link:    link{random: rand.New(rand.NewPCG(seed, 1)), jitter: 50 * time.Millisecond},
	}
	return l
}

// step calls the planner with the reports received since the last call, and sends its orders and reads.
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
		Models: l.cluster.models, Engines: pointers(l.cluster.announcements()), Fencing: l.fencing, LeaseUntil: l.until,
	}, inbox)
	for _, d := range l.last.Orders {
		if !now.Before(l.until) {
			l.afterLease++
		}
		if l.link.isDisconnected() {
			l.whileDisconnected++
		}
		l.link.send(func() {
			answer := l.cluster.engines[d.Order.Upstream].Order(l.cluster.ctx, d.Order)
			l.link.send(func() { l.inbox <- Report{Upstream: d.Order.Upstream, Answer: &answer} })
		})
	}
	for _, r := range l.last.Reads {
		l.link.send(func() {
			state := l.cluster.engines[r.Upstream].State()
			l.link.send(func() { l.inbox <- Report{Upstream: r.Upstream, State: &state, StartedAt: now} })
		})
	}
}

func (c *cluster) announcements() []wire.Announcement {
	var list []wire.Announcement
	for _, id := range c.ids {
		a := c.engines[id].Announcement()
		a.Zone = c.zones[id]
		list = append(list, a)
	}
	return list
}

// pointers yields pointers to the elements of list.
func pointers(list []wire.Announcement) iter.Seq[*wire.Announcement] {
	return func(yield func(*wire.Announcement) bool) {
		for i := range list {
			if !yield(&list[i]) {
				return
			}
		}
	}
}

// countServing counts the engines that serve a model at any version, and those that serve the declared version.
func (c *cluster) countServing(m wire.Model) (anyVersion, declared int) {
	for _, a := range c.announcements() {
		if slices.ContainsFunc(a.Models, func(key string) bool { return modelName(key) == m.Name }) {
			anyVersion++
		}
		if slices.Contains(a.Models, m.Name+"@"+m.Version) {
			declared++
		}
	}
	return anyVersion, declared
}

// converged reports whether each declared model has its replicas and nothing else is loaded.
func (c *cluster) converged() bool {
	total := 0
	for _, m := range c.models {
		_, declared := c.countServing(m)
		if declared != m.Replicas {
			return false
		}
		total += declared
	}
	for _, a := range c.announcements() {
		total -= len(a.Models)
	}
	return total == 0
}

// run steps the leaders once a tick for d, or until the cluster has converged, and reports whether
// the cluster has converged.
func (c *cluster) run(d time.Duration, leaders ...*leader) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for _, l := range leaders {
			l.step()
		}
		for _, m := range c.models {
			n, _ := c.countServing(m)
			c.minServing[m.Name] = min(c.minServing[m.Name], n)
		}
		if c.converged() {
			return true
		}
	}
	return false
}

func model(name, version string, replicas int) wire.Model {
	return wire.Model{Name: name, Version: version, Adapters: []string{}, Replicas: replicas, LoadCost: 1}
}

// withFakeClock runs f in a synctest bubble, whose clock is fake, and then ends the goroutines that f started.
func withFakeClock(t *testing.T, f func(is *is.I, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(is.New(t), ctx)
		cancel()
		synctest.Wait()
	})
}

// appliedOrders counts the orders that the engines have applied.
func appliedOrders(c *cluster) int {
	n := 0
	for _, e := range c.engines {
		n += len(e.Ledger().Orders)
	}
	return n
}

// appliedStaleOrder reports whether any engine applied an order of a previous leader after one of a later leader.
func appliedStaleOrder(c *cluster) bool {
	for _, e := range c.engines {
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
