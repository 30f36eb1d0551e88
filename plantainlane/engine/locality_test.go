package engine_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/route"
	fake "plantainlane/standin/engine"
	"plantainlane/wire"
)

const (
	engineCount   = 10
	conversations = 200
	instances     = 3
	service       = "generator"
)

var (
	ratePerSecond = flag.Float64("locality.rate", 30, "requests a second in the locality measurement")
	cachedShare   = flag.Float64("locality.share", 1.0/3, "part of all conversations that one engine's cache holds")
)

// workload is the prompts of conversations that share one of a few system prompts.
type workload struct {
	prompts [][]uint64
	blocks  int
	next    uint64
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{next: 1 << 40}
	system := make([][]uint64, 4)
	for i := range system {
		system[i] = w.fresh(8)
		w.blocks += 8
	}
	for i := range conversations {
		own := w.fresh(24 + random.IntN(17))
		w.blocks += len(own)
		w.prompts = append(w.prompts, slices.Concat(system[i%len(system)], own))
	}
	return w
}

func (w *workload) fresh(n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		w.next++
		blocks[i] = w.next
	}
	return blocks
}

// turn is a conversation's prompt with two blocks that no prompt had before.
func (w *workload) turn(random *rand.Rand) []uint64 {
	return slices.Concat(w.prompts[random.IntN(conversations)], w.fresh(2))
}

// chooser picks the engine of a request and is told of its end.
type chooser interface {
	choose(now time.Time, blocks []uint64) (id string, done func(now time.Time, took time.Duration))
}

// leastLoaded knows the calls in flight of all instances exactly.
type leastLoaded struct {
	random   *rand.Rand
	inFlight [engineCount]int
}

func (l *leastLoaded) choose(time.Time, []uint64) (string, func(time.Time, time.Duration)) {
	best := l.random.IntN(engineCount)
	for _, i := range l.random.Perm(engineCount) {
		if l.inFlight[i] < l.inFlight[best] {
			best = i
		}
	}
	l.inFlight[best]++
	return fmt.Sprintf("e%d", best), func(time.Time, time.Duration) { l.inFlight[best]-- }
}

// instance is an instance's balancer with its own index.
type instance struct {
	balancer *route.Balancer
	index    *engine.Index
	locality bool
}

func newInstance(now time.Time, seed uint64, locality bool) *instance {
	random := rand.New(rand.NewPCG(seed, 9))
	return &instance{
		balancer: route.New(now, "region", "zone", route.WithRandom(random.Uint64)),
		index:    engine.NewIndex(now), locality: locality,
	}
}

func (x *instance) choose(now time.Time, blocks []uint64) (string, func(time.Time, time.Duration)) {
	q := route.Query{Service: service}
	if x.locality {
		q.Hints = x.index.Hints(now, blocks)
	}
	target, _ := x.balancer.Pick(now, q)
	x.index.Sent(now, target.ID, blocks)
	return target.ID, func(now time.Time, took time.Duration) {
		target.Done(now, route.Outcome{Result: route.Success, Latency: took})
	}
}

// run is one measurement.
type run struct {
	engines  map[string]*fake.Engine
	choosers []chooser
	watchers []*instance
	mu       sync.Mutex
	first    []time.Duration
	gaps     []time.Duration
	served   map[string]int
	sequence int
}

// outcome is what a run measured.
type outcome struct {
	hitShare float64
	p95      time.Duration
	gap95    time.Duration
	busiest  float64
	requests int
}

func (o outcome) String() string {
	return fmt.Sprintf("hit share %.3f, p95 first token %v, p95 token gap %v, busiest %.2f of the mean, %d requests",
		o.hitShare, o.p95.Round(time.Millisecond), o.gap95.Round(time.Millisecond), o.busiest, o.requests)
}

// setting is what varies between runs.
type setting struct {
	// balanced runs instances with a balancer each, in place of one that knows the load of every engine exactly.
	balanced bool
	// locality gives the balancers hints.
	locality bool
	delay    time.Duration
	loss     float64
}

// measure puts the same seeded load on ten engines and leaves out a warm-up.
func measure(t *testing.T, s setting) outcome {
	const warmUp, length = 30 * time.Second, 120 * time.Second
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(42, 0))
		load := newWorkload(random)
		r := newRun(ctx, s, load)
		began := time.Now()
		var before fake.Ledger
		for measuring := false; time.Since(began) < warmUp+length; {
			time.Sleep(time.Duration(random.ExpFloat64() / *ratePerSecond * float64(time.Second)))
			if !measuring && time.Since(began) >= warmUp {
				measuring = true
				before = r.ledger()
				r.reset()
			}
			r.request(ctx, load.turn(random), 16+random.IntN(17))
		}
		out = r.outcome(before)
		cancel()
		synctest.Wait()
	})
	return out
}

