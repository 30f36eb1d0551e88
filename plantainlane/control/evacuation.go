package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

var (
	// ErrStaleOrder reports an order to evacuate a zone that was made against an older state of the zone, and changed nothing.
	ErrStaleOrder = errors.New("control: the state of the zone has changed since the order was received")
	// ErrOrderUnconfirmed reports an order to evacuate a zone that isn't known to be committed.
	ErrOrderUnconfirmed = errors.New("control: no leader confirmed the order")
)

// closedConnectionWait is how long an order waits before it is proposed, so that the end of its caller's connection, which may
// have arrived with it while the process stood still, is noticed.
const closedConnectionWait = 20 * time.Millisecond

// evacuations is what an instance has learned of evacuated zones.
type evacuations struct {
	// known are the states that were learned.
	known table.Table[wire.Evacuation]
	// ended holds when this instance learned that the last evacuation of a zone ended, by zone.
	ended table.Table[time.Time]
}

// learnEvacuations notes which zones' states have changed since the last call. The end of an evacuation that this instance
// has missed, or that it learns of after its start, counts from now.
func (c *Core) learnEvacuations() {
	e := &c.evacuations
	if e.known == c.config.Evacuations {
		return
	}
	for zone, next := range c.config.Evacuations.All() {
		old, _ := e.known.Get(zone)
		if next.Ended > old.Ended {
			e.ended = e.ended.With(zone, c.now)
		}
		if next.Active != old.Active || next.Ended > old.Ended {
			kind, id := "evacuationEnded", zone
			if next.Active {
				kind = "zoneEvacuated"
			}
			klog.InfoS("evacuation of a zone", "zone", zone, "evacuated", next.Active, "version", next.Version)
			c.record(wire.Event{Kind: kind, Detail: &id})
		}
	}
	e.known = c.config.Evacuations
	c.dirty = true
}

// handleEvacuations applies states of zones that are newer than the known ones. They may be ahead of the configuration, whose
// revision brings them too: only committed states are sent, and the version of a zone's state never decreases.
func (c *Core) handleEvacuations(list []wire.Evacuation) {
	if len(list) > 0 {
		c.config = c.config.WithEvacuations(list)
		c.learnEvacuations()
	}
}

// sendEvacuations sends the states of all zones to all instances after an order was committed. Only the leader does so. An
// instance may get the configuration later, if an earlier push to it is unconfirmed; if this frame is lost, its next lease
// answer has the states.
func (c *Core) sendEvacuations() {
	if c.leaderState == nil {
		return
	}
	update := wire.EvacuationUpdate{Evacuations: c.state.Config.EvacuationList()}
	for id := range c.leaderState.rows {
		if id != c.self.ID {
			c.send(id, wire.Frame{Evacuations: &update})
		}
	}
}

// Evacuate orders that the upstreams of an availability zone get no work, or some again if isActive is false. It returns nil once
// the order is committed, or if it was in force when it was committed again. It returns ErrStaleOrder if the order came too
// late, and ErrOrderUnconfirmed if its outcome isn't known when ctx ends; the caller may then repeat it. ctx must have a
// deadline.
func (l *Loop) Evacuate(ctx context.Context, zone string, isActive bool) error {
	started := time.Now()
	// The state is read first: an order that has waited here counts as made against what was known before the wait.
	known, _ := l.Publisher.View().Config.Evacuations.Get(zone)
	err := l.order(ctx, wire.EvacuationOrder{Zone: zone, Active: isActive, BaseVersion: known.Version})
	klog.InfoS("order for a zone", "zone", zone, "evacuate", isActive, "baseVersion", known.Version, "confirmed", err == nil,
		"ms", time.Since(started).Milliseconds(), "err", err)
	return err
}

// order proposes an order unless ctx ends before.
func (l *Loop) order(ctx context.Context, o wire.EvacuationOrder) error {
	select {
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrOrderUnconfirmed)
	case <-time.After(closedConnectionWait):
	}
	until, _ := ctx.Deadline()
	reply := make(chan wire.ProposeAnswer, 1)
	in := Proposed{Command: wire.Command{Evacuate: &o}, Until: until, Cancelled: ctx.Done(), Reply: reply}
	if !l.Deliver(ctx, in) {
		return ErrOrderUnconfirmed
	}
	select {
	case a := <-reply:
		switch {
		case !a.Committed || a.Evacuation == nil:
			return errors.Wrap(ErrOrderUnconfirmed, a.Refusal)
		case a.Evacuation.Active != o.Active:
			return errors.Wrapf(ErrStaleOrder, "version %d", a.Evacuation.Version)
		}
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrOrderUnconfirmed)
	case <-l.done:
		return ErrOrderUnconfirmed
	}
}
