package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
	"plantainlane/wire"
)

// newQuotaCluster returns a cluster whose instances have a gate each. The first leads.
func newQuotaCluster(ids ...string) (*grantCluster, map[string]*quota.Gate) {
	s := newGrantCluster(grantContract(50, 100, 50), ids...)
	gates := make(map[string]*quota.Gate)
	for _, id := range ids {
		gates[id] = quota.NewGate(nil)
		WithGate(gates[id])(s.cores[id])
	}
	return s, gates
}

// ask has an instance ask the leader for a permit.
func (s *grantCluster) ask(id, leader string, limit wire.UpstreamLimit) wire.PermitAnswer {
	reply := make(chan wire.Frame, 1)
	s.step(id, QueryRequested{To: leader, Frame: wire.Frame{PermitQuery: &limit}, Until: s.now.Add(time.Second), Reply: reply})
	select {
	case f := <-reply:
		return *f.PermitAnswer
	default:
		return wire.PermitAnswer{}
	}
}

// knows reports whether a gate knows a limit of an upstream.
func knows(g *quota.Gate, now time.Time, address string) bool {
	for _, l := range g.All(now) {
		if l.Address == address && l.Limited {
			return true
		}
	}
	return false
}

// TestOnlyInstanceThatHeardLimitKeepsIt guards against instances that send without a permit because another instance got
// the answer that named the limit, or because they started after it.
func TestOnlyInstanceThatHeardLimitKeepsIt(t *testing.T) {
	is := is.New(t)
	s, gates := newQuotaCluster("a", "b", "c")
	s.run(2 * time.Second)
	gates["b"].Observe("u", quota.Statement{Limited: true, PerSecond: 2, SentAt: s.now.Add(-time.Millisecond), HeardAt: s.now})
	s.run(2500 * time.Millisecond) // two periods of lease requests
	for _, g := range gates {
		is.True(knows(g, s.now, "u")) // an instance lacks the limit
	}
	gates["c"] = quota.NewGate(nil)
	s.cores["c"] = New(wire.InstanceInfo{ID: "c", Incarnation: 2}, WithGate(gates["c"]))
	s.step("c", PeerConnected{Info: wire.InstanceInfo{ID: "a"}})
	s.run(3 * time.Second)
	is.True(knows(gates["c"], s.now, "u")) // the restarted instance lacks the limit
}

// TestLostReportOfLimit guards against a limit, or its end, that other instances don't learn because one frame of the
// instance that heard it was lost, whichever it was.
func TestLostReportOfLimit(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			s, gates := newQuotaCluster("a", "b", "c")
			s.run(2 * time.Second)
			for _, limited := range []bool{true, false} {
				n := 0
				s.isLost = func(from string, o Outbound) bool {
					if from == "b" && o.To == "a" || from == "a" && o.To == "b" {
						n++
					}
					return n == lost+1
				}
				gates["b"].Observe("u", quota.Statement{Limited: limited, PerSecond: 2, SentAt: s.now.Add(-time.Millisecond), HeardAt: s.now})
				s.run(6 * time.Second) // a report of an end counts as 2 s older than it says
				is.Equal(knows(gates["c"], s.now, "u"), limited)
			}
		})
	}
}

// TestPermitsOfOneLeader guards against permits of an instance that doesn't lead or isn't confirmed by a quorum, and
// against permits above the limit for several instances.
func TestPermitsOfOneLeader(t *testing.T) {
	is := is.New(t)
	s, _ := newQuotaCluster("a", "b", "c")
	s.run(time.Second)
	limit := wire.UpstreamLimit{Address: "u", Limited: true, PerSecond: 2}
	issued := 0
	for range 400 {
		for _, id := range []string{"a", "b", "c"} {
			if s.ask(id, "a", limit).Granted {
				issued++
			}
		}
		s.now = s.now.Add(10 * time.Millisecond)
	}
	is.True(issued >= 6 && issued <= 9) // 2 a second for 4 s
	is.True(!s.ask("c", "b", limit).Granted)
	s.now = s.now.Add(5 * time.Second)
	s.cores["a"].log = unconfirmedLog{s.cores["a"].log}
	is.True(!s.ask("c", "a", limit).Granted) // the quorum may have another leader
}

// unconfirmedLog is a log whose leader no quorum confirms.
type unconfirmedLog struct{ Log }

func (unconfirmedLog) ConfirmedSince(time.Time) bool { return false }

// BenchmarkPermitQuery measures the leader's time for one query of 460 instances for permits of 100 limited upstreams, 16
// queries in a step, and the size of a query and its answer.
func BenchmarkPermitQuery(b *testing.B) {
	const instances, upstreams, queriesPerStep = 460, 100, 16
	s := newScaleCluster(instances, 100)
	leader := s.cores[0]
	for range 20 {
		s.now = s.now.Add(100 * time.Millisecond)
		leader.Step(s.now, s.inbox[0]...)
		s.inbox[0] = nil
	}
	query := func(n int) wire.Frame {
		return wire.Frame{From: scaleID(1 + n%(instances-1)), Call: n, PermitQuery: &wire.UpstreamLimit{
			Address: fmt.Sprintf("10.0.%d.%d:8080", n%upstreams/256, n%upstreams%256), Limited: true, PerSecond: 5, SentAgoMs: 20, HeardAgoMs: 10,
		}}
	}
	bytes := 0
	for b.Loop() {
		s.now = s.now.Add(time.Millisecond)
		var inputs []Input
		for n := range queriesPerStep {
			inputs = append(inputs, FrameReceived{Frame: query(n)})
		}
		for _, o := range leader.Step(s.now, inputs...) {
			if o.Frame.PermitAnswer != nil && bytes == 0 {
				out, _ := wire.Encode(o.Frame)
				in, _ := wire.Encode(query(0))
				bytes = len(out) + len(in)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*queriesPerStep), "us/query")
	b.ReportMetric(float64(bytes), "B/query")
}
