package roster

import (
	"slices"
	"time"

	"plantainlane/wire"
)

// isRenewal tells whether an announcement changes nothing but load.
func isRenewal(a, old wire.Announcement) bool {
	return a.Incarnation == old.Incarnation && a.Leaving == old.Leaving && a.Service == old.Service &&
		a.Zone == old.Zone && a.Region == old.Region && a.Address == old.Address && a.Capacity == old.Capacity &&
		a.Role == old.Role && a.ChecksFencing == old.ChecksFencing && a.TTLMs == old.TTLMs &&
		slices.Equal(a.Models, old.Models) && slices.Equal(a.Adapters, old.Adapters)
}

// Renewals returns the short form of renewals.
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
	return out
}

// Renew takes renewals from another instance. It returns those that were news, and the IDs of upstreams whose
// announcement isn't known here. Lists of different lengths are refused whole.
func (r *Roster) Renew(n wire.UpstreamRenewals, now time.Time) (news []wire.Announcement, unknown []string) {
	size := len(n.Ids)
	for _, l := range [][]int{n.Incarnations, n.Sequences, n.InFlight, n.Queued, n.FreeBlocks, n.CacheSequences} {
		if len(l) != size {
			return nil, nil
		}
	}
	for i, id := range n.Ids {
		old, ok := r.view.Rows.Get(id)
		if !ok || old.Announcement.Incarnation < n.Incarnations[i] || old.Expired {
			unknown = append(unknown, id)
			continue
		}
		a := old.Announcement
		if a.Incarnation != n.Incarnations[i] || a.Sequence >= n.Sequences[i] || a.Leaving {
			continue
		}
		a.Sequence, a.CacheSequence = n.Sequences[i], n.CacheSequences[i]
		a.Load = wire.UpstreamLoad{InFlight: n.InFlight[i], Queued: n.Queued[i], FreeBlocks: n.FreeBlocks[i]}
		r.put(&Row{Announcement: a, Until: now.Add(ttl(a)), Credential: old.Credential})
		news = append(news, a)
	}
	return news, unknown
}

// Overdue returns upstreams that will lapse within a part of their time to live unless they are renewed.
func (r *Roster) Overdue(now time.Time, part float64) []string {
	var ids []string
	for id, row := range r.view.Rows.All() {
		left := row.Until.Sub(now)
		if !row.Expired && left < time.Duration(part*float64(ttl(row.Announcement))) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Known returns the announcements of upstreams.
func (r *Roster) Known(ids []string) []wire.Announcement {
	var out []wire.Announcement
	for _, id := range ids {
		if row, ok := r.view.Rows.Get(id); ok && !row.Expired {
			out = append(out, row.Announcement)
		}
	}
	return out
}

// ExpireReported takes the word of an upstream's own availability zone that it lapsed. One that was heard of since is
// left. It returns the entries that took effect.
func (r *Roster) ExpireReported(list []wire.UpstreamLapse) []wire.UpstreamLapse {
	var lapsed []wire.UpstreamLapse
	for _, l := range list {
		row, ok := r.view.Rows.Get(l.ID)
		a := wire.Announcement{Incarnation: l.Incarnation, Sequence: l.Sequence}
		if !ok || row.Expired || newer(row.Announcement, a) {
			continue
		}
		r.lapse(l.ID, row)
		lapsed = append(lapsed, l)
	}
	return lapsed
}
