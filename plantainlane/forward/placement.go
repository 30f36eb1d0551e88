package forward

import (
	"sync"
	"time"

	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/plantainlane/table"
)

// listsFor is how long a list of upstreams is used although an upstream has announced itself since. Announcements with
// loads come several times a second, and whether an upstream is usable is checked again when it is chosen.
const listsFor = 200 * time.Millisecond

// placements caches the usable upstreams of each route and service, so that a request doesn't go through all upstreams of
// all services. The zero value is empty. It is safe for concurrent use.
type placements struct {
	mu    sync.Mutex
	site  *site.Site
	lists map[placementKey]*upstreamList
}

type placementKey struct {
	route   *site.Route
	service string
}

// upstreamList is the usable upstreams of a service, with the weights that the stages of a route give their zones. It is
// immutable.
type upstreamList struct {
	rows      table.Table[*roster.Row]
	builtAt   time.Time
	all       []listedUpstream
	placement *promptcache.Placement
}

// listedUpstream is a usable upstream.
type listedUpstream struct {
	id, zone string
	weight   float64
}

// of returns the usable upstreams of a service for the requests of a route.
func (p *placements) of(now time.Time, v roster.View, s *site.Site, r *site.Route, service string) *upstreamList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.site != s {
		p.site, p.lists = s, make(map[placementKey]*upstreamList)
	}
	key := placementKey{r, service}
	l := p.lists[key]
	if l == nil || l.rows != v.Rows && (len(l.all) == 0 || now.Sub(l.builtAt) >= listsFor) {
		l = newUpstreamList(v, service, r.Stages)
		l.builtAt = now
		p.lists[key] = l
	}
	return l
}

func newUpstreamList(v roster.View, service string, stages []site.Stage) *upstreamList {
	l := &upstreamList{rows: v.Rows, placement: &promptcache.Placement{}}
	weights := weightZones(v, stages)
	for id, row := range v.Rows.All() {
		if row.Announcement.Service == service && row.Usable() {
			u := listedUpstream{id: id, zone: row.Announcement.Zone, weight: weights.weight(row.Announcement.Zone)}
			l.all = append(l.all, u)
			l.placement.Add(u.id, u.zone, u.weight)
		}
	}
	return l
}
