package control

import (
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestRecentChangesTakeMemory guards against change sets that are kept without a bound on their size.
func TestRecentChangesTakeMemory(t *testing.T) {
	is := is.New(t)
	var r recentChanges
	const size = maxRecentBytes / 10
	for revision := 1; revision <= 50; revision++ {
		r.add(revision, &wire.ChangeSet{}, size)
	}
	is.Equal(len(r.list), 10)
	_, isKept := r.between(40, 50)
	is.True(isKept)
	_, isKept = r.between(39, 50)
	is.True(!isKept)
	r.add(51, &wire.ChangeSet{}, 2*maxRecentBytes)
	sets, isKept := r.between(50, 51)
	is.True(isKept)
	is.Equal(len(sets), 1)
	for revision := 52; revision <= 52+2*maxRecentChanges; revision++ {
		r.add(revision, &wire.ChangeSet{}, 1)
	}
	is.Equal(len(r.list), maxRecentChanges)
}

// TestChangesAfterGapAreMerged guards against an update that is merged from change sets of revisions that don't follow each other, as after
// a snapshot.
func TestChangesAfterGapAreMerged(t *testing.T) {
	is := is.New(t)
	var r recentChanges
	r.add(1, &wire.ChangeSet{}, 1)
	r.add(5, &wire.ChangeSet{}, 1)
	_, isKept := r.between(0, 5)
	is.True(!isKept)
	_, isKept = r.between(4, 5)
	is.True(isKept)
	sets, isKept := r.between(5, 5)
	is.True(isKept)
	is.Equal(len(sets), 0)
}
