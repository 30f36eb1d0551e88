package route

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

func fail(b *Balancer, id string, now time.Time, times int) {
	u := b.index.get(id)
	for range times {
		u.begin(b.since(now))
		Target{upstream: u, balancer: b}.Done(now, Outcome{Result: Failure, Latency: time.Millisecond})
	}
}

func isEjected(b *Balancer, id string) bool {
	ejected, _ := b.Ejected(id)
	return ejected
}

func TestEjectionDoublesAndReturnsOnProbation(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(4, "a", 4)...)
	b.SetPolicies([]wire.UpstreamPolicy{{Service: "encode", EjectAfterFailures: 3, EjectForMs: 1000, MaxEjectedShare: 0.5}})
	now := warm
	fail(b, "a-000", now, 2)
	is.True(!isEjected(b, "a-000"))
	fail(b, "a-000", now, 1)
	is.True(isEjected(b, "a-000"))
	for i, period := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		b.Review(now.Add(period - time.Millisecond))
		is.True(isEjected(b, "a-000"))
		now = now.Add(period)
		b.Review(now)
		is.True(!isEjected(b, "a-000"))
		if i < 2 {
			fail(b, "a-000", now, 1) // one failure on probation is enough
			is.True(isEjected(b, "a-000"))
		}
	}
	all := Query{Service: "encode", Avoid: []string{"a-001", "a-002", "a-003"}}
	target, ok := b.Pick(now, all)
	is.True(ok)
	u := b.index.get("a-000")
	is.True(!u.usable(&encode)) // one call at a time
	target.Done(now, Outcome{Latency: time.Millisecond})
	is.True(u.usable(&encode))
}

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
			list := rows(test.size, "a", 4)
			b := newBalancer(list...)
			b.SetPolicies([]wire.UpstreamPolicy{{
				Service: "encode", EjectAfterFailures: 1, EjectForMs: 1000, MaxEjectedShare: test.share,
			}})
			for _, r := range list {
				fail(b, r.ID, warm, 3)
			}
			ejected := 0
			for _, r := range list {
				if isEjected(b, r.ID) {
					ejected++
				}
			}
			is.Equal(ejected, test.want)
			_, ok := b.Pick(warm, encode)
			is.True(ok)
		})
	}
}

func TestRemovedUpstreamFreesItsEjection(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(4, "a", 4)...)
	fail(b, "a-000", warm, 5)
	is.Equal(b.service("encode").ejected.Load(), int32(1))
	b.Remove("a-000")
	is.Equal(b.service("encode").ejected.Load(), int32(0))
}

func TestCommonFaultEjectsNobody(t *testing.T) {
	is := is.New(t)
	list := rows(10, "a", 4)
	b := newBalancer(list...)
	random := rand.New(rand.NewPCG(9, 10))
	now := warm
	call := func(failureShare float64) {
		for range 20 {
			for _, r := range list {
				u := b.index.get(r.ID)
				u.begin(b.since(now))
				o := Outcome{Latency: time.Millisecond}
				if random.Float64() < failureShare {
					o.Result = Failure
				}
				Target{upstream: u, balancer: b}.Done(now, o)
			}
		}
		now = now.Add(ReviewEvery)
		b.Review(now)
	}
	call(0)
	for range 4 { // the share of failures rises within a second
		call(0.3)
	}
	for range 40 {
		call(0.5)
	}
	ejected := 0
	for _, r := range list {
		if isEjected(b, r.ID) {
			ejected++
		}
	}
	is.True(ejected <= 1)
	fail(b, "a-004", now, 15) // far beyond the common fault
	is.True(isEjected(b, "a-004"))
}

// call is a call in flight in a workload.
type call struct {
	target Target
	sent   time.Time
	ends   time.Time
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].ends.Before(c[j].ends) }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// workload sends a steady stream of calls through a balancer. latency gives the time an upstream takes.
type workload struct {
	balancer *Balancer
	latency  func(id string) time.Duration
	random   *rand.Rand
	now      time.Time
	pending  calls
}

func (w *workload) run(period, every time.Duration) (picks map[string]int) {
	picks = map[string]int{}
	end := w.now.Add(period)
	nextReview := w.now.Add(ReviewEvery)
	for w.now.Before(end) {
		for len(w.pending) > 0 && !w.pending[0].ends.After(w.now) {
			c := heap.Pop(&w.pending).(call)
			c.target.Done(c.ends, Outcome{Latency: c.ends.Sub(c.sent)})
		}
		if !nextReview.After(w.now) {
			w.balancer.Review(w.now)
			nextReview = nextReview.Add(ReviewEvery)
		}
		if target, ok := w.balancer.Pick(w.now, encode); ok {
			picks[target.ID]++
			scatter := 0.8 + 0.4*w.random.Float64()
			took := time.Duration(float64(w.latency(target.ID)) * scatter)
			heap.Push(&w.pending, call{target, w.now, w.now.Add(took)})
		}
		w.now = w.now.Add(every)
	}
	return picks
}

func TestSlowUpstreamIsAvoidedWithinASecondAndReturnsGently(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(10, "a", 8)...)
	slow := map[string]bool{}
	w := &workload{balancer: b, now: warm, random: rand.New(rand.NewPCG(3, 4)), latency: func(id string) time.Duration {
		if slow[id] {
			return 2 * time.Second
		}
		return 200 * time.Millisecond
	}}
	const every = 4 * time.Millisecond // 250 a second, 50 in flight of 80 places
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
	is.True(picks["a-003"]+picks["a-007"] >= 250) // half of the fair share at least, of 2,500
}

func TestUpstreamThatNeverAnswersIsAvoided(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(5, "a", 8)...)
	silent := false
	w := &workload{balancer: b, now: warm, random: rand.New(rand.NewPCG(5, 6)), latency: func(id string) time.Duration {
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
