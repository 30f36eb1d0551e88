package replica

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

var seeds = flag.Int("seeds", 12, "seeds of the site test")

func policy(service string) wire.Declarations {
	return wire.Declarations{UpstreamPolicies: []wire.UpstreamPolicy{{
		Service: service, RetryBudget: 0.1, MaxAttempts: 2, EjectAfterFailures: 3, EjectForMs: 1000,
		MaxEjectedShare: 0.5, SilentAfterMs: 1000, QueueLimit: 10,
	}}}
}

func change(id string, base int) *wire.ChangeSet {
	return &wire.ChangeSet{ChangeID: id, BaseRevision: base, Set: policy(id)}
}

// apply sends a change to one instance and returns the outcome, nil if it is unknown.
func (m *member) apply(c *wire.ChangeSet, wait time.Duration) *wire.ChangeOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	loop := m.running.Load()
	if loop == nil {
		return nil
	}
	return loop.Propose(ctx, wire.Command{Change: c}).Change
}

// operators race each other with changes and keep every outcome.
type operators struct {
	site *site
	mu   sync.Mutex
	// outcomes by change ID; those whose fate is known.
	outcomes map[string]wire.ChangeOutcome
	// made holds the change that made each revision.
	made map[int]string
	open map[string]bool
	// ended tells waiting operators to give up.
	ended atomic.Bool
}

// submit sends a change, and again at random instances until its outcome is known.
func (o *operators) submit(id string, seed int) {
	o.mu.Lock()
	o.open[id] = true
	o.mu.Unlock()
	go func() {
		base := -1
		for try := 0; !o.ended.Load(); try++ {
			m := o.site.members[(seed+try)%len(o.site.members)]
			if loop := m.running.Load(); base < 0 && loop != nil {
				base = loop.Publisher.View().Config.Revision
			}
			if base < 0 {
				continue
			}
			if out := m.apply(change(id, base), 3*time.Second); out != nil && out.State != state.ChangePending {
				o.note(id, *out)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (o *operators) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

func (o *operators) note(id string, out wire.ChangeOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, id)
	o.outcomes[id] = out
	if out.State != state.ChangeAccepted {
		return
	}
	if other, ok := o.made[out.Revision]; ok {
		o.site.t.Errorf("seed %d: %s and %s both made revision %d", o.site.seed, other, id, out.Revision)
	}
	o.made[out.Revision] = id
	o.site.mu.Lock()
	o.site.accepted = max(o.site.accepted, out.Revision)
	o.site.mu.Unlock()
}

// disturb makes something fail, or heals it.
func (s *site) disturb() {
	m := s.members[s.rng.IntN(len(s.members))]
	other := s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(9) {
	case 0:
		s.mu.Lock()
		s.cut[[2]string{m.info.ID, other.info.ID}] = true
		s.mu.Unlock()
	case 1:
		s.mu.Lock()
		for _, o := range s.members {
			s.cut[[2]string{m.info.ID, o.info.ID}], s.cut[[2]string{o.info.ID, m.info.ID}] = true, true
		}
		s.mu.Unlock()
	case 2, 3:
		if m.isUp() {
			m.crash()
		}
	case 4:
		s.loseDisk(m)
	case 5:
		if loop := m.running.Load(); loop != nil {
			m.draining = true
			loop.Deliver(context.Background(), control.DrainRequested{Instance: m.info.ID, Reply: make(chan error, 1)})
		}
	default:
		s.heal()
	}
}

// loseDisk wipes an instance's disk, if all voters are there; the next loss may come right after the repair.
func (s *site) loseDisk(m *member) {
	l := s.leader()
	if l == nil || m.disk == nil || len(s.voterIDs()) != s.voters {
		return
	}
	statuses, status := l.replica.look()
	silent := func(r consensus.ReplicaStatus) bool { return !r.Answered }
	if len(status.Replicas.Voters) != s.voters || slices.ContainsFunc(statuses, silent) {
		return
	}
	if m.isUp() {
		m.crash()
	}
	m.wipe()
}

func runSite(t *testing.T, seed uint64, voters, disks int) {
	is := is.New(t)
	s := newSite(t, seed, voters, disks)
	o := &operators{site: s, outcomes: map[string]wire.ChangeOutcome{}, made: map[int]string{}, open: map[string]bool{}}
	defer func() {
		o.ended.Store(true)
		s.close()
		time.Sleep(10 * time.Second)
	}()
	s.run(20 * time.Second)
	is.Equal(len(s.voterIDs()), voters)
	s.setLoss(0.02)
	for i := range 60 {
		s.disturb()
		if o.waiting() < 4 {
			o.submit(fmt.Sprint("c", i, "a"), s.rng.IntN(100))
			o.submit(fmt.Sprint("c", i, "b"), s.rng.IntN(100))
		}
		s.run(time.Duration(1+s.rng.IntN(3000)) * time.Millisecond)
	}
	s.heal()
	s.setLoss(0)
	s.run(60 * time.Second)
	if o.waiting() > 0 || len(s.voterIDs()) != voters {
		t.Fatalf("seed %d: open changes %v, voters %v after healing", seed, o.open, s.voterIDs())
	}
	zones := map[string]int{}
	for _, m := range s.members {
		if slices.Contains(s.voterIDs(), m.info.ID) {
			zones[m.info.Zone]++
		}
	}
	for zone, count := range zones {
		if count > voters/2 {
			t.Fatalf("seed %d: %d of %d voters in %s", seed, count, voters, zone)
		}
	}
	o.requireSame(t)
}

// requireSame resends every change to some instance and requires the first outcome again.
func (o *operators) requireSame(t *testing.T) {
	accepted := 0
	for id, first := range o.outcomes {
		m := o.site.members[len(id)%len(o.site.members)]
		again := m.apply(change(id, 0), 30*time.Second)
		if again == nil || again.State != first.State || again.Revision != first.Revision {
			t.Fatalf("seed %d: change %s was %+v, now %+v", o.site.seed, id, first, again)
		}
		if first.State == state.ChangeAccepted {
			accepted++
		}
	}
	if accepted == 0 {
		t.Fatalf("seed %d: nothing was accepted", o.site.seed)
	}
}

func TestSites(t *testing.T) {
	for _, size := range []struct{ voters, disks int }{{3, 4}, {5, 7}} {
		t.Run(fmt.Sprint(size.voters, " voters"), func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				synctest.Test(t, func(t *testing.T) { runSite(t, uint64(seed), size.voters, size.disks) })
			}
		})
	}
}
