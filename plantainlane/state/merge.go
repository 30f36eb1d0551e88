package state

import (
	"slices"

	"plantainlane/wire"
)

// MergeChanges returns one change with the effect of all given change sets in order. It contains the final value of each
// declaration that they set and don't remove later, so it gives the same configuration if the first of the change sets
// were applied before. As removals precede additions, a declaration that is removed and set again may be in both.
func MergeChanges(sets []*wire.ChangeSet) (wire.Declarations, []wire.DeclarationName) {
	if len(sets) == 1 {
		return sets[0].Set, sets[0].Remove
	}
	merged := Config{}
	remove := []wire.DeclarationName{}
	for _, s := range sets {
		for _, n := range s.Remove {
			if !slices.Contains(remove, n) {
				remove = append(remove, n)
			}
		}
		merged = merged.With(s.Set, s.Remove, 0)
	}
	return merged.Declarations(), remove
}
