package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// uncommittedSeeds is the number of seeds of TestUncommittedVotersAreNeeded, uncommittedFirst the first of them.
var (
	uncommittedSeeds = flag.Uint64("uncommitted.seeds", 60, "number of seeds of TestUncommittedVotersAreNeeded")
	uncommittedFirst = flag.Uint64("uncommitted.first", 0, "first seed of TestUncommittedVotersAreNeeded")
)

const (
	// watchStep is the time between two looks at the leader's membership, maxWatch the longest time until it changes.
	watchStep = 200 * time.Microsecond
	maxWatch  = 8 * time.Second
	// lostWithin is the longest time from the proposal of voters to the losses.
	lostWithin = 12 * time.Millisecond
)

// TestUncommittedVotersAreNeeded guards against a control log that never has a leader again because voters were proposed, and not
// committed, when disks were lost: of the voters that are committed, a majority is whole, and the others that were proposed aren't.
func TestUncommittedVotersAreNeeded(t *testing.T) {
	for seed := *uncommittedFirst; seed < *uncommittedFirst+*uncommittedSeeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playUncommittedVoters(t, seed) })
		})
	}
}

func playUncommittedVoters(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 520))
	c := newCluster(t, seed, 3, 4+random.IntN(2))
	defer func() {
		c.close()
		time.Sleep(10 * time.Second)
	}()
	c.run(20 * time.Second)
	c.useElectionTimeout(electionTimeout)
	voters := c.voterIDs()
	silent := c.memberOf(voters[random.IntN(len(voters))])
	c.setCut(silent, true)
	before, index := c.awaitProposal(1 + random.IntN(2))
	if before == nil {
		t.Fatalf("seed %d: no voter was exchanged", seed)
	}
	time.Sleep(time.Duration(random.Int64N(int64(lostWithin))))
	synctest.Wait()
	if c.isCommitted(index) {
		t.Logf("seed %d: committed before the loss", seed)
		return
	}
	// All but a majority of the committed voters lose their disks, at random.
	random.Shuffle(len(before), func(i, j int) { before[i], before[j] = before[j], before[i] })
	kept := before[:len(before)/2+1]
	var lost []*member
	for _, m := range c.members {
		if m.disk != nil && !slices.Contains(kept, m.disk.replicaID) && random.IntN(4) > 0 {
			lost = append(lost, m)
		}
	}
	isPowerLost := random.IntN(2) == 0
	for _, m := range c.members {
		if isPowerLost || slices.Contains(lost, m) {
			m.crash()
		}
	}
	for _, m := range lost {
		m.wipe()
	}
	c.mu.Lock()
	clear(c.cut)
	c.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	for _, m := range c.members {
		if !m.isUp() {
			m.start()
		}
	}
	c.setCut(silent, false)
	c.requireChange(t, "after")
}

// awaitProposal waits until the leader has proposed other voters for the n-th time. It returns the voters before the last of these
// changes, which were committed then, and the index of the proposal; nil if there is none in maxWatch.
func (c *cluster) awaitProposal(n int) (before []string, index int) {
	var known []string
	for range maxWatch / watchStep {
		time.Sleep(watchStep)
		synctest.Wait()
		l := c.leader()
		if l == nil {
			continue
		}
		_, status := l.replica.inspect()
		voters := status.Replicas.Voters
		if known != nil && !slices.Equal(known, voters) {
			n--
			if n == 0 {
				return known, status.Last
			}
		}
		known = voters
	}
	return nil, 0
}

// isCommitted reports whether an instance knows that the entry at index is committed.
func (c *cluster) isCommitted(index int) bool {
	return slices.ContainsFunc(c.members, func(m *member) bool {
		if !m.isUp() || m.replica == nil {
			return false
		}
		_, status := m.replica.inspect()
		return status.Commit >= index
	})
}
