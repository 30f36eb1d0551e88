package route

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

// Balancer chooses upstreams. Apply, Remove, SetPolicies, SetEvacuated and Review must be called by one goroutine
// only. Pick, ServiceCapacity, Ejected, IsEvacuated, Target.Done and Target.Progressed may be called concurrently by any goroutine.
type Balancer struct {
	region string
	zone   string
	// start is the origin of the times of upstreams, which are in nanoseconds since start.
	start      time.Time
	random     func() uint64
	roundRobin bool
	// services holds the services by name. The map is never changed once published.
	services atomic.Pointer[map[string]*service]
	// index holds the known upstreams of all services, including those that are leaving.
	index *shardedIndex
	// evacuated holds the availability zones whose upstreams are not chosen, as a set.
	evacuated map[string]bool
}

// Option changes how a Balancer is built.
type Option func(*Balancer)

// WithRandom sets the source of random numbers. It must be safe for concurrent use if Pick is called
// concurrently.
func WithRandom(next func() uint64) Option {
	return func(b *Balancer) { b.random = next }
}

// WithRoundRobin makes Pick choose upstreams in turn, whatever their load, latency, failures or zone. It is the
// baseline that the default choice is compared with.
func WithRoundRobin() Option {
	return func(b *Balancer) { b.roundRobin = true }
}

// New returns a Balancer for an instance in the given region and availability zone.
func New(now time.Time, region, zone string, options ...Option) *Balancer {
	// The times of upstreams are relative to start, and 0 means that no time is set. So start is before now.
	b := &Balancer{region: region, zone: zone, start: now.Add(-time.Nanosecond), random: rand.Uint64, index: newIndex()}
	b.services.Store(&map[string]*service{})
	for _, o := range options {
		o(b)
	}
	return b
}

// since converts a time to nanoseconds since the Balancer's start.
func (b *Balancer) since(now time.Time) int64 {
	return int64(now.Sub(b.start))
}

// service returns the service of that name; nil if it is unknown.
func (b *Balancer) service(name string) *service {
	return (*b.services.Load())[name]
}

// tierOf returns the tier of an upstream by its region and zone.
func (b *Balancer) tierOf(a wire.Announcement) int {
	switch {
	case a.Region == b.region && a.Zone == b.zone:
		return tierZone
	case a.Region == b.region:
		return tierRegion
	}
	return tierElsewhere
}

// SetPolicies replaces the upstream policies of all services. Services without a policy use DefaultPolicy.
func (b *Balancer) SetPolicies(policies []wire.UpstreamPolicy) {
	named := map[string]bool{}
	for i := range policies {
		p := policies[i]
		named[p.Service] = true
		b.ensureService(p.Service).policy.Store(&p)
	}
	for name, s := range *b.services.Load() {
		if !named[name] {
			s.policy.Store(nil)
		}
	}
}

// ensureService returns the service of that name. It adds the service if it is unknown.
func (b *Balancer) ensureService(name string) *service {
	if s := b.service(name); s != nil {
		return s
	}
	next := maps.Clone(*b.services.Load())
	s := newService(name)
	next[name] = s
	b.services.Store(&next)
	return s
}

// edits holds the changes that a batch of announcements makes to pools, by service.
type edits map[*service]*edit

// of returns the edit of a service. It adds an empty edit if the service has none.
func (e edits) of(s *service) *edit {
	if e[s] == nil {
		e[s] = newEdit()
	}
	return e[s]
}

// Apply adds and updates upstreams by their announcements. An announcement whose (incarnation, sequence) is not newer
// than that of the known announcement is ignored, unless it has the same incarnation and another service: then it
// replaces the upstream. An announcement that leaves models, zone, region and leaving as they are, such as a load
// report, copies no pool.
func (b *Balancer) Apply(now time.Time, list ...wire.Announcement) {
	at := b.since(now)
	batch := edits{}
	for _, a := range list {
		b.applyAnnouncement(at, a, batch)
	}
	b.publish(batch)
}

