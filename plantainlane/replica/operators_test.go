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

var seeds = flag.Int("seeds", 12, "seeds of the cluster test")

// policy returns declarations with one upstream policy.
func policy(service string) wire.Declarations {
	return wire.Declarations{UpstreamPolicies: []wire.UpstreamPolicy{{
		Service: service, RetryBudget: 0.1, MaxAttempts: 2, EjectAfterFailures: 3, EjectForMs: 1000,
		MaxEjectedShare: 0.5, SilentAfterMs: 1000, QueueLimit: 10,
	}}}
}

// change returns a change set that sets the upstream policy of a service named like the change.
func change(id string, base int) *wire.ChangeSet {
	return &wire.ChangeSet{ChangeID: id, BaseRevision: base, Set: policy(id)}
}

// submitChange proposes a change at one instance and returns its outcome, or nil if the outcome isn't known in time.
func (m *member) submitChange(set *wire.ChangeSet, wait time.Duration) *wire.ChangeOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	loop := m.running.Load()
	if loop == nil {
		return nil
	}
	return loop.Propose(ctx, wire.Command{Change: set}).Change
}

// operators submit concurrent changes and record every outcome.
type operators struct {
	cluster *cluster
	mu      sync.Mutex
	// outcomes holds the known outcomes by change ID.
	outcomes map[string]wire.ChangeOutcome
	// changeOfRevision holds the ID of the accepted change by the revision that it created.
	changeOfRevision map[int]string
	// pending holds the IDs of changes without a known outcome.
	pending map[string]bool
	// stopped ends the retries of changes without a known outcome.
	stopped atomic.Bool
}

