package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// slowAsker issues permits that are valid for 300 ms. Its answers take a time; they are lost if that is negative.
type slowAsker struct {
	delay time.Duration
	asked int
}

func (a *slowAsker) Ask(ctx context.Context, _ wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	a.asked++
	if a.delay < 0 {
		<-ctx.Done()
		return wire.PermitAnswer{}, false
	}
	time.Sleep(a.delay)
	return wire.PermitAnswer{Granted: true, ValidMs: 300}, true
}

// heard returns what an answer said that is received now.
func heard(sentAt time.Time, limited bool, perSecond float64) Statement {
	return Statement{Limited: limited, PerSecond: perSecond, SentAt: sentAt, HeardAt: time.Now()}
}

// TestPermitIsUsedAfterItRanOut guards against an instance that stood still, or got its permit late, and sends a request
// with a permit whose time has passed.
func TestPermitIsUsedAfterItRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asker := &slowAsker{delay: 200 * time.Millisecond}
		g := NewGate(asker)
		g.Observe("u", heard(time.Now(), true, 1))
		p, err := g.Acquire(t.Context(), Peer{Address: "u"})
		is.NoErr(err)
		time.Sleep(99 * time.Millisecond)
		is.NoErr(p.Check())
		time.Sleep(2 * time.Millisecond) // 301 ms after the permit was asked for
		is.True(errors.Is(p.Check(), ErrNoPermit))
	})
}

// TestLimitHeardWhileRequestWaits guards against a request that was allowed while no limit was known, and is sent after
// one was heard.
func TestLimitHeardWhileRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asker := &slowAsker{}
		g := NewGate(asker)
		p, err := g.Acquire(t.Context(), Peer{Address: "u"})
		is.NoErr(err)
		is.NoErr(p.Check())
		is.Equal(asker.asked, 0) // upstreams without a limit need no permit
		g.Observe("u", heard(time.Now(), true, 1))
		is.True(errors.Is(p.Check(), ErrNoPermit))
	})
}

// TestNoLeaderNoPermit guards against requests without a permit while no leader answers, and against requests that wait
// long for one.
func TestNoLeaderNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(&slowAsker{delay: -1})
		g.Observe("u", heard(time.Now(), true, 1))
		started := time.Now()
		_, err := g.Acquire(t.Context(), Peer{Address: "u"})
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(time.Since(started), askTimeout)
		is.True(refusal.Until.After(time.Now()))
	})
}

// limitOf returns the limit that a gate knows, -1 for none.
func limitOf(g *Gate, address string) float64 {
	if s, ok := g.known.Load().Get(address); ok && s.Limited {
		return s.PerSecond
	}
	return -1
}

// TestLateAnswerHidesLimit guards against an answer that overtakes another one: a limit may only be raised or ended by
// the answer to a request that was sent after the limit was heard last.
func TestLateAnswerHidesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(&slowAsker{})
		before := time.Now()
		time.Sleep(time.Second)
		g.Observe("u", heard(before, true, 2))
		g.Observe("u", heard(before, false, 0))
		is.Equal(limitOf(g, "u"), 2.0) // the end may be older
		g.Observe("u", heard(before, true, 5))
		is.Equal(limitOf(g, "u"), 2.0) // the higher limit may be older
		g.Observe("u", heard(before, true, 1))
		is.Equal(limitOf(g, "u"), 1.0)
		time.Sleep(time.Second)
		g.Observe("u", heard(time.Now(), true, 5))
		is.Equal(limitOf(g, "u"), 5.0)
		time.Sleep(time.Second)
		g.Observe("u", heard(time.Now(), false, 0))
		is.Equal(limitOf(g, "u"), -1.0)
		is.Equal(len(g.TakeChanged(time.Now())), 1)
		is.Equal(len(g.TakeChanged(time.Now())), 0)
	})
}

// TestDelayedEndHidesLimit guards against a message of the leader that tells of the end of a limit, was held up, and
// hides that the limit was heard again.
func TestDelayedEndHidesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(&slowAsker{})
		g.Observe("u", heard(time.Now(), true, 2))
		is.Equal(len(g.TakeChanged(time.Now())), 1)
		time.Sleep(time.Second)
		ended := []wire.UpstreamLimit{{Address: "u", SentAgoMs: 0, HeardAgoMs: 0}}
		g.Learn(time.Now(), ended)
		is.Equal(limitOf(g, "u"), 2.0)
		time.Sleep(maxDelivery)
		g.Learn(time.Now(), ended)
		is.Equal(limitOf(g, "u"), -1.0)
		g.Learn(time.Now(), []wire.UpstreamLimit{{Address: "v", Limited: true, PerSecond: 4}})
		is.Equal(limitOf(g, "v"), 4.0)
		is.Equal(len(g.All(time.Now())), 2)
		is.Equal(len(g.TakeChanged(time.Now())), 0) // what the leader told isn't reported to it
		time.Sleep(forgetAfter + time.Second)
		g.TakeChanged(time.Now())
		is.Equal(len(g.All(time.Now())), 0)
	})
}

// TestZoneIsEvacuatedWhileRequestWaits guards against a request that is sent to an upstream whose zone was evacuated after it was
// chosen, also if the request needs no permit.
func TestZoneIsEvacuatedWhileRequestWaits(t *testing.T) {
	is := is.New(t)
	evacuated := map[string]bool{}
	g := NewGate(&slowAsker{}).WithEvacuations(func(p Peer) bool { return evacuated[p.ID] })
	p, err := g.Acquire(t.Context(), Peer{Address: "u", ID: "u"})
	is.NoErr(err)
	evacuated["u"] = true
	var refusal *Refusal
	is.True(errors.As(p.Check(), &refusal))
	is.True(refusal.Evacuated && !refusal.Leaving)
	_, err = g.Acquire(t.Context(), Peer{Address: "u", ID: "u"})
	is.True(errors.Is(err, ErrNoPermit))
	evacuated["u"] = false
	is.NoErr(p.Check())
}
