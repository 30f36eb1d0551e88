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
	ratePerSecond  = flag.Float64("locality.rate", 30, "requests a second in the locality measurement")
	cachedFraction = flag.Float64("locality.share", 1.0/3,
		"fraction of the blocks of all conversations that one engine's cache holds")
)

// workload makes the prompts of conversations, each of which begins with one of a few system prompts.
type workload struct {
	prompts [][]uint64
	// blocks is the number of different blocks in prompts.
	blocks int
	// next is the last block made.
	next uint64
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{next: 1 << 40}
	system := make([][]uint64, 4)
	for i := range system {
		system[i] = w.newBlocks(8)
		w.blocks += 8
	}
	for i := range conversations {
		own := w.newBlocks(24 + random.IntN(17))
		w.blocks += len(own)
		w.prompts = append(w.prompts, slices.Concat(system[i%len(system)], own))
	}
	return w
}

// newBlocks returns n blocks that no prompt has.
func (w *workload) newBlocks(n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		w.next++
		blocks[i] = w.next
	}
	return blocks
}

// nextPrompt returns the prompt of a random conversation with two blocks that no prompt had before.
func (w *workload) nextPrompt(random *rand.Rand) []uint64 {
	return slices.Concat(w.prompts[random.IntN(conversations)], w.newBlocks(2))
}

// chooser chooses the engine of a request.
type chooser interface {
	// choose returns the ID of the engine and a function to call at the end of the request.
	choose(now time.Time, blocks []uint64) (id string, done func(now time.Time, took time.Duration))
}

// leastLoaded chooses the engine with the fewest calls in flight, which it counts exactly over all instances.
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

// instance is the balancer of one instance with its index.
type instance struct {
	balancer *route.Balancer
	index    *engine.Index
	// locality gives the balancer hints from the index.
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

// measurement sends requests to engines and records their latencies.
type measurement struct {
	engines  map[string]*fake.Engine
	choosers []chooser
	// subscribers are the choosers that receive announcements and cache events.
	subscribers []*instance
	mu          sync.Mutex
	// firstTokens are the times to the first token, gaps those between two tokens.
	firstTokens []time.Duration
	gaps        []time.Duration
	// requests counts the requests by engine.
	requests map[string]int
	sequence int
}

// outcome is the result of a measurement.
type outcome struct {
	// hitRatio is the fraction of prompt blocks that were cached.
	hitRatio float64
	// firstTokenP95 and gapP95 are 95th percentiles.
	firstTokenP95 time.Duration
	gapP95        time.Duration
	// busiestRatio is the number of requests of the busiest engine over the mean of all engines.
	busiestRatio float64
	requests     int
}

func (o outcome) String() string {
	return fmt.Sprintf("hit ratio %.3f, p95 first token %v, p95 token gap %v, busiest %.2f of the mean, %d requests",
		o.hitRatio, o.firstTokenP95.Round(time.Millisecond), o.gapP95.Round(time.Millisecond), o.busiestRatio, o.requests)
}

// measureConfig holds the options that vary between measurements.
type measureConfig struct {
	// balanced uses several instances with a balancer each, instead of one leastLoaded.
	balanced bool
	// locality gives the balancers hints.
	locality bool
	// eventDelay and eventLoss are the delay of cache events and the fraction of them that is lost.
	eventDelay time.Duration
	eventLoss  float64
}

// measure sends the same seeded requests to ten engines in each call. It doesn't count those of the warm-up.
func measure(t *testing.T, config measureConfig) outcome {
	const warmUp, length = 30 * time.Second, 120 * time.Second
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(42, 0))
		work := newWorkload(random)
		r := newMeasurement(ctx, config, work)
		startedAt := time.Now()
		var before fake.Ledger
		for measuring := false; time.Since(startedAt) < warmUp+length; {
			time.Sleep(time.Duration(random.ExpFloat64() / *ratePerSecond * float64(time.Second)))
			if !measuring && time.Since(startedAt) >= warmUp {
				measuring = true
				before = r.ledger()
				r.reset()
			}
			r.request(ctx, work.nextPrompt(random), 16+random.IntN(17))
		}
		out = r.outcome(before)
		cancel()
		synctest.Wait()
	})
	return out
}

func newMeasurement(ctx context.Context, config measureConfig, work *workload) *measurement {
	now := time.Now()
	r := &measurement{engines: map[string]*fake.Engine{}, requests: map[string]int{}}
	if config.balanced {
		for i := range instances {
			x := newInstance(now, uint64(i), config.locality)
			r.choosers, r.subscribers = append(r.choosers, x), append(r.subscribers, x)
		}
	} else {
		r.choosers = []chooser{&leastLoaded{random: rand.New(rand.NewPCG(7, 7))}}
	}
	for i := range engineCount {
		cfg := fake.DefaultConfig(fmt.Sprintf("e%d", i))
		cfg.CacheBlocks = int(*cachedFraction * float64(work.blocks))
		cfg.EventDelay, cfg.EventLoss, cfg.Seed, cfg.QueueLimit = config.eventDelay, config.eventLoss, uint64(i), 10000
		e := fake.New(cfg, nil)
		r.engines[cfg.ID] = e
		go e.Run(ctx)
		go e.PublishEvents(ctx, func(_ context.Context, m wire.CacheEvents) {
			for _, x := range r.subscribers {
				x.index.Apply(&m)
			}
		})
	}
	r.announce(now, 1)
	go r.announcePeriodically(ctx)
	return r
}

