package roster

import (
	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

// digestBuckets is the number of buckets that upstream IDs are hashed into. Two instances compare digests bucket by
// bucket.
const digestBuckets = 64

// Digest returns the hash of each bucket. It covers the announcements of the upstreams that are not expired, without
// sequence, cache sequence, load and the rest of a warm-up, so that instances that differ only in renewals send nothing to
// each other. It covers the departures without their time.
func (r *Roster) Digest() []int {
	out := make([]int, digestBuckets)
	for i, h := range r.hashes {
		out[i] = int(h)
	}
	return out
}

// Differing returns the announcements in the buckets whose hash differs from another instance's digest. A digest of
// another length differs in all buckets. Expired upstreams are left out.
func (r *Roster) Differing(digest []int) []wire.Announcement {
	own := r.Digest()
	var out []wire.Announcement
	for id, row := range r.view.Rows.All() {
		b := bucketOf(id)
		if row.Expired {
			continue
		}
		if len(digest) != digestBuckets || digest[b] != own[b] {
			out = append(out, row.Announcement)
		}
	}
	return out
}

// DifferingDepartures returns the departures in the buckets whose hash differs from another instance's digest.
func (r *Roster) DifferingDepartures(digest []int) []wire.Departure {
	own := r.Digest()
	var out []wire.Departure
	for id, d := range r.departed.rows.All() {
		if b := bucketOf(id); len(digest) != digestBuckets || digest[b] != own[b] {
			out = append(out, d)
		}
	}
	return out
}

// toggleDeparture adds a departure to its bucket's hash, or removes one that was added before.
func (r *Roster) toggleDeparture(d wire.Departure) {
	d.AtMs = 0
	r.hashes[bucketOf(d.ID)] ^= hashOf(d)
}

// toggleHash adds an announcement to its bucket's hash, or removes one that was added before.
func (r *Roster) toggleHash(a wire.Announcement) {
	r.hashes[bucketOf(a.ID)] ^= stableHash(a)
}

// stableHash returns a hash of the fields of an announcement that a renewal doesn't change; 0 if they can't be encoded.
func stableHash(a wire.Announcement) uint64 {
	a.Sequence, a.CacheSequence, a.Load, a.WarmupLeftMs = 0, 0, wire.UpstreamLoad{}, 0
	return hashOf(a)
}

// hashOf returns the hash of an encoded value; 0 if it can't be encoded.
func hashOf(v any) uint64 {
	b, err := wire.Encode(v)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// bucketOf returns the bucket of an upstream ID.
func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % digestBuckets)
}