// submit starts a goroutine that proposes a change at one instance after the other until the change's outcome is known.
// The base revision is read from the first of these instances that runs. seed selects the instance to start with.
func (o *operators) submit(id string, seed int) {
	o.mu.Lock()
	o.pending[id] = true
	o.mu.Unlock()
	go func() {
		base := -1
		for attempt := 0; !o.stopped.Load(); attempt++ {
			target := o.cluster.members[(seed+attempt)%len(o.cluster.members)]
			if loop := target.running.Load(); base < 0 && loop != nil {
				base = loop.Publisher.View().Config.Revision
			}
			if base < 0 {
				time.Sleep(100 * time.Millisecond) // else no time passes while all instances are down
				continue
			}
			if outcome := target.submitChange(change(id, base), 3*time.Second); outcome != nil && outcome.State != state.ChangePending {
				o.recordOutcome(id, *outcome)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// pendingCount returns the number of changes without a known outcome.
func (o *operators) pendingCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// recordOutcome stores an outcome and fails the test if two changes created the same revision.
func (o *operators) recordOutcome(id string, outcome wire.ChangeOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, id)
	o.outcomes[id] = outcome
	if outcome.State != state.ChangeAccepted {
		return
	}
	if other, ok := o.changeOfRevision[outcome.Revision]; ok {
		o.cluster.t.Errorf("seed %d: changes %s and %s both created revision %d", o.cluster.seed, other, id, outcome.Revision)
	}
	o.changeOfRevision[outcome.Revision] = id
	o.cluster.mu.Lock()
	o.cluster.acceptedRevision = max(o.cluster.acceptedRevision, outcome.Revision)
	o.cluster.acceptedAt[outcome.Revision] = time.Now()
	o.cluster.mu.Unlock()
}

// injectFault cuts links, crashes an instance, wipes a disk or drains an instance at random, or heals all faults.
func (c *cluster) injectFault() {
	m := c.members[c.rng.IntN(len(c.members))]
	other := c.members[c.rng.IntN(len(c.members))]
	if c.hasFullDisks {
		if full := c.members[c.rng.IntN(len(c.members))]; full.disk != nil {
			full.disk.setFull(c.rng.IntN(2) == 0)
		}
	}
	switch c.rng.IntN(9) {
	case 0:
		c.mu.Lock()
		c.cut[[2]string{m.info.ID, other.info.ID}] = true
		c.mu.Unlock()
	case 1:
		c.mu.Lock()
		for _, o := range c.members {
			c.cut[[2]string{m.info.ID, o.info.ID}], c.cut[[2]string{o.info.ID, m.info.ID}] = true, true
		}
		c.mu.Unlock()
	case 2, 3:
		if m.isUp() {
			m.crash()
		}
	case 4:
		c.loseDisk(m)
	case 5:
		if loop := m.running.Load(); loop != nil {
			m.draining = true
			loop.Deliver(context.Background(), control.DrainRequested{Instance: m.info.ID, Reply: make(chan error, 1)})
		}
	default:
		c.heal()
	}
}

// loseDisk wipes an instance's disk if there are as many voters as required, all of them know that, and all replicas
// respond, so that a quorum keeps its data. The next disk may be wiped as soon as the lost voter is replaced.
func (c *cluster) loseDisk(m *member) {
	l := c.leader()
	if l == nil || m.disk == nil || len(c.voterIDs()) != c.voters {
		return
	}
	statuses, status := l.replica.inspect()
	unresponsive := func(r consensus.ReplicaStatus) bool { return !r.Answered }
	if len(status.Replicas.Voters) != c.voters || slices.ContainsFunc(statuses, unresponsive) {
		return
	}
	for _, id := range c.voterIDs() {
		voter := c.memberOf(id)
		if !voter.isUp() {
			return
		}
		if _, of := voter.replica.inspect(); !slices.Equal(of.Replicas.Voters, status.Replicas.Voters) {
			return
		}
	}
	if m.isUp() {
		m.crash()
	}
	m.wipe()
}

// runCluster injects 60 random faults while operators submit changes, heals the cluster and checks that every change
// has a stable outcome and that no zone holds a majority of the voters.
func runCluster(t *testing.T, seed uint64, voters, disks int) {
	runFaults(t, newCluster(t, seed, voters, disks))
}

// runFaults does the same with a given cluster.
func runFaults(t *testing.T, c *cluster) {
	is := is.New(t)
	seed, voters := c.seed, c.voters
	o := &operators{cluster: c, outcomes: map[string]wire.ChangeOutcome{}, changeOfRevision: map[int]string{}, pending: map[string]bool{}}
	defer func() {
		o.stopped.Store(true)
		c.close()
		time.Sleep(10 * time.Second)
	}()
	c.run(20 * time.Second)
	is.Equal(len(c.voterIDs()), voters)
	c.setLoss(0.02)
	for i := range 60 {
		c.injectFault()
		if o.pendingCount() < 4 {
			o.submit(fmt.Sprint("c", i, "a"), c.rng.IntN(100))
			o.submit(fmt.Sprint("c", i, "b"), c.rng.IntN(100))
		}
		c.run(time.Duration(1+c.rng.IntN(3000)) * time.Millisecond)
	}
	c.heal()
	c.setLoss(0)
	c.run(60 * time.Second)
	if o.pendingCount() > 0 || len(c.voterIDs()) != voters {
		t.Fatalf("seed %d: changes without an outcome %v, voters %v after healing", seed, o.pending, c.voterIDs())
	}
	zones := map[string]int{}
	for _, m := range c.members {
		if slices.Contains(c.voterIDs(), m.info.ID) {
			zones[m.info.Zone]++
		}
	}
	for zone, count := range zones {
		if count > voters/2 {
			t.Fatalf("seed %d: %d of %d voters in %s", seed, count, voters, zone)
		}
	}
	o.requireSameOutcomes(t)
}

// requireSameOutcomes resends every change to some instance and requires the outcome that the change had at first.
func (o *operators) requireSameOutcomes(t *testing.T) {
	accepted := 0
	for id, first := range o.outcomes {
		m := o.cluster.members[len(id)%len(o.cluster.members)]
		resent := m.submitChange(change(id, 0), 30*time.Second)
		if resent == nil || resent.State != first.State || resent.Revision != first.Revision {
			t.Fatalf("seed %d: first outcome of change %s is %+v, its outcome when resent is %+v", o.cluster.seed, id, first, resent)
		}
		if first.State == state.ChangeAccepted {
			accepted++
		}
	}
	if accepted == 0 {
		t.Fatalf("seed %d: no change was accepted", o.cluster.seed)
	}
}

// TestClusterUnderFaults guards against lost or duplicated changes, instances that serve under a superseded revision,
// and voters that aren't replaced. Such faults occur when messages are lost, delayed or duplicated while instances
// crash, lose their disks or drain.
func TestClusterUnderFaults(t *testing.T) {
	for _, size := range []struct{ voters, disks int }{{3, 4}, {5, 7}} {
		t.Run(fmt.Sprint(size.voters, " voters"), func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				synctest.Test(t, func(t *testing.T) { runCluster(t, uint64(seed), size.voters, size.disks) })
			}
		})
	}
}

// TestClusterWithFullDisks guards against the same where disks are full for a while, one or several, also while instances crash.
func TestClusterWithFullDisks(t *testing.T) {
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, uint64(seed), 3, 4)
			c.hasFullDisks = true
			runFaults(t, c)
		})
	}
}
