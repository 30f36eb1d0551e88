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

func announcement(incarnation, sequence int, leaving bool) wire.Announcement {
	return wire.Announcement{ID: "u", Incarnation: incarnation, Sequence: sequence, Leaving: leaving, TTLMs: 3000}
}

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

func TestLeavingIsNotRevived(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Announce(announcement(2, 5, false), "c", start))
	is.NoErr(r.Leave("u", "c", 2, 6, start))
	is.True(errors.Is(r.Announce(announcement(2, 5, false), "c", start), ErrStale))
	is.Equal(len(r.Merge([]wire.Announcement{announcement(2, 5, false)}, start)), 0)

	later := start.Add(4 * time.Second)
	is.Equal(r.Expire(later), []string{"u"})
	is.Equal(len(r.Merge([]wire.Announcement{announcement(2, 6, true), announcement(2, 3, false)}, later)), 0)
	row, _ := r.View().Rows.Get("u")
	is.True(!row.Usable())
	is.NoErr(r.Announce(announcement(3, 1, false), "c", later))
	row, _ = r.View().Rows.Get("u")
	is.True(row.Usable())
}

// TestDigestConverges lets two rosters take different halves of what was announced and compare digests.
func TestDigestConverges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	a, b := New(), New()
	for i := range 2000 {
		r := a
		if random.IntN(2) == 0 {
			r = b
		}
		an := announcement(1, i, false)
		an.ID = strconv.Itoa(random.IntN(500))
		_ = r.Announce(an, "c", start)
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
