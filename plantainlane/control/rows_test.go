package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// follower is the log of a replica that follows another one.
type follower struct{ *Solo }

func (f follower) Leadership() Leadership        { return Leadership{} }
func (f follower) ConfirmedSince(time.Time) bool { return false }

// newRowCluster returns a cluster of n connected instances whose first one leads, and counts the rows of instances in
// the answers of leaders.
func newRowCluster(n int) (*grantCluster, *int) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("i%03d", i)
	}
	s, rows := newGrantCluster(grantContract(50, 100, 50), ids...), new(int)
	s.isLost = func(_ string, o Outbound) bool {
		if o.Frame.LeaseAnswer != nil {
			*rows += len(o.Frame.LeaseAnswer.Instances)
		}
		return false
	}
	return s, rows
}

// changeLeader ends the leadership of one instance and has another one, with the same state, lead in the next term.
func (s *grantCluster) changeLeader(t *testing.T, from, to string, term int) {
	data, err := s.cores[from].state.Freeze().Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	s.cores[from].log = follower{NewSolo(from, term-1)}
	WithLog(NewSolo(to, term), restored, 0)(s.cores[to])
}

// requireSameTables requires that all instances know the same instances, with the same addresses, and the same ones as
// silent and draining.
func (s *grantCluster) requireSameTables(t *testing.T, leader string) {
	t.Helper()
	for id, c := range s.cores {
		for other, row := range s.cores[leader].leaderState.rows {
			got, ok := c.instances.rows.Get(other)
			if !ok || got.Incarnation != row.info.Incarnation || got.Silent != row.info.Silent || got.Draining != row.info.Draining {
				t.Fatalf("%s has %+v of %s, the leader %+v", id, got, other, row.info)
			}
		}
	}
}

// TestNewLeaderSendsWholeTable guards against a new leader that sends the rows of all instances to all instances, which
// already have them, so that its heartbeats wait behind them, and the next leader does the same.
func TestNewLeaderSendsWholeTable(t *testing.T) {
	is := is.New(t)
	const n = 40
	s, rows := newRowCluster(n)
	s.run(5 * time.Second)
	s.requireSameTables(t, "i000")
	for term := 2; term < 5; term++ {
		*rows = 0
		s.changeLeader(t, fmt.Sprintf("i%03d", term-2), fmt.Sprintf("i%03d", term-1), term)
		s.run(3 * time.Second)
		s.requireSameTables(t, fmt.Sprintf("i%03d", term-1))
		is.True(*rows < 4*n) // rows of the changed leaders only
	}
}

// TestNewLeaderForgetsDrain guards against an instance that drains and is named to callers again after a change of
// leader, and against one that became silent meanwhile and that some instances still take for live.
func TestNewLeaderForgetsDrain(t *testing.T) {
	is := is.New(t)
	s, _ := newRowCluster(6)
	s.run(3 * time.Second)
	s.step("i005", DrainRequested{Instance: "i005", Reply: make(chan error, 1)})
	s.run(2 * time.Second)
	delete(s.cores, "i005")
	delete(s.cores, "i004")
	s.changeLeader(t, "i000", "i001", 2)
	s.run(500 * time.Millisecond)
	for _, c := range s.cores {
		i, _ := c.instances.rows.Get("i005")
		is.True(i.Draining)
	}
	s.run(5 * time.Second)
	s.requireSameTables(t, "i001")
	i, _ := s.cores["i002"].instances.rows.Get("i004")
	is.True(i.Silent)
}

// TestRowsOfLargeRegionFlood guards against a leader whose link is filled with rows when all instances of a large region
// start at the same time.
func TestRowsOfLargeRegionFlood(t *testing.T) {
	is := is.New(t)
	const n = 200
	s, rows := newRowCluster(n)
	started := s.now
	most := 0
	for s.now.Sub(started) < 8*time.Second {
		*rows = 0
		s.run(time.Second)
		most = max(most, *rows)
	}
	is.True(most <= maxRowsPerSecond+maxRowsPerSecond/2)
	s.requireSameTables(t, "i000")
}

// TestStaleRowsAfterPartialAnswers guards against rows that are left out of a limited answer and never sent.
func TestStaleRowsAfterPartialAnswers(t *testing.T) {
	is := is.New(t)
	s, _ := newRowCluster(30)
	l := s.cores["i000"]
	s.run(time.Second)
	l.leaderState.rowBudget = rowBudget{at: s.now.Add(2 * time.Second)} // none left until then
	s.cores["i029"] = New(wire.InstanceInfo{ID: "i029", Incarnation: 2})
	s.step("i029", PeerConnected{Info: wire.InstanceInfo{ID: "i000"}})
	s.run(time.Second)
	is.True(s.cores["i029"].instances.rows.Len() < 30)
	s.run(4 * time.Second)
	s.requireSameTables(t, "i000")
}

// TestLostDrainOrder guards against an instance that doesn't drain although the operator was told so, because the frame
// with the order was lost.
func TestLostDrainOrder(t *testing.T) {
	is := is.New(t)
	s, _ := newRowCluster(3)
	s.run(2 * time.Second)
	lost := 0
	s.isLost = func(_ string, o Outbound) bool {
		if o.Frame.Drain != nil {
			lost++
		}
		return o.Frame.Drain != nil && lost == 1
	}
	reply := make(chan error, 1)
	s.step("i001", DrainRequested{Instance: "i002", Reply: reply})
	is.NoErr(<-reply)
	s.run(time.Second)
	is.True(s.cores["i002"].draining)
	s.run(3 * time.Second)
	is.Equal(len(s.cores["i001"].drainOrders), 0)
}

// TestRestartedInstanceFindsNobody guards against an instance that restarts after the leader took it for silent, and that
// no other instance contacts. It may know none itself, if its disk is lost and the peers that its settings name are gone.
func TestRestartedInstanceFindsNobody(t *testing.T) {
	is := is.New(t)
	s, _ := newRowCluster(4)
	s.run(2 * time.Second)
	delete(s.cores, "i003")
	s.run(6 * time.Second)
	s.cores["i003"] = New(wire.InstanceInfo{ID: "i003", Incarnation: 2})
	s.run(3 * time.Second)
	is.True(s.cores["i003"].lease.until.After(s.now))
}

// TestNewLeaderPushesWholeConfiguration guards against a new leader that pushes the whole configuration to all instances,
// which have it.
func TestNewLeaderPushesWholeConfiguration(t *testing.T) {
	is := is.New(t)
	s, _ := newRowCluster(20)
	s.run(2 * time.Second)
	pushes := 0
	s.isLost = func(_ string, o Outbound) bool {
		if o.Frame.Config != nil {
			pushes++
		}
		return false
	}
	s.changeLeader(t, "i000", "i001", 2)
	s.run(3 * time.Second)
	is.Equal(s.cores["i001"].config.Revision, 1)
	is.Equal(pushes, 0)
}
