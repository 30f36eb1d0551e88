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
	case isSiteOnly(c) && s.hasSite(c.Set.Site.Version):
		// An overtaken site changes nothing, and its operator need not send it again.
		out.State = ChangeAccepted
	case isSiteOnly(c):
		out.State = ChangePending
		out.Revision = s.Config.Revision + 1
		s.Config = s.Config.With(c.Set, nil, out.Revision)
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

// isSiteOnly tells whether a change sets a site and nothing else. The highest version of a site wins, whatever
// revision it was made against.
func isSiteOnly(c wire.ChangeSet) bool {
	d := c.Set
	others := len(d.Contracts) + len(d.Pipelines) + len(d.UpstreamPolicies) + len(d.Models) + len(c.Remove)
	return d.Site != nil && others == 0
}

// hasSite tells whether a site of this version or a higher one was accepted.
func (s *State) hasSite(version int) bool {
	return s.Config.Site != nil && s.Config.Site.Version >= version
}
