package roster

import (
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// DepartureRetention is how long a departure is remembered. A late announcement arrives seconds after it was sent.
const DepartureRetention = 10 * time.Minute

// departures holds the newest departure of each upstream, by its ID. Announcements that aren't newer are late ones, whether the
// upstream is known or not.
type departures struct {
	rows table.Table[wire.Departure]
	// recorded lists the departures recorded here, and not at another instance, since the last TakeDepartures.
	recorded []wire.Departure
}

// Departure returns the newest known departure of an upstream.
func (r *Roster) Departure(id string) (wire.Departure, bool) { return r.departed.rows.Get(id) }

// Departures returns the number of departures that are remembered.
func (r *Roster) Departures() int { return r.departed.rows.Len() }

// TakeDepartures returns the departures that upstreams reported to this instance, or that it learned by Record, since the last call.
func (r *Roster) TakeDepartures() []wire.Departure {
	out := r.departed.recorded
	r.departed.recorded = nil
	return out
}

// Leave records that an upstream is leaving, also one that isn't known yet: its announcement may still be on the way. It returns
// ErrStale if a newer announcement is known, and ErrForeign if another credential announced the upstream.
func (r *Roster) Leave(id, credential string, incarnation, sequence int, now time.Time) error {
	d := wire.Departure{ID: id, Incarnation: incarnation, Sequence: sequence, AtMs: int(now.UnixMilli())}
	old, ok := r.view.Rows.Get(id)
	if ok && old.Credential != "" && old.Credential != credential {
		return errors.Wrapf(ErrForeign, "upstream %s", id)
	}
	if ok && !newer(orderOf(d), old.Announcement) {
		return errors.Wrapf(ErrStale, "upstream %s is known with incarnation %d, sequence %d",
			id, old.Announcement.Incarnation, old.Announcement.Sequence)
	}
	r.Record(d, now)
	return nil
}

// Record records a departure of which the other instances may not know, as Depart does, and lists it for TakeDepartures.
func (r *Roster) Record(d wire.Departure, now time.Time) bool {
	if !r.Depart(d, now) {
		return false
	}
	r.departed.recorded = append(r.departed.recorded, d)
	return true
}

// Depart records a departure, and marks the upstream as leaving if it is known. It returns false, and changes nothing, unless the
// departure is newer than the known one and not forgotten yet.
func (r *Roster) Depart(d wire.Departure, now time.Time) bool {
	if !r.recordDeparture(d, now) {
		return false
	}
	if row, ok := r.view.Rows.Get(d.ID); ok && !row.Expired && newer(orderOf(d), row.Announcement) {
		a := row.Announcement
		a.Incarnation, a.Sequence, a.Leaving = d.Incarnation, d.Sequence, true
		r.put(&Row{Announcement: a, Until: now.Add(ttl(a)), Credential: row.Credential})
	}
	return true
}

// recordDeparture records a departure, unless it isn't newer than the known one, or is to be forgotten.
func (r *Roster) recordDeparture(d wire.Departure, now time.Time) bool {
	if isForgotten(d, now) {
		return false
	}
	if old, ok := r.departed.rows.Get(d.ID); ok {
		if !newer(orderOf(d), orderOf(old)) {
			return false
		}
		r.toggleDeparture(old)
	}
	// A clock that is ahead doesn't make a departure last longer.
	d.AtMs = min(d.AtMs, int(now.UnixMilli()))
	r.departed.rows = r.departed.rows.With(d.ID, d)
	r.toggleDeparture(d)
	return true
}

// noteLeaving records the departure of an upstream whose announcement says that it's leaving, unless its incarnation has been
// leaving before.
func (r *Roster) noteLeaving(a wire.Announcement, old *Row, now time.Time) {
	isOld := old != nil && old.Announcement.Leaving && old.Announcement.Incarnation == a.Incarnation
	if a.Leaving && !isOld {
		r.recordDeparture(wire.Departure{ID: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence, AtMs: int(now.UnixMilli())}, now)
	}
}

// isLate reports whether an announcement was made before its upstream departed.
func (r *Roster) isLate(a wire.Announcement) bool {
	d, ok := r.departed.rows.Get(a.ID)
	return ok && !a.Leaving && !newer(a, orderOf(d))
}

// forgetDepartures drops the departures whose time has passed.
func (r *Roster) forgetDepartures(now time.Time) {
	for id, d := range r.departed.rows.All() {
		if isForgotten(d, now) {
			r.toggleDeparture(d)
			r.departed.rows = r.departed.rows.Without(id)
		}
	}
}

// isForgotten reports whether the retention of a departure is over. It follows from the departure's own time, so that all instances
// forget it at the same time.
func isForgotten(d wire.Departure, now time.Time) bool {
	return now.Sub(time.UnixMilli(int64(d.AtMs))) > DepartureRetention
}

// orderOf returns an announcement with the incarnation and the sequence of a departure.
func orderOf(d wire.Departure) wire.Announcement {
	return wire.Announcement{ID: d.ID, Incarnation: d.Incarnation, Sequence: d.Sequence}
}
