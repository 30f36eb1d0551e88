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

// evacuate gives an order for zone "z" at an instance, and waits for the answer as long as the platform does.
func (m *member) evacuate(isActive bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	return m.running.Load().Evacuate(ctx, "z", isActive)
}

// evacuationPlay is a cluster in which a zone is evacuated and taken back. The cluster's mu guards its fields.
type evacuationPlay struct {
	*cluster
	// orders holds the orders that were sent to a leader.
	orders []wire.Frame
	// losesAnswers is set while no order is answered.
	losesAnswers bool
}

// order repeats an order at random instances until it is acknowledged, within 5 s.
func (p *evacuationPlay) order(isActive bool) {
	started, err := time.Now(), errors.New("no instance")
	for err != nil && time.Since(started) < 20*time.Second {
		p.run(50 * time.Millisecond)
		if m := p.members[p.rng.IntN(len(p.members))]; m.isUp() && m != p.leader() {
			err = m.evacuate(isActive)
		}
	}
	if took := time.Since(started); err != nil || took > 5*time.Second {
		p.t.Fatalf("seed %d: order %v after %v: %v", p.seed, isActive, took, err)
	}
}

// loseLeader loses the leader once it has committed an order that it hasn't answered.
func (p *evacuationPlay) loseLeader() {
	p.loseAnswers(true)
	time.Sleep(300 * time.Millisecond)
	p.leader().crash()
	p.loseAnswers(false)
}

// require requires that all instances obey an order once there was a leader for 2 s, and if they have started since, before they may
// serve.
func (p *evacuationPlay) require(isActive, hasStarted bool) {
	p.t.Helper()
	for led := 0; led <= 40; {
		p.run(50 * time.Millisecond)
		if p.leader() != nil {
			led++
		}
		for _, m := range p.members {
			v := m.running.Load().Publisher.View()
			if v.IsEvacuated("z") != isActive && (led > 40 || hasStarted && v.LeaseHeld(time.Now())) {
				p.t.Fatalf("seed %d: %s doesn't obey order %v", p.seed, m.info.ID, isActive)
			}
		}
	}
}

// loseAnswers sets whether no order is answered.
func (p *evacuationPlay) loseAnswers(loses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losesAnswers = loses
}

// TestAcknowledgedEvacuationIsForgotten guards against an acknowledged order for a zone that is lost with the leader, a disk, the memory
// of all instances or in a snapshot, that late copies of earlier orders undo, or that isn't acknowledged though it is committed.
func TestAcknowledgedEvacuationIsForgotten(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			p := &evacuationPlay{cluster: newCommitCluster(t, seed, 3)}
			defer func() { p.close(); time.Sleep(10 * time.Second) }()
			p.timing.SnapshotEvery = 5
			p.close()
			p.mu.Lock()
			p.isLost = func(_, _ string, f wire.Frame) bool {
				if f.Propose != nil && f.Propose.Command.Evacuate != nil {
					p.orders = append(p.orders, f)
				}
				return p.losesAnswers && f.ProposeAnswer != nil
			}
			p.mu.Unlock()
			p.heal()
			p.run(20 * time.Second)
			for round := range 8 {
				isActive := round%2 == 0
				random := rand.New(rand.NewPCG(seed, uint64(round)))
				fault := random.IntN(3)
				switch fault {
				case 0:
					go p.loseLeader()
					p.order(isActive)
				case 1:
					p.order(isActive)
					p.close()
				case 2:
					p.order(isActive)
					m := p.members[random.IntN(3)]
					m.crash()
					m.wipe()
				}
				p.heal()
				p.require(isActive, fault == 1)
				for _, f := range p.orders {
					p.deliver(p.leader().info.ID, f)
				}
				p.require(isActive, false)
			}
		})
	}
}

// TestStaleOrderIsAcknowledged guards against an order that is acknowledged, or has an effect, at an instance that hasn't learned of
// newer orders, and against one that is proposed though its caller is gone.
func TestStaleOrderIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, follower := startCommits(t, 3)
		c := o.cluster
		is.NoErr(c.leader().evacuate(true))
		c.run(time.Second)
		c.mu.Lock()
		c.isLost = func(_, to string, f wire.Frame) bool { return to == follower.info.ID && f.ProposeAnswer == nil }
		c.mu.Unlock()
		is.NoErr(c.leader().evacuate(false))
		is.NoErr(c.leader().evacuate(true))
		is.True(errors.Is(follower.evacuate(false), control.ErrStaleOrder)) // made against the first order
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(errors.Is(c.leader().running.Load().Evacuate(gone, "z", false), control.ErrOrderUnconfirmed))
		is.True(c.leader().running.Load().Publisher.View().IsEvacuated("z"))
	})
}
