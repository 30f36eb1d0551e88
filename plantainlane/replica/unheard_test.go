package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainlane/wire"
)

// TestNewLeaderIsHeardLate guards against an instance that isn't told of a new leader, because the announcement of the
// leadership is lost, and asks the old one for so long that changes are in force too late. Its connection to the old
// leader stays open, and the first answer that names the new one is lost as well.
func TestNewLeaderIsHeardLate(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			o, follower := startCommits(t, seed)
			c := o.cluster
			c.useElectionTimeout(600 * time.Millisecond)
			o.submitEach(t, 200*time.Millisecond, 3*time.Second, "before")
			old := c.leader()
			answerLost := false
			c.mu.Lock()
			c.isLost = func(_, to string, f wire.Frame) bool {
				if to != follower.info.ID || f.LeaseAnswer == nil || f.LeaseAnswer.Leader == old.info.ID {
					return false
				}
				isFirst := f.LeaseAnswer.Sequence != 0 && !answerLost
				answerLost = answerLost || isFirst
				return isFirst || f.LeaseAnswer.Sequence == 0
			}
			c.mu.Unlock()
			c.remove(old)
			o.submitEach(t, 200*time.Millisecond, 8*time.Second, "after")
		})
	}
}

// TestInstanceStaysDeaf guards against an instance that never hears the leader again because nothing of what the leader
// sends on their connection is handled, while the connection stays open.
func TestInstanceStaysDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, follower := startCommits(t, 5)
		c := o.cluster
		o.submitEach(t, 200*time.Millisecond, 3*time.Second, "before")
		leader, isDeaf := c.leader().info.ID, true
		c.mu.Lock()
		c.isLost = func(from, to string, _ wire.Frame) bool { return isDeaf && from == leader && to == follower.info.ID }
		c.onReconnect = func(from, to string) { isDeaf = isDeaf && (from != follower.info.ID || to != leader) }
		c.mu.Unlock()
		o.submitEach(t, 200*time.Millisecond, 4*time.Second, "deaf", follower)
		o.submitEach(t, 200*time.Millisecond, 4*time.Second, "after")
	})
}

// TestCertainInstanceIsOld guards against an instance that takes its configuration for the newest, though a newer one was
// accepted so long ago that it must be in force: it would deny what that one allows.
func TestCertainInstanceIsOld(t *testing.T) {
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) { runFaults(t, newCommitCluster(t, uint64(seed), 4)) })
	}
}
