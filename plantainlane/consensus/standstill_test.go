package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// newTestNode returns a replica of three voters.
func newTestNode(t *testing.T) *Node {
	t.Helper()
	start, err := BootstrapVoters([]string{"a", "b", "c"}, "log")
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(Config{ID: "a", ElectionTimeout: testTimeout, HeartbeatInterval: testTimeout / 4}, start, epoch)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestLeaderStepsDownForItsOwnStandstill guards against a leader that got no processor time for longer than an election
// timeout and steps down before it reads the answers that wait, and against one that stays without a quorum.
func TestLeaderStepsDownForItsOwnStandstill(t *testing.T) {
	for name, tt := range map[string]struct {
		standstill time.Duration
		answered   bool
		// leads is whether the replica leads right after the standstill, and leadsLater an election timeout later.
		leads, leadsLater bool
	}{
		"short, answered":   {testTimeout * 3 / 2, true, true, true},
		"short, unanswered": {testTimeout * 3 / 2, false, true, false},
		"long":              {testTimeout * 5 / 2, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newTestNode(t)
			now := epoch
			n.Tick(now)
			n.hardState.Term = 2
			n.becomeLeader(now)
			round := n.newestRound().number
			now = now.Add(tt.standstill)
			n.Tick(now)
			is.Equal(n.role == Leader, tt.leads)
			if tt.answered {
				m := n.message(kindAppendAnswer, "a")
				m.From, m.Round, m.Granted = "b", round, true
				is.NoErr(n.Step(m, now))
			}
			for range 4 {
				now = now.Add(testTimeout / 4)
				n.Tick(now)
				if tt.answered {
					m := n.message(kindAppendAnswer, "a")
					m.From, m.Round, m.Granted = "b", n.newestRound().number, true
					is.NoErr(n.Step(m, now))
				}
			}
			is.Equal(n.role == Leader, tt.leadsLater)
		})
	}
}

// TestFollowerElectsAfterItsOwnStandstill guards against a follower that got no processor time and starts an election
// before it reads what the leader has sent.
func TestFollowerElectsAfterItsOwnStandstill(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	n.Tick(epoch)
	now := epoch.Add(2 * testTimeout)
	n.Tick(now)
	is.Equal(n.role, Follower)
	m := wire.ConsensusMessage{Kind: kindAppend, Log: "log", From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1}
	is.NoErr(n.Step(m, now))
	n.Tick(now.Add(testTimeout / 2))
	is.Equal(n.role, Follower)
	is.Equal(n.leader, "b")
}
