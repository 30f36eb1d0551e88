package roster

import (
	"slices"
	"time"

	"plantainlane/wire"
)

// warmupTolerance is by how much later a warm-up may seem to end, since announcements are received with different delays,
// without counting as a new one.
const warmupTolerance = 500 * time.Millisecond

// turnsCold reports whether an announcement received at the time now says that an upstream has turned cold since its known
// row was announced.
func turnsCold(a wire.Announcement, old *Row, now time.Time) bool {
	return a.WarmupLeftMs > 0 && now.Add(warmupLeft(a)).After(old.HeardAt().Add(warmupLeft(old.Announcement)+warmupTolerance))
}

// warmupLeft returns for how long an upstream is still cold when the announcement is received.
func warmupLeft(a wire.Announcement) time.Duration {
	return time.Duration(a.WarmupLeftMs) * time.Millisecond
}

// isRenewal reports whether an announcement differs from the old one of the same upstream at most in sequence, cache
// sequence, load and the rest of its warm-up.
func isRenewal(a, old wire.Announcement) bool {
	return a.Incarnation == old.Incarnation && a.Leaving == old.Leaving && a.Service == old.Service &&
		a.Zone == old.Zone && a.Region == old.Region && a.Address == old.Address && a.Capacity == old.Capacity &&
		a.Role == old.Role && a.ChecksFencing == old.ChecksFencing && a.TTLMs == old.TTLMs &&
		slices.Equal(a.Models, old.Models) && slices.Equal(a.Adapters, old.Adapters)
}

// Renewals returns renewals in their short form: the upstream's ID and incarnation, and the fields that a renewal
// changes.
func Renewals(list []wire.Announcement) *wire.UpstreamRenewals {
	out := &wire.UpstreamRenewals{}
	for _, a := range list {
		out.Ids = append(out.Ids, a.ID)
		out.Incarnations = append(out.Incarnations, a.Incarnation)
		out.Sequences = append(out.Sequences, a.Sequence)
		out.InFlight = append(out.InFlight, a.Load.InFlight)
		out.Queued = append(out.Queued, a.Load.Queued)
		out.FreeBlocks = append(out.FreeBlocks, a.Load.FreeBlocks)
		out.CacheSequences = append(out.CacheSequences, a.CacheSequence)
	}
	if slices.ContainsFunc(list, func(a wire.Announcement) bool { return a.WarmupLeftMs > 0 }) {
		for _, a := range list {
			out.WarmupLeftMs = append(out.WarmupLeftMs, a.WarmupLeftMs)
		}
	}
	return out
}

// Renew applies renewals from another instance. It returns the announcements that it renewed, and the IDs of upstreams
// that are unknown here, expired, or known only in an earlier incarnation. Renewals that aren't newer than the known
// announcement, and those of leaving upstreams, are ignored; late lists the departures that the sender doesn't know. If the lists
// in n have different lengths, Renew applies nothing.
func (r *Roster) Renew(n wire.UpstreamRenewals, now time.Time) (renewed []wire.Announcement, unknown []string, late []wire.Departure) {
	size := len(n.Ids)
	if n.WarmupLeftMs == nil {
		n.WarmupLeftMs = make([]int, size)
	}
	for _, l := range [][]int{n.Incarnations, n.Sequences, n.InFlight, n.Queued, n.FreeBlocks, n.CacheSequences, n.WarmupLeftMs} {
		if len(l) != size {
			return nil, nil, nil
		}
	}
	for i, id := range n.Ids {
		if r.isLate(wire.Announcement{ID: id, Incarnation: n.Incarnations[i], Sequence: n.Sequences[i]}) {
			d, _ := r.Departure(id)
			late = append(late, d)
			continue
		}
		old, ok := r.view.Rows.Get(id)
		if !ok || old.Announcement.Incarnation < n.Incarnations[i] || old.Expired {
			unknown = append(unknown, id)
			continue
		}
		a := old.Announcement
		if a.Incarnation != n.Incarnations[i] || a.Sequence >= n.Sequences[i] || a.Leaving {
			continue
		}
		a.Sequence, a.CacheSequence, a.WarmupLeftMs = n.Sequences[i], n.CacheSequences[i], n.WarmupLeftMs[i]
		a.Load = wire.UpstreamLoad{InFlight: n.InFlight[i], Queued: n.Queued[i], FreeBlocks: n.FreeBlocks[i]}
		r.put(&Row{Announcement: a, Until: now.Add(ttl(a)), Credential: old.Credential})
		renewed = append(renewed, a)
	}
	return renewed, unknown, late
}

// Overdue returns the IDs of upstreams whose renewal is overdue: they are not expired, but have less than the given
// fraction of their time to live left.
func (r *Roster) Overdue(now time.Time, fraction float64) []string {
	var ids []string
	for id, row := range r.view.Rows.All() {
		left := row.Until.Sub(now)
		if !row.Expired && left < time.Duration(fraction*float64(ttl(row.Announcement))) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Known returns the announcements of the upstreams with the given IDs, except those that are unknown or expired.
func (r *Roster) Known(ids []string) []wire.Announcement {
	var out []wire.Announcement
	for _, id := range ids {
		if row, ok := r.view.Rows.Get(id); ok && !row.Expired {
			out = append(out, row.Announcement)
		}
	}
	return out
}

// ExpireReported marks upstreams as expired that instances in the upstream's own availability zone report as expired.
// An upstream with an announcement newer than the report is not marked. ExpireReported returns the entries of list that
// it applied.
func (r *Roster) ExpireReported(list []wire.UpstreamLapse) []wire.UpstreamLapse {
	var expired []wire.UpstreamLapse
	for _, l := range list {
		row, ok := r.view.Rows.Get(l.ID)
		a := wire.Announcement{Incarnation: l.Incarnation, Sequence: l.Sequence}
		if !ok || row.Expired || newer(row.Announcement, a) {
			continue
		}
		r.markExpired(l.ID, row)
		expired = append(expired, l)
	}
	return expired
}
