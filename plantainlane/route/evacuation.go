package route

import "time"

// SetEvacuated replaces the set of availability zones whose upstreams are not chosen. Such an upstream is no member of its
// service, so that it doesn't count as capacity; when the evacuation of its zone ends, it comes back in slow start.
func (b *Balancer) SetEvacuated(now time.Time, zones map[string]bool) {
	b.evacuated = zones
	at, batch := b.since(now), edits{}
	for i := range b.index.shards {
		for _, u := range *b.index.shards[i].Load() {
			b.updateEvacuated(at, u, batch)
		}
	}
	b.publish(batch)
	b.markEvacuatedServices()
}

// updateEvacuated makes an upstream follow the evacuation of its zone, and records the changes to pools in batch.
func (b *Balancer) updateEvacuated(now int64, u *upstream, batch edits) {
	info := u.info.Load()
	isEvacuated := b.evacuated[info.zone]
	if isEvacuated == u.evacuated.Load() {
		return
	}
	u.evacuated.Store(isEvacuated)
	u.pace.Store(0) // Review drops old reports of members only
	if u.state.Load() == leaving {
		return
	}
	batch.of(u.service).add(u)
	u.endEjection()
	if isEvacuated {
		delete(u.service.members, info.id)
		return
	}
	u.failureRun.Store(0)
	u.lastProgress.Store(now)
	u.slowStartAt.Store(now)
	u.service.members[info.id] = u
}

// markEvacuatedServices sets service.isEvacuated of all services.
func (b *Balancer) markEvacuatedServices() {
	found := map[*service]bool{}
	if len(b.evacuated) > 0 {
		for i := range b.index.shards {
			for _, u := range *b.index.shards[i].Load() {
				if u.evacuated.Load() && u.state.Load() != leaving {
					found[u.service] = true
				}
			}
		}
	}
	for _, s := range *b.services.Load() {
		s.isEvacuated.Store(found[s] && len(s.members) == 0)
	}
}

// IsEvacuated reports whether a service has upstreams, and all are in evacuated zones. It is as of the last Review or change of
// zones.
func (b *Balancer) IsEvacuated(name string) bool {
	s := b.service(name)
	return s != nil && s.isEvacuated.Load()
}
