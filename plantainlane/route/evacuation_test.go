package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pickedZones returns the zones of the upstreams that are chosen for 60 calls, which prefer zone a and end at once.
func pickedZones(b *Balancer, now time.Time) map[string]int {
	zones := map[string]int{}
	q := Query{Service: "encode", Preferred: []string{"a-000"}, PreferredSlack: 5, Hints: []Hint{{Upstream: "a-001", Share: 1}}}
	for range 60 {
		target, _ := b.Pick(now, q)
		zones[target.Zone]++
		target.Done(now, Outcome{Latency: time.Millisecond})
	}
	return zones
}

// TestUpstreamOfEvacuatedZoneIsChosen guards against upstreams of an evacuated zone that are chosen or count as capacity: preferred or
// hinted ones, those that announce themselves or change meanwhile, and those that failed. Once the evacuation has ended they come back.
func TestUpstreamOfEvacuatedZoneIsChosen(t *testing.T) {
	is := is.New(t)
	b := newBalancer(append(announcements(3, "a", 10), announcements(3, "b", 10)...)...)
	now := afterSlowStart
	b.SetEvacuated(now, map[string]bool{"a": true})
	update, moved := announcement("a-002", "a", 10), announcement("b-002", "a", 10)
	update.Sequence, update.Models, moved.Sequence = 2, []string{"m@1"}, 2
	b.Apply(now, announcement("a-new", "a", 10), update, moved)
	recordFailures(b, "a-001", now, 50)
	b.Review(now)
	is.Equal(pickedZones(b, now), map[string]int{"b": 60})
	is.Equal(b.ServiceCapacity("encode").Capacity, 20.0)
	b.SetEvacuated(now, nil)
	b.Review(now)
	is.True(pickedZones(b, now)["a"] > 0)
	is.Equal(b.ServiceCapacity("encode").Capacity, 70.0)
}

// TestServiceInEvacuatedZonesWaits guards against a service whose upstreams are all in evacuated zones and that isn't told from one that
// is just busy, and against one that counts as such though it has other upstreams again, or none.
func TestServiceInEvacuatedZonesWaits(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(1, "a", 10)...)
	b.SetEvacuated(epoch, map[string]bool{"a": true})
	is.True(b.IsEvacuated("encode"))
	b.Apply(epoch, announcement("b", "b", 10))
	is.True(!b.IsEvacuated("encode"))
	b.Remove("b")
	b.Review(epoch)
	is.True(b.IsEvacuated("encode"))
	b.Remove("a-000")
	b.Review(epoch)
	is.True(!b.IsEvacuated("encode"))
}
