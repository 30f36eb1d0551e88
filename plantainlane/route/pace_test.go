package route

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// machine is an upstream with a queue in simulated time, on a machine whose pace varies.
type machine struct {
	// paces holds the pace in percent for each period of 600 ms.
	paces []int
	// free holds the time at which each slot is free. ends holds the ends of the calls that were sent and haven't ended.
	free []time.Time
	ends []time.Time
}

func (m *machine) pace(at time.Time) int {
	return m.paces[int(at.Sub(afterSlowStart)/(600*time.Millisecond))%len(m.paces)]
}

// start adds a call and returns when it ends. Its work is done at the pace of each moment.
func (m *machine) start(now time.Time, work time.Duration) time.Time {
	slices.SortFunc(m.free, time.Time.Compare)
	at := m.free[0]
	if at.Before(now) {
		at = now
	}
	for step := time.Millisecond; work > 0; at = at.Add(step) {
		work -= step * 100 / time.Duration(m.pace(at))
	}
	m.free[0] = at
	m.ends = append(m.ends, at)
	return at
}

// load returns the load report at a time.
func (m *machine) load(now time.Time, withPace bool) wire.UpstreamLoad {
	m.ends = slices.DeleteFunc(m.ends, func(end time.Time) bool { return !end.After(now) })
	running := min(len(m.ends), len(m.free))
	load := wire.UpstreamLoad{InFlight: running, Queued: len(m.ends) - running}
	if withPace {
		load.Pace = m.pace(now)
	}
	return load
}

// simulatePaces sends calls with 120 ms of work to ten upstreams of six slots for a minute, at 0.7 of their capacity without
// contention. 15% of the periods of each machine have a pace of 150 to 250 percent. It returns the mean and the 95th
// percentile of the latencies.
func simulatePaces(withPace bool) (mean, high time.Duration) {
	random := rand.New(rand.NewPCG(41, 42))
	list := announcements(10, "a", 6)
	machines := map[string]*machine{}
	for _, a := range list {
		m := &machine{free: make([]time.Time, 6)}
		for range 110 {
			pace := 100
			if random.Float64() < 0.15 {
				pace = 150 + random.IntN(101)
			}
			m.paces = append(m.paces, pace)
		}
		machines[a.ID] = m
	}
	b := newBalancer(list...)
	var pending callHeap
	var latencies []time.Duration
	nextReview := afterSlowStart
	for now := afterSlowStart; now.Before(afterSlowStart.Add(time.Minute)); now = now.Add(time.Duration(random.ExpFloat64() / 350 * 1e9)) {
		for len(pending) > 0 && !pending[0].ends.After(now) {
			c := heap.Pop(&pending).(call)
			latency := c.ends.Sub(c.sent)
			latencies = append(latencies, latency)
			c.target.Reported(c.ends, machines[c.target.ID].load(c.ends, withPace))
			c.target.Done(c.ends, Outcome{Latency: latency})
		}
		if !nextReview.After(now) {
			b.Review(now)
			nextReview = now.Add(ReviewInterval)
		}
		target, _ := b.Pick(now, encode)
		work := time.Duration((0.5 + random.Float64()) * float64(120*time.Millisecond))
		heap.Push(&pending, call{target, now, machines[target.ID].start(now, work)})
	}
	var sum time.Duration
	for _, l := range latencies {
		sum += l
	}
	slices.SortFunc(latencies, cmp.Compare)
	return sum / time.Duration(len(latencies)), latencies[len(latencies)*95/100]
}

// TestPaceLowersLatency guards against a choice that ignores how long work takes at each upstream now.
func TestPaceLowersLatency(t *testing.T) {
	is := is.New(t)
	without, highWithout := simulatePaces(false)
	with, highWith := simulatePaces(true)
	t.Logf("mean %v without the pace, %v with it; 95th percentile %v, %v", without, with, highWithout, highWith)
	is.True(with < without)
	is.True(highWith < highWithout)
}

// TestNoisyNeighborsEjectNothing guards against the ejection of an upstream whose machine has no more room for a few hundred
// milliseconds, and against keeping one that is slow by itself and reports a normal pace.
func TestNoisyNeighborsEjectNothing(t *testing.T) {
	for name, c := range map[string]struct {
		pace    int
		ejected bool
	}{
		"noisy neighbors": {pace: 600, ejected: false},
		"slow by itself":  {pace: 100, ejected: true},
		"no pace":         {pace: 0, ejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := announcements(6, "a", 8)
			b := newBalancer(list...)
			now := afterSlowStart
			// callAll makes four calls to each upstream, at 100 ms or six times as long at the first one. Contention ends with
			// the answer to the third.
			callAll := func(isSlow bool) {
				for i, a := range list {
					u := b.index.get(a.ID)
					for n := range 4 {
						target, _ := b.target(b.since(now), u)
						latency, pace := 100*time.Millisecond, 100
						if isSlow && i == 0 {
							latency, pace = 600*time.Millisecond, c.pace
							if n == 3 {
								pace = min(pace, 100)
							}
						}
						target.Reported(now.Add(latency), wire.UpstreamLoad{InFlight: 1, Pace: pace})
						target.Done(now.Add(latency), Outcome{Latency: latency})
					}
				}
				now = now.Add(700 * time.Millisecond)
				b.Review(now)
			}
			for range 3 {
				callAll(false)
			}
			for range 3 {
				callAll(true)
			}
			is.Equal(isEjected(b, "a-000"), c.ejected)
		})
	}
}

// TestPaceReverts guards against a report that counts for longer than its contention may last.
func TestPaceReverts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcement("u", "a", 4))
	u := b.index.get("u")
	at := func(d time.Duration) float64 { return u.paceAt(b.since(afterSlowStart.Add(d))) }
	is.Equal(at(0), 1.0)
	Target{upstream: u, balancer: b}.Reported(afterSlowStart, wire.UpstreamLoad{Pace: 250})
	is.Equal(at(0), 2.5)
	is.Equal(at(-time.Millisecond), 2.5) // read by a goroutine with an earlier time
	is.Equal(at(250*time.Millisecond), 1.75)
	is.Equal(at(500*time.Millisecond), 1.0)
	b.Review(afterSlowStart.Add(500 * time.Millisecond))
	is.Equal(at(65536*time.Millisecond), 1.0) // the time in the report wraps around
	Target{upstream: u, balancer: b}.Reported(afterSlowStart, wire.UpstreamLoad{Pace: 50})
	is.Equal(at(0), 0.5)
	Target{upstream: u, balancer: b}.Reported(afterSlowStart, wire.UpstreamLoad{})
	is.Equal(at(0), 0.5) // an answer without a pace tells nothing
}
