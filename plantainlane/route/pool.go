package route

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync/atomic"

	"plantainlane/wire"
)

const (
	tierZone = iota
	tierRegion
	tierElsewhere
	tiers
)

// pool is the upstreams of a service that serve one model, by nearness. A published pool is never changed.
type pool struct {
	tiers [tiers][]*upstream
}

func (p *pool) size() int {
	n := 0
	for _, tier := range p.tiers {
		n += len(tier)
	}
	return n
}

// service is the published view of one service's upstreams.
type service struct {
	name string
	// pools by model, both as name@version and as bare name; "" holds all upstreams.
	pools   atomic.Pointer[map[string]*pool]
	policy  atomic.Pointer[wire.UpstreamPolicy]
	size    atomic.Int32
	ejected atomic.Int32
	turn    atomic.Uint64
	room    atomic.Pointer[ServiceCapacity]
	streaks atomic.Pointer[streaks]
	// ended and failed are the recent calls of all members; Review alone uses them.
	ended, failed float64
	// members of the service by ID; used by the goroutine that applies announcements alone.
	members map[string]*upstream
}

func newService(name string) *service {
	s := &service{name: name, members: map[string]*upstream{}}
	s.pools.Store(&map[string]*pool{})
	s.streaks.Store(&streaks{})
	return s
}

func (s *service) pool(model string) *pool {
	return (*s.pools.Load())[model]
}

// poolNames lists the pools that an upstream belongs to.
func poolNames(models []string) []string {
	names := []string{""}
	for _, m := range models {
		names = append(names, m)
		if bare := bareName(m); bare != m {
			names = append(names, bare)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// edit collects the upstreams that a batch changes, so that it copies each pool once.
type edit struct {
	touched []*upstream
	seen    map[*upstream]bool
	dirty   map[string]bool
}

func newEdit() *edit {
	return &edit{seen: map[*upstream]bool{}, dirty: map[string]bool{}}
}

// touch notes that the upstream leaves the pools of its current row or joins them.
func (e *edit) touch(u *upstream) {
	if !e.seen[u] {
		e.seen[u] = true
		e.touched = append(e.touched, u)
	}
	for _, name := range poolNames(u.info.Load().row.Models) {
		e.dirty[name] = true
	}
}

func (s *service) publish(e *edit, tierOf func(wire.Announcement) int) {
	pools := maps.Clone(*s.pools.Load())
	for name := range e.dirty {
		pools[name] = &pool{}
		if old := (*s.pools.Load())[name]; old != nil {
			for i, tier := range old.tiers {
				pools[name].tiers[i] = without(tier, e.seen)
			}
		}
	}
	for _, u := range e.touched {
		row := u.info.Load().row
		if s.members[row.ID] != u {
			continue
		}
		i := tierOf(row)
		for _, name := range poolNames(row.Models) {
			pools[name].tiers[i] = append(pools[name].tiers[i], u)
		}
	}
	maps.DeleteFunc(pools, func(_ string, p *pool) bool { return p.size() == 0 })
	s.pools.Store(&pools)
	s.size.Store(int32(len(s.members)))
}

func without(list []*upstream, gone map[*upstream]bool) []*upstream {
	kept := make([]*upstream, 0, len(list)+1)
	for _, u := range list {
		if !gone[u] {
			kept = append(kept, u)
		}
	}
	return kept
}

const indexShards = 256

// index finds upstreams by ID without a lock; a change copies one shard.
type index struct {
	seed   maphash.Seed
	shards [indexShards]atomic.Pointer[map[string]*upstream]
}

func newIndex() *index {
	x := &index{seed: maphash.MakeSeed()}
	for i := range x.shards {
		x.shards[i].Store(&map[string]*upstream{})
	}
	return x
}

func (x *index) shard(id string) *atomic.Pointer[map[string]*upstream] {
	return &x.shards[maphash.String(x.seed, id)%indexShards]
}

func (x *index) get(id string) *upstream {
	return (*x.shard(id).Load())[id]
}

func (x *index) set(id string, u *upstream) {
	shard := x.shard(id)
	next := maps.Clone(*shard.Load())
	next[id] = u
	shard.Store(&next)
}

func (x *index) remove(id string) {
	shard := x.shard(id)
	next := maps.Clone(*shard.Load())
	delete(next, id)
	shard.Store(&next)
}
