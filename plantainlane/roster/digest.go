package roster

import (
	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

// buckets is the number of parts that two instances compare in a digest.
const buckets = 64

// Digest returns a hash of each bucket. It covers what announcements say but not their renewals and loads,
// so that two instances that differ in these alone send nothing.
func (r *Roster) Digest() []int {
	out := make([]int, buckets)
	for i, h := range r.hashes {
		out[i] = int(h)
	}
	return out
}

// Differing returns the announcements of the buckets in which another instance's digest differs. A digest
// of another length differs in all.
func (r *Roster) Differing(digest []int) []wire.Announcement {
	own := r.Digest()
	var out []wire.Announcement
	for id, row := range r.view.Rows.All() {
		b := bucketOf(id)
		if row.Expired {
			continue
		}
		if len(digest) != buckets || digest[b] != own[b] {
			out = append(out, row.Announcement)
		}
	}
	return out
}

// toggle adds an announcement to its bucket's hash, or takes it out again.
func (r *Roster) toggle(a wire.Announcement) {
	r.hashes[bucketOf(a.ID)] ^= stableHash(a)
}

// stableHash covers everything of an announcement that a renewal leaves as it is.
func stableHash(a wire.Announcement) uint64 {
	a.Sequence, a.CacheSequence, a.Load = 0, 0, wire.UpstreamLoad{}
	b, err := wire.Encode(a)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % buckets)
}
