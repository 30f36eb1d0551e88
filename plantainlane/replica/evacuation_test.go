package replica

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/control"
	"plantainlane/wire"
)

// Faults around the acknowledgement of an order; 0 is none.
const (
	_ = iota
	// leaderLost: the leader is lost after it has committed the order and before its answer arrives.
	leaderLost
	// powerLost: all instances lose power right after the acknowledgement.
	powerLost
	// diskLost: a disk is lost right after the acknowledgement.
	diskLost
	evacuationFaults
)

const (
	// ackWithin is the time within which an order is acknowledged without a fault, obeyedWithin that within which instances in
	// contact with the leader obey it.
	ackWithin    = 5 * time.Second
	obeyedWithin = 2 * time.Second
)

// evacuationPlay is a cluster in which a zone is evacuated and taken back.
type evacuationPlay struct {
	*cluster
	random *rand.Rand
	// orders holds the orders that were sent to a leader. The cluster's mu guards it.
	orders []wire.Frame
}

// order repeats an order at random instances until it is acknowledged, and loses the leader before if set.
func (p *evacuationPlay) order(isActive, losesLeader bool) {
	committed := make(chan struct{}, 1)
	p.mu.Lock()
	p.isLost = func(_, _ string, f wire.Frame) bool {
		if f.Propose != nil && f.Propose.Command.Evacuate != nil {
			p.orders = append(p.orders, f)
		}
		if f.ProposeAnswer == nil || f.ProposeAnswer.Evacuation == nil || !losesLeader {
			return false
		}
		select {
		case committed <- struct{}{}:
		default:
		}
		return true
	}
	p.mu.Unlock()
	started, err := time.Now(), context.Canceled
	for err != nil {
		if time.Since(started) > 4*ackWithin {
			p.t.Fatalf("seed %d: order %v not acknowledged after %v: %v", p.seed, isActive, time.Since(started), err)
		}
		m := p.members[p.random.IntN(len(p.members))]
		if !m.isUp() || losesLeader && m == p.leader() {
			p.run(50 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(p.t.Context(), 2500*time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- m.running.Load().Evacuate(ctx, "z", isActive) }()
		if losesLeader {
			<-committed
			losesLeader = false
			p.leader().crash()
			p.mu.Lock()
			p.isLost = nil
			p.mu.Unlock()
		}
		err = <-done
		cancel()
	}
	if took := time.Since(started); took > ackWithin {
		p.t.Fatalf("seed %d: order %v acknowledged after %v", p.seed, isActive, took)
	}
}

// inject injects what follows the acknowledgement.
func (p *evacuationPlay) inject(fault int) {
	switch fault {
	case powerLost:
		p.close()
	case diskLost:
		m := p.members[p.random.IntN(len(p.members)-1)]
		m.crash()
		m.wipe()
	}
	p.heal()
}

// require requires that an order is obeyed: by all instances within obeyedWithin once there is a leader, and by those that may
// serve after they have started at once.
func (p *evacuationPlay) require(isActive, isStarted bool) {
	p.t.Helper()
	for led := time.Duration(0); led < obeyedWithin; {
		p.run(50 * time.Millisecond)
		if p.leader() != nil {
			led += 50 * time.Millisecond
		}
		for _, m := range p.members {
			if v := m.running.Load().Publisher.View(); isStarted && v.LeaseHeld(time.Now()) && v.IsEvacuated("z") != isActive {
				p.t.Fatalf("seed %d: %s has started and serves against order %v", p.seed, m.info.ID, isActive)
			}
		}
	}
	for _, m := range p.members {
		if v := m.running.Load().Publisher.View(); v.IsEvacuated("z") != isActive {
			p.t.Fatalf("seed %d: %s doesn't obey order %v", p.seed, m.info.ID, isActive)
		}
	}
}

// repeatOrders lets copies of all orders sent so far arrive at the leader.
func (p *evacuationPlay) repeatOrders() {
	p.mu.Lock()
	orders := p.orders
	p.mu.Unlock()
	for _, f := range orders {
		p.deliver(p.leader().info.ID, f)
	}
}

// TestAcknowledgedEvacuationIsForgotten guards against an acknowledged order for a zone that is lost with the leader, with a disk, with
// the memory of all instances or in a snapshot, that late copies of earlier orders undo, or that isn't acknowledged though it is
// committed.
func TestAcknowledgedEvacuationIsForgotten(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := newCommitCluster(t, seed, 3)
			defer func() {
				c.close()
				time.Sleep(10 * time.Second)
			}()
			c.timing.SnapshotEvery = 5
			c.close()
			c.heal()
			p := &evacuationPlay{cluster: c, random: rand.New(rand.NewPCG(seed, 3))}
			c.run(20 * time.Second)
			for round := range 2 * evacuationFaults {
				isActive, fault := round%2 == 0, (round+int(seed))%evacuationFaults
				p.order(isActive, fault == leaderLost)
				p.inject(fault)
				p.require(isActive, fault == powerLost)
				p.repeatOrders()
				p.require(isActive, false)
			}
		})
	}
}

// TestStaleOrderIsAcknowledged guards against an order that is acknowledged, or has an effect, at an instance that was cut off when
// a newer order was given, and against one that is proposed though its caller is gone.
func TestStaleOrderIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, follower := startCommits(t, 3)
		c := o.cluster
		order := func(at *member, isActive bool) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			return at.running.Load().Evacuate(ctx, "z", isActive)
		}
		is.NoErr(order(c.leader(), true))
		c.run(time.Second)
		c.mu.Lock()
		c.isLost = func(_, to string, f wire.Frame) bool {
			return to == follower.info.ID && (f.Config != nil || f.Evacuations != nil || f.LeaseAnswer != nil)
		}
		c.mu.Unlock()
		is.NoErr(order(c.leader(), false))
		is.NoErr(order(c.leader(), true))
		err := order(follower, false) // made against the first order
		is.True(errors.Is(err, control.ErrStaleOrder))
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		err = c.leader().running.Load().Evacuate(gone, "z", false)
		is.True(errors.Is(err, control.ErrOrderUnconfirmed))
		c.mu.Lock()
		c.isLost = nil
		c.mu.Unlock()
		c.run(2 * time.Second)
		for _, m := range c.members {
			is.True(m.running.Load().Publisher.View().IsEvacuated("z"))
		}
	})
}
