package caller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/wire"
)

const (
	// minWeight is the weight of an instance that is fully loaded.
	minWeight = 0.1
	// farWeight is the factor of instances in other zones than the one a caller names.
	farWeight = 0.25
)

func (s *Server) entries(c *echo.Context) error {
	a := Entries(s.Views.View(), c.QueryParam("zone"), time.Now())
	a.KeepForMs = int(s.KeepFor / time.Millisecond)
	return c.JSON(http.StatusOK, a)
}

// Entries returns the instances that callers may use: neither draining nor silent, and this one only while
// it holds its lease. Without a lease what the leader said of the others may be old, and only those that this
// instance is connected to are named. Weights fall with load; a zone prefers its instances.
func Entries(v *control.View, zone string, now time.Time) wire.EntryAnswer {
	held := v.LeaseHeld(now)
	a := wire.EntryAnswer{Revision: v.Config.Revision, Entries: []wire.EntryAddress{}}
	for id, i := range v.Instances.All() {
		if id == v.Self.ID || (!held && !v.Connected[id]) {
			continue
		}
		if i.CallerAddress != "" && !i.ControlOnly && !i.Draining && !i.Silent {
			a.Entries = append(a.Entries, entry(i, zone))
		}
	}
	if held && !v.Draining && !v.Self.ControlOnly {
		a.Entries = append(a.Entries, entry(v.Self, zone))
	}
	return a
}

func entry(i wire.InstanceInfo, zone string) wire.EntryAddress {
	weight := max(1-i.Load, minWeight)
	if zone != "" && zone != i.Zone {
		weight *= farWeight
	}
	return wire.EntryAddress{Instance: i.ID, Address: i.CallerAddress, Zone: i.Zone, Region: i.Region, Weight: weight}
}
