package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

const (
	// smallSite is the number of instances up to which every instance is connected to every other.
	smallSite = 24
	// zoneNeighbors and farNeighbors are the instances of the same availability zone, and of all, that an
	// instance of a larger site connects to. About as many connect to it.
	zoneNeighbors = 3
	farNeighbors  = 2
)

// isLarge tells whether the site has so many instances that each knows upstreams of other availability zones by
// their changes only.
func (c *Core) isLarge() bool {
	return c.instances.rows.Len() > smallSite
}

// Neighbors returns the instances that this one keeps connections to: all of a small site; of a larger one those
// that follow it in the order of their hashes, in its availability zone and over all, so that every instance is
// reached over a few steps and no instance has many connections.
func (c *Core) Neighbors() []wire.InstanceInfo {
	var all, near []wire.InstanceInfo
	for id, i := range c.instances.rows.All() {
		if id == c.self.ID || i.Silent {
			continue
		}
		all = append(all, i)
		if i.Zone == c.self.Zone {
			near = append(near, i)
		}
	}
	if !c.isLarge() {
		return all
	}
	return append(c.following(near, zoneNeighbors), c.following(all, farNeighbors)...)
}

// following returns the first n instances after this one on the ring of hashes.
func (c *Core) following(list []wire.InstanceInfo, n int) []wire.InstanceInfo {
	own := xxhash.Sum64String(c.self.ID)
	distance := func(i wire.InstanceInfo) uint64 { return xxhash.Sum64String(i.ID) - own }
	slices.SortFunc(list, func(a, b wire.InstanceInfo) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	})
	return list[:min(n, len(list))]
}

// peersIn returns the connected instances of an availability zone, in order of their IDs; of all zones if it is
// empty.
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

// somePeers returns up to n connected instances of an availability zone by chance.
func (c *Core) somePeers(zone string, n int) []string {
	ids := c.peersIn(zone)
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}
