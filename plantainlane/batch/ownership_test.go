package batch

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// run runs a job at an instance.
func (n *network) run(is *is.I, at string) {
	is.Helper()
	is.Equal(n.dispatchers[at].Run(context.Background(), "encode", testJob("r")).Reason, Reason(""))
}

// ownerAt returns the owner of the queue as an instance sees it.
func (n *network) ownerAt(id string) string {
	d := n.dispatchers[id]
	return d.ownerAmong(queueID{service: "encode"}, d.members())
}

// TestQueueReturnsToRestartedInstance guards against a queue that goes back to an instance which was lost, although its
// new owner serves it: each change of owner costs calls.
func TestQueueReturnsToRestartedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newDispatchers(t, &timedExecutor{spec: spec}, "a", "b", "c", "d")
		time.Sleep(claimAfter)
		first := n.ownerAt("a")
		caller := "a"
		if first == caller {
			caller = "b"
		}
		n.run(is, caller)
		n.mu.Lock()
		n.unreachable[first] = true
		n.mu.Unlock()
		n.run(is, caller)
		second := n.ownerAt(caller)
		is.True(second != first)
		// It is back, with what it claimed before.
		n.mu.Lock()
		n.unreachable[first] = false
		n.mu.Unlock()
		for id := range n.dispatchers {
			is.Equal(n.ownerAt(id), second)
			n.run(is, id)
		}
		// It has restarted and claims nothing.
		n.mu.Lock()
		n.owns[first] = ""
		n.mu.Unlock()
		n.run(is, caller)
		is.Equal(n.ownerAt(caller), second)
	})
}

// TestThawedOwnerTakesQueueBack guards against an owner that stood still and claims its queue again before it knows the
// claim of its successor.
func TestThawedOwnerTakesQueueBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newDispatchers(t, &timedExecutor{spec: spec}, "a")
		d := n.dispatchers["a"]
		time.Sleep(claimAfter)
		n.run(is, "a")
		before := ownershipNumber(queueID{service: "encode"}, Member{Owns: n.owns["a"]})
		is.True(before > 0)
		d.stalled(time.Now(), queueID{service: "encode"})
		is.Equal(n.owns["a"], "")
		n.run(is, "a")
		is.Equal(n.owns["a"], "")
		time.Sleep(claimAfter)
		n.run(is, "a")
		is.True(ownershipNumber(queueID{service: "encode"}, Member{Owns: n.owns["a"]}) > before)
	})
}

// TestMalformedClaimOwnsQueue guards against claims that can't be read, and against the loss of names with special
// characters.
func TestMalformedClaimOwnsQueue(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "%", "encode", "encode=x", "encode=-1", "other=3"} {
		is.True(ownershipNumber(queueID{service: "encode"}, Member{Owns: text}) <= 0)
	}
	o := ownerships{"encode": 3, "a=b&c, d": 7}
	for service, number := range o {
		is.Equal(ownershipNumber(queueID{service: service}, Member{Owns: o.String()}), number)
	}
}

// TestOneMachineOwnsAllQueues guards against queues that gather on one machine, and on the one that leads, while others
// own none.
func TestOneMachineOwnsAllQueues(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: "a"}, {ID: "b", BesideLeader: true}, {ID: "c"}, {ID: "d"}}
	owners := make(map[string]int)
	for i, service := range []string{"encode", "retrieve", "rerank"} {
		owner := Owner(service, "", members)
		owners[owner]++
		for j := range members {
			if members[j].ID == owner {
				members[j].Owns = ownerships{service: i + 1}.String()
			}
		}
	}
	is.Equal(owners["b"], 0)
	is.Equal(len(owners), 3)
	// A claim stands wherever the leader goes, and all machines count if there are no others.
	members[0].Owns, members[0].BesideLeader = ownerships{"other": 5}.String(), true
	is.Equal(Owner("other", "", members), "a")
	is.Equal(Owner("other", "", []Member{{ID: "b", BesideLeader: true}}), "b")
}

// TestQueuesGoToInstancesByCapacity guards against owners that get more queues than their share of the capacity, and against
// another owner than before where the capacities are equal or not known.
func TestQueuesGoToInstancesByCapacity(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 4}, {ID: "c", Capacity: 2}, {ID: "d", Capacity: 1}}
	counts := make(map[string]float64)
	const queues = 8000
	for i := range queues {
		counts[Owner(fmt.Sprint("s", i), "", members)]++
	}
	for _, m := range members {
		is.True(math.Abs(counts[m.ID]/queues-m.Capacity/8) < 0.02)
	}
	members[1].Owns = ownerships{"x": 1, "y": 2, "z": 3}.String() // still fewer for its capacity than one queue of a
	is.Equal(len(fewestQueues(members)), 4)
	members[1].Owns = ownerships{"w": 1, "x": 1, "y": 2, "z": 3}.String()
	is.Equal(len(fewestQueues(members)), 3)
	for i := range members {
		members[i].Capacity, members[i].Owns = 0, ""
	}
	for i := range 100 {
		service, best := fmt.Sprint("s", i), members[0].ID
		for _, m := range members {
			if xxhash.Sum64String(service+"\x00"+m.ID) > xxhash.Sum64String(service+"\x00"+best) {
				best = m.ID
			}
		}
		is.Equal(Owner(service, "", members), best)
	}
}
