package consensus

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestQuorumsOfAdjacentVotersIntersect guards against two quorums without a common voter while a change of the voters is
// pending: majorities of two sets that differ by one voter, in any combination.
func TestQuorumsOfAdjacentVotersIntersect(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 7; n++ {
		// The voters are the bits 0 to n-1 before the change, and 0 to n after it.
		for a := range uint(1) << (n + 1) {
			for b := range uint(1) << (n + 1) {
				if isQuorumOf(a, n) && isQuorumOf(b, n) {
					is.True(a&b != 0) // two quorums have a voter in common
				}
			}
		}
	}
}

// isQuorumOf reports whether the replicas in the set of bits are a quorum while the voters change from the bits 0 to n-1 to the bits
// 0 to n, or back.
func isQuorumOf(set uint, n int) bool {
	id := func(i int) string { return fmt.Sprint("r", i) }
	var voters []string
	for i := range n + 1 {
		voters = append(voters, id(i))
	}
	node := &Node{memberships: []membership{{set: wire.ReplicaSet{Voters: voters, PreviousVoters: voters[:n]}}}}
	members := make(map[string]bool, bits.OnesCount(set))
	for i := range n + 1 {
		members[id(i)] = set>>i&1 == 1
	}
	return node.isQuorum(func(id string) bool { return members[id] })
}

// TestChangeEndsWithTheNewVoters guards against a change that keeps the previous voters in use although a majority of
// the new ones has it, against one that ends by answers from before it was known to be committed, and against a next
// change before its end is committed.
func TestChangeEndsWithTheNewVoters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	for _, id := range []string{"b", "c", "l"} {
		acknowledge(n, id, 2, now)
	}
	index, err := n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "c", "l"}}, now)
	is.NoErr(err)
	is.Equal(n.replicas().PreviousVoters, []string{"a", "b", "c"})
	n.Persisted(n.Ready(now).Batch, now)
	is.True(n.commit < index) // the leader alone is no majority of either set
	acknowledge(n, "b", index, now)
	is.Equal(n.commit, index) // two of the three previous voters
	is.True(n.isChanging())   // two of the four new ones are no majority
	_, err = n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "l"}}, now)
	is.Equal(err, ErrMembershipPending)
	acknowledge(n, "l", index, now)
	is.True(n.isChanging()) // b may have been lost before the leader knew the change to be committed
	acknowledge(n, "b", index, now)
	is.Equal(n.voterSets(), [][]string{{"a", "b", "c", "l"}})
	n.Persisted(n.Ready(now).Batch, now)
	acknowledge(n, "b", index+1, now)
	is.Equal(n.commit, index) // three of the four are needed
	_, err = n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "l"}}, now)
	is.Equal(err, ErrMembershipPending)
	acknowledge(n, "l", index+1, now)
	is.Equal(n.commit, index+1)
	_, err = n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "l"}}, now)
	is.NoErr(err)
}

// TestChangeEndsWithThePreviousVoters guards against a change that stays pending, so that no voter can be replaced, because
// no majority of the new voters is left.
func TestChangeEndsWithThePreviousVoters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	for _, id := range []string{"b", "c", "l"} {
		acknowledge(n, id, 2, now)
	}
	index, err := n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "c", "l"}, Learners: []string{"m"}}, now)
	is.NoErr(err)
	n.Persisted(n.Ready(now).Batch, now)
	acknowledge(n, "b", index, now)
	for range 25 {
		now = now.Add(n.cfg.ElectionTimeout / 20)
		n.Tick(now)
		acknowledge(n, "b", index, now)
	}
	is.Equal(n.replicas(), wire.ReplicaSet{Voters: []string{"a", "b", "c"}, Learners: []string{"m", "l"}})
}

// TestPendingChangeSurvivesSnapshotAndRestart guards against a replica that forgets the previous voters, and then needs a
// majority of the new ones before the change is known to be committed.
func TestPendingChangeSurvivesSnapshotAndRestart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	for _, id := range []string{"b", "c", "l"} {
		acknowledge(n, id, 2, now)
	}
	index, err := n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b", "c", "l"}}, now)
	is.NoErr(err)
	n.Persisted(n.Ready(now).Batch, now)
	acknowledge(n, "b", index, now)
	n.Ready(now)
	is.NoErr(n.Compact(index, []byte("state")))
	restarted, err := New(Config{ID: "a"}, Start{HardState: n.hardState, Snapshot: n.snapshot}, now)
	is.NoErr(err)
	is.Equal(restarted.voterSets(), [][]string{{"a", "b", "c", "l"}, {"a", "b", "c"}})
}

