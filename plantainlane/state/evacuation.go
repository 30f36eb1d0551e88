package state

import (
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// IsEvacuated reports whether the upstreams of an availability zone get no work.
func (c *Config) IsEvacuated(zone string) bool {
	if c.Evacuations.Len() == 0 {
		return false
	}
	e, ok := c.Evacuations.Get(zone)
	return ok && e.Active
}

// WithEvacuations returns the configuration in which each given state of a zone has replaced an older one.
func (c Config) WithEvacuations(list []wire.Evacuation) Config {
	for _, e := range list {
		if old, ok := c.Evacuations.Get(e.Zone); !ok || old.Version < e.Version {
			c.Evacuations = c.Evacuations.With(e.Zone, e)
		}
	}
	return c
}

// EvacuationList returns the states of all zones for which there was an order; nil if there was none.
func (c *Config) EvacuationList() []wire.Evacuation {
	if c.Evacuations.Len() == 0 {
		return nil
	}
	list := make([]wire.Evacuation, 0, c.Evacuations.Len())
	for _, e := range c.Evacuations.All() {
		list = append(list, e)
	}
	return list
}

// EvacuatedZones returns the evacuated zones as a set; nil if there is none.
func EvacuatedZones(evacuations table.Table[wire.Evacuation]) map[string]bool {
	if evacuations.Len() == 0 {
		return nil
	}
	var zones map[string]bool
	for zone, e := range evacuations.All() {
		if e.Active {
			if zones == nil {
				zones = make(map[string]bool)
			}
			zones[zone] = true
		}
	}
	return zones
}

// orderEvacuation applies an order and returns the state of the zone after it. An order that would change the zone's state
// has no effect unless it was made against that state. An order for the state that is in force also raises the version:
// once it is acknowledged, an earlier order that is still under way is stale.
func (s *State) orderEvacuation(o wire.EvacuationOrder) wire.Evacuation {
	e, _ := s.Config.Evacuations.Get(o.Zone)
	e.Zone = o.Zone
	if e.Active != o.Active && e.Version != o.BaseVersion {
		return e
	}
	e.Version++
	if e.Active && !o.Active {
		e.Ended = e.Version
	}
	e.Active = o.Active
	s.Config = s.Config.WithEvacuations([]wire.Evacuation{e})
	s.Config.Revision++
	return e
}
