package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"plantainlane/wire"
)

// newLeader returns the first of the given voters as leader of term 2, with learner l. It has not committed any
// entry of its own term yet.
func newLeader(t *testing.T, now time.Time, voters ...string) *Node {
	t.Helper()
	is := is.New(t)
	start, err := Bootstrap(voters[0], "log")
	is.NoErr(err)
	start.Entries[0].Data, err = wire.Encode(wire.ReplicaSet{Voters: voters, Learners: []string{"l"}})
	is.NoErr(err)
	n, err := New(Config{ID: voters[0]}, start, now.Add(-time.Minute))
	is.NoErr(err)
	n.campaign(false, now)
	n.Persisted(n.Ready(now).Batch, now)
	for _, id := range voters[1:] {
		n.step(wire.ConsensusMessage{Kind: kindVoteAnswer, From: id, Term: 2, Granted: true}, now)
	}
	is.Equal(n.role, Leader)
	return n
}

// acknowledge makes the leader receive an answer of replica id to its newest round, with all entries up to index
// durable.
func acknowledge(n *Node, id string, index int, now time.Time) {
	n.step(wire.ConsensusMessage{
		Kind: kindAppendAnswer, From: id, Term: n.hardState.Term, Granted: true, PrevIndex: index, Round: n.newestRound().number,
	}, now)
}

// TestMembershipChangeRules guards against membership changes after which two disjoint quorums could exist, or whose
// new voter lags so far that commits stall.
func TestMembershipChangeRules(t *testing.T) {
	now := time.Unix(1000, 0)
	set := func(voters, learners []string) wire.ReplicaSet {
		return wire.ReplicaSet{Voters: voters, Learners: learners}
	}
	tests := []struct {
		name     string
		set      wire.ReplicaSet
		commit   bool
		caughtUp bool
		want     error
	}{
		{"change before the first entry of the term is committed", set([]string{"a", "b"}, nil), false, false, ErrMembershipPending},
		{"remove a voter", set([]string{"a", "b"}, nil), true, false, nil},
		{"remove two voters", set([]string{"a"}, nil), true, false, ErrMembership},
		{"add a voter and remove another", set([]string{"a", "b", "l"}, nil), true, true, ErrMembership},
		{"no voter", set(nil, []string{"a"}), true, false, ErrMembership},
		{"a voter that is also a learner", set([]string{"a", "b", "c"}, []string{"c"}), true, false, ErrMembership},
		{"add a voter that was not a learner", set([]string{"a", "b", "c", "d"}, nil), true, false, ErrMembership},
		{"promote a lagging learner", set([]string{"a", "b", "c", "l"}, nil), true, false, ErrNotCaughtUp},
		{"promote a learner", set([]string{"a", "b", "c", "l"}, nil), true, true, nil},
		{"add a learner", set([]string{"a", "b", "c"}, []string{"l", "m"}), true, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newLeader(t, now, "a", "b", "c")
			if tt.commit {
				acknowledge(n, "b", 2, now)
				acknowledge(n, "c", 2, now)
			}
			if tt.caughtUp {
				acknowledge(n, "l", 2, now)
			}
			_, err := n.ProposeReplicas(tt.set, now)
			is.True(errors.Is(err, tt.want) || err == nil && tt.want == nil)
			if err == nil {
				_, err = n.ProposeReplicas(set([]string{"a", "b", "c"}, nil), now)
				is.True(errors.Is(err, ErrMembershipPending))
			}
		})
	}
}

// TestEntryOfEarlierTermCommitsOnlyWithEntryOfOwnTerm guards against a committed entry that is overwritten: an entry
// of an earlier term on a quorum can still be replaced by a later leader.
func TestEntryOfEarlierTermCommitsOnlyWithEntryOfOwnTerm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	acknowledge(n, "b", 1, now)
	acknowledge(n, "c", 1, now)
	is.Equal(n.commit, 0)
	acknowledge(n, "b", 2, now)
	acknowledge(n, "c", 2, now)
	is.Equal(n.commit, 2)
}

