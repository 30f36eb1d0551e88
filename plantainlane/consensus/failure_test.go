package consensus

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"plantainlane/wire"
)

var seeds = flag.Int("seeds", 300, "number of seeds that each failure test runs")

// client runs one operation at a time on the register: a write, or a read if write is false.
type client struct {
	id int
	// busy is set while an operation is in progress. The fields below describe it.
	busy  bool
	write bool
	// value is the value to write.
	value     string
	startedAt time.Time
	// localStartedAt is when the operation started by the clock of the replica that serves it.
	localStartedAt time.Time
	// replica serves the operation; node is its node at the start, which a restart replaces.
	replica *replica
	node    *Node
	// index and term are those of a write's entry.
	index int
	term  int
}

// history holds the operations of all clients for the linearizability check.
type history struct {
	ops []porcupine.Operation
	// lastID is the last number given to a client or to a written value.
	lastID int
}

// advanceClient starts an operation if the client is idle, and otherwise checks whether its operation has ended. A
// write whose outcome is unknown is recorded without an end, since it may take effect at any later time. A write
// whose entry was replaced by another one is not recorded.
func (c *cluster) advanceClient(h *history, k *client) {
	if !k.busy {
		c.startOperation(h, k)
		return
	}
	r := k.replica
	switch {
	case !r.up || r.node != k.node || c.now.Sub(k.startedAt) > 3*testTimeout:
		if k.write {
			h.add(k, "", math.MaxInt64)
		}
		h.lastID++
		*k = client{id: h.lastID}
	case k.write && r.applied >= k.index:
		e := c.committed[k.index]
		if e.Term == k.term && string(e.Data) == k.value {
			h.add(k, "", c.now.UnixNano()+1)
		}
		k.busy = false
	case !k.write && !r.node.ConfirmedAt().Before(k.localStartedAt) && r.applied >= r.node.Status().Commit:
		h.add(k, r.value, c.now.UnixNano()+1)
		k.busy = false
	}
}

// startOperation starts a read or a write at a random replica, if that replica is a leader.
func (c *cluster) startOperation(h *history, k *client) {
	r := c.replicas[c.ids[c.rng.IntN(len(c.ids))]]
	if !r.up || r.node.Status().Role != Leader {
		return
	}
	k.busy, k.startedAt, k.localStartedAt, k.replica, k.node = true, c.now, c.clock(r), r, r.node
	if k.write = c.rng.IntN(2) == 0; !k.write {
		return
	}
	h.lastID++
	k.value = fmt.Sprint("v", h.lastID)
	index, err := r.node.Propose([]byte(k.value))
	k.index, k.term, k.busy = index, r.node.Status().Term, err == nil
}

// add records the operation of a client with its output, empty for a write, and its end in nanoseconds.
func (h *history) add(k *client, out string, end int64) {
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: k.id, Input: *k, Output: out, Call: k.startedAt.UnixNano(), Return: end,
	})
}

// register is the sequential model: a read returns the value of the last write.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if k := in.(client); k.write {
			return true, k.value
		}
		return out == state, state
	},
}

// injectFault does one of these at random: block a link, unblock all links, crash a replica, restart the crashed
// replicas, lose a disk, transfer the leadership.
func (c *cluster) injectFault() {
	a, b := c.ids[c.rng.IntN(len(c.ids))], c.ids[c.rng.IntN(len(c.ids))]
	r := c.replicas[a]
	switch c.rng.IntN(9) {
	case 0, 1:
		c.blockedLinks[[2]string{a, b}] = true
	case 2, 3:
		clear(c.blockedLinks)
	case 4:
		if r.up {
			c.crash(r)
		}
	case 5, 6:
		for _, id := range c.ids {
			if o := c.replicas[id]; !o.up && !o.diskLost {
				c.start(o)
			}
		}
	case 7:
		c.loseDisk(r)
	case 8:
		if l := c.leader(); l != nil {
			_ = l.node.Transfer(l.node.Successor(c.clock(l)), c.clock(l))
		}
	}
}