func newRun(ctx context.Context, s setting, load *workload) *run {
	now := time.Now()
	r := &run{engines: map[string]*fake.Engine{}, served: map[string]int{}}
	if s.balanced {
		for i := range instances {
			x := newInstance(now, uint64(i), s.locality)
			r.choosers, r.watchers = append(r.choosers, x), append(r.watchers, x)
		}
	} else {
		r.choosers = []chooser{&leastLoaded{random: rand.New(rand.NewPCG(7, 7))}}
	}
	for i := range engineCount {
		cfg := fake.DefaultConfig(fmt.Sprintf("e%d", i))
		cfg.CacheBlocks = int(*cachedShare * float64(load.blocks))
		cfg.EventDelay, cfg.EventLoss, cfg.Seed, cfg.QueueLimit = s.delay, s.loss, uint64(i), 10000
		e := fake.New(cfg, nil)
		r.engines[cfg.ID] = e
		go e.Run(ctx)
		go e.PublishEvents(ctx, func(_ context.Context, m wire.CacheEvents) {
			for _, x := range r.watchers {
				x.index.Apply(&m)
			}
		})
	}
	r.announce(now, 1)
	go r.tick(ctx)
	return r
}

// tick announces each second and reads the blocks of engines whose view is uncertain.
func (r *run) tick(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, 3))
	for sequence := 2; ctx.Err() == nil; sequence++ {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		r.announce(now, sequence)
		for _, x := range r.watchers {
			for _, id := range x.index.NeedResync(now, engineCount, random) {
				blocks := r.engines[id].CacheBlocks()
				x.index.Resync(&blocks)
			}
		}
	}
}

func (r *run) announce(now time.Time, sequence int) {
	for _, x := range r.watchers {
		for i := range engineCount {
			a := r.engines[fmt.Sprintf("e%d", i)].Announcement()
			a.Service, a.Region, a.Zone, a.Sequence, a.TTLMs = service, "region", "zone", sequence, 3000
			x.index.Announced(now, &a)
			x.balancer.Apply(now, a)
		}
		x.balancer.Review(now)
	}
}

func (r *run) request(ctx context.Context, blocks []uint64, tokens int) {
	began := time.Now()
	r.mu.Lock()
	r.sequence++
	c := r.choosers[r.sequence%len(r.choosers)]
	id, done := c.choose(began, blocks)
	r.served[id]++
	attempt := fmt.Sprintf("a%d", r.sequence)
	r.mu.Unlock()
	stream, err := r.engines[id].Generate(fake.Call{Attempt: attempt, Digest: "00112233", Blocks: blocks, Tokens: tokens})
	if err != nil {
		panic(err)
	}
	go func() {
		defer stream.Close()
		var last time.Time
		for i := 0; ; i++ {
			_, more, err := stream.Next(ctx)
			if err != nil {
				return
			}
			now := time.Now()
			r.mu.Lock()
			if i == 0 {
				r.first = append(r.first, now.Sub(began))
			} else if more {
				r.gaps = append(r.gaps, now.Sub(last))
			}
			last = now
			if !more {
				done(now, now.Sub(began))
			}
			r.mu.Unlock()
			if !more {
				return
			}
		}
	}()
}

func (r *run) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first, r.gaps, r.served = nil, nil, map[string]int{}
}

func (r *run) ledger() fake.Ledger {
	var sum fake.Ledger
	for _, e := range r.engines {
		l := e.Ledger()
		sum.PromptBlocks += l.PromptBlocks
		sum.CachedBlocks += l.CachedBlocks
	}
	return sum
}

func (r *run) outcome(before fake.Ledger) outcome {
	after := r.ledger()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.first)
	slices.Sort(r.gaps)
	o := outcome{
		hitShare: float64(after.CachedBlocks-before.CachedBlocks) / float64(after.PromptBlocks-before.PromptBlocks),
		p95:      r.first[len(r.first)*95/100],
		gap95:    r.gaps[len(r.gaps)*95/100],
	}
	most := 0
	for _, n := range r.served {
		most = max(most, n)
		o.requests += n
	}
	o.busiest = float64(most) * engineCount / float64(o.requests)
	return o
}

func TestLocalityBesideLeastLoaded(t *testing.T) {
	is := is.New(t)
	baseline := measure(t, setting{})
	blind := measure(t, setting{balanced: true})
	local := measure(t, setting{balanced: true, locality: true})
	lossy := measure(t, setting{balanced: true, locality: true, delay: time.Second, loss: 0.1})
	t.Logf("least loaded:       %v", baseline)
	t.Logf("without hints:      %v", blind)
	t.Logf("locality:           %v", local)
	t.Logf("late, lossy events: %v", lossy)
	is.True(local.hitShare >= 2*baseline.hitShare)
	is.True(local.p95 < baseline.p95)
	is.True(local.busiest <= 1.25)
	is.True(local.p95 <= 950*time.Millisecond)
	is.True(local.gap95 <= 69*time.Millisecond)
	is.True(lossy.hitShare-baseline.hitShare >= 0.8*(local.hitShare-baseline.hitShare))
	is.True(lossy.busiest <= 1.25)
}
