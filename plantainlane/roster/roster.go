// Package roster keeps the announcements of upstreams. It supplies the deltas by which instances propagate them to each
// other, and the digests for the periodic anti-entropy that repairs lost deltas.
package roster

import (
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// ErrStale reports an announcement whose (incarnation, sequence) is not newer than that of the known announcement.
var ErrStale = errors.New("roster: stale announcement")

// ErrImplausible reports an announcement that contradicts the known one of the same process: with another service or address,
// or with a sequence that it can't have reached. Taking it would make the process's own announcements count as old ones.
var ErrImplausible = errors.New("roster: implausible announcement")

// maxLead is the largest number by which the sequence of an announcement may be ahead of the known one.
const maxLead = 1 << 24

// ErrForeign reports an announcement of an upstream that was announced with another credential.
var ErrForeign = errors.New("roster: upstream belongs to another credential")

// expiredRetention is how long a row is kept after its time to live has passed.
const expiredRetention = DepartureRetention

// MaxTTL is the longest time to live of an announcement.
const MaxTTL = 5 * time.Minute

// MaxWarmup is the longest time for which an announcement may say that its upstream is still cold.
const MaxWarmup = 10 * time.Minute

// Row is the known state of one upstream.
type Row struct {
	// Announcement is the newest announcement. Its (Incarnation, Sequence) never decreases while the row is kept.
	Announcement wire.Announcement
	// Until is when the row expires unless it is renewed.
	Until time.Time
	// Credential is the credential that announced the upstream at this instance; empty if it was announced elsewhere.
	Credential string
	// Expired is set if the upstream was not renewed within its time to live. An expired row is kept for
	// expiredRetention, so that a delayed or replayed announcement can't revive the upstream.
	Expired bool
}

// Usable reports whether the upstream accepts new work.
func (r *Row) Usable() bool {
	return !r.Expired && !r.Announcement.Leaving
}

// HeardAt returns when the announcement was received by this instance.
func (r *Row) HeardAt() time.Time { return r.Until.Add(-ttl(r.Announcement)) }

// View is an immutable version of a Roster.
type View struct {
	// Rows holds the rows by upstream ID. Upstreams that are leaving or recently expired are included.
	Rows table.Table[*Row]
	// Evacuations holds the state of availability zones, by zone. A Roster leaves it empty.
	Evacuations table.Table[wire.Evacuation]
}

// IsEvacuated reports whether the upstreams of an availability zone get no work.
func (v *View) IsEvacuated(zone string) bool {
	if v.Evacuations.Len() == 0 {
		return false
	}
	e, ok := v.Evacuations.Get(zone)
	return ok && e.Active
}

// Usable reports whether the upstream of a row may be given new work: it accepts some, and its zone isn't evacuated.
func (v *View) Usable(r *Row) bool { return r.Usable() && !v.IsEvacuated(r.Announcement.Zone) }

// Roster holds the upstreams that one instance knows. It must be used by one goroutine only. Its Views may be shared.
type Roster struct {
	view View
	// hashes holds for each bucket the XOR of the stable hashes of its announcements that are not expired, and of its departures.
	hashes [digestBuckets]uint64
	// announced holds the IDs of the upstreams announced at this instance since the last TakeChanged. The value is true
	// if all announcements of the upstream since then were renewals.
	announced map[string]bool
	departed  departures
	// newAnnouncements lists the announcements put into the roster since the last TakeNew.
	newAnnouncements []wire.Announcement
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{announced: make(map[string]bool)}
}

// View returns the current version of the roster.
func (r *Roster) View() View {
	return r.view
}

// Announce applies an announcement that an upstream sent to this instance. It returns ErrForeign if another credential
// announced the upstream, ErrStale if the announcement is not newer than the known one or than the upstream's departure, and
// ErrImplausible if it contradicts the known one. Then nothing changes.
func (r *Roster) Announce(a wire.Announcement, credential string, now time.Time) error {
	old, ok := r.view.Rows.Get(a.ID)
	if ok && old.Credential != "" && old.Credential != credential {
		return errors.Wrapf(ErrForeign, "upstream %s", a.ID)
	}
	if ok && !newer(a, old.Announcement) {
		return errors.Wrapf(ErrStale, "upstream %s is known with incarnation %d, sequence %d",
			a.ID, old.Announcement.Incarnation, old.Announcement.Sequence)
	}
	if r.isLate(a) {
		return errors.Wrapf(ErrStale, "upstream %s has left", a.ID)
	}
	if ok && contradicts(a, old.Announcement) {
		return errors.Wrapf(ErrImplausible, "upstream %s", a.ID)
	}
	onlyRenewed := ok && !old.Expired && isRenewal(a, old.Announcement) && !turnsCold(a, old, now)
	if pendingOnlyRenewed, pending := r.announced[a.ID]; pending {
		onlyRenewed = onlyRenewed && pendingOnlyRenewed
	}
	r.noteLeaving(a, old, now)
	r.put(&Row{Announcement: a, Until: now.Add(ttl(a)), Credential: credential})
	r.announced[a.ID] = onlyRenewed
	return nil
}

// Merge applies announcements from another instance. It returns those that were newer than the known ones: renewals in
// renewed, all others, among them those of upstreams that turned cold, in changed. late lists the departures of upstreams
// whose announcements were made before.
func (r *Roster) Merge(list []wire.Announcement, now time.Time) (changed, renewed []wire.Announcement, late []wire.Departure) {
	for _, a := range list {
		if r.isLate(a) {
			d, _ := r.Departure(a.ID)
			late = append(late, d)
			continue
		}
		old, ok := r.view.Rows.Get(a.ID)
		if ok && !newer(a, old.Announcement) {
			continue
		}
		r.noteLeaving(a, old, now)
		row := &Row{Announcement: a, Until: now.Add(ttl(a))}
		if ok {
			row.Credential = old.Credential
		}
		r.put(row)
		if ok && !old.Expired && isRenewal(a, old.Announcement) && !turnsCold(a, old, now) {
			renewed = append(renewed, a)
		} else {
			changed = append(changed, a)
		}
	}
	return changed, renewed, late
}

// Expire marks the rows as expired whose time to live has passed, except those for which keep returns true. It removes
// expired rows expiredRetention after the end of their time to live, and departures after their retention. It returns the
// announcements of the upstreams that it marked.
func (r *Roster) Expire(now time.Time, keep func(wire.Announcement) bool) []wire.Announcement {
	var expired []wire.Announcement
	var outdated []string
	for id, row := range r.view.Rows.All() {
		switch {
		case now.Before(row.Until):
		case row.Expired && now.Sub(row.Until) > expiredRetention:
			outdated = append(outdated, id)
		case !row.Expired && !keep(row.Announcement):
			expired = append(expired, row.Announcement)
		}
	}
	for _, a := range expired {
		row, _ := r.view.Rows.Get(a.ID)
		r.markExpired(a.ID, row)
	}
	r.forgetDepartures(now)
	for _, id := range outdated {
		r.view.Rows = r.view.Rows.Without(id)
	}
	return expired
}

// markExpired marks a row as expired and removes it from the digest.
func (r *Roster) markExpired(id string, row *Row) {
	r.toggleHash(row.Announcement)
	expired := *row
	expired.Expired = true
	r.view.Rows = r.view.Rows.With(id, &expired)
}

// TakeChanged returns the current announcements of the upstreams that were announced at this instance since the last
// TakeChanged. renewed holds those of upstreams that were only renewed, changed all others.
func (r *Roster) TakeChanged() (changed, renewed []wire.Announcement) {
	for id, onlyRenewed := range r.announced {
		row, ok := r.view.Rows.Get(id)
		switch {
		case !ok:
		case onlyRenewed:
			renewed = append(renewed, row.Announcement)
		default:
			changed = append(changed, row.Announcement)
		}
	}
	clear(r.announced)
	return changed, renewed
}

// TakeNew returns the announcements applied since the last TakeNew, whether from upstreams or from other instances,
// oldest first.
func (r *Roster) TakeNew() []wire.Announcement {
	out := r.newAnnouncements
	r.newAnnouncements = nil
	return out
}

// put replaces the upstream's row, updates the digest and records the announcement for TakeNew.
func (r *Roster) put(row *Row) {
	old, ok := r.view.Rows.Get(row.Announcement.ID)
	if !ok || old.Expired || !isRenewal(row.Announcement, old.Announcement) {
		if ok && !old.Expired {
			r.toggleHash(old.Announcement)
		}
		r.toggleHash(row.Announcement)
	}
	r.view.Rows = r.view.Rows.With(row.Announcement.ID, row)
	r.newAnnouncements = append(r.newAnnouncements, row.Announcement)
}

// contradicts reports whether a can't be an announcement of the process that b, an older one, is of.
func contradicts(a, b wire.Announcement) bool {
	isSameProcess := a.Incarnation == b.Incarnation
	return isSameProcess && (a.Service != b.Service || a.Address != b.Address || a.Sequence-b.Sequence > maxLead)
}

// newer reports whether a has a higher incarnation than b, or the same and a higher sequence.
func newer(a, b wire.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// ttl returns the announcement's time to live.
func ttl(a wire.Announcement) time.Duration {
	return time.Duration(a.TTLMs) * time.Millisecond
}
