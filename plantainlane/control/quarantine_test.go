package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// guardedCluster is a cluster whose instances have a guard each. The first leads.
type guardedCluster struct {
	*grantCluster
	guards map[string]*quarantine.Guard
	// requests counts the requests, ended the upstreams that ended.
	requests, ended int
}

func newGuardedCluster(ids ...string) *guardedCluster {
	s := &guardedCluster{grantCluster: newGrantCluster(grantContract(50, 100, 50), ids...), guards: make(map[string]*quarantine.Guard)}
	for _, id := range ids {
		s.addGuard(id)
	}
	s.run(2 * time.Second)
	return s
}

// addGuard gives an instance a guard that knows nothing.
func (s *guardedCluster) addGuard(id string) {
	s.guards[id] = quarantine.NewGuard(context.Background(), nil, func() {})
	WithGuard(s.guards[id])(s.cores[id])
}

// request returns a request for a service with parts.
func (s *guardedCluster) request(parts ...string) quarantine.Request {
	s.requests++
	return quarantine.Request{ID: fmt.Sprint("r", s.requests), Service: "s", Workspace: fmt.Sprint("w", s.requests%2), Parts: parts}
}

// end ends an upstream under a request with a part at an instance, beside one that was answered in part. Before, others are
// answered there.
func (s *guardedCluster) end(id string, part string) {
	for n := range 61 {
		s.guards[id].Served(s.now, s.request("first", fmt.Sprint("other", n)))
	}
	s.run(1200 * time.Millisecond)
	s.ended++
	p := quarantine.Process{Upstream: fmt.Sprint("u", s.ended), Incarnation: 1}
	bad, other := s.request("first", part), s.request("first", "other")
	s.guards[id].Ended(s.now, p, bad, quarantine.Send{ID: bad.ID})
	s.guards[id].Ended(s.now, p, other, quarantine.Send{ID: other.ID, Begun: true})
}

// isRefused reports whether an instance refuses requests with a part, in every workspace.
func (s *guardedCluster) isRefused(id, part string) bool {
	for range 2 {
		if s.guards[id].Refusal(s.now, s.request("first", part)) == nil {
			return false
		}
	}
	return true
}

// settle lets the instances exchange what they know, while sound requests are answered.
func (s *guardedCluster) settle() {
	for range 25 {
		for id := range s.guards {
			s.guards[id].Served(s.now, s.request("first", "other"))
		}
		s.run(100 * time.Millisecond)
	}
}

// TestEndsSeenByDifferentInstancesAreNotAddedUp guards against content that no instance refuses because each instance has
// seen only one upstream end under it, or because one frame was lost, whichever it was. An instance that starts later
// refuses it too; no instance refuses requests that share only the first part.
func TestEndsSeenByDifferentInstancesAreNotAddedUp(t *testing.T) {
	for lost := range 12 {
		t.Run(fmt.Sprint("lost-", lost), func(t *testing.T) {
			is := is.New(t)
			s := newGuardedCluster("a", "b", "c", "d", "e")
			n := 0
			s.isLost = func(string, Outbound) bool {
				n++
				return n == 100*lost+1
			}
			for _, id := range []string{"b", "c", "d", "e"} {
				s.end(id, "bad")
			}
			s.settle()
			for id := range s.guards {
				is.True(s.isRefused(id, "bad"))
				is.True(!s.isRefused(id, "other"))
			}
			s.cores["e"] = New(wire.InstanceInfo{ID: "e", Incarnation: 2})
			s.addGuard("e")
			s.step("e", PeerConnected{Info: wire.InstanceInfo{ID: "a"}})
			s.settle()
			is.True(s.isRefused("e", "bad"))
		})
	}
}

// TestQuarantineIsForgottenByNextLeader guards against evidence that is lost with the leader that had it, and against entries
// that aren't in the log.
func TestQuarantineIsForgottenByNextLeader(t *testing.T) {
	is := is.New(t)
	s := newGuardedCluster("a", "b", "c", "d")
	for _, id := range []string{"b", "c"} {
		s.end(id, "bad")
	}
	s.settle()
	s.end("d", "known")
	is.True(!s.isRefused("b", "bad"))
	// The leader starts again, with the state of the log only.
	kept := s.cores["a"].state
	s.cores["a"] = New(wire.InstanceInfo{ID: "a", Incarnation: 2}, WithLog(NewSolo("a", 2), kept, 0))
	s.addGuard("a")
	for _, id := range []string{"b", "c", "d"} {
		s.step("a", PeerConnected{Info: wire.InstanceInfo{ID: id}})
		s.step(id, PeerConnected{Info: wire.InstanceInfo{ID: "a"}})
	}
	s.settle()
	for _, id := range []string{"d", "b"} {
		s.end(id, "bad")
	}
	s.settle()
	is.True(s.isRefused("c", "bad"))

	encoded, err := kept.Encode()
	is.NoErr(err)
	restored, err := state.Decode(encoded)
	is.NoErr(err)
	is.Equal(restored.Quarantine.Len(), kept.Quarantine.Len())
	is.Equal(restored.QuarantineVersion, kept.QuarantineVersion)
	is.True(restored.Quarantine.Len() > 0)
}