// TestLeaderIsUnconfirmedAfterTimeoutNow guards against stale reads during a leader transfer: once the target was
// asked to start its election, it may win at any time. The old leader confirms no reads and steps down if the target
// doesn't take over.
func TestLeaderIsUnconfirmedAfterTimeoutNow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	acknowledge(n, "b", 2, now)
	acknowledge(n, "c", 2, now)
	is.True(!n.ConfirmedAt().IsZero())
	is.NoErr(n.Transfer("b", now))
	n.Ready(now)
	acknowledge(n, "b", 2, now)
	is.True(n.ConfirmedAt().IsZero())
	later := now.Add(DefaultElectionTimeout - time.Millisecond)
	n.Confirm(later)
	acknowledge(n, "b", 2, later)
	n.Tick(now.Add(DefaultElectionTimeout))
	is.Equal(n.role, Follower)
}

// TestTruncatedMembershipIsUndone guards against a replica that keeps using a membership whose entry was dropped,
// because a new leader has another entry at its index.
func TestTruncatedMembershipIsUndone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLeader(t, now, "a", "b", "c")
	acknowledge(n, "b", 2, now)
	acknowledge(n, "c", 2, now)
	_, err := n.ProposeReplicas(wire.ReplicaSet{Voters: []string{"a", "b"}}, now)
	is.NoErr(err)
	n.step(wire.ConsensusMessage{
		Kind: kindAppend, From: "c", Term: 3, PrevIndex: 2, PrevTerm: 2,
		Entries: []wire.LogEntry{{Index: 3, Term: 3, Kind: KindNoop}},
	}, now)
	is.Equal(n.replicas().Voters, []string{"a", "b", "c"})
}

// TestMembershipSequences guards against sequences of membership changes, valid and invalid, that together with
// blocked links and restarts lead to two leaders in one term or to different committed entries.
func TestMembershipSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), 3)
		for range 4 {
			c.start(c.add())
		}
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(c.ids), rapid.ID)
		rt.Repeat(map[string]func(*rapid.T){
			"propose": func(rt *rapid.T) {
				if l := c.leader(); l != nil {
					voters, learners := subset.Draw(rt, "voters"), subset.Draw(rt, "learners")
					_, _ = l.node.ProposeReplicas(wire.ReplicaSet{Voters: voters, Learners: learners}, c.clock(l))
				}
			},
			"step": func(rt *rapid.T) {
				l := c.leader()
				if l == nil {
					return
				}
				set := l.node.Status().Replicas
				id := rapid.SampledFrom(c.ids).Draw(rt, "replica")
				isReplica := func(x string) bool { return x == id }
				switch {
				case slices.Contains(set.Learners, id):
					set.Learners = slices.DeleteFunc(set.Learners, isReplica)
					set.Voters = append(set.Voters, id)
				case slices.Contains(set.Voters, id):
					set.Voters = slices.DeleteFunc(set.Voters, isReplica)
				default:
					set.Learners = append(set.Learners, id)
				}
				_, _ = l.node.ProposeReplicas(set, c.clock(l))
			},
			"write": func(*rapid.T) {
				if l := c.leader(); l != nil {
					_, _ = l.node.Propose([]byte("x"))
				}
			},
			"cut": func(rt *rapid.T) {
				c.blockedLinks[[2]string{rapid.SampledFrom(c.ids).Draw(rt, "from"), rapid.SampledFrom(c.ids).Draw(rt, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(c.blockedLinks) },
			"restart": func(rt *rapid.T) {
				r := c.replicas[rapid.SampledFrom(c.ids).Draw(rt, "replica")]
				c.crash(r)
				c.start(r)
			},
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(rt, "steps") {
					c.runStep()
				}
			},
			"": func(rt *rapid.T) {
				if c.failure != "" {
					rt.Fatal(c.failure)
				}
			},
		})
	})
}
