package route

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// recordFailures starts calls to an upstream and ends them as failed, one after another.
func recordFailures(b *Balancer, id string, now time.Time, times int) {
	u := b.index.get(id)
	for range times {
		u.startCall(b.since(now))
		Target{upstream: u, balancer: b}.Done(now, Outcome{Result: Failure, Latency: time.Millisecond})
	}
}

func isEjected(b *Balancer, id string) bool {
	ejected, _ := b.Ejected(id)
	return ejected
}

// An upstream that fails again after its ejection must be ejected for longer each time, and must not get its full load
// before a call has succeeded.
func TestEjectionPeriodDoublesAndEndsInProbation(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 4)...)
	b.SetPolicies([]wire.UpstreamPolicy{{Service: "encode", EjectAfterFailures: 3, EjectForMs: 1000, MaxEjectedShare: 0.5}})
	now := afterSlowStart
	recordFailures(b, "a-000", now, 2)
	is.True(!isEjected(b, "a-000"))
	recordFailures(b, "a-000", now, 1)
	is.True(isEjected(b, "a-000"))
	for i, period := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		b.Review(now.Add(period - time.Millisecond))
		is.True(isEjected(b, "a-000"))
		now = now.Add(period)
		b.Review(now)
		is.True(!isEjected(b, "a-000"))
		if i < 2 {
			recordFailures(b, "a-000", now, 1) // a single failure on probation ejects
			is.True(isEjected(b, "a-000"))
		}
	}
	othersAvoided := Query{Service: "encode", Avoid: []string{"a-001", "a-002", "a-003"}}
	target, ok := b.Pick(now, othersAvoided)
	is.True(ok)
	u := b.index.get("a-000")
	is.True(!u.usable(b.since(now), &encode)) // probation allows one call in flight
	target.Done(now, Outcome{Latency: time.Millisecond})
	is.True(u.usable(b.since(now), &encode))
}

// Ejections must stay within the policy's MaxEjectedShare and leave at least one upstream to send calls to.
func TestEjectionIsCapped(t *testing.T) {
	tests := []struct {
		name  string
		size  int
		share float64
		want  int
	}{
		{"share", 10, 0.3, 3},
		{"at least one", 5, 0.1, 1},
		{"never all", 3, 1, 2},
		{"single upstream", 1, 1, 0},
		{"off", 10, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			list := announcements(test.size, "a", 4)
			b := newBalancer(list...)
			b.SetPolicies([]wire.UpstreamPolicy{{
				Service: "encode", EjectAfterFailures: 1, EjectForMs: 1000, MaxEjectedShare: test.share,
			}})
			for _, r := range list {
				recordFailures(b, r.ID, afterSlowStart, 3)
			}
			ejected := 0
			for _, r := range list {
				if isEjected(b, r.ID) {
					ejected++
				}
			}
			is.Equal(ejected, test.want)
			_, ok := b.Pick(afterSlowStart, encode)
			is.True(ok)
		})
	}
}

// If an upstream is removed while it is ejected and its ejection stays counted, the service can eject fewer of the
// others.
func TestRemovedUpstreamFreesItsEjectionSlot(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 4)...)
	recordFailures(b, "a-000", afterSlowStart, 5)
	is.Equal(b.service("encode").ejectedCount.Load(), int32(1))
	b.Remove("a-000")
	is.Equal(b.service("encode").ejectedCount.Load(), int32(0))
}

// If calls fail at all upstreams alike, for example because of a fault behind them, consecutive failures are frequent
// at each of them. They must not eject upstreams that are no worse than the others.
func TestFaultOfAllUpstreamsEjectsAtMostOne(t *testing.T) {
	is := is.New(t)
	list := announcements(10, "a", 4)
	b := newBalancer(list...)
	random := rand.New(rand.NewPCG(9, 10))
	now := afterSlowStart
	runRound := func(failureFraction float64) {
		for range 20 {
			for _, r := range list {
				u := b.index.get(r.ID)
				u.startCall(b.since(now))
				o := Outcome{Latency: time.Millisecond}
				if random.Float64() < failureFraction {
					o.Result = Failure
				}
				Target{upstream: u, balancer: b}.Done(now, o)
			}
		}
		now = now.Add(ReviewInterval)
		b.Review(now)
	}
	runRound(0)
	for range 4 { // the fraction of failures rises within a second
		runRound(0.3)
	}
	for range 40 {
		runRound(0.5)
	}
	ejected := 0
	for _, r := range list {
		if isEjected(b, r.ID) {
			ejected++
		}
	}
	is.True(ejected <= 1)
	recordFailures(b, "a-004", now, 15) // a run that the fault of all upstreams does not explain
	is.True(isEjected(b, "a-004"))
}

