package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// coldUntil is a Warmups whose upstreams are cold until a time.
type coldUntil struct{ time.Time }

func (c coldUntil) Warmup(now time.Time, _ Peer) (Warmup, bool) {
	return Warmup{PerSecond: 8.9, Until: c.Time}, now.Before(c.Time)
}

func (coldUntil) Observe(Peer, time.Time) {}

// drawn returns a random time below a limit.
func drawn(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// changingLeader answers queries by an Allocator after random delays. Between change and replaced no instance leads, then
// another one does.
type changingLeader struct {
	mu               sync.Mutex
	allocator        *Allocator
	random           *rand.Rand
	change, replaced time.Time
	isReplaced       bool
}

func (l *changingLeader) Ask(ctx context.Context, u wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	l.mu.Lock()
	there, back := drawn(l.random, 80*time.Millisecond), drawn(l.random, 200*time.Millisecond)
	l.mu.Unlock()
	time.Sleep(there)
	l.mu.Lock()
	now := time.Now()
	if now.After(l.change) && now.Before(l.replaced) {
		l.mu.Unlock()
		<-ctx.Done()
		return wire.PermitAnswer{}, false
	}
	if now.After(l.replaced) && !l.isReplaced {
		l.allocator, l.isReplaced = NewAllocator(2), true
	}
	a := l.allocator.Issue(now, u)
	l.mu.Unlock()
	time.Sleep(back)
	return a, ctx.Err() == nil
}

// mostInSecond returns the largest number of times in any second.
func mostInSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
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
		leader := &changingLeader{
			allocator: NewAllocator(1), random: rand.New(rand.NewPCG(5, 6)),
			change: start.Add(4 * time.Second), replaced: start.Add(5100 * time.Millisecond),
		}
		var mu sync.Mutex
		var cold, after []time.Time
		send := func(g *Gate, random *rand.Rand, i int) time.Duration {
			p, err := g.Acquire(t.Context(), Peer{Address: "u", ID: "u"})
			var refusal *Refusal
			if errors.As(err, &refusal) {
				return max(time.Until(refusal.Until), time.Millisecond)
			}
			pause := drawn(random, 40*time.Millisecond) // a new connection
			if i%8 == 0 && random.IntN(4) == 0 {
				pause = 2 * time.Second // the process is frozen
			}
			time.Sleep(pause)
			if p.Check() != nil {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now(); now.Before(warm) {
				cold = append(cold, now)
			} else {
				after = append(after, now)
			}
			return time.Second / perInstance
		}
		var all sync.WaitGroup
		for i := range instances {
			all.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), 7))
				g := NewGate(leader).WithWarmups(coldUntil{warm})
				time.Sleep(drawn(random, time.Second))
				for time.Since(start) < 12*time.Second {
					time.Sleep(send(g, random, i))
				}
			})
		}
		all.Wait()
		t.Logf("%d while cold, %d at most in a second; %d in 2.1 s after it", len(cold), mostInSecond(cold), len(after))
		is.True(mostInSecond(cold) <= 18) // 8.9 x 1.5 + 5
		is.True(len(cold) >= 40)          // half of what the limit allows without a change of leader
		first := 0
		for _, at := range after {
			if at.Sub(warm) < time.Second {
				first++
			}
		}
		is.True(first >= instances*perInstance*8/10) // an eighth of the instances stands still at times
	})
}

// TestLowerLimitOfColdUpstreamCounts guards against a warm-up that lifts the limit that an upstream names, and against a
// query for a cold upstream that ends the limit which others have heard.
func TestLowerLimitOfColdUpstreamCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := NewAllocator(1)
	a.Report(now, []wire.UpstreamLimit{statementAt(2)})
	issued := 0
	for range 400 {
		if a.Issue(now, wire.UpstreamLimit{Address: "u", WarmupPerSecond: 8.9, WarmupLeftMs: 3000}).Granted {
			issued++
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(issued >= 6 && issued <= 9) // 2 a second for 4 s
	list, _ := a.Since(now, 0)
	is.Equal(len(list), 1)
	is.True(list[0].Limited)
}

// TestWarmupIsRead guards against a warm-up that can't be read and is taken for none without a word, or for a long one.
func TestWarmupIsRead(t *testing.T) {
	for text, c := range map[string]struct {
		want time.Duration
		bad  bool
	}{"": {0, false}, "0": {0, false}, " 1500.5 ": {1500500 * time.Microsecond, false}, "1e12": {maxWarmup, false}, "-1": {0, true}, "soon": {0, true}} {
		is := is.New(t)
		got, err := ReadWarmup(text)
		is.Equal(got, c.want)
		is.Equal(errors.Is(err, ErrBadWarmup), c.bad)
	}
}