// TestUncommittedChangeNeedsOnlyTheVotersBefore guards against a log that never has a leader again: voters are added or
// removed, and before anyone knows that to be committed, all replicas but a majority of the voters before are lost.
func TestUncommittedChangeNeedsOnlyTheVotersBefore(t *testing.T) {
	losses := 0
	for seed := range uint64(*seeds) {
		isLost, failure := runLossDuringChange(seed)
		if isLost {
			losses++
		}
		if failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
	if losses < *seeds/4 {
		t.Errorf("%d of %d seeds lost replicas, expected at least a quarter", losses, *seeds)
	}
}

// runLossDuringChange reports whether replicas were lost during a change, and a description of the first violation, or an
// empty string. Messages are delayed and reordered, and none is lost.
func runLossDuringChange(seed uint64) (isLost bool, failure string) {
	c := newCluster(seed, 2+int(seed%4))
	c.lossRate = 0
	c.run(300)
	spare := c.add()
	c.start(spare)
	l := c.leader()
	if l == nil {
		return false, "no leader at the start"
	}
	set := l.node.Status().Replicas
	set.Learners = []string{spare.id}
	_, _ = l.node.ProposeReplicas(set, c.clock(l))
	c.run(40)
	if l = c.leader(); l == nil {
		return false, ""
	}
	set = l.node.Status().Replicas
	before := slices.Clone(set.Voters)
	if c.rng.IntN(2) == 0 {
		set.Voters, set.Learners = append(set.Voters, spare.id), nil
	} else if other := before[c.rng.IntN(len(before))]; other != l.id && len(before) > 1 {
		set.Voters = slices.DeleteFunc(set.Voters, func(id string) bool { return id == other })
	}
	index, err := l.node.ProposeReplicas(set, c.clock(l))
	if err != nil {
		return false, ""
	}
	c.run(c.rng.IntN(5))
	for _, id := range c.ids {
		if c.replicas[id].node.Status().Commit >= index {
			return false, ""
		}
	}
	c.loseAllButMajority(before)
	c.run(1000)
	if l = c.leader(); l == nil {
		return true, fmt.Sprintf("no leader after the loss, voters before %v, proposed %v", before, set.Voters)
	}
	written, err := l.node.Propose([]byte("after"))
	if err != nil {
		return true, "no proposal after the loss: " + err.Error()
	}
	c.run(60)
	if s := l.node.Status(); s.Commit < written || len(s.Replicas.PreviousVoters) > 0 {
		return true, fmt.Sprintf("after the loss: entry %d of %d is committed, voters %v, previous voters %v", s.Commit, written, s.Replicas.Voters, s.Replicas.PreviousVoters)
	}
	return true, c.failure
}

// loseAllButMajority loses the disks of all replicas but a random majority of the voters, and starts some of those that
// are left again.
func (c *cluster) loseAllButMajority(voters []string) {
	voters = slices.Clone(voters)
	c.rng.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	kept := voters[:len(voters)/2+1]
	for _, id := range c.ids {
		r := c.replicas[id]
		switch {
		case !slices.Contains(kept, id):
			c.crash(r)
			r.diskLost = true
		case c.rng.IntN(2) == 0:
			c.crash(r)
			c.start(r)
		}
	}
}

// run advances the time by a number of steps.
func (c *cluster) run(steps int) {
	for range steps {
		c.runStep()
	}
}

// TestChangesDuringPartitions guards against two leaders of one term, and against different committed entries, while voters are
// added and removed by several replicas that take themselves for the leader.
func TestChangesDuringPartitions(t *testing.T) {
	for seed := range uint64(*seeds) {
		if failure := runChangesDuringPartitions(seed); failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
}

// runChangesDuringPartitions returns a description of the first violation, or an empty string.
func runChangesDuringPartitions(seed uint64) string {
	c := newCluster(seed, 2+int(seed%3))
	for range 3 {
		c.start(c.add())
	}
	for range 600 {
		switch c.rng.IntN(12) {
		case 0:
			c.partition()
		case 1:
			clear(c.blockedLinks)
		case 2:
			r := c.replicas[c.ids[c.rng.IntN(len(c.ids))]]
			c.crash(r)
			c.start(r)
		case 3, 4, 5, 6:
			c.proposeRandomChange()
		}
		c.run(c.rng.IntN(8))
		if c.failure != "" {
			return c.failure
		}
	}
	return ""
}

// partition separates a random group of replicas from the others.
func (c *cluster) partition() {
	clear(c.blockedLinks)
	side := make(map[string]bool)
	for _, id := range c.ids {
		side[id] = c.rng.IntN(2) == 0
	}
	for _, a := range c.ids {
		for _, b := range c.ids {
			c.blockedLinks[[2]string{a, b}] = side[a] != side[b]
		}
	}
}

// proposeRandomChange makes every replica that leads propose to add or remove a random voter or learner, and to write.
func (c *cluster) proposeRandomChange() {
	for _, leader := range c.ids {
		l := c.replicas[leader]
		if !l.up || l.node.Status().Role != Leader {
			continue
		}
		_, _ = l.node.Propose([]byte(leader))
		set := l.node.Status().Replicas
		id := c.ids[c.rng.IntN(len(c.ids))]
		others := func(ids []string) []string { return difference(ids, []string{id}) }
		switch {
		case slices.Contains(set.Learners, id):
			set.Voters, set.Learners = append(set.Voters, id), others(set.Learners)
		case slices.Contains(set.Voters, id):
			set.Voters = others(set.Voters)
		default:
			set.Learners = append(set.Learners, id)
		}
		_, _ = l.node.ProposeReplicas(set, c.clock(l))
	}
}
