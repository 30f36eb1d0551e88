package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestRestartedReplicasElectSoon guards against an outage that lasts longer than needed after all replicas were restarted: there
// is no leader then whose silence they would have to wait for. The mean counts, since votes may be split.
func TestRestartedReplicasElectSoon(t *testing.T) {
	const seeds = 50
	var total time.Duration
	for seed := range uint64(seeds) {
		c := newCluster(seed, 5)
		for c.leader() == nil || !c.leader().node.Status().LeaderReady {
			c.runStep()
		}
		for _, id := range c.ids {
			c.crash(c.replicas[id])
			c.replicas[id].clockRate = 1
		}
		c.inFlight = nil
		for _, id := range c.ids {
			c.start(c.replicas[id])
			c.runStep()
		}
		started := c.now
		for c.leader() == nil {
			c.runStep()
		}
		total += c.now.Sub(started)
	}
	if mean := total / seeds; mean > testTimeout {
		t.Fatalf("a leader took %v on average, expected at most an election timeout of %v", mean, testTimeout)
	}
}

// TestRestartedReplicaDeniesVotes guards against a second leader while the one whose heartbeat the replica answered just before
// its restart still counts as confirmed, for half of an election timeout.
func TestRestartedReplicaDeniesVotes(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	vote := wire.ConsensusMessage{Kind: kindVote, Log: "log", From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1}
	is.NoErr(n.Step(vote, epoch.Add(testTimeout/2)))
	is.Equal(n.Status().Term, 1)
	is.NoErr(n.Step(vote, epoch.Add(testTimeout*2/3)))
	is.Equal(n.Status().Term, 2)
}
