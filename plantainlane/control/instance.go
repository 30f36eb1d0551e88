package control

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// ErrUnknownInstance reports an instance that is not in this instance's table of instances.
var ErrUnknownInstance = errors.New("control: unknown instance")

// loadSteps is the number of steps to which a load is rounded, so that small changes of load are not propagated.
const loadSteps = 8

// instanceRows is an instance's copy of the leader's table of all instances.
type instanceRows struct {
	rows table.Table[wire.InstanceInfo]
	// version is the leader's row version up to which rows is complete. Versions count within one term.
	version int
	// term is the term of the leader that sent version.
	term int
}

// learnLeader adds a row with the leader's address if there is no row of the leader.
func (r *instanceRows) learnLeader(id, address string) {
	if address != "" && !r.rows.Has(id) {
		r.rows = r.rows.With(id, wire.InstanceInfo{ID: id, PeerAddress: address})
	}
}

// mergeInstances adds the rows of a leader's lease answer to the table of instances. An answer of the same term with an
// older version than the table's is ignored, and one that says nothing about the rows.
func (c *Core) mergeInstances(a wire.LeaseAnswer) {
	if a.InstancesVersion == 0 {
		return
	}
	if a.Term != c.instances.term {
		c.instances.term = a.Term
		c.instances.version = 0
	}
	if a.InstancesVersion < c.instances.version {
		return
	}
	c.instances.version = a.InstancesVersion
	if len(a.Instances) == 0 {
		return
	}
	for _, i := range a.Instances {
		c.instances.rows = c.instances.rows.With(i.ID, i)
	}
	c.dirty = true
}

// runInstances marks instances as silent from which the leader received no lease request for SilentAfter, contacts silent
// instances and those that it hasn't heard of in each LeaseInterval, and removes silent instances whose lease expired more
// than ForgetAfter ago. Only the leader does so.
func (c *Core) runInstances() {
	if c.leaderState == nil {
		return
	}
	for _, row := range c.leaderState.rows {
		if c.now.Sub(row.lastSeen) > c.timing.SilentAfter && !row.info.Silent {
			info := row.info
			info.Silent = true
			c.leaderState.updateRow(row, info)
			c.record(wire.Event{Kind: "instanceSilent", Detail: &info.ID})
		}
		if (row.info.Silent || !row.contacted) && !c.now.Before(row.nextContact) {
			// The announcement of the leadership may be lost, and after a restart the instance may know no other one.
			row.nextContact = c.now.Add(c.timing.LeaseInterval)
			c.sendLeadership(row.info.ID)
		}
		if row.info.Silent && c.now.Sub(row.leaseUntil) > c.timing.ForgetAfter {
			info := row.info
			c.appendWithoutReply(wire.Command{Forget: &info})
		}
	}
}

// appendWithoutReply appends a command of the leader itself, whose outcome nobody waits for.
func (c *Core) appendWithoutReply(cmd wire.Command) {
	c.appendProposal(origin{}, cmd)
}

// registerInstance appends the instance's registration to the log. An instance is registered before its first lease,
// since every later leader must know each instance that may hold a lease. Nothing is appended if this
// incarnation is registered, or if this leader has already appended such a registration. A later one is removed first, see forgetEnded.
func (c *Core) registerInstance(info wire.InstanceInfo) {
	old, ok := c.state.Instances.Get(info.ID)
	if ok && old.Incarnation >= info.Incarnation {
		c.forgetEnded(old, info.Incarnation)
		return
	}
	if c.leaderState.registering[info.ID] >= info.Incarnation {
		return
	}
	c.leaderState.registering[info.ID] = info.Incarnation
	info.Load, info.Silent = 0, false
	c.appendWithoutReply(wire.Command{Register: &info})
}

// forgetEnded removes the registered incarnation of an instance that sends lease requests under an earlier one, once the registered one is
// silent and has no lease on which a change waits: its clock was ahead, and it has ended. The next request registers the instance again.
func (c *Core) forgetEnded(registered wire.InstanceInfo, incarnation int) {
	row := c.leaderState.rows[registered.ID]
	if row == nil || !row.info.Silent || row.info.Incarnation != registered.Incarnation || incarnation == registered.Incarnation {
		return
	}
	if !c.timing.AcceptCommitted && c.now.Before(row.leaseUntil) {
		return
	}
	delete(c.leaderState.registering, registered.ID)
	c.appendWithoutReply(wire.Command{Forget: &registered})
	c.record(wire.Event{Kind: "instanceReplaced", Detail: &registered.ID})
}

// randomPeer returns the ID of a random connected instance; empty if there is none.
func (c *Core) randomPeer() string {
	ids := slices.Sorted(maps.Keys(c.peers))
	if len(ids) == 0 {
		return ""
	}
	return ids[c.random.IntN(len(ids))]
}

// addressOf returns the peer address of an instance; empty if the address isn't known.
func (c *Core) addressOf(id string) string {
	if id == c.self.ID {
		return c.self.PeerAddress
	}
	if p, ok := c.peers[id]; ok {
		return p.PeerAddress
	}
	i, _ := c.instances.rows.Get(id)
	return i.PeerAddress
}

// requestDrain starts the drain if the request names this instance, and otherwise sends the request to the named one.
func (c *Core) requestDrain(in DrainRequested) {
	if in.Instance == c.self.ID {
		c.startDrain()
		in.Reply <- nil
		return
	}
	if !c.instances.rows.Has(in.Instance) {
		in.Reply <- errors.Wrap(ErrUnknownInstance, in.Instance)
		return
	}
	c.drainOrders[in.Instance] = drainOrder{until: c.now.Add(c.timing.AcceptWait)}
	in.Reply <- nil
}

// drainOrder is an order to another instance to drain, which is sent until that instance is known to drain, at most until
// the time until.
type drainOrder struct {
	until, nextSend time.Time
}

// runDrainOrders sends the orders to drain that are due.
func (c *Core) runDrainOrders() {
	for id, o := range c.drainOrders {
		row, known := c.instances.rows.Get(id)
		if !known || row.Draining || c.now.After(o.until) {
			delete(c.drainOrders, id)
			continue
		}
		if c.now.Before(o.nextSend) {
			continue
		}
		o.nextSend = c.now.Add(c.timing.ProposalRetry)
		c.drainOrders[id] = o
		c.send(id, wire.Frame{Drain: &wire.DrainOrder{Instance: id}})
	}
}

// startDrain marks this instance as draining, and makes a lease request due immediately, since lease requests report
// the mark to the leader.
func (c *Core) startDrain() {
	if c.draining {
		return
	}
	c.draining, c.self.Draining = true, true
	c.dirty = true
	c.lease.requestNow()
	c.record(wire.Event{Kind: "drainStarted"})
}

// quantizeLoad rounds a load to the nearest of loadSteps steps.
func quantizeLoad(fraction float64) float64 {
	return math.Round(fraction*loadSteps) / loadSteps
}
