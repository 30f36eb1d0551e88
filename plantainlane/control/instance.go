package control

import (
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// ErrUnknownInstance reports an instance that is not known here.
var ErrUnknownInstance = errors.New("control: unknown instance")

// loadSteps is the number of steps a load is told in, so that small changes are not spread.
const loadSteps = 8

// instanceRows is what an instance knows of all instances, from the leader.
type instanceRows struct {
	rows table.Table[wire.InstanceInfo]
	// version is the leader's row version of term up to which rows is complete.
	version int
	term    int
}

// knowLeader notes the leader's address while its row is not known.
func (r *instanceRows) knowLeader(id, address string) {
	if address != "" && !r.rows.Has(id) {
		r.rows = r.rows.With(id, wire.InstanceInfo{ID: id, PeerAddress: address})
	}
}

// takeInstances takes the rows that a leader's lease answer carries.
func (c *Core) takeInstances(a wire.LeaseAnswer) {
	if a.Term != c.instances.term {
		c.instances.term = a.Term
		c.instances.version = 0
	}
	if a.InstancesVersion < c.instances.version || len(a.Instances) == 0 {
		return
	}
	c.instances.version = a.InstancesVersion
	for _, i := range a.Instances {
		c.instances.rows = c.instances.rows.With(i.ID, i)
	}
	c.dirty = true
}

// runInstances marks instances that the leader no longer hears, and forgets those whose lease lapsed long
// ago.
func (c *Core) runInstances() {
	if c.lead == nil {
		return
	}
	for _, row := range c.lead.rows {
		if c.now.Sub(row.heardAt) > c.timing.SilentAfter && !row.info.Silent {
			info := row.info
			info.Silent = true
			c.lead.update(row, info)
			c.record(wire.Event{Kind: "instanceSilent", Detail: &info.ID})
		}
		if row.info.Silent && c.now.Sub(row.until) > c.timing.ForgetAfter {
			info := row.info
			c.leadOwn(wire.Command{Forget: &info})
		}
	}
}

// leadOwn appends a command that nobody waits for.
func (c *Core) leadOwn(cmd wire.Command) {
	c.leadProposal(origin{}, cmd)
}

// registerInstance makes an instance known to every later leader before it gets its first lease.
func (c *Core) registerInstance(info wire.InstanceInfo) {
	old, ok := c.state.Instances.Get(info.ID)
	if ok && old.Incarnation >= info.Incarnation {
		return
	}
	if c.lead.registering[info.ID] >= info.Incarnation {
		return
	}
	c.lead.registering[info.ID] = info.Incarnation
	info.Load, info.Silent = 0, false
	c.leadOwn(wire.Command{Register: &info})
}

func (c *Core) anyPeer() string {
	ids := slices.Sorted(maps.Keys(c.peers))
	if len(ids) == 0 {
		return ""
	}
	return ids[c.random.IntN(len(ids))]
}

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
	c.send(in.Instance, wire.Frame{Drain: &wire.DrainOrder{Instance: in.Instance}})
	in.Reply <- nil
}

func (c *Core) startDrain() {
	if c.draining {
		return
	}
	c.draining, c.self.Draining = true, true
	c.dirty = true
	c.leases.requestNow()
	c.record(wire.Event{Kind: "drainStarted"})
}

func quantizeLoad(share float64) float64 {
	return math.Round(share*loadSteps) / loadSteps
}
