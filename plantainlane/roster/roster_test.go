package roster

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// announcement returns an announcement of the upstream "u" with a time to live of 3 s.
func announcement(incarnation, sequence int, leaving bool) wire.Announcement {
	return wire.Announcement{ID: "u", Incarnation: incarnation, Sequence: sequence, Leaving: leaving, TTLMs: 3000}
}

// A delayed or repeated announcement, or one of another credential, must not replace the known announcement.
func TestAnnounceOrder(t *testing.T) {
	tests := map[string]struct {
		later      wire.Announcement
		credential string
		want       error
	}{
		"next sequence":      {announcement(2, 6, false), "c", nil},
		"next incarnation":   {announcement(3, 1, false), "c", nil},
		"repeated":           {announcement(2, 5, false), "c", ErrStale},
		"late":               {announcement(2, 4, false), "c", ErrStale},
		"former incarnation": {announcement(1, 9, false), "c", ErrStale},
		"other credential":   {announcement(2, 6, false), "d", ErrForeign},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			is.NoErr(r.Announce(announcement(2, 5, false), "c", start))
			is.True(errors.Is(r.Announce(tt.later, tt.credential, start), tt.want))
		})
	}
}

// TestOddAnnouncementHidesSoundUpstream guards against an entry of another writer under the ID of a sound upstream, after which
// the upstream's own announcements would count as old.
func TestOddAnnouncementHidesSoundUpstream(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Announce(announcement(2, 5, false), "c", start))
	elsewhere, other := announcement(2, 6, false), announcement(2, 6, false)
	elsewhere.Address, other.Service = "10.0.0.1:1", "other"
	for _, odd := range []wire.Announcement{announcement(2, 1<<40, false), elsewhere, other} {
		is.True(errors.Is(r.Announce(odd, "c", start), ErrImplausible))
		is.NoErr(r.Announce(announcement(2, 6, false), "c", start))
		row, _ := r.View().Rows.Get("u")
		is.Equal(row.Announcement.Sequence, 6)
		r = New()
		is.NoErr(r.Announce(announcement(2, 5, false), "c", start))
	}
}

// A leaving upstream must stay unusable when older announcements arrive again, also after it has expired. Only a new
// incarnation is usable.
func TestLeavingIsNotRevived(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Announce(announcement(2, 5, false), "c", start))
	is.NoErr(r.Leave("u", "c", 2, 6, start))
	is.True(errors.Is(r.Announce(announcement(2, 5, false), "c", start), ErrStale))
	merge := func(now time.Time, list ...wire.Announcement) int {
		changed, renewed, _ := r.Merge(list, now)
		return len(changed) + len(renewed)
	}
	is.Equal(merge(start, announcement(2, 5, false)), 0)

	later := start.Add(4 * time.Second)
	keepNone := func(wire.Announcement) bool { return false }
	is.Equal(len(r.Expire(later, func(wire.Announcement) bool { return true })), 0)
	is.Equal(len(r.Expire(later, keepNone)), 1)
	is.Equal(merge(later, announcement(2, 6, true), announcement(2, 3, false)), 0)
	row, _ := r.View().Rows.Get("u")
	is.True(!row.Usable())
	is.NoErr(r.Announce(announcement(3, 1, false), "c", later))
	row, _ = r.View().Rows.Get("u")
	is.True(row.Usable())
}

// Each of two rosters receives about half of the announcements, as if the deltas between them were lost. One exchange
// of the announcements that differ by digest must make them equal.
func TestDigestConverges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	a, b := New(), New()
	for i := range 2000 {
		r := a
		if random.IntN(2) == 0 {
			r = b
		}
		next := announcement(1, i, false)
		next.Capacity = i
		next.ID = strconv.Itoa(random.IntN(500))
		_ = r.Announce(next, "c", start)
	}
	b.Merge(a.Differing(b.Digest()), start)
	a.Merge(b.Differing(a.Digest()), start)
	is.Equal(a.Digest(), b.Digest())
	for id, row := range a.View().Rows.All() {
		other, ok := b.View().Rows.Get(id)
		is.True(ok)
		is.Equal(row.Announcement.Sequence, other.Announcement.Sequence)
	}
	is.Equal(len(a.Differing(b.Digest())), 0)
}

