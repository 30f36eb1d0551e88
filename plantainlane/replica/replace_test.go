package replica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// electionTimeout is that of a deployment whose next loss may come nextLossAfter after the start of a successor.
const electionTimeout = 600 * time.Millisecond

const (
	// successorAfter is how long after an instance is gone for good its successor starts.
	successorAfter = time.Second
	// nextLossAfter is how long after the start of a successor the next instance may be lost.
	nextLossAfter = 4 * time.Second
	// serviceWithin is the time within which a quorum is back after a loss of power.
	serviceWithin = 12 * time.Second
)

// addMember starts an instance with an empty disk.
func (c *cluster) addMember(id, zone string) {
	m := &member{cluster: c}
	m.info.ID, m.info.PeerAddress, m.info.Zone, m.info.HasData = id, id, zone, true
	m.wipe()
	c.setMembers(append(slices.Clone(c.members), m))
	m.start()
	for _, o := range c.members {
		if o != m && o.isUp() {
			o.connect(m)
		}
	}
}

// useElectionTimeout restarts all instances with another election timeout, and with the time to replace a voter that
// belongs to it.
func (c *cluster) useElectionTimeout(timeout time.Duration) {
	c.electionTimeout, c.timing.ReplaceAfter = timeout, 2*timeout
	for _, m := range c.members {
		m.crash()
		m.start()
	}
	c.run(10 * time.Second)
}

// remove ends an instance for good.
func (c *cluster) remove(m *member) {
	m.crash()
	c.setMembers(slices.DeleteFunc(slices.Clone(c.members), func(o *member) bool { return o == m }))
}

// setMembers replaces the instances of the cluster.
func (c *cluster) setMembers(members []*member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// losePower restarts all instances, with the disks of those in wiped lost.
func (c *cluster) losePower(wiped ...*member) {
	for _, m := range c.members {
		m.crash()
	}
	for _, m := range wiped {
		m.wipe()
	}
	time.Sleep(time.Second)
	for _, m := range c.members {
		m.start()
	}
}

// requireChange requires that a change is committed within serviceWithin.
func (c *cluster) requireChange(t *testing.T, id string) {
	t.Helper()
	for range serviceWithin / time.Second {
		c.run(time.Second)
		if l := c.leader(); l != nil {
			base := l.running.Load().Publisher.View().Config.Revision
			if out := l.submitChange(change(id, base), time.Second); out != nil && out.Revision > 0 {
				return
			}
		}
	}
	t.Fatalf("seed %d: change %s is not committed %v after the instances were back", c.seed, id, serviceWithin)
}

// TestLossAfterReplacementLosesQuorum guards against a voter that is gone for good and still counts when the next disk is
// lost: its successor has been there for nextLossAfter then. Two replacements follow each other, then all instances lose
// power and one its disk.
func TestLossAfterReplacementLosesQuorum(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			o, _ := startCommits(t, seed)
			c := o.cluster
			c.useElectionTimeout(electionTimeout)
			is.New(t).Equal(len(c.voterIDs()), 3)
			for i := range 2 {
				gone := c.members[(int(seed)+i)%3]
				zone := gone.info.Zone
				c.remove(gone)
				c.run(successorAfter)
				c.addMember(fmt.Sprint("new", i), zone)
				c.run(nextLossAfter)
			}
			c.losePower(c.memberOf(c.voterIDs()[seed%3]))
			c.requireChange(t, "after")
		})
	}
}

// TestFrozenVoterIsNotBack guards against a voter that was replaced while it was out of contact and isn't a replica again
// once it is back, with its log, so that the next loss finds no spare.
func TestFrozenVoterIsNotBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 3, 4)
		defer func() {
			c.close()
			time.Sleep(10 * time.Second)
		}()
		c.run(20 * time.Second)
		for range 3 {
			voters := c.voterIDs()
			is.Equal(len(voters), 3)
			cut := c.memberOf(voters[0])
			c.setCut(cut, true)
			c.run(successorAfter + nextLossAfter)
			is.Equal(len(c.voterIDs()), 3)
			for _, id := range c.voterIDs() {
				is.True(id != cut.info.ID) // replaced by the spare
			}
			c.setCut(cut, false)
			c.run(nextLossAfter)
			_, status := c.leader().replica.inspect()
			is.Equal(status.Replicas.Learners, []string{cut.disk.replicaID})
			c.run(nextLossAfter)
			_, later := c.leader().replica.inspect()
			is.Equal(later.Last, status.Last) // the membership changes again and again
		}
	})
}

// memberOf returns the member with an ID.
func (c *cluster) memberOf(id string) *member {
	for _, m := range c.members {
		if m.info.ID == id {
			return m
		}
	}
	return nil
}

// TestWipedVoterCountsBesideItsSuccessor guards against a voter whose disk was lost and that still counts while the new
// replica of its instance becomes a voter: a further loss would then leave two of four.
func TestWipedVoterCountsBesideItsSuccessor(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			o, _ := startCommits(t, seed)
			c := o.cluster
			wiped := c.members[int(seed)%3]
			wiped.crash()
			wiped.wipe()
			wiped.start()
			for range 100 {
				c.run(50 * time.Millisecond)
				if l := c.leader(); l != nil {
					if _, status := l.replica.inspect(); len(status.Replicas.Voters) > 3 {
						t.Fatalf("seed %d: %d voters: %v", seed, len(status.Replicas.Voters), status.Replicas.Voters)
					}
				}
			}
			is.New(t).Equal(len(c.voterIDs()), 3)
		})
	}
}
