package promptcache

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/placement"
)

// Placement is the usable upstreams of a service, prepared for rendezvous hashing. It is immutable.
type Placement struct {
	zones []zoneMembers
	size  int
}

// zoneMembers are the upstreams in an availability zone.
type zoneMembers struct {
	name string
	// weight is proportional to the fraction of prompts for which an upstream in the zone has the highest score.
	weight  float64
	members []member
}

// member is an upstream and the hash of its ID.
type member struct {
	id   string
	hash uint64
}

// Add adds an upstream to a placement that is being built.
func (p *Placement) Add(id, zone string, weight float64) {
	i := slices.IndexFunc(p.zones, func(z zoneMembers) bool { return z.name == zone })
	if i < 0 {
		i = len(p.zones)
		p.zones = append(p.zones, zoneMembers{name: zone, weight: weight})
	}
	p.zones[i].members = append(p.zones[i].members, member{id, xxhash.Sum64String(id)})
	p.size++
}

// Size returns the number of upstreams.
func (p *Placement) Size() int { return p.size }

// ranked is an upstream with its score for a key.
type ranked struct {
	member
	zone  string
	score float64
}

// top returns the count upstreams with the highest scores for a key by weighted rendezvous hashing, the highest first.
// Within a zone the weights are equal, so that the order of the hashes is that of the scores: only the highest hashes of
// each zone are converted to scores.
func (p *Placement) top(key uint64, count int) []ranked {
	out := make([]ranked, 0, count*len(p.zones))
	highest := make([]ranked, 0, count)
	for i := range p.zones {
		z := &p.zones[i]
		highest = highest[:0]
		for _, m := range z.members {
			highest = insert(highest, ranked{member: member{m.id, mix(key, m.hash)}, zone: z.name}, count)
		}
		for _, r := range highest {
			r.score = placement.Score(r.hash, z.weight)
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return out[:min(len(out), count)]
}

// insert inserts an upstream into a list of at most limit upstreams that is ordered by hash, the highest first.
func insert(list []ranked, r ranked, limit int) []ranked {
	if len(list) == limit {
		if list[limit-1].hash >= r.hash {
			return list
		}
		list = list[:limit-1]
	}
	i := len(list)
	list = append(list, r)
	for ; i > 0 && list[i-1].hash < r.hash; i-- {
		list[i] = list[i-1]
	}
	list[i] = r
	return list
}
