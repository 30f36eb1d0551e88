package state

import "plantainlane/wire"

// MaxChanges is the number of change outcomes that are stored. A change set that is resent after its outcome was
// deleted is treated as a new one.
const MaxChanges = 50_000

// applyChange accepts or rejects a change set and stores the outcome. A change set that is resent with the same ID gets
// its stored outcome. problems are the faults that the proposer found in the change set; they don't reject a change set
// that sets only a site.
func (s *State) applyChange(c wire.ChangeSet, problems []string) wire.ChangeOutcome {
	if remembered, ok := s.Changes.Get(c.ChangeID); ok {
		remembered.CurrentRevision = s.Config.Revision
		return remembered
	}
	out := wire.ChangeOutcome{ChangeID: c.ChangeID}
	switch {
	case isSiteOnly(c) && s.hasSite(c.Set.Site.Version):
		// If this version of the site or a newer one is in force, the change set changes nothing. It counts as
		// accepted, so that the operator doesn't need to resend it.
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
	s.recordOutcome(out)
	return out
}

// recordOutcome stores the outcome of a change and deletes the oldest outcome above MaxChanges.
func (s *State) recordOutcome(out wire.ChangeOutcome) {
	s.Changes = s.Changes.With(out.ChangeID, out)
	s.changeIDs = append(s.changeIDs, out.ChangeID)
	if len(s.changeIDs) > MaxChanges {
		s.Changes = s.Changes.Without(s.changeIDs[0])
		s.changeIDs = s.changeIDs[1:]
	}
}

// isSiteOnly reports whether a change set sets a site and nothing else. Such a change set needs no matching base
// revision, since the highest version of a site wins.
func isSiteOnly(c wire.ChangeSet) bool {
	set := c.Set
	others := len(set.Contracts) + len(set.Pipelines) + len(set.UpstreamPolicies) + len(set.Models) + len(c.Remove)
	return set.Site != nil && others == 0
}

// hasSite reports whether the site in force has this version or a higher one.
func (s *State) hasSite(version int) bool {
	return s.Config.Site != nil && s.Config.Site.Version >= version
}
