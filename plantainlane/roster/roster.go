// Package roster keeps what upstreams announce of themselves and spreads it between instances by delta,
// with periodic anti-entropy for what a delta missed.
package roster

import (
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// ErrStale reports an announcement whose incarnation and sequence are not newer than what is known.
var ErrStale = errors.New("roster: stale announcement")

// ErrForeign reports an announcement for an upstream that another credential announced.
var ErrForeign = errors.New("roster: upstream belongs to another credential")

// rememberLapsed is how long a lapsed row is kept.
const rememberLapsed = 10 * time.Minute

// MaxTTL bounds an announcement's time to live.
const MaxTTL = 5 * time.Minute

// Row is what is known of one upstream.
type Row struct {
	// Announcement is the newest one. Its (Incarnation, Sequence) never falls while the row lives.
	Announcement wire.Announcement
	// Until is when the row lapses without renewal.
	Until time.Time
	// Credential that announced the upstream here; empty if another instance did.
	Credential string
	// Expired tells that the upstream was not renewed in time. The row stays for a while, so that a late
	// or replayed announcement can't revive the upstream.
	Expired bool
}

// Usable tells whether the upstream takes new work.
func (r *Row) Usable() bool {
	return !r.Expired && !r.Announcement.Leaving
}

// View is an immutable version of a Roster.
type View struct {
	// Rows by upstream ID, with those that left or lapsed of late.
	Rows table.Table[*Row]
}

// Roster is the upstreams one instance knows. It is used by one goroutine.
type Roster struct {
	view   View
	hashes [buckets]uint64
	// changed holds the upstreams announced here since the last TakeChanged, and whether only their load
	// changed.
	changed map[string]bool
	fresh   []wire.Announcement
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{changed: make(map[string]bool)}
}

// View returns the current version.
func (r *Roster) View() View {
	return r.view
}

// Announce takes an announcement that an upstream sent here. It returns ErrStale or ErrForeign for one
// that changes nothing.
func (r *Roster) Announce(a wire.Announcement, credential string, now time.Time) error {
	old, ok := r.view.Rows.Get(a.ID)
	if ok && old.Credential != "" && old.Credential != credential {
		return errors.Wrapf(ErrForeign, "upstream %s", a.ID)
	}
	if ok && !newer(a, old.Announcement) {
		return errors.Wrapf(ErrStale, "upstream %s has %d.%d", a.ID, old.Announcement.Incarnation, old.Announcement.Sequence)
	}
	onlyLoad := ok && !old.Expired && isRenewal(a, old.Announcement)
	if before, pending := r.changed[a.ID]; pending {
		onlyLoad = onlyLoad && before
	}
	r.put(&Row{Announcement: a, Until: now.Add(ttl(a)), Credential: credential})
	r.changed[a.ID] = onlyLoad
	return nil
}

// Leave marks an upstream as leaving. It returns ErrStale if something newer is known, and ErrForeign to
// another credential than the one that announced it.
func (r *Roster) Leave(id, credential string, incarnation, sequence int, now time.Time) error {
	old, ok := r.view.Rows.Get(id)
	if !ok {
		return errors.Wrapf(ErrStale, "upstream %s is not known", id)
	}
	a := old.Announcement
	a.Incarnation, a.Sequence, a.Leaving = incarnation, sequence, true
	return r.Announce(a, credential, now)
}

// Merge takes announcements from another instance and returns those that were news: the ones that changed more
// than load, and renewals.
func (r *Roster) Merge(list []wire.Announcement, now time.Time) (changed, renewed []wire.Announcement) {
	for _, a := range list {
		old, ok := r.view.Rows.Get(a.ID)
		if ok && !newer(a, old.Announcement) {
			continue
		}
		row := &Row{Announcement: a, Until: now.Add(ttl(a))}
		if ok {
			row.Credential = old.Credential
		}
		r.put(row)
		if ok && !old.Expired && isRenewal(a, old.Announcement) {
			renewed = append(renewed, a)
		} else {
			changed = append(changed, a)
		}
	}
	return changed, renewed
}

// Expire marks rows whose time to live is over as lapsed and drops those that lapsed long ago. Rows for which
// keep returns true don't lapse by themselves. It returns the announcements of the upstreams that lapsed.
func (r *Roster) Expire(now time.Time, keep func(wire.Announcement) bool) []wire.Announcement {
	var lapsed []wire.Announcement
	var old []string
	for id, row := range r.view.Rows.All() {
		switch {
		case now.Before(row.Until):
		case row.Expired && now.Sub(row.Until) > rememberLapsed:
			old = append(old, id)
		case !row.Expired && !keep(row.Announcement):
			lapsed = append(lapsed, row.Announcement)
		}
	}
	for _, a := range lapsed {
		row, _ := r.view.Rows.Get(a.ID)
		r.lapse(a.ID, row)
	}
	for _, id := range old {
		r.view.Rows = r.view.Rows.Without(id)
	}
	return lapsed
}

func (r *Roster) lapse(id string, row *Row) {
	r.toggle(row.Announcement)
	gone := *row
	gone.Expired = true
	r.view.Rows = r.view.Rows.With(id, &gone)
}

// TakeChanged returns the announcements that were made here since the last call: those that changed more
// than load, and renewals.
func (r *Roster) TakeChanged() (changed, renewed []wire.Announcement) {
	for id, onlyLoad := range r.changed {
		row, ok := r.view.Rows.Get(id)
		switch {
		case !ok:
		case onlyLoad:
			renewed = append(renewed, row.Announcement)
		default:
			changed = append(changed, row.Announcement)
		}
	}
	clear(r.changed)
	return changed, renewed
}

// TakeNew returns the announcements that came from anywhere since the last call.
func (r *Roster) TakeNew() []wire.Announcement {
	out := r.fresh
	r.fresh = nil
	return out
}

func (r *Roster) put(row *Row) {
	old, ok := r.view.Rows.Get(row.Announcement.ID)
	if !ok || old.Expired || !isRenewal(row.Announcement, old.Announcement) {
		if ok && !old.Expired {
			r.toggle(old.Announcement)
		}
		r.toggle(row.Announcement)
	}
	r.view.Rows = r.view.Rows.With(row.Announcement.ID, row)
	r.fresh = append(r.fresh, row.Announcement)
}

func newer(a, b wire.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func ttl(a wire.Announcement) time.Duration {
	return time.Duration(a.TTLMs) * time.Millisecond
}
