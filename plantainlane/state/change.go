package state

import "plantainlane/wire"

// MaxChanges is the number of change outcomes that are remembered.
const MaxChanges = 50_000

func (s *State) applyChange(c wire.ChangeSet, problems []string) wire.ChangeOutcome {
	if old, ok := s.Changes.Get(c.ChangeID); ok {
		old.CurrentRevision = s.Config.Revision
		return old
	}
	out := wire.ChangeOutcome{ChangeID: c.ChangeID}
	switch {
	case c.BaseRevision != s.Config.Revision:
		out.State = ChangeConflict
	case len(problems) > 0:
		out.State = ChangeInvalid
		out.Problems = problems
	default:
		out.State = ChangePending
		out.Revision = s.Config.Revision + 1
		s.Config = s.Config.With(c.Set, c.Remove, out.Revision)
	}
	out.CurrentRevision = s.Config.Revision
	s.remember(out)
	return out
}

func (s *State) remember(out wire.ChangeOutcome) {
	s.Changes = s.Changes.With(out.ChangeID, out)
	s.changeOrder = append(s.changeOrder, out.ChangeID)
	if len(s.changeOrder) > MaxChanges {
		s.Changes = s.Changes.Without(s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
}