// After the first announcement of an upstream, another instance receives only renewals. They must extend the time to
// live there. Repeated and malformed renewals must not, and for an unknown upstream the announcement must be requested.
func TestRenewalsKeepUpstreamsAlive(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	first := announcement(1, 1, false)
	is.NoErr(a.Announce(first, "c", start))
	changed, renewed := a.TakeChanged()
	is.Equal(len(changed), 1)
	is.Equal(len(renewed), 0)
	b.Merge(changed, start)

	later := start.Add(2 * time.Second)
	loaded := announcement(1, 2, false)
	loaded.Load.InFlight = 5
	is.NoErr(a.Announce(loaded, "c", later))
	changed, renewed = a.TakeChanged()
	is.Equal(len(changed), 0)
	is.Equal(len(renewed), 1)
	is.Equal(a.Digest(), b.Digest()) // a renewal doesn't change the digest

	applied, unknown, _ := b.Renew(*Renewals(renewed), later)
	is.Equal(len(applied), 1)
	is.Equal(len(unknown), 0)
	row, _ := b.View().Rows.Get("u")
	is.Equal(row.Announcement.Load.InFlight, 5)
	is.Equal(row.Until, later.Add(3*time.Second))

	applied, _, _ = b.Renew(*Renewals(renewed), later.Add(time.Second)) // repeated
	is.Equal(len(applied), 0)
	_, unknown, _ = New().Renew(*Renewals(renewed), later)
	is.Equal(unknown, []string{"u"})
	malformed := Renewals(renewed)
	malformed.Sequences = nil
	applied, unknown, _ = b.Renew(*malformed, later)
	is.Equal(len(applied)+len(unknown), 0)
}

// A report that an upstream has expired can arrive after a renewal of the upstream. The newer announcement must then
// stay in force.
func TestReportedExpiryYieldsToNewerAnnouncement(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Announce(announcement(1, 5, false), "c", start))
	is.Equal(len(r.ExpireReported([]wire.UpstreamLapse{{ID: "u", Incarnation: 1, Sequence: 4}})), 0)
	is.Equal(len(r.ExpireReported([]wire.UpstreamLapse{{ID: "u", Incarnation: 1, Sequence: 5}})), 1)
}

// TestColdUpstreamIsPropagatedAtOnce guards against an upstream that turns cold while it serves, of which other instances
// learn as late as of a renewal or not at all, and against digests that differ for the rest of a warm-up.
func TestColdUpstreamIsPropagatedAtOnce(t *testing.T) {
	is, r, other := is.New(t), New(), New()
	for i, step := range []struct{ leftMs, changed int }{{3000, 1}, {2000, 0}, {900, 0}, {0, 0}, {3000, 1}, {2100, 0}, {3000, 1}, {0, 0}} {
		now, joined, a := start.Add(time.Duration(i)*time.Second), New(), announcement(1, 1+i, false)
		a.WarmupLeftMs = step.leftMs
		is.NoErr(r.Announce(a, "c", now))
		changed, renewed := r.TakeChanged()
		is.Equal(len(changed), step.changed)
		merged, _, _ := other.Merge(changed, now)
		is.Equal(len(merged), step.changed) // instances of a large region forward it
		other.Renew(*Renewals(renewed), now)
		row, _ := other.View().Rows.Get("u")
		is.Equal(row.Announcement.WarmupLeftMs, step.leftMs)
		joined.Merge([]wire.Announcement{a}, now)
		is.Equal(r.Digest(), other.Digest())
		is.Equal(r.Digest(), joined.Digest())
	}
}
