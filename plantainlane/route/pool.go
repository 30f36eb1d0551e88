package route

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync/atomic"

	"plantainlane/wire"
)

// The tiers of a pool, from the nearest to the farthest.
const (
	// tierZone is for upstreams in this instance's availability zone.
	tierZone = iota
	// tierRegion is for upstreams in other zones of this instance's region.
	tierRegion
	// tierElsewhere is for upstreams in other regions.
	tierElsewhere
	tierCount
)

// pool holds the upstreams of a service that serve one model, by tier. A published pool is never changed.
type pool struct {
	tiers [tierCount][]*upstream
}

func (p *pool) size() int {
	n := 0
	for _, tier := range p.tiers {
		n += len(tier)
	}
	return n
}

// service holds the upstreams of one service, their policy, and the state they have in common.
type service struct {
	name string
	// pools holds the pools by model, both as name@version and as name without version. The pool "" holds all
	// upstreams.
	pools atomic.Pointer[map[string]*pool]
	// policy is the service's upstream policy; nil if it has none.
	policy atomic.Pointer[wire.UpstreamPolicy]
	// memberCount is the size of members when the pools were last published.
	memberCount atomic.Int32
	// ejectedCount is the number of ejected members.
	ejectedCount atomic.Int32
	// roundRobinCount is the number of upstreams that nextRoundRobin has looked at.
	roundRobinCount atomic.Uint64
	// capacity is the capacity as of the last Review; nil before the first.
	capacity atomic.Pointer[ServiceCapacity]
	// runLimits holds the limits as of the last Review; zero limits before the first.
	runLimits atomic.Pointer[runLimits]
	// reportsPace is set once an upstream has reported a pace.
	reportsPace atomic.Bool
	// recentCalls counts the recent calls to all members, recentFailures those that failed. Older calls count for less,
	// see recentCallsRetained. Only Review uses these fields.
	recentCalls, recentFailures float64
	// isEvacuated is set if the service has upstreams, and all are in evacuated zones.
	isEvacuated atomic.Bool
	// members holds the upstreams that are neither leaving nor in an evacuated zone, by ID. Only the goroutine that applies
	// announcements uses it.
	members map[string]*upstream
}

func newService(name string) *service {
	s := &service{name: name, members: map[string]*upstream{}}
	s.pools.Store(&map[string]*pool{})
	s.runLimits.Store(&runLimits{})
	return s
}

// pool returns the upstreams that serve the model; nil if there is none.
func (s *service) pool(model string) *pool {
	return (*s.pools.Load())[model]
}

// poolNames returns the names of the pools that an upstream with these models belongs to, sorted.
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

// edit collects the changes that a batch of announcements makes to a service, so that each pool is copied only once.
type edit struct {
	// changed lists the upstreams that join, leave or change pools, each once.
	changed []*upstream
	// isChanged holds the members of changed as a set.
	isChanged map[*upstream]bool
	// changedPools holds the names of the pools that the upstreams in changed leave or join, as a set.
	changedPools map[string]bool
}

func newEdit() *edit {
	return &edit{isChanged: map[*upstream]bool{}, changedPools: map[string]bool{}}
}

// add records that the upstream leaves or joins the pools of its current announcement.
func (e *edit) add(u *upstream) {
	if !e.isChanged[u] {
		e.isChanged[u] = true
		e.changed = append(e.changed, u)
	}
	for _, name := range poolNames(u.info.Load().announcement.Models) {
		e.changedPools[name] = true
	}
}

// publish replaces the pools that the edit changes. Upstreams that are no longer members are left out.
func (s *service) publish(e *edit, tierOf func(wire.Announcement) int) {
	pools := maps.Clone(*s.pools.Load())
	for name := range e.changedPools {
		pools[name] = &pool{}
		if previous := (*s.pools.Load())[name]; previous != nil {
			for i, tier := range previous.tiers {
				pools[name].tiers[i] = without(tier, e.isChanged)
			}
		}
	}
	for _, u := range e.changed {
		a := u.info.Load().announcement
		if s.members[a.ID] != u {
			continue
		}
		i := tierOf(a)
		for _, name := range poolNames(a.Models) {
			pools[name].tiers[i] = append(pools[name].tiers[i], u)
		}
	}
	maps.DeleteFunc(pools, func(_ string, p *pool) bool { return p.size() == 0 })
	s.pools.Store(&pools)
	s.memberCount.Store(int32(len(s.members)))
}

// without returns a copy of the list without the removed upstreams, allocated with space for one more.
func without(list []*upstream, removed map[*upstream]bool) []*upstream {
	kept := make([]*upstream, 0, len(list)+1)
	for _, u := range list {
		if !removed[u] {
			kept = append(kept, u)
		}
	}
	return kept
}

// indexShards is the number of maps that an index is divided into. More shards make each copy smaller.
const indexShards = 256

// shardedIndex finds upstreams by ID without a lock. Each change copies one shard. Only one goroutine may change it.
type shardedIndex struct {
	seed   maphash.Seed
	shards [indexShards]atomic.Pointer[map[string]*upstream]
}

func newIndex() *shardedIndex {
	x := &shardedIndex{seed: maphash.MakeSeed()}
	for i := range x.shards {
		x.shards[i].Store(&map[string]*upstream{})
	}
	return x
}

func (x *shardedIndex) shard(id string) *atomic.Pointer[map[string]*upstream] {
	return &x.shards[maphash.String(x.seed, id)%indexShards]
}

func (x *shardedIndex) get(id string) *upstream {
	return (*x.shard(id).Load())[id]
}

func (x *shardedIndex) set(id string, u *upstream) {
	shard := x.shard(id)
	next := maps.Clone(*shard.Load())
	next[id] = u
	shard.Store(&next)
}

func (x *shardedIndex) remove(id string) {
	shard := x.shard(id)
	next := maps.Clone(*shard.Load())
	delete(next, id)
	shard.Store(&next)
}