// call is a call that a workload has in flight.
type call struct {
	target Target
	sent   time.Time
	ends   time.Time
}

// callHeap is a heap of calls, the one that ends first on top.
type callHeap []call

func (c callHeap) Len() int           { return len(c) }
func (c callHeap) Less(i, j int) bool { return c[i].ends.Before(c[j].ends) }
func (c callHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callHeap) Push(x any)        { *c = append(*c, x.(call)) }
func (c *callHeap) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// workload sends calls through a balancer at a constant rate in simulated time. latency returns the mean time that a
// call to an upstream takes.
type workload struct {
	balancer *Balancer
	latency  func(id string) time.Duration
	// report returns the load that an upstream reports at the end of a call; nil if it reports none.
	report  func(id string, now time.Time) wire.UpstreamLoad
	random  *rand.Rand
	now     time.Time
	pending callHeap
}

// run sends calls for the period, one per interval of length every. It returns the number of calls to each upstream by
// ID.
func (w *workload) run(period, every time.Duration) (picks map[string]int) {
	picks = map[string]int{}
	end := w.now.Add(period)
	nextReview := w.now.Add(ReviewInterval)
	for w.now.Before(end) {
		for len(w.pending) > 0 && !w.pending[0].ends.After(w.now) {
			c := heap.Pop(&w.pending).(call)
			if w.report != nil {
				c.target.Reported(c.ends, w.report(c.target.ID, c.ends))
			}
			c.target.Done(c.ends, Outcome{Latency: c.ends.Sub(c.sent)})
		}
		if !nextReview.After(w.now) {
			w.balancer.Review(w.now)
			nextReview = nextReview.Add(ReviewInterval)
		}
		if target, ok := w.balancer.Pick(w.now, encode); ok {
			picks[target.ID]++
			variation := 0.8 + 0.4*w.random.Float64()
			took := time.Duration(float64(w.latency(target.ID)) * variation)
			heap.Push(&w.pending, call{target, w.now, w.now.Add(took)})
		}
		w.now = w.now.Add(every)
	}
	return picks
}

// Two of ten upstreams become ten times as slow as the others. They must get almost no calls from a second later on,
// and must get their load back after they have recovered, though hardly any call has shown by then that they are fast
// again.
func TestSlowUpstreamIsAvoidedWithinASecondAndReturnsGradually(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(10, "a", 8)...)
	slow := map[string]bool{}
	w := &workload{balancer: b, now: afterSlowStart, random: rand.New(rand.NewPCG(3, 4)), latency: func(id string) time.Duration {
		if slow[id] {
			return 2 * time.Second
		}
		return 200 * time.Millisecond
	}}
	const every = 4 * time.Millisecond // 250 calls a second, about 50 in flight at a capacity of 80
	w.run(3*time.Second, every)
	slow["a-003"], slow["a-007"] = true, true
	w.run(time.Second, every)
	picks := w.run(5*time.Second, every)
	is.True(picks["a-003"]+picks["a-007"] <= 12) // 1% of 1,250; round robin gives 250
	clear(slow)
	for range 10 {
		w.run(time.Second, every)
	}
	picks = w.run(10*time.Second, every)
	is.True(picks["a-003"]+picks["a-007"] >= 250) // at least half of their fair share, which is 500 of 2,500
}

// An upstream that accepts calls and never answers reports neither failures nor latencies. It must be avoided for its
// lack of progress.
func TestUpstreamThatNeverAnswersIsAvoided(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(5, "a", 8)...)
	silent := false
	w := &workload{balancer: b, now: afterSlowStart, random: rand.New(rand.NewPCG(5, 6)), latency: func(id string) time.Duration {
		if silent && id == "a-002" {
			return time.Hour
		}
		return 100 * time.Millisecond
	}}
	w.run(3*time.Second, 10*time.Millisecond)
	silent = true
	first := w.run(time.Second, 10*time.Millisecond)
	is.True(first["a-002"] <= 10)
	later := w.run(5*time.Second, 10*time.Millisecond)
	is.Equal(later["a-002"], 0)
}
