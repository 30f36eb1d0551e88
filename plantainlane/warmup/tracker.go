// Package warmup knows which upstreams are cold: for some seconds after their start, or later, they take few requests.
//
// A Tracker learns of warm-ups from announcements, from answers of upstreams, and from the ends of evacuations, after which
// upstreams may have turned cold without having said so yet. It notifies the balancer, and package quota, which keeps the
// requests of all instances to a cold upstream within a limit.
package warmup

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/expiry"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

const (
	// stallTime is the time without Refresh after which the Tracker doesn't know any more which upstreams are warm. Refresh
	// is due each 100 ms. An instance without processor time must not take itself for frozen.
	stallTime = 1500 * time.Millisecond
	// catchUp is the time after a stall in which announcements are received that were sent meanwhile.
	catchUp = 500 * time.Millisecond
	// lateTime is the time after the end of an evacuation in which announcements may be received that were made before it.
	lateTime = 500 * time.Millisecond
)

// Balancer gives cold upstreams little load. It is safe for concurrent use.
type Balancer interface {
	// SetCold records that an incarnation of an upstream is cold until a time, which may be past. It returns false if the
	// incarnation is unknown.
	SetCold(now time.Time, id string, incarnation int, until time.Time) bool
}

// cold is a warm-up of one process of an upstream.
type cold struct {
	peer    quota.Peer
	service string
	until   time.Time
	// notified is the end that the balancer was last notified of; zero if there was none. isLogged is set once the begin was logged.
	notified time.Time
	isLogged bool
}

// Tracker holds the warm-ups that one instance knows. Refresh must be called by one goroutine only; all other methods are
// safe for concurrent use.
type Tracker struct {
	// ended returns when the last evacuation of a zone ended; zero if there was none.
	ended    func(zone string) time.Time
	balancer Balancer
	// services holds the services with a warm-up; nil while there are none.
	services atomic.Pointer[map[string]site.Warmup]

	mu sync.RWMutex
	// cold holds the upstreams in warm-up by ID. byAddress holds the same by address, for requests to whatever process
	// has it.
	cold      map[string]*cold
	byAddress map[string]*cold
	// rows holds the known upstreams as of the last Refresh, zones the zones that they have been in.
	rows  roster.View
	zones map[string]bool
	// refreshedAt is when Refresh was last called, distrustUntil until when it isn't known which upstreams are warm.
	refreshedAt, distrustUntil time.Time
	stats                      Stats
}

// Stats are counters of warm-ups.
type Stats struct {
	// Cold is the number of upstreams in warm-up.
	Cold int `json:"cold"`
	// Begun and Ended count the warm-ups since the start of the instance.
	Begun int64 `json:"begun"`
	Ended int64 `json:"ended"`
}

// New returns a Tracker without warm-ups. ended returns when the last evacuation of a zone ended, as known to this
// instance, the zero time if there was none; it may be nil.
func New(now time.Time, b Balancer, ended func(zone string) time.Time) *Tracker {
	if ended == nil {
		ended = func(string) time.Time { return time.Time{} }
	}
	return &Tracker{
		ended: ended, balancer: b, refreshedAt: now, cold: make(map[string]*cold), byAddress: make(map[string]*cold),
		zones: make(map[string]bool),
	}
}

// SetServices replaces the services of the configuration in force.
func (t *Tracker) SetServices(services map[string]*site.Service) {
	warmups := make(map[string]site.Warmup)
	for name, s := range services {
		if s.Warmup != (site.Warmup{}) {
			warmups[name] = s.Warmup
		}
	}
	t.services.Store(&warmups)
}

// warmupOf returns the warm-up of a service; the zero value if it has none.
func (t *Tracker) warmupOf(service string) site.Warmup {
	if s := t.services.Load(); s != nil {
		return (*s)[service]
	}
	return site.Warmup{}
}

// Refresh records what has become known up to now: the newest announcements and the upstreams that are gone. rows holds all
// upstreams.
func (t *Tracker) Refresh(now time.Time, announced []wire.Announcement, gone []string, rows roster.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if expiry.IsPast(now, t.refreshedAt.Add(stallTime)) {
		t.distrustUntil = now.Add(catchUp)
	}
	t.refreshedAt, t.rows = now, rows
	for _, a := range announced {
		t.announced(now, a)
	}
	for _, id := range gone {
		t.remove(id)
	}
	t.endEvacuations(now)
	t.notifyBalancer(now)
}

// announced records an announcement. t.mu must be held.
func (t *Tracker) announced(now time.Time, a wire.Announcement) {
	t.zones[a.Zone] = true
	c := t.cold[a.ID]
	peer := quota.Peer{Address: a.Address, ID: a.ID, Incarnation: a.Incarnation}
	if c != nil && c.peer != peer {
		t.remove(a.ID)
		c = nil
	}
	until := now.Add(time.Duration(a.WarmupLeftMs) * time.Millisecond)
	switch {
	case c == nil && a.WarmupLeftMs > 0:
		t.add(&cold{peer: peer, service: a.Service, until: until})
	case c != nil && (a.WarmupLeftMs > 0 || !now.Before(t.ended(a.Zone).Add(lateTime))):
		c.until = until
	}
}

