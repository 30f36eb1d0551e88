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

// Balancer chooses upstreams. Apply, Remove, SetPolicies and Review belong to one goroutine; Pick,
// Room, Target.Done and Ejected may be called from any.
type Balancer struct {
	region     string
	zone       string
	start      time.Time
	random     func() uint64
	roundRobin bool
	services   atomic.Pointer[map[string]*service]
	index      *index
}

// Option changes how a Balancer is built.
type Option func(*Balancer)

// WithRandom sets the source of random numbers. It must be safe for concurrent use if Pick is called
// concurrently.
func WithRandom(next func() uint64) Option {
	return func(b *Balancer) { b.random = next }
}

// WithRoundRobin takes upstreams in turn, whatever their load, latency, failures or zone. It is the baseline
// that the other choice is measured against.
func WithRoundRobin() Option {
	return func(b *Balancer) { b.roundRobin = true }
}

// New returns a Balancer for an instance in the given region and availability zone.
func New(now time.Time, region, zone string, options ...Option) *Balancer {
	// An upstream seen in the first instant must not read as one that has no time set.
	b := &Balancer{region: region, zone: zone, start: now.Add(-time.Nanosecond), random: rand.Uint64, index: newIndex()}
	b.services.Store(&map[string]*service{})
	for _, o := range options {
		o(b)
	}
	return b
}

func (b *Balancer) since(now time.Time) int64 {
	return int64(now.Sub(b.start))
}

func (b *Balancer) service(name string) *service {
	return (*b.services.Load())[name]
}

func (b *Balancer) tierOf(row wire.Announcement) int {
	switch {
	case row.Region == b.region && row.Zone == b.zone:
		return tierZone
	case row.Region == b.region:
		return tierRegion
	}
	return tierElsewhere
}

// SetPolicies replaces the upstream policies. Services without one use DefaultPolicy.
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

// edits are the pool changes of a batch, by service.
type edits map[*service]*edit

func (e edits) of(s *service) *edit {
	if e[s] == nil {
		e[s] = newEdit()
	}
	return e[s]
}

// Apply takes in announcements. An announcement whose (incarnation, sequence) is not newer than the known one
// is ignored. One that only reports load copies nothing.
func (b *Balancer) Apply(now time.Time, rows ...wire.Announcement) {
	at := b.since(now)
	batch := edits{}
	for _, row := range rows {
		b.applyRow(at, row, batch)
	}
	b.publish(batch)
}

func (b *Balancer) applyRow(now int64, row wire.Announcement, batch edits) {
	u := b.index.get(row.ID)
	if u == nil {
		b.insert(now, row, batch)
		return
	}
	old := u.info.Load().row
	switch {
	case row.Incarnation > old.Incarnation, row.Incarnation == old.Incarnation && row.Service != old.Service:
		b.drop(u, batch)
		b.insert(now, row, batch)
	case row.Incarnation == old.Incarnation && row.Sequence > old.Sequence:
		b.renew(u, old, row, batch)
	}
}

func (b *Balancer) insert(now int64, row wire.Announcement, batch edits) {
	s := b.ensureService(row.Service)
	u := newUpstream(s, row, now)
	b.index.set(row.ID, u)
	if row.Leaving {
		return
	}
	s.members[row.ID] = u
	batch.of(s).touch(u)
}

func (b *Balancer) renew(u *upstream, old, row wire.Announcement, batch edits) {
	u.report(row.Load)
	row.Leaving = row.Leaving || old.Leaving
	if old.Leaving || samePools(old, row) {
		u.setRow(row)
		return
	}
	batch.of(u.service).touch(u)
	u.setRow(row)
	if row.Leaving {
		b.leave(u)
		return
	}
	batch.of(u.service).touch(u)
}

func samePools(a, b wire.Announcement) bool {
	return a.Leaving == b.Leaving && a.Zone == b.Zone && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}

// leave takes the upstream out of its service but keeps it known, so that a late announcement can't revive it.
func (b *Balancer) leave(u *upstream) {
	u.state.Store(leaving)
	u.release()
	delete(u.service.members, u.info.Load().id)
}

func (b *Balancer) drop(u *upstream, batch edits) {
	if u.state.Load() != leaving {
		batch.of(u.service).touch(u)
		b.leave(u)
	}
	b.index.remove(u.info.Load().id)
}

// Remove forgets upstreams whose announcement has expired.
func (b *Balancer) Remove(ids ...string) {
	batch := edits{}
	for _, id := range ids {
		if u := b.index.get(id); u != nil {
			b.drop(u, batch)
		}
	}
	b.publish(batch)
}

func (b *Balancer) publish(batch edits) {
	for s, e := range batch {
		s.publish(e, b.tierOf)
	}
}

// ServiceCapacity is what a service's upstreams can take, as far as this instance knows.
type ServiceCapacity struct {
	// Capacity is the number of calls that upstreams which are not ejected work on at once.
	Capacity float64
	// OtherLoad is the load on them that this instance did not cause.
	OtherLoad float64
}

// ServiceCapacity returns the room of a service as of the last Review.
func (b *Balancer) ServiceCapacity(name string) ServiceCapacity {
	if s := b.service(name); s != nil {
		if r := s.room.Load(); r != nil {
			return *r
		}
	}
	return ServiceCapacity{}
}

func (s *service) measureRoom() ServiceCapacity {
	var r ServiceCapacity
	for _, u := range s.members {
		if u.ejectedUntil.Load() == 0 {
			r.Capacity += float64(u.capacity.Load())
			r.OtherLoad += float64(math.Float32frombits(u.others.Load()))
		}
	}
	r.OtherLoad = max(r.OtherLoad, 0)
	return r
}
