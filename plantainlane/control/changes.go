package control

import "plantainlane/wire"

const (
	// maxRecentChanges is the number of change sets that are kept, so that instances can be updated without sending the whole
	// configuration.
	maxRecentChanges = 256
	// maxRecentBytes bounds the change sets that are kept, by the size of their commands. The newest one is kept whatever its size.
	maxRecentBytes = 8 << 20
)

// recentChanges holds the newest change sets, by the revision that each created. The zero value is empty.
type recentChanges struct {
	// list holds the change sets of consecutive revisions in ascending order; the last one created the revision newest.
	list   []sizedChange
	newest int
	// bytes is the sum of the sizes.
	bytes int
}

// sizedChange is a change set and the size of its command, in bytes.
type sizedChange struct {
	set   *wire.ChangeSet
	bytes int
}

// add adds the change set that created a revision, and drops the oldest ones beyond the bounds.
func (r *recentChanges) add(revision int, set *wire.ChangeSet, bytes int) {
	if revision != r.newest+1 {
		*r = recentChanges{}
	}
	r.list = append(r.list, sizedChange{set, bytes})
	r.newest = revision
	r.bytes += bytes
	drop := 0
	for len(r.list)-drop > 1 && (len(r.list)-drop > maxRecentChanges || r.bytes > maxRecentBytes) {
		r.bytes -= r.list[drop].bytes
		r.list[drop] = sizedChange{}
		drop++
	}
	r.list = r.list[drop:]
}

// between returns the change sets that lead from one revision to another. It returns false if not all of them are kept.
func (r *recentChanges) between(from, to int) ([]*wire.ChangeSet, bool) {
	first := r.newest - len(r.list)
	if from < first || to > r.newest {
		return nil, false
	}
	sets := make([]*wire.ChangeSet, 0, to-from)
	for _, c := range r.list[from-first : to-first] {
		sets = append(sets, c.set)
	}
	return sets, true
}
