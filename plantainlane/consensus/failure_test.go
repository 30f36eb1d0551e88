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

var seeds = flag.Int("seeds", 300, "seeds of each failure test")

// client runs one operation at a time on the register.
type client struct {
	id    int
	busy  bool
	write bool
	value string
	began time.Time
	// asked is when the operation began by the replica's clock.
	asked   time.Time
	replica *replica
	node    *Node
	index   int
	term    int
}

type history struct {
	ops   []porcupine.Operation
	names int
}

func (c *cluster) operate(h *history, k *client) {
	if !k.busy {
		c.begin(h, k)
		return
	}
	r := k.replica
	switch {
	case !r.up || r.node != k.node || c.now.Sub(k.began) > 3*testTimeout:
		if k.write {
			h.add(k, "", math.MaxInt64)
		}
		h.names++
		*k = client{id: h.names}
	case k.write && r.at >= k.index:
		e := c.committed[k.index]
		if e.Term == k.term && string(e.Data) == k.value {
			h.add(k, "", c.now.UnixNano()+1)
		}
		k.busy = false
	case !k.write && !r.node.ConfirmedAt().Before(k.asked) && r.at >= r.node.Status().Commit:
		h.add(k, r.value, c.now.UnixNano()+1)
		k.busy = false
	}
}

func (c *cluster) begin(h *history, k *client) {
	r := c.replicas[c.ids[c.rng.IntN(len(c.ids))]]
	if !r.up || r.node.Status().Role != Leader {
		return
	}
	k.busy, k.began, k.asked, k.replica, k.node = true, c.now, c.clock(r), r, r.node
	if k.write = c.rng.IntN(2) == 0; !k.write {
		return
	}
	h.names++
	k.value = fmt.Sprint("v", h.names)
	index, err := r.node.Propose([]byte(k.value))
	k.index, k.term, k.busy = index, r.node.Status().Term, err == nil
}

func (h *history) add(k *client, out string, end int64) {
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: k.id, Input: *k, Output: out, Call: k.began.UnixNano(), Return: end,
	})
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if k := in.(client); k.write {
			return true, k.value
		}
		return out == state, state
	},
}

// disturb makes something fail, or heals it.
func (c *cluster) disturb() {
	a, b := c.ids[c.rng.IntN(len(c.ids))], c.ids[c.rng.IntN(len(c.ids))]
	r := c.replicas[a]
	switch c.rng.IntN(9) {
	case 0, 1:
		c.cut[[2]string{a, b}] = true
	case 2, 3:
		clear(c.cut)
	case 4:
		if r.up {
			c.crash(r)
		}
	case 5, 6:
		for _, id := range c.ids {
			if o := c.replicas[id]; !o.up && !o.lost {
				c.start(o)
			}
		}
	case 7:
		c.wipe(r)
	case 8:
		if l := c.leader(); l != nil {
			_ = l.node.Transfer(l.node.Successor(c.clock(l)), c.clock(l))
		}
	}
}

// wipe loses a disk for good, if the last loss was repaired.
func (c *cluster) wipe(r *replica) {
	l := c.leader()
	if l == nil || l == r || r.lost {
		return
	}
	s := l.node.Status()
	newest := l.node.members[len(l.node.members)-1].index
	whole := !slices.ContainsFunc(s.Replicas.Voters, func(id string) bool { return c.replicas[id].lost })
	if whole && s.Ready && newest <= s.Commit && !l.node.ConfirmedAt().IsZero() && len(s.Replicas.Voters)%2 == 1 {
		c.crash(r)
		r.lost = true
	}
}

func runFailures(seed uint64, size int) string {
	c := newCluster(seed, size)
	h := &history{}
	for i := range 3 {
		c.clients = append(c.clients, &client{id: -1 - i})
	}
	for i := range 1200 {
		if i < 900 && c.rng.IntN(15) == 0 {
			c.disturb()
		}
		if i == 900 {
			c.heal()
		}
		if i%10 == 0 {
			c.repair()
		}
		c.run()
		for _, k := range c.clients {
			c.operate(h, k)
		}
		if c.failure != "" {
			return fmt.Sprintf("step %d: %s", i, c.failure)
		}
	}
	if !porcupine.CheckOperations(register, h.ops) {
		return "history is not linearizable"
	}
	return c.checkWhole(size)
}

func (c *cluster) heal() {
	clear(c.cut)
	c.loss = 0
	for _, id := range c.ids {
		if r := c.replicas[id]; !r.up && !r.lost {
			c.start(r)
		}
	}
}

// checkWhole requires a full set of voters that agree once everything was healed.
func (c *cluster) checkWhole(size int) string {
	c.clients = nil
	for range 60 {
		c.run()
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
		if r := c.replicas[id]; r.lost || r.at != l.at || r.value != l.value {
			return fmt.Sprintf("%s lags after healing: %d of %d", id, r.at, l.at)
		}
	}
	return c.failure
}

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

func TestVoteIsReleasedOnlyOncePersisted(t *testing.T) {
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
