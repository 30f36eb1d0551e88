package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// simulatePaces sends calls with 120 ms of work to ten upstreams of six slots for a minute, at 0.7 of their capacity. In 15% of its
// periods of 600 ms, a machine has a pace of 150 to 250 percent. It returns the mean and the 95th percentile of the latencies.
func simulatePaces(withPace bool) (mean, high time.Duration) {
	random, list := rand.New(rand.NewPCG(41, 42)), announcements(10, "a", 6)
	paces, slots := map[string][]int{}, map[string][]time.Time{}
	for _, a := range list {
		slots[a.ID] = make([]time.Time, 6)
		for range 110 {
			paces[a.ID] = append(paces[a.ID], 100)
			if random.Float64() < 0.15 {
				paces[a.ID][len(paces[a.ID])-1] = 150 + random.IntN(101)
			}
		}
	}
	paceOf := func(id string, now time.Time) int { return paces[id][now.Sub(afterSlowStart)/(600*time.Millisecond)] }
	var latencies []time.Duration
	w := &workload{balancer: newBalancer(list...), now: afterSlowStart, random: random}
	w.latency = func(id string) time.Duration {
		slices.SortFunc(slots[id], time.Time.Compare)
		begins := slots[id][0]
		if begins.Before(w.now) {
			begins = w.now
		}
		slots[id][0] = begins.Add(120 * time.Millisecond * time.Duration(paceOf(id, begins)) / 100)
		latencies = append(latencies, slots[id][0].Sub(w.now))
		return latencies[len(latencies)-1]
	}
	w.report = func(id string, now time.Time) (load wire.UpstreamLoad) {
		if withPace {
			load.Pace = paceOf(id, now)
		}
		return load
	}
	w.run(time.Minute, time.Second/350)
	for _, l := range latencies {
		mean += l / time.Duration(len(latencies))
	}
	slices.Sort(latencies)
	return mean, latencies[len(latencies)*95/100]
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

// TestNoisyNeighborsEjectNothing guards against the ejection of an upstream whose machine has no more room for a moment, and
// against keeping one that is slow by itself. At the first upstream calls take eight times as long; contention begins during three
// of them and ends during the others.
func TestNoisyNeighborsEjectNothing(t *testing.T) {
	for pace, ejected := range map[int]bool{800: false, 100: true, 0: true} {
		is, b, now := is.New(t), newBalancer(announcements(6, "a", 8)...), afterSlowStart
		for round := range 6 {
			for id, u := range b.service("encode").members {
				latency, paceNow := 75*time.Millisecond, min(pace, 100)
				if id == "a-000" && round >= 3 {
					latency, paceNow = 600*time.Millisecond, pace
				}
				var targets [6]Target
				for i := range targets {
					targets[i], _ = b.target(b.since(now), u)
					if i == 2 {
						targets[i].Reported(now, wire.UpstreamLoad{Pace: paceNow})
					}
				}
				for i, target := range targets {
					if i == 3 {
						paceNow = min(pace, 100)
					}
					target.Reported(now.Add(latency), wire.UpstreamLoad{Pace: paceNow})
					target.Done(now.Add(latency), Outcome{Latency: latency})
				}
			}
			now = now.Add(700 * time.Millisecond)
			b.Review(now)
		}
		is.Equal(isEjected(b, "a-000"), ejected)
	}
}

// TestPaceReverts guards against a report that counts for longer than its contention may last.
func TestPaceReverts(t *testing.T) {
	is, b := is.New(t), newBalancer(announcement("u", "a", 4))
	u := b.index.get("u")
	at := func(ms int) float64 {
		return u.paceAt(b.since(afterSlowStart.Add(time.Duration(ms) * time.Millisecond)))
	}
	Target{upstream: u, balancer: b}.Reported(afterSlowStart, wire.UpstreamLoad{Pace: 250})
	Target{upstream: u, balancer: b}.Reported(afterSlowStart, wire.UpstreamLoad{}) // tells nothing
	is.Equal([]float64{at(-1), at(0), at(250), at(500)}, []float64{2.5, 2.5, 1.75, 1})
	b.Review(afterSlowStart.Add(500 * time.Millisecond))
	is.Equal(at(65536), 1.0) // the time in the report wraps around
}
