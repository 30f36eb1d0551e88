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

// leaderOf returns a leader of the given voters at term 2 that has committed nothing of its own yet.
func leaderOf(t *testing.T, now time.Time, voters ...string) *Node {
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

func acknowledge(n *Node, id string, index int, now time.Time) {
	n.step(wire.ConsensusMessage{
		Kind: kindAppendAnswer, From: id, Term: n.hard.Term, Granted: true, PrevIndex: index, Round: n.newestRound().number,
	}, now)
}

func TestMembershipSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	set := func(voters, learners []string) wire.ReplicaSet {
		return wire.ReplicaSet{Voters: voters, Learners: learners}
	}
	tests := []struct {
		name   string
		set    wire.ReplicaSet
		commit bool
		caught bool
		want   error
	}{
		{"before the first entry of the term", set([]string{"a", "b"}, nil), false, false, ErrMembershipPending},
		{"remove a voter", set([]string{"a", "b"}, nil), true, false, nil},
		{"remove two voters", set([]string{"a"}, nil), true, false, ErrMembership},
		{"swap a voter", set([]string{"a", "b", "l"}, nil), true, true, ErrMembership},
		{"no voter", set(nil, []string{"a"}), true, false, ErrMembership},
		{"a replica twice", set([]string{"a", "b", "c"}, []string{"c"}), true, false, ErrMembership},
		{"a voter that was no learner", set([]string{"a", "b", "c", "d"}, nil), true, false, ErrMembership},
		{"promote a lagging learner", set([]string{"a", "b", "c", "l"}, nil), true, false, ErrNotCaughtUp},
		{"promote a learner", set([]string{"a", "b", "c", "l"}, nil), true, true, nil},
		{"add a learner", set([]string{"a", "b", "c"}, []string{"l", "m"}), true, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := leaderOf(t, now, "a", "b", "c")
			if tt.commit {
				acknowledge(n, "b", 2, now)
				acknowledge(n, "c", 2, now)
			}
			if tt.caught {
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

func TestEntryOfEarlierTermCommitsOnlyWithOwn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := leaderOf(t, now, "a", "b", "c")
	acknowledge(n, "b", 1, now)
	acknowledge(n, "c", 1, now)
	is.Equal(n.commit, 0)
	acknowledge(n, "b", 2, now)
	acknowledge(n, "c", 2, now)
	is.Equal(n.commit, 2)
}

func TestLeaderThatAskedItsSuccessorConfirmsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := leaderOf(t, now, "a", "b", "c")
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

func TestTruncatedMembershipIsUndone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := leaderOf(t, now, "a", "b", "c")
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
				is := func(x string) bool { return x == id }
				switch {
				case slices.Contains(set.Learners, id):
					set.Learners = slices.DeleteFunc(set.Learners, is)
					set.Voters = append(set.Voters, id)
				case slices.Contains(set.Voters, id):
					set.Voters = slices.DeleteFunc(set.Voters, is)
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
				c.cut[[2]string{rapid.SampledFrom(c.ids).Draw(rt, "from"), rapid.SampledFrom(c.ids).Draw(rt, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(c.cut) },
			"restart": func(rt *rapid.T) {
				r := c.replicas[rapid.SampledFrom(c.ids).Draw(rt, "replica")]
				c.crash(r)
				c.start(r)
			},
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(rt, "steps") {
					c.run()
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
