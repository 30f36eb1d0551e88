package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// neighbors returns the number of neighbors of an instance that knows so many others.
func neighbors(others int) int {
	c := New(wire.InstanceInfo{ID: "self", Zone: "zone-0"})
	rows := make([]wire.InstanceInfo, 0, others)
	for i := range others {
		rows = append(rows, wire.InstanceInfo{ID: fmt.Sprint("entry-", i), Zone: fmt.Sprint("zone-", i%4), PeerAddress: "a"})
	}
	c.takeInstances(wire.LeaseAnswer{Term: 1, InstancesVersion: 1, Instances: rows})
	return len(c.Neighbors())
}

// TestSmallSiteIsFullyConnected expects an instance of a site with eighteen instances, ten that serve callers and eight
// that serve control, to hear of a change from any other one.
func TestSmallSiteIsFullyConnected(t *testing.T) {
	is := is.New(t)
	is.Equal(neighbors(17), 17)
	is.True(neighbors(60) <= zoneNeighbors+farNeighbors)
}