// loseDisk crashes a replica whose disk is then permanently lost. It does so only for a replica that isn't the
// leader, and only if every earlier lost voter was replaced, so that no quorum is lost.
func (c *cluster) loseDisk(r *replica) {
	l := c.leader()
	if l == nil || l == r || r.diskLost {
		return
	}
	s := l.node.Status()
	newest := l.node.memberships[len(l.node.memberships)-1].index
	noVoterLost := !slices.ContainsFunc(s.Replicas.Voters, func(id string) bool { return c.replicas[id].diskLost })
	if noVoterLost && s.LeaderReady && newest <= s.Commit && !l.node.ConfirmedAt().IsZero() && len(s.Replicas.Voters)%2 == 1 {
		c.crash(r)
		r.diskLost = true
	}
}

// runFailures runs a cluster with random faults for 900 steps and without new faults for 300 more. It returns a
// description of the first violation, or an empty string.
func runFailures(seed uint64, size int) string {
	c := newCluster(seed, size)
	h := &history{}
	for i := range 3 {
		c.clients = append(c.clients, &client{id: -1 - i})
	}
	for i := range 1200 {
		if i < 900 && c.rng.IntN(15) == 0 {
			c.injectFault()
		}
		if i == 900 {
			c.heal()
		}
		if i%10 == 0 {
			c.replaceLostVoter()
		}
		c.runStep()
		for _, k := range c.clients {
			c.advanceClient(h, k)
		}
		if c.failure != "" {
			return fmt.Sprintf("step %d: %s", i, c.failure)
		}
	}
	if !porcupine.CheckOperations(register, h.ops) {
		return "history is not linearizable"
	}
	return c.checkConverged(size)
}

// heal ends all faults except lost disks.
func (c *cluster) heal() {
	clear(c.blockedLinks)
	c.lossRate = 0
	for _, id := range c.ids {
		if r := c.replicas[id]; !r.up && !r.diskLost {
			c.start(r)
		}
	}
}

// checkConverged checks that after the faults have ended there is a leader and a full set of voters with the same
// state.
func (c *cluster) checkConverged(size int) string {
	c.clients = nil
	for range 60 {
		c.runStep()
	}
	l := c.leader()
	if l == nil {
		return "no leader after healing"
	}
	set := l.node.Status().Replicas
	if len(set.Voters) != size {
		return fmt.Sprintf("voters %v after healing", set.Voters)
	}
	for _, id := range set.Voters {
		if r := c.replicas[id]; r.diskLost || r.applied != l.applied || r.value != l.value {
			return fmt.Sprintf("%s differs from the leader after healing: applied %d, leader %d", id, r.applied, l.applied)
		}
	}
	return c.failure
}

// TestFailures guards against two leaders in one term, replicas that commit different entries, reads or writes that
// aren't linearizable, and clusters that don't recover. Replicas have clocks of different speed, and meet lost,
// delayed and duplicated messages, blocked links, crashes that lose unsynced batches, lost disks, and leader
// transfers.
func TestFailures(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size, " replicas"), func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				if failure := runFailures(uint64(seed), size); failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
			}
		})
	}
}

// TestWipedReplicaNeverVotes guards against a second vote in the same term by a replica that lost its disk, and with
// it the record of its votes. Such a replica restarts with a new ID and without a log, and rejects vote requests.
func TestWipedReplicaNeverVotes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	n, err := New(Config{ID: "fresh"}, Start{}, now)
	is.NoErr(err)
	vote := wire.ConsensusMessage{Kind: kindVote, Log: "log", From: "a", To: "fresh", Term: 9, PrevIndex: 9, PrevTerm: 8}
	is.True(n.Step(vote, now.Add(time.Minute)) != nil)
	r := n.Ready(now)
	is.True(r.IsEmpty())
}

// TestVoteIsSentOnlyAfterItIsPersisted guards against a second vote in the same term after a crash: a vote that was
// sent before it was durable would be forgotten.
func TestVoteIsSentOnlyAfterItIsPersisted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	start, err := Bootstrap("a", "log")
	is.NoErr(err)
	start.HardState.Vote = ""
	n, err := New(Config{ID: "a"}, start, now)
	is.NoErr(err)
	later := now.Add(time.Minute)
	vote := wire.ConsensusMessage{Kind: kindVote, Log: "log", From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1}
	is.NoErr(n.Step(vote, later))
	r := n.Ready(later)
	is.Equal(len(r.Messages), 0)
	is.Equal(*r.HardState, HardState{Term: 2, Vote: "b", Log: "log"})
	n.Persisted(r.Batch, later)
	r = n.Ready(later)
	is.Equal(len(r.Messages), 1)
	is.True(r.Messages[0].Granted)
}
