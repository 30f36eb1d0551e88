package control

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// grantCluster is a leader and followers. Each frame is delivered within the step that sends it.
type grantCluster struct {
	cores    map[string]*Core
	limiters map[string]*limit.Limiter
	now      time.Time
	// isLost, if set, reports whether a frame from an instance is lost.
	isLost func(from string, o Outbound) bool
}

// newGrantCluster returns a cluster of connected instances whose first instance leads. The contract is committed.
func newGrantCluster(contract wire.Contract, ids ...string) *grantCluster {
	s := &grantCluster{
		cores: map[string]*Core{}, limiters: map[string]*limit.Limiter{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i, id := range ids {
		s.limiters[id] = limit.New(s.now)
		options := []Option{WithLimiter(s.limiters[id])}
		if i == 0 {
			options = append(options, WithLog(NewSolo(id, 1), &state.State{}, 0))
		}
		s.cores[id] = New(wire.InstanceInfo{ID: id, Incarnation: 1}, options...)
		for _, other := range ids {
			if other != id {
				s.step(id, PeerConnected{Info: wire.InstanceInfo{ID: other}})
			}
		}
	}
	reply := make(chan wire.ProposeAnswer, 1)
	pipeline := wire.Pipeline{Name: "p", Stages: []wire.Stage{{Name: "s", Service: "s", Path: "/run", DeadlineShare: 1, CostUnits: 1}}}
	change := wire.ChangeSet{ChangeID: "c", Set: wire.Declarations{
		Contracts: []wire.Contract{contract},
		Pipelines: []wire.Pipeline{pipeline},
	}}
	s.step(ids[0], Proposed{Command: wire.Command{Change: &change}, Until: s.now.Add(time.Minute), Reply: reply})
	return s
}

// step steps one core, and the receivers of the frames that it sends.
func (s *grantCluster) step(id string, inputs ...Input) {
	for _, o := range s.cores[id].Step(s.now, inputs...) {
		if s.cores[o.To] != nil && (s.isLost == nil || !s.isLost(id, o)) {
			s.step(o.To, FrameReceived{Frame: o.Frame})
		}
	}
}

// run steps all cores every 100 ms for a period.
func (s *grantCluster) run(period time.Duration) {
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(s.cores)) {
			s.step(id)
		}
	}
}

// countAdmitted offers an instance 100 requests a second for a period and returns the number of admitted requests.
func (s *grantCluster) countAdmitted(id string, period time.Duration) int {
	admitted := 0
	for end := s.now.Add(period); s.now.Before(end); {
		for range 10 {
			if ticket, err := s.limiters[id].TryAdmit(s.now, limit.Request{Workspace: "w"}); err == nil {
				ticket.Done(s.now, limit.Usage{})
				admitted++
			}
		}
		s.run(100 * time.Millisecond)
	}
	return admitted
}

func grantContract(perSecond, burst float64, concurrency int) wire.Contract {
	return wire.Contract{
		Workspace: "w", Rate: wire.Rate{PerSecond: perSecond, Burst: burst}, Concurrency: concurrency,
		Tokens: wire.Rate{PerSecond: 1000, Burst: 1000}, DefaultDeadlineMs: 1000, MaxDeadlineMs: 1000,
		MaxBodyBytes: 1000, MaxResultBytes: 1000, Pipelines: []string{"p"}, Budget: wire.Budget{PeriodHours: 1},
		Keys: []wire.ContractKey{{ID: "k", Sha256: strings.Repeat("0", 64)}},
	}
}

// TestFirstGrantRequestLeavesSharesForOthers guards against a first request that takes the whole of a new contract, so
// that the other instances wait until that grant expires. The leader is the first to request its share here.
func TestFirstGrantRequestLeavesSharesForOthers(t *testing.T) {
	is := is.New(t)
	s := newGrantCluster(grantContract(50, 100, 50), "a", "b", "c")
	s.run(1200 * time.Millisecond)
	is.True(s.countAdmitted("b", 500*time.Millisecond) > 0)
	is.True(s.countAdmitted("c", 500*time.Millisecond) > 0)
}

// TestGrantsReachInstancesAndFollowDemand guards against shares that stay at an instance after the requests have moved
// to another one, and against more admitted requests than the contract allows.
func TestGrantsReachInstancesAndFollowDemand(t *testing.T) {
	is := is.New(t)
	s := newGrantCluster(grantContract(40, 10, 10), "a", "b", "c")
	s.run(2 * time.Second)
	s.countAdmitted("b", 4*time.Second)
	is.True(s.countAdmitted("b", 5*time.Second) >= 5*30)
	s.countAdmitted("c", 4*time.Second)
	is.True(s.countAdmitted("c", 5*time.Second) >= 5*30)
	total := s.countAdmitted("c", 10*time.Second)
	is.True(total <= 40*10+10)
}

// TestStoppedInstanceReleasesItsShare guards against a share that stays unused until it expires after its instance has
// stopped. The stopped instance holds nearly all of the contract.
func TestStoppedInstanceReleasesItsShare(t *testing.T) {
	is := is.New(t)
	s := newGrantCluster(grantContract(100, 10, 10), "a", "b", "c")
	s.countAdmitted("b", 5*time.Second)
	s.step("b", TrafficEnded{})
	s.countAdmitted("c", 600*time.Millisecond)
	is.True(s.countAdmitted("c", time.Second) >= 60)
	is.Equal(s.countAdmitted("b", time.Second), 0)
}
