package batch

import (
	"math/rand/v2"
	"net/url"
	"time"

	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// queueID names a queue of a service: that of its upstreams in one availability zone, or, without a zone, that of its
// upstreams in all zones that have no queue of their own.
//
// One owner for all upstreams of a service doesn't scale: all jobs of all instances pass through its process. It would also be
// lost, cut off or slow for all of them at once. A zone's queue is owned in the zone, next to most of those who submit to it.
type queueID struct{ service, zone string }

// String returns the name of the queue in claims.
func (q queueID) String() string {
	if q.zone == "" {
		return q.service
	}
	return q.service + zoneSeparator + q.zone
}

// zoneSeparator separates the service from the zone in the name of a queue.
const zoneSeparator = "\x00"

const (
	// zoneUpstreams is the number of upstreams from which a zone has a queue of its own: with fewer, a job would wait for the
	// end of a call of the few that there are, while others are free.
	zoneUpstreams = 6
	// leastZoneUpstreams is the number of upstreams below which a zone's queue ends. Between the two, queues stay as they are.
	leastZoneUpstreams = 3
	// layoutPeriod is how often the queues of a service are derived from its upstreams.
	layoutPeriod = 250 * time.Millisecond
	// spillCost is the wait that another zone's queue must save at least, see sameZoneWaitPerMB.
	spillCost = 150 * time.Millisecond
)

// layout is how the upstreams of a service are divided into queues.
type layout struct {
	// zones holds the zones that have a queue, with the number of their upstreams.
	zones map[string]int
	// others is the number of upstreams in all other zones.
	others int
	// until is when the layout is derived again.
	until time.Time
}

// newLayout derives a layout. claimed tells whether an instance owns the queue of a zone.
func newLayout(upstreams []Upstream, claimed func(zone string) bool) layout {
	l := layout{zones: make(map[string]int)}
	for i := range upstreams {
		if !upstreams[i].Leaving {
			l.zones[upstreams[i].Zone]++
		}
	}
	for zone, n := range l.zones {
		if zone == "" || n < leastZoneUpstreams || n < zoneUpstreams && !claimed(zone) {
			l.others += n
			delete(l.zones, zone)
		}
	}
	return l
}

// zoneOf returns the zone of the queue that serves the upstreams of a zone; empty for the queue of several zones.
func (l *layout) zoneOf(zone string) string {
	if _, ok := l.zones[zone]; ok {
		return zone
	}
	return ""
}

// layoutOf returns the layout of a service.
func (d *Dispatcher) layoutOf(service string, now time.Time) layout {
	d.mu.Lock()
	l, known := d.layouts[service]
	d.mu.Unlock()
	if known && now.Before(l.until) {
		return l
	}
	_, upstreams, _ := d.source(service)()
	claims := make(map[string]bool)
	for _, m := range d.members() {
		if m.Owns == "" {
			continue
		}
		if values, err := url.ParseQuery(m.Owns); err == nil {
			for name := range values {
				claims[name] = true
			}
		}
	}
	l = newLayout(upstreams, func(zone string) bool { return claims[queueID{service, zone}.String()] })
	l.until = now.Add(layoutPeriod)
	d.mu.Lock()
	d.layouts[service] = l
	d.mu.Unlock()
	return l
}

// isLaidOut reports whether a queue serves upstreams in the layout of its service. The queue of several zones always counts.
func (d *Dispatcher) isLaidOut(q queueID) bool {
	l := d.layoutOf(q.service, time.Now())
	return q.zone == "" || l.zones[q.zone] > 0
}

// queueNear returns the queue that serves the upstreams of a service in a zone.
func (d *Dispatcher) queueNear(service, zone string) queueID {
	l := d.layoutOf(service, time.Now())
	return queueID{service, l.zoneOf(zone)}
}

// queueFor returns the queue for a job, see layout.queueFor.
func (d *Dispatcher) queueFor(service string, j *Job, now time.Time) queueID {
	l := d.layoutOf(service, now)
	home := j.Zone
	if home == "" {
		home = d.zone
	}
	near := queueID{service, l.zoneOf(home)}
	w := d.publishedWait(near, now)
	wait := w.OnTime
	if now.After(j.Due) {
		wait = w.All
	}
	return l.queueFor(near, wait, d.detourOf(near, now), crossingWait(j))
}

// detour is the shortest other queue of a service, as the owner of a queue told it.
type detour struct {
	// zone is that of the queue; empty for none.
	zone string
	// wait is how long a job that can still meet its latency target waits there.
	wait time.Duration
	// until is when this becomes too old to be used.
	until time.Time
}

// queueFor returns the queue for a job, given that of its home zone and how long the job would wait there. The detour is taken
// if the job has to wait so much less there that it makes up for the transfer of its inputs, which is worth a wait of crossing.
// If the zone has no upstream, one of the other queues is drawn.
func (l *layout) queueFor(home queueID, wait time.Duration, other detour, crossing time.Duration) queueID {
	if home.zone == "" && l.others == 0 {
		return l.draw(home)
	}
	if l.zones[other.zone] > 0 && other.wait < wait-max(spillCost, crossing) {
		return queueID{home.service, other.zone}
	}
	return home
}

// draw returns the queue of one of the zones, each with the probability of its share of the upstreams; q if there is none.
func (l *layout) draw(q queueID) queueID {
	total := 0
	for zone, n := range l.zones {
		total += n
		if rand.IntN(total) < n {
			q.zone = zone
		}
	}
	return q
}

// shortestOther returns the shortest other queue of a zone of the service. This instance owns q, so that it knows the wait
// times of all long ones. Of those that aren't long, one is drawn.
func (d *Dispatcher) shortestOther(q queueID, now time.Time) detour {
	l := d.layoutOf(q.service, now)
	var best detour
	ties := 0
	for zone := range l.zones {
		if zone == q.zone {
			continue
		}
		wait := d.publishedWait(queueID{q.service, zone}, now).OnTime
		switch {
		case best.zone == "" || wait < best.wait:
			best, ties = detour{zone: zone, wait: wait}, 1
		case wait == best.wait:
			if ties++; rand.IntN(ties) == 0 {
				best.zone = zone
			}
		}
	}
	return best
}

// recordAnswer records what the answer to a job in a queue says about wait times.
func (d *Dispatcher) recordAnswer(q queueID, a *wire.PieceAnswer) {
	d.recordWaitTimes(q, WaitTimes{
		OnTime: time.Duration(a.WaitMs) * time.Millisecond, All: time.Duration(a.AllMs) * time.Millisecond,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detours[q] = detour{
		zone: a.OtherZone, wait: time.Duration(a.OtherWaitMs) * time.Millisecond, until: time.Now().Add(waitTimesValid),
	}
}

// detourOf returns what the owner of a queue last told of others.
func (d *Dispatcher) detourOf(q queueID, now time.Time) detour {
	d.mu.Lock()
	defer d.mu.Unlock()
	other := d.detours[q]
	if now.After(other.until) {
		return detour{}
	}
	return other
}

// crossingWait is how long a job waits for an upstream in its preferred zone rather than have its inputs cross zones.
func crossingWait(j *Job) time.Duration {
	return min(time.Duration(float64(j.CrossBytes)/1e6*float64(sameZoneWaitPerMB)), maxSameZoneWait)
}

// upstreamsOf returns the source of a queue: the upstreams of its service that it serves.
func (d *Dispatcher) upstreamsOf(q queueID) Source {
	source := d.source(q.service)
	return func() (spec site.Batch, upstreams []Upstream, ok bool) {
		spec, all, ok := source()
		l := d.layoutOf(q.service, time.Now())
		for _, u := range all {
			if l.zoneOf(u.Zone) == q.zone {
				upstreams = append(upstreams, u)
			}
		}
		return spec, upstreams, ok
	}
}
