package state

import (
	"cmp"
	"slices"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

// maxDepartures is the number of departures that are stored. The oldest one is dropped for another.
const maxDepartures = 50_000

// HasDeparted reports whether a departure, or a later one of the same upstream, is stored.
func (s *State) HasDeparted(d wire.Departure) bool {
	old, ok := s.Departures.Get(d.ID)
	return ok && (old.Incarnation > d.Incarnation || old.Incarnation == d.Incarnation && old.Sequence >= d.Sequence)
}

// depart stores a departure, and drops those whose retention was over when it happened.
func (s *State) depart(d wire.Departure) {
	if s.HasDeparted(d) {
		return
	}
	s.Departures = s.Departures.With(d.ID, d)
	s.departed = append(s.departed, d)
	before := d.AtMs - int(roster.DepartureRetention.Milliseconds())
	for s.departed[0].AtMs < before || len(s.departed) > maxDepartures {
		oldest := s.departed[0]
		s.departed = s.departed[1:]
		if stored, ok := s.Departures.Get(oldest.ID); ok && stored == oldest {
			s.Departures = s.Departures.Without(oldest.ID)
		}
	}
}

// NewestDepartures returns up to n departures, those that were stored last.
func (s *State) NewestDepartures(n int) []wire.Departure {
	return slices.Clone(s.departed[max(len(s.departed)-n, 0):])
}

// departuresInOrder returns the stored departures, the oldest first.
func (s *State) departuresInOrder() []wire.Departure {
	var out []wire.Departure
	for _, d := range s.Departures.All() {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b wire.Departure) int { return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.ID, b.ID)) })
	return out
}