// endEvacuations records that the upstreams of zones whose evacuations have ended may be cold. t.mu must be held.
func (t *Tracker) endEvacuations(now time.Time) {
	services := t.services.Load()
	if services == nil || len(*services) == 0 {
		return
	}
	longest := time.Duration(0)
	for _, w := range *services {
		longest = max(longest, w.Time)
	}
	for zone := range t.zones {
		if end := t.ended(zone); !end.IsZero() && now.Before(end.Add(longest)) {
			t.endEvacuation(now, zone, end, *services)
		}
	}
}

// endEvacuation does so for a zone whose evacuation ended recently. t.mu must be held.
func (t *Tracker) endEvacuation(now time.Time, zone string, end time.Time, services map[string]site.Warmup) {
	for _, row := range t.rows.Rows.All() {
		a := row.Announcement
		until := end.Add(services[a.Service].Time)
		// Announcements that were received with the news of the end may have been made before it.
		if a.Zone != zone || row.Expired || !now.Before(until) || row.HeardAt().After(end.Add(lateTime)) {
			continue
		}
		if c := t.cold[a.ID]; c == nil {
			peer := quota.Peer{Address: a.Address, ID: a.ID, Incarnation: a.Incarnation}
			t.add(&cold{peer: peer, service: a.Service, until: until})
		} else if c.until.Before(until) {
			c.until = until
		}
	}
}

// add adds a warm-up. t.mu must be held.
func (t *Tracker) add(c *cold) {
	t.cold[c.peer.ID], t.byAddress[c.peer.Address] = c, c
}

// remove removes the warm-up of an upstream. t.mu must be held.
func (t *Tracker) remove(id string) {
	c := t.cold[id]
	if c == nil {
		return
	}
	delete(t.cold, id)
	if t.byAddress[c.peer.Address] == c {
		delete(t.byAddress, c.peer.Address)
	}
}

// notifyBalancer passes changed ends to the balancer, logs the begin and the end of warm-ups, and forgets those that have
// ended. t.mu
// must be held.
func (t *Tracker) notifyBalancer(now time.Time) {
	for id, c := range t.cold {
		w := t.warmupOf(c.service)
		if w == (site.Warmup{}) {
			if !now.Before(c.until) {
				t.remove(id)
			}
			continue
		}
		if !c.isLogged {
			c.isLogged = true
			t.stats.Begun++
			klog.InfoS("upstream is cold", "upstream", id, "service", c.service, "address", c.peer.Address,
				"forMs", c.until.Sub(now).Milliseconds(), "perSecond", w.PerSecond)
		}
		// A new upstream becomes known to the balancer after this.
		if !c.notified.Equal(c.until) && t.balancer.SetCold(now, id, c.peer.Incarnation, c.until) {
			c.notified = c.until
		}
		if !now.Before(c.until) {
			t.stats.Ended++
			klog.InfoS("upstream is warm", "upstream", id, "service", c.service, "address", c.peer.Address)
			t.remove(id)
		}
	}
}

// Warmup returns the limit of a peer that is cold, as quota.Warmups states. After the instance stood still, each upstream of
// a service with such a limit counts as cold until announcements have arrived that were sent meanwhile.
func (t *Tracker) Warmup(now time.Time, p quota.Peer) (quota.Warmup, bool) {
	if services := t.services.Load(); services == nil || len(*services) == 0 {
		return quota.Warmup{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	service, until := t.serviceOf(p), t.distrustUntil
	if expiry.IsPast(now, t.refreshedAt.Add(stallTime)) {
		until = now.Add(catchUp)
	}
	c := t.cold[p.ID]
	if p.ID == "" {
		c = t.byAddress[p.Address]
	}
	if c != nil && (p.ID == "" || c.peer.Incarnation == p.Incarnation) {
		service = c.service
		if c.until.After(until) {
			until = c.until
		}
	}
	w := t.warmupOf(service)
	if w.PerSecond <= 0 || !now.Before(until) {
		return quota.Warmup{}, false
	}
	return quota.Warmup{PerSecond: w.PerSecond, Until: until}, true
}

// Observe records that a peer has said in an answer that it is cold until a time. It counts until the next announcement, or
// until then.
func (t *Tracker) Observe(p quota.Peer, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cold[p.ID]
	switch service := t.serviceOf(p); {
	case c != nil && c.peer != p || c == nil && service == "":
	case c == nil:
		t.add(&cold{peer: p, service: service, until: until})
	case until.After(c.until):
		c.until = until
	}
}

// serviceOf returns the service of a peer; empty if it is unknown. t.mu must be held.
func (t *Tracker) serviceOf(p quota.Peer) string {
	row, ok := t.rows.Rows.Get(p.ID)
	if !ok || row.Announcement.Incarnation != p.Incarnation {
		return ""
	}
	return row.Announcement.Service
}

// Stats returns the counters.
func (t *Tracker) Stats() Stats {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.stats
	s.Cold = len(t.cold)
	return s
}
