package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// neighborCount returns the number of neighbors of an instance that knows the given number of other instances.
func neighborCount(others int) int {
	c := New(wire.InstanceInfo{ID: "self", Zone: "zone-0"})
	rows := make([]wire.InstanceInfo, 0, others)
	for i := range others {
		rows = append(rows, wire.InstanceInfo{ID: fmt.Sprint("entry-", i), Zone: fmt.Sprint("zone-", i%4), PeerAddress: "a"})
	}
	c.mergeInstances(wire.LeaseAnswer{Term: 1, InstancesVersion: 1, Instances: rows})
	return len(c.Neighbors())
}

// TestSmallRegionIsFullyConnected guards against slow propagation of changes in a small region. In a region of
// eighteen instances, ten that serve callers and eight that serve control, each instance connects to all others and
// so receives changes from them directly. In a larger region the number of connections is bounded.
func TestSmallRegionIsFullyConnected(t *testing.T) {
	is := is.New(t)
	is.Equal(neighborCount(17), 17)
	is.True(neighborCount(60) <= zoneNeighbors+anyZoneNeighbors)
}
