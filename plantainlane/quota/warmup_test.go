package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// coldUntil is a Warmups whose upstreams are cold until a time.
type coldUntil struct{ time.Time }

func (c coldUntil) Warmup(now time.Time, _ Peer) (Warmup, bool) {
	return Warmup{PerSecond: 8.9, Until: c.Time}, now.Before(c.Time)
}

func (coldUntil) Observe(Peer, time.Time) {}

// changingLeader answers queries after random delays. From change on no instance leads for 1.1 s, then another one does.
type changingLeader struct {
	mu        sync.Mutex
	allocator *Allocator
	change    time.Time
	random    *rand.Rand
}

func (l *changingLeader) Ask(ctx context.Context, u wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	delay := func(limit time.Duration) {
		l.mu.Lock()
		d := time.Duration(l.random.Int64N(int64(limit)))
		l.mu.Unlock()
		time.Sleep(d)
	}
	delay(80 * time.Millisecond)
	l.mu.Lock()
	since := time.Since(l.change)
	l.mu.Unlock()
	if since > 0 && since < 1100*time.Millisecond {
		<-ctx.Done()
		return wire.PermitAnswer{}, false
	}
	l.mu.Lock()
	if time.Since(l.change) > 0 {
		l.allocator, l.change = NewAllocator(2), l.change.Add(time.Hour)
	}
	a := l.allocator.Issue(time.Now(), u)
	l.mu.Unlock()
	delay(200 * time.Millisecond)
	return a, ctx.Err() == nil
}

// TestColdUpstreamIsOverrun guards against instances that together send a cold upstream more requests in a second than it
// survives, while the leader changes, permits are late, and instances stand still with a permit, and against an upstream
// that gets less than its load after it has become warm, or hardly any while it is cold.
func TestColdUpstreamIsOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances, perInstance = 80, 4
		start := time.Now()
		warm := start.Add(9900 * time.Millisecond)
		leader := &changingLeader{allocator: NewAllocator(1), change: start.Add(4 * time.Second), random: rand.New(rand.NewPCG(5, 6))}
		var mu sync.Mutex
		var sent []time.Time
		send := func(g *Gate, pause time.Duration) (wait time.Duration) {
			p, err := g.Acquire(t.Context(), Peer{Address: "u", ID: "u"})
			var refusal *Refusal
			if errors.As(err, &refusal) {
				return max(time.Until(refusal.Until), time.Millisecond)
			}
			time.Sleep(pause)
			if p.Check() != nil {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, time.Now())
			return time.Second / perInstance
		}
		var all sync.WaitGroup
		for i := range uint64(instances) {
			all.Go(func() {
				random, g := rand.New(rand.NewPCG(i, 7)), NewGate(leader).WithWarmups(coldUntil{warm})
				for time.Since(start) < 12*time.Second {
					pause := time.Duration(random.IntN(40)) * time.Millisecond // a new connection
					if i%8 == 0 && random.IntN(4) == 0 {
						pause = 2 * time.Second // the process is frozen
					}
					time.Sleep(send(g, pause))
				}
			})
		}
		all.Wait()
		count := func(from time.Time, d time.Duration) (n int) {
			for _, at := range sent {
				if !at.Before(from) && at.Before(from.Add(d)) {
					n++
				}
			}
			return n
		}
		cold, most := count(start, warm.Sub(start)), 0
		for _, at := range sent {
			if !at.After(warm.Add(-time.Second)) {
				most = max(most, count(at, time.Second))
			}
		}
		t.Logf("%d while cold, %d at most in a second; %d in the second after it", cold, most, count(warm, time.Second))
		is.True(most <= 18)                                             // 8.9 x 1.5 + 5
		is.True(cold >= 40)                                             // half of what the limit allows without a change of leader
		is.True(count(warm, time.Second) >= instances*perInstance*8/10) // an eighth of the instances stands still at times
	})
}

// TestLowerLimitOfColdUpstreamCounts guards against a warm-up that lifts the limit that an upstream names, and against a
// query for a cold upstream that ends the limit which others have heard.
func TestLowerLimitOfColdUpstreamCounts(t *testing.T) {
	is, a, now, issued := is.New(t), NewAllocator(1), time.Unix(1000, 0), 0
	a.Report(now, []wire.UpstreamLimit{statementAt(2)})
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if a.Issue(now, wire.UpstreamLimit{Address: "u", WarmupPerSecond: 8.9, WarmupLeftMs: 3000}).Granted {
			issued++
		}
	}
	is.True(issued >= 6 && issued <= 9) // 2 a second for 4 s
	list, _ := a.Since(now, 0)
	is.True(slices.ContainsFunc(list, func(l wire.UpstreamLimit) bool { return l.Limited }))
}
