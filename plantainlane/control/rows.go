package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

const (
	// rowBuckets is the number of buckets that instance IDs are hashed into for a rowDigest.
	rowBuckets = 64
	// maxRowsPerSecond is how many rows of instances a leader sends in a second, to all instances together: about 4 MB, a
	// third of a link of 100 Mbit/s, so that heartbeats don't wait behind them.
	maxRowsPerSecond = 16 << 10
)

// rowDigest holds the XOR of the hashes of the instance rows in each bucket, without their load.
type rowDigest [rowBuckets]uint64

// toggle adds a row, or removes one that was added before.
func (d *rowDigest) toggle(i wire.InstanceInfo) {
	i.Load = 0
	data, err := wire.Encode(i)
	if err != nil {
		return
	}
	d[rowBucketOf(i.ID)] ^= xxhash.Sum64(data)
}

func rowBucketOf(id string) int { return int(xxhash.Sum64String(id) % rowBuckets) }

// toWire returns the digest as a member of a message.
func (d *rowDigest) toWire() []int {
	out := make([]int, rowBuckets)
	for i, h := range d {
		out[i] = int(h)
	}
	return out
}

// digest returns the digest of the rows for a leader of the given term; empty if the rows have a version of that term.
func (r *instanceRows) digest(term int) []int {
	if r.term == term || r.rows.Len() == 0 {
		return []int{}
	}
	var d rowDigest
	for _, i := range r.rows.All() {
		d.toggle(i)
	}
	return d.toWire()
}

// rowBudget bounds the rows that a leader sends.
type rowBudget struct {
	// left is the number of rows that may be sent at the time at.
	left float64
	at   time.Time
}

// available returns how many rows may be sent now.
func (b *rowBudget) available(now time.Time) int {
	const burst = maxRowsPerSecond / 2
	if now.After(b.at) {
		b.left = min(b.left+now.Sub(b.at).Seconds()*maxRowsPerSecond, burst)
		b.at = now
	}
	return int(max(b.left, 0))
}

// putRow adds or replaces a row, under a new version.
func (l *leaderState) putRow(row *leaseRow) {
	l.deleteRow(row.info.ID)
	l.version++
	row.version = l.version
	l.rows[row.info.ID] = row
	l.digest.toggle(row.info)
}

// deleteRow removes the row of an instance, if there is one.
func (l *leaderState) deleteRow(id string) {
	if row := l.rows[id]; row != nil {
		l.digest.toggle(row.info)
		delete(l.rows, id)
		l.version++
	}
}

// updateRow replaces the description in a row, under a new version if the description changed.
func (l *leaderState) updateRow(row *leaseRow, info wire.InstanceInfo) {
	if row.info == info {
		return
	}
	l.digest.toggle(row.info)
	l.digest.toggle(info)
	l.version++
	row.info, row.version = info, l.version
}

// rowsFor returns the rows that the sender of a request lacks, and the version of its rows with them. There may be fewer
// rows than it lacks: the next request then gets more. The version is 0 if the answer says nothing about the rows.
func (l *leaderState) rowsFor(now time.Time, r wire.LeaseRequest) ([]wire.InstanceInfo, int) {
	if r.InstancesTerm == l.term && r.InstancesVersion == l.version {
		return nil, l.version
	}
	if r.InstancesTerm != l.term && len(r.InstancesDigest) == rowBuckets {
		return l.differingRows(now, r.InstancesDigest)
	}
	since := 0
	if r.InstancesTerm == l.term {
		since = r.InstancesVersion
	}
	return l.rowsSince(now, since)
}

// rowsSince returns rows that changed after a version, the oldest changes first, and the version up to which these are
// all changes.
func (l *leaderState) rowsSince(now time.Time, version int) ([]wire.InstanceInfo, int) {
	var changed []*leaseRow
	for _, row := range l.rows {
		if row.version > version {
			changed = append(changed, row)
		}
	}
	slices.SortFunc(changed, func(a, b *leaseRow) int { return cmp.Compare(a.version, b.version) })
	n := min(len(changed), l.rowBudget.available(now))
	l.rowBudget.left -= float64(n)
	out := make([]wire.InstanceInfo, 0, n)
	for _, row := range changed[:n] {
		out = append(out, row.info)
	}
	switch {
	case n == len(changed):
		return out, l.version
	case n == 0:
		return out, version
	}
	return out, changed[n-1].version
}

// differingRows returns the rows in the buckets in which a digest differs, and the current version, or nothing and 0 if
// that many rows may not be sent now.
func (l *leaderState) differingRows(now time.Time, digest []int) ([]wire.InstanceInfo, int) {
	own := l.digest.toWire()
	var out []wire.InstanceInfo
	for id, row := range l.rows {
		if b := rowBucketOf(id); digest[b] != own[b] {
			out = append(out, row.info)
		}
	}
	if len(out) > l.rowBudget.available(now) {
		return nil, 0
	}
	l.rowBudget.left -= float64(len(out))
	return out, l.version
}
