package control

import (
	"strconv"
	"time"

	"plantainlane/plantainlane/expiry"
	"plantainlane/wire"
)

// freshness is what an instance knows about revisions that it hasn't applied, and about the age of the one that it has. The
// leader states the newest revision in each lease answer, and the revision of its last push: since frames on a connection
// arrive in order, a push that was sent before an answer and hasn't arrived with it is lost. What no leader has stated isn't
// known: an instance that hears nothing may lack any number of revisions.
type freshness struct {
	// newest is the newest revision known to be committed.
	newest int
	// awaited is the oldest revision that was known to be committed and not applied when since was set; 0 if none is.
	awaited int
	since   time.Time
	// lost is the revision of a push that is known to be lost; 0 for none.
	lost int
	// confirmedAt is the newest time at which the applied revision is known to have been the newest; zero if there is none.
	confirmedAt time.Time
	// statements holds the confirmed statements of leaders about revisions that aren't applied yet, the oldest first.
	statements []statement
	// isUnconfirmed is set while the record says that the applied revision isn't confirmed.
	isUnconfirmed bool
}

// statement says that no revision newer than revision was committed at the time at.
type statement struct {
	revision int
	at       time.Time
}

// learn records that a revision is committed, while applied is the revision of this instance.
func (f *freshness) learn(now time.Time, revision, applied int) {
	f.newest = max(f.newest, revision)
	f.update(now, applied)
}

// confirm records a statement of a leader that a quorum confirmed.
func (f *freshness) confirm(s statement, applied int) {
	f.statements = append(f.statements, s)
	if len(f.statements) > keptRequests {
		f.statements = f.statements[1:]
	}
	f.useStatements(applied)
}

// useStatements advances confirmedAt by the statements that name no newer revision than the applied one.
func (f *freshness) useStatements(applied int) {
	kept := f.statements[:0]
	for _, s := range f.statements {
		switch {
		case s.revision > applied:
			kept = append(kept, s)
		case s.at.After(f.confirmedAt):
			f.confirmedAt = s.at
		}
	}
	f.statements = kept
}

// update records that a revision was applied.
func (f *freshness) update(now time.Time, applied int) {
	f.useStatements(applied)
	if applied >= f.lost {
		f.lost = 0
	}
	if applied < f.awaited {
		return
	}
	f.awaited = 0
	if f.newest > applied {
		f.awaited, f.since = f.newest, now
	}
}

// behindSince returns since when this instance has lacked a revision that it knows of; the zero time if it lacks none.
func (f *freshness) behindSince() time.Time {
	if f.awaited == 0 {
		return time.Time{}
	}
	return f.since
}

// learnRevision records a revision that the leader stated.
func (c *Core) learnRevision(revision int) {
	before := c.freshness.behindSince()
	c.freshness.learn(c.now, revision, c.config.Revision)
	if c.freshness.behindSince() != before {
		c.dirty = true
	}
}

// learnPushed records the revision that the leader pushed before a lease answer. If it hasn't arrived, this instance
// asks for another push at once.
func (c *Core) learnPushed(revision int) {
	if revision <= c.config.Revision || revision <= c.freshness.lost {
		return
	}
	c.freshness.lost = revision
	c.lease.requestNow()
	detail := "at " + strconv.Itoa(c.config.Revision)
	c.record(wire.Event{Kind: "pushLost", Revision: &revision, Detail: &detail})
}

// learnConfirmed records that no newer revision was committed when a lease request was sent.
func (c *Core) learnConfirmed(revision int, sentAt time.Time) {
	before := c.freshness.confirmedAt
	c.freshness.confirm(statement{revision, sentAt}, c.config.Revision)
	if c.freshness.confirmedAt != before {
		c.dirty = true
	}
}

// certainUntil returns until when this instance may deny what its configuration doesn't allow: a newer one that allows it
// isn't required to be in force before.
func (c *Core) certainUntil() time.Time {
	if !c.timing.AcceptCommitted {
		return c.lease.until
	}
	if c.freshness.confirmedAt.IsZero() {
		return time.Time{}
	}
	return c.freshness.confirmedAt.Add(c.timing.inForceWithin())
}

// recordConfirmation records when the configuration is no longer confirmed to be the newest, and when it is again.
func (c *Core) recordConfirmation() {
	isUnconfirmed := c.config.Revision > 0 && expiry.IsPast(c.now, c.certainUntil())
	if isUnconfirmed == c.freshness.isUnconfirmed {
		return
	}
	c.freshness.isUnconfirmed = isUnconfirmed
	kind := "configConfirmed"
	if isUnconfirmed {
		kind = "configUnconfirmed"
	}
	revision, leader := c.config.Revision, c.leader
	c.record(wire.Event{Kind: kind, Revision: &revision, Detail: &leader})
}
