package state

import (
	"time"

	"plantainlane/plantainlane/quarantine"
	"plantainlane/wire"
)

const (
	// MaxQuarantine is the number of entries of the quarantine that are stored. The one that was set first is dropped for
	// another.
	MaxQuarantine = 64
	// endedRetention is how long an entry is stored after its end, so that its content is recognized if it crashes an
	// upstream again.
	endedRetention = 7 * 24 * time.Hour
)

// changeQuarantine sets an entry, or ends one. An entry that is set replaces those that it covers. Entries that ended long
// ago are dropped.
func (s *State) changeQuarantine(c wire.QuarantineChange) {
	s.QuarantineVersion++
	for id, e := range s.Quarantine.All() {
		isLong := e.UntilMs < c.AtMs-int(endedRetention/time.Millisecond)
		if isLong || c.Entry != nil && quarantine.Covers(c.Entry, &e) {
			s.Quarantine = s.Quarantine.Without(id)
		}
	}
	if c.Lift != nil {
		s.endQuarantine(*c.Lift, c.AtMs)
	}
	if c.Entry == nil {
		return
	}
	s.Quarantine = s.Quarantine.With(c.Entry.ID, *c.Entry)
	if s.Quarantine.Len() > MaxQuarantine {
		s.Quarantine = s.Quarantine.Without(s.oldestQuarantine())
	}
}

// endQuarantine ends an entry at a time, in milliseconds since 1970.
func (s *State) endQuarantine(id string, atMs int) {
	if e, ok := s.Quarantine.Get(id); ok {
		e.UntilMs = min(e.UntilMs, atMs)
		s.Quarantine = s.Quarantine.With(id, e)
	}
}

// oldestQuarantine returns the ID of the entry that was set first.
func (s *State) oldestQuarantine() string {
	var oldest wire.QuarantineEntry
	for _, e := range s.Quarantine.All() {
		if oldest.ID == "" || e.SinceMs < oldest.SinceMs || e.SinceMs == oldest.SinceMs && e.ID < oldest.ID {
			oldest = e
		}
	}
	return oldest.ID
}
