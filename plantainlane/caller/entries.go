package caller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/placement"
	"plantainlane/wire"
)

const (
	// minWeight is the weight of a fully loaded instance, before otherZoneWeight applies. It is above 0 so that such an
	// instance still gets callers.
	minWeight = 0.1
	// otherZoneWeight is the weight factor of instances outside the zone that the caller names.
	otherZoneWeight = 0.25
)

// entries answers a query of the instances that callers may use.
func (s *Server) entries(c *echo.Context) error {
	a := Entries(s.Views.View(), c.QueryParam("zone"), time.Now())
	a.KeepForMs = int(s.KeepFor / time.Millisecond)
	return c.JSON(http.StatusOK, a)
}

// Entries returns the instances that callers may use. Instances that are draining, silent, only run control or have no
// address for callers are left out. Without a lease at now, this instance leaves itself out, and also the instances
// that it has no connection to, since the state that the leader reported for them may be out of date. Weights rise with
// capacity, fall with load and are higher for instances in the given zone; an empty zone prefers none.
func Entries(v *control.View, zone string, now time.Time) wire.EntryAnswer {
	leaseHeld := v.LeaseHeld(now)
	var instances []wire.InstanceInfo
	for id, instance := range v.Instances.All() {
		if id == v.Self.ID || (!leaseHeld && !v.Connected[id]) {
			continue
		}
		if instance.CallerAddress != "" && !instance.ControlOnly && !instance.Draining && !instance.Silent {
			instances = append(instances, instance)
		}
	}
	if leaseHeld && !v.Draining && !v.Self.ControlOnly {
		instances = append(instances, v.Self)
	}
	capacities := make([]float64, len(instances))
	for i := range instances {
		capacities[i] = instances[i].Capacity
	}
	a := wire.EntryAnswer{Revision: v.Config.Revision, Entries: make([]wire.EntryAddress, 0, len(instances))}
	for i, capacity := range placement.Relative(capacities) {
		a.Entries = append(a.Entries, entryAddress(instances[i], capacity, zone))
	}
	return a
}

// entryAddress returns the entry of an instance, with a capacity relative to the others, and its weight for callers in a zone.
func entryAddress(instance wire.InstanceInfo, capacity float64, zone string) wire.EntryAddress {
	weight := capacity * max(1-instance.Load, minWeight)
	if zone != "" && zone != instance.Zone {
		weight *= otherZoneWeight
	}
	return wire.EntryAddress{Instance: instance.ID, Address: instance.CallerAddress, Zone: instance.Zone, Region: instance.Region, Weight: weight}
}