// applyAnnouncement applies one announcement and records the changes to pools in batch.
func (b *Balancer) applyAnnouncement(now int64, a wire.Announcement, batch edits) {
	u := b.index.get(a.ID)
	if u == nil {
		b.insert(now, a, batch)
		return
	}
	old := u.info.Load().announcement
	switch {
	case a.Incarnation > old.Incarnation, a.Incarnation == old.Incarnation && a.Service != old.Service:
		b.drop(u, batch)
		b.insert(now, a, batch)
	case a.Incarnation == old.Incarnation && a.Sequence > old.Sequence:
		b.update(now, u, old, a, batch)
	}
}

// insert adds an upstream whose ID is unknown. One that is leaving or in an evacuated zone is only indexed, not made a member of
// its service.
func (b *Balancer) insert(now int64, a wire.Announcement, batch edits) {
	s := b.ensureService(a.Service)
	u := newUpstream(s, a, now)
	u.evacuated.Store(b.evacuated[a.Zone])
	b.index.set(a.ID, u)
	if a.Leaving || u.evacuated.Load() {
		return
	}
	s.members[a.ID] = u
	batch.of(s).add(u)
}

// update updates an upstream by a newer announcement of the same incarnation. A leaving upstream stays leaving. If the
// pools change, update records both those of the old announcement and those of the new one in batch.
func (b *Balancer) update(now int64, u *upstream, old, a wire.Announcement, batch edits) {
	u.observeLoad(now, a.Load)
	a.Leaving = a.Leaving || old.Leaving
	if old.Leaving || samePools(old, a) {
		u.setAnnouncement(a)
		return
	}
	batch.of(u.service).add(u)
	u.setAnnouncement(a)
	if a.Leaving {
		b.markLeaving(u)
		return
	}
	b.updateEvacuated(now, u, batch)
	batch.of(u.service).add(u)
}

// samePools reports whether both announcements put the upstream into the same pools and tier.
func samePools(a, b wire.Announcement) bool {
	return a.Leaving == b.Leaving && a.Zone == b.Zone && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}

// markLeaving marks the upstream as leaving and removes it from the members of its service, but not from the index. The
// index entry keeps a delayed announcement of the same incarnation from making the upstream accept work again.
func (b *Balancer) markLeaving(u *upstream) {
	u.state.Store(leaving)
	u.endEjection()
	delete(u.service.members, u.info.Load().id)
}

// drop removes the upstream from its service and from the index.
func (b *Balancer) drop(u *upstream, batch edits) {
	if u.state.Load() != leaving {
		batch.of(u.service).add(u)
		b.markLeaving(u)
	}
	b.index.remove(u.info.Load().id)
}

// Remove removes upstreams whose announcements have expired. Unknown IDs are ignored.
func (b *Balancer) Remove(ids ...string) {
	batch := edits{}
	for _, id := range ids {
		if u := b.index.get(id); u != nil {
			b.drop(u, batch)
		}
	}
	b.publish(batch)
}

// publish publishes the pools that batch changes.
func (b *Balancer) publish(batch edits) {
	for s, e := range batch {
		s.publish(e, b.tierOf)
		if len(s.members) > 0 {
			s.isEvacuated.Store(false)
		}
	}
}

// ServiceCapacity is the capacity of a service's upstreams and their load by other instances, as known to this
// instance.
type ServiceCapacity struct {
	// Capacity is the number of calls that the upstreams which are not ejected can run concurrently.
	Capacity float64
	// OtherLoad is the load on these upstreams, in calls, that this instance did not cause.
	OtherLoad float64
}

// ServiceCapacity returns the capacity of a service as of the last Review; zero if the service is unknown.
func (b *Balancer) ServiceCapacity(name string) ServiceCapacity {
	if s := b.service(name); s != nil {
		if c := s.capacity.Load(); c != nil {
			return *c
		}
	}
	return ServiceCapacity{}
}

// measureCapacity sums up the capacity and the other load of the upstreams that are not ejected.
func (s *service) measureCapacity() ServiceCapacity {
	var c ServiceCapacity
	for _, u := range s.members {
		if u.ejectedUntil.Load() == 0 {
			c.Capacity += float64(u.capacity.Load())
			c.OtherLoad += float64(math.Float32frombits(u.otherLoad.Load()))
		}
	}
	c.OtherLoad = max(c.OtherLoad, 0)
	return c
}