// announcePeriodically announces the engines each second and reads the blocks of those whose view is uncertain.
func (r *measurement) announcePeriodically(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, 3))
	for sequence := 2; ctx.Err() == nil; sequence++ {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		r.announce(now, sequence)
		for _, x := range r.subscribers {
			for _, id := range x.index.NeedResync(now, engineCount, random) {
				blocks := r.engines[id].CacheBlocks()
				x.index.Resync(&blocks)
			}
		}
	}
}

func (r *measurement) announce(now time.Time, sequence int) {
	for _, x := range r.subscribers {
		for i := range engineCount {
			a := r.engines[fmt.Sprintf("e%d", i)].Announcement()
			a.Service, a.Region, a.Zone, a.Sequence, a.TTLMs = service, "region", "zone", sequence, 3000
			x.index.Announced(now, &a)
			x.balancer.Apply(now, a)
		}
		x.balancer.Review(now)
	}
}

// request starts a request and records when its tokens arrive.
func (r *measurement) request(ctx context.Context, blocks []uint64, tokens int) {
	startedAt := time.Now()
	r.mu.Lock()
	r.sequence++
	c := r.choosers[r.sequence%len(r.choosers)]
	id, done := c.choose(startedAt, blocks)
	r.requests[id]++
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
				r.firstTokens = append(r.firstTokens, now.Sub(startedAt))
			} else if more {
				r.gaps = append(r.gaps, now.Sub(last))
			}
			last = now
			if !more {
				done(now, now.Sub(startedAt))
			}
			r.mu.Unlock()
			if !more {
				return
			}
		}
	}()
}

// reset drops the latencies and counts recorded so far.
func (r *measurement) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstTokens, r.gaps, r.requests = nil, nil, map[string]int{}
}

// ledger returns the blocks counted by all engines.
func (r *measurement) ledger() fake.Ledger {
	var sum fake.Ledger
	for _, e := range r.engines {
		l := e.Ledger()
		sum.PromptBlocks += l.PromptBlocks
		sum.CachedBlocks += l.CachedBlocks
	}
	return sum
}

// outcome returns the result since the time at which before was the ledger.
func (r *measurement) outcome(before fake.Ledger) outcome {
	after := r.ledger()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.firstTokens)
	slices.Sort(r.gaps)
	o := outcome{
		hitRatio:      float64(after.CachedBlocks-before.CachedBlocks) / float64(after.PromptBlocks-before.PromptBlocks),
		firstTokenP95: r.firstTokens[len(r.firstTokens)*95/100],
		gapP95:        r.gaps[len(r.gaps)*95/100],
	}
	busiest := 0
	for _, n := range r.requests {
		busiest = max(busiest, n)
		o.requests += n
	}
	o.busiestRatio = float64(busiest) * engineCount / float64(o.requests)
	return o
}

// Hints from the prefix index must raise the cache hits, and lower the time to the first token, without overloading the
// engines that hold popular prompts, also when cache events arrive late or are lost. The baseline is a balancer that
// knows the load of all engines exactly but not their caches.
func TestHintsComparedWithLeastLoaded(t *testing.T) {
	is := is.New(t)
	baseline := measure(t, measureConfig{})
	withoutHints := measure(t, measureConfig{balanced: true})
	withHints := measure(t, measureConfig{balanced: true, locality: true})
	lossyEvents := measure(t, measureConfig{balanced: true, locality: true, eventDelay: time.Second, eventLoss: 0.1})
	t.Logf("least loaded:       %v", baseline)
	t.Logf("without hints:      %v", withoutHints)
	t.Logf("locality:           %v", withHints)
	t.Logf("late, lossy events: %v", lossyEvents)
	is.True(withHints.hitRatio >= 2*baseline.hitRatio)
	is.True(withHints.firstTokenP95 < baseline.firstTokenP95)
	is.True(withHints.busiestRatio <= 1.25)
	is.True(withHints.firstTokenP95 <= 950*time.Millisecond)
	is.True(withHints.gapP95 <= 69*time.Millisecond)
	is.True(lossyEvents.hitRatio-baseline.hitRatio >= 0.8*(withHints.hitRatio-baseline.hitRatio))
	is.True(lossyEvents.busiestRatio <= 1.25)
}
