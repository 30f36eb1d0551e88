package instance

import (
	"context"
	"expvar"
	"time"

	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/state"
)

// Evacuate orders that the upstreams of an availability zone get no work, or some again, as control.Loop.Evacuate does.
func (x *Instance) Evacuate(ctx context.Context, zone string, isActive bool) error {
	return x.loop.Evacuate(ctx, zone, isActive)
}

// evacuationEnded returns when this instance learned that the last evacuation of an availability zone ended; the zero time if
// there was none.
func (x *Instance) evacuationEnded(zone string) time.Time { return x.View().EvacuationEnded(zone) }

// isEvacuated reports whether the availability zone of an upstream is evacuated, or may be after a standstill. An upstream of
// which only the address is known is looked up among all.
func (x *Instance) isEvacuated(p quota.Peer) bool {
	if x.loop.IsHeld() {
		return true
	}
	v := x.View()
	if v.Config.Evacuations.Len() == 0 {
		return false
	}
	if p.ID != "" {
		row, ok := v.Upstreams.Rows.Get(p.ID)
		return ok && v.IsEvacuated(row.Announcement.Zone)
	}
	if state.EvacuatedZones(v.Config.Evacuations) == nil {
		return false
	}
	for _, row := range v.Upstreams.Rows.All() {
		if row.Announcement.Address == p.Address && v.IsEvacuated(row.Announcement.Zone) {
			return true
		}
	}
	return false
}

// publishEvacuations publishes the number of evacuated zones by expvar.
func (x *Instance) publishEvacuations() {
	expvar.Publish("evacuatedZones", expvar.Func(func() any {
		return len(state.EvacuatedZones(x.View().Config.Evacuations))
	}))
}
