package caller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
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
// that it has no connection to, since the state that the leader reported for them may be out of date. Weights fall with
// load and are higher for instances in the given zone; an empty zone prefers none.
func Entries(v *control.View, zone string, now time.Time) wire.EntryAnswer {
	leaseHeld := v.LeaseHeld(now)
	a := wire.EntryAnswer{Revision: v.Config.Revision, Entries: []wire.EntryAddress{}}
	for id, instance := range v.Instances.All() {
		if id == v.Self.ID || (!leaseHeld && !v.Connected[id]) {
			continue
		}
		if instance.CallerAddress != "" && !instance.ControlOnly && !instance.Draining && !instance.Silent {
			a.Entries = append(a.Entries, entryAddress(instance, zone))
		}
	}
	if leaseHeld && !v.Draining && !v.Self.ControlOnly {
		a.Entries = append(a.Entries, entryAddress(v.Self, zone))
	}
	return a
}

// entryAddress returns the entry of an instance with its weight for callers in a zone.
func entryAddress(instance wire.InstanceInfo, zone string) wire.EntryAddress {
	weight := max(1-instance.Load, minWeight)
	if zone != "" && zone != instance.Zone {
		weight *= otherZoneWeight
	}
	return wire.EntryAddress{Instance: instance.ID, Address: instance.CallerAddress, Zone: instance.Zone, Region: instance.Region, Weight: weight}
}
