package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

const (
	// maxFullMesh is the number of instances up to which every instance connects to every other.
	maxFullMesh = 24
	// zoneNeighbors is the number of instances in its own availability zone, and anyZoneNeighbors the number of
	// instances in any zone, to which an instance of a larger region connects. On average, as many
	// instances connect to each instance.
	zoneNeighbors    = 3
	anyZoneNeighbors = 2
)

// isLarge reports whether the region has more than maxFullMesh instances. In a large region instances don't connect
// to all others, and receive no renewals of upstreams in other availability zones, only changes.
func (c *Core) isLarge() bool {
	return c.instances.rows.Len() > maxFullMesh
}

// Neighbors returns the instances to which this instance keeps connections, without silent ones. In a small region
// these are all other instances. In a large region these are the instances after this one on a ring ordered by the
// hashes of the instance IDs: zoneNeighbors of the same availability zone and anyZoneNeighbors of all zones. Every
// instance can then be reached in a few steps, and no instance has many connections.
func (c *Core) Neighbors() []wire.InstanceInfo {
	var all, sameZone []wire.InstanceInfo
	for id, i := range c.instances.rows.All() {
		if id == c.self.ID || i.Silent {
			continue
		}
		all = append(all, i)
		if i.Zone == c.self.Zone {
			sameZone = append(sameZone, i)
		}
	}
	if !c.isLarge() {
		return all
	}
	return append(c.successors(sameZone, zoneNeighbors), c.successors(all, anyZoneNeighbors)...)
}

// successors returns the first n instances of list after this instance on the ring of hashes. It sorts list.
func (c *Core) successors(list []wire.InstanceInfo, n int) []wire.InstanceInfo {
	own := xxhash.Sum64String(c.self.ID)
	// The subtraction wraps around at the end of the ring.
	distance := func(i wire.InstanceInfo) uint64 { return xxhash.Sum64String(i.ID) - own }
	slices.SortFunc(list, func(a, b wire.InstanceInfo) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	})
	return list[:min(n, len(list))]
}

// peersIn returns the IDs of the connected instances in an availability zone, or in all zones if zone is empty. The
// IDs are sorted.
func (c *Core) peersIn(zone string) []string {
	var ids []string
	for id, i := range c.peers {
		if zone == "" || i.Zone == zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// randomPeers returns the IDs of up to n random connected instances in an availability zone, or in all zones if zone
// is empty.
func (c *Core) randomPeers(zone string, n int) []string {
	ids := c.peersIn(zone)
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}
