package control

import (
	"math/rand/v2"
	"time"

	"plantainlane/plantainlane/expiry"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/state"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// Outbound is a frame for another instance, or an order to replace the connections to it.
type Outbound struct {
	// To is the receiving instance.
	To    string
	Frame wire.Frame
	// Reconnect is set if the connections to the instance are to be closed; Frame is then empty.
	Reconnect bool
}

// stallTicks is the number of ticks without a step after which the control goroutine counts as stalled.
const stallTicks = 5

// Recorder adds events to the time line. Record must not block.
type Recorder interface {
	Record(now time.Time, e wire.Event)
}

// Core is the control state of one instance and the systems that run over it. It does no I/O and reads no
// clock: Step receives the time and the inputs, and returns the frames to send. A Core may be used by one
// goroutine at a time.
type Core struct {
	timing   Timing
	log      Log
	recorder Recorder
	random   *rand.Rand

	// self describes this instance; lease requests report it to the leader.
	self wire.InstanceInfo
	// state is the replicated state; nil on an instance without a replica.
	state *state.State
	// appliedIndex is the index of the newest log entry that state includes.
	appliedIndex int
	// snapshotIndex is the index of the newest log entry that the last requested snapshot includes.
	snapshotIndex int
	// bytesSinceSnapshot is the size in bytes of the commands applied since the last requested snapshot.
	bytesSinceSnapshot int
	// voterCount is how many replicas vote once enough instances have a data folder.
	voterCount int
	changes    recentChanges

	// config is the configuration applied on this instance.
	config    state.Config
	freshness freshness
	// evacuations is what was last learned of evacuated zones.
	evacuations evacuations
	// leader is the instance ID of the leader, empty while unknown; term is the leader's term.
	leader       string
	term         int
	lease        leaseHolder
	grants       grants
	quotas       quotas
	quarantining quarantining
	instances    instanceRows
	// peers holds the instances with a connection to this one, by ID.
	peers map[string]wire.InstanceInfo
	// connected holds the IDs of peers for the views. Each change of peers replaces the map, since
	// published views share it.
	connected map[string]bool
	// roster holds the newest announcement of each upstream.
	roster    *roster.Roster
	proposals proposals
	queries   queries
	// leaderState is nil unless this instance leads.
	leaderState *leaderState
	orders      orders
	draining    bool
	// drainOrders holds the orders to drain that were given here, by the ID of the instance to drain.
	drainOrders map[string]drainOrder
	// expiredUpstreams holds the IDs of upstreams that expired since the last call of TakeUpstreams.
	expiredUpstreams []string
	// nextDigest is when the digest of the roster is sent to a peer next.
	nextDigest time.Time
	// nextExpiry is when the roster is checked for expired upstreams next.
	nextExpiry time.Time

	// resumedAt is the time of the first step after the machine was last suspended; zero if it wasn't.
	resumedAt time.Time
	// standstillEnded is the time of the first step after the last standstill, see noteStandstill; zero if there was none.
	standstillEnded time.Time
	// now is the time of the current step, and out the frames that it sends to other instances.
	now time.Time
	out []Outbound
	// loopback holds frames that this instance sent to itself and has not handled yet.
	loopback []wire.Frame
	// appended is set while the log holds appended commands that runReplication has not processed.
	appended bool
	view     *View
	// dirty is set when the state shown by view has changed since view was built.
	dirty bool
}

// Option changes a Core under construction.
type Option func(*Core)

// WithLog gives the instance the replica l of the control log. The state s was restored from the newest snapshot of l
// and includes the entries up to index applied.
func WithLog(l Log, s *state.State, applied int) Option {
	return func(c *Core) {
		c.log, c.state, c.appliedIndex, c.snapshotIndex = l, s, applied, applied
		c.config = s.Config
	}
}

// WithVoters sets how many replicas vote once enough instances have a data folder. n is odd.
func WithVoters(n int) Option {
	return func(c *Core) { c.voterCount = n }
}

// WithTiming replaces the default periods.
func WithTiming(t Timing) Option {
	return func(c *Core) { c.timing = t }
}

// WithRecorder sends the core's events to r.
func WithRecorder(r Recorder) Option {
	return func(c *Core) { c.recorder = r }
}

// WithSeed seeds the random choice of peers.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns the control state of an instance that has just started.
func New(self wire.InstanceInfo, opts ...Option) *Core {
	c := &Core{
		timing:      DefaultTiming(),
		voterCount:  DefaultVoters,
		self:        self,
		random:      rand.New(rand.NewPCG(uint64(self.Incarnation), 0)),
		drainOrders: make(map[string]drainOrder),
		peers:       make(map[string]wire.InstanceInfo),
		roster:      roster.New(),
		instances:   instanceRows{rows: table.Table[wire.InstanceInfo]{}},
		proposals:   newProposals(self.Incarnation),
		queries:     newQueries(self.Incarnation),
		dirty:       true,
	}
	for _, o := range opts {
		o(c)
	}
	c.restoreDepartures()
	return c
}

// Step handles the inputs, runs the systems, and returns the frames to send. now must not be before the now of an
// earlier call.
func (c *Core) Step(now time.Time, inputs ...Input) []Outbound {
	previous := c.now
	c.now = now
	c.out = nil
	c.noteSuspension(previous)
	c.noteStandstill(previous)
	c.learnEvacuations()
	c.recordStall(previous)
	for _, in := range inputs {
		c.handleInput(in)
	}
	c.runReplication()
	c.runLeadership()
	c.runInstances()
	c.runDrainOrders()
	c.runMembership()
	c.runQuarantine()
	c.runLeaseRequests()
	c.runConfig()
	c.runGrants()
	c.runQuotas()
	c.runProposals()
	c.runQueries()
	c.runSiteReads()
	c.runRoster()
	c.runRetention()
	c.runOrders()
	c.deliverLoopback()
	c.recordConfirmation()
	return c.out
}

// noteSuspension notes that the machine was suspended, or its time of day set forward, since the previous step: what was
// confirmed before says nothing about now.
func (c *Core) noteSuspension(previous time.Time) {
	skipped := expiry.Skipped(previous, c.now)
	if previous.IsZero() || skipped < c.timing.Tick {
		return
	}
	c.resumedAt = c.now
	c.lease.requestNow()
	detail := skipped.Round(time.Millisecond).String()
	c.record(wire.Event{Kind: "resumed", Detail: &detail})
}

// isConfirmed reports whether this instance leads and a quorum confirmed that within the last QuorumFresh, and since the
// machine was last suspended.
func (c *Core) isConfirmed() bool {
	since := c.now.Add(-c.timing.QuorumFresh)
	if c.resumedAt.After(since) {
		since = c.resumedAt
	}
	return c.log.ConfirmedSince(since)
}

// recordStall records that no step ran for much longer than a tick: the control goroutine waited, or got no processor
// time.
func (c *Core) recordStall(previous time.Time) {
	pause := c.now.Sub(previous)
	if previous.IsZero() || pause < stallTicks*c.timing.Tick {
		return
	}
	detail := pause.Round(time.Millisecond).String()
	c.record(wire.Event{Kind: "controlStalled", Detail: &detail})
}

// deliverLoopback handles the frames that this instance sent to itself, and then runs replication once for all
// commands that these frames proposed, so that the proposals of one step share a batch. Both repeat until no frames
// and no proposals are left.
func (c *Core) deliverLoopback() {
	for len(c.loopback) > 0 || c.appended {
		frames := c.loopback
		c.loopback = nil
		for _, f := range frames {
			c.handleFrame(f)
		}
		c.appended = false
		c.runReplication()
	}
}

// View returns the state for traffic goroutines, and whether the state changed since the last call.
func (c *Core) View() (*View, bool) {
	if !c.dirty {
		return c.view, false
	}
	c.dirty = false
	behindSince := c.freshness.behindSince()
	upstreams := c.roster.View()
	upstreams.Evacuations = c.config.Evacuations
	c.view = &View{
		Self:         c.self,
		Config:       c.config,
		LeaseUntil:   c.lease.until,
		CertainUntil: c.certainUntil(),
		BehindSince:  behindSince,
		OutdatedFrom: c.timing.outdatedFrom(behindSince),
		Draining:     c.draining,
		Instances:    c.instances.rows,
		Connected:    c.connected,
		Upstreams:    upstreams,
		Leader:       c.leader,

		EvacuationEnds: c.evacuations.ended,
		HeldUntil:      c.heldUntil(),
	}
	return c.view, true
}

// updateConnected rebuilds the set of connected instances after a change of peers.
func (c *Core) updateConnected() {
	c.connected = make(map[string]bool, len(c.peers))
	for id := range c.peers {
		c.connected[id] = true
	}
	c.dirty = true
}

func (c *Core) handleInput(in Input) {
	switch in := in.(type) {
	case FrameReceived:
		c.handleFrame(in.Frame)
	case PeerConnected:
		c.peers[in.Info.ID] = in.Info
		c.updateConnected()
		c.record(wire.Event{Kind: "peerConnected", Detail: &in.Info.ID})
		c.forgetPush(in.Info.ID)
		if in.Info.ID == c.leader {
			c.lease.requestNow()
		}
	case PeerLost:
		delete(c.peers, in.ID)
		c.updateConnected()
		c.record(wire.Event{Kind: "peerLost", Detail: &in.ID})
		c.forgetPush(in.ID)
	case Proposed:
		c.propose(in.Command, in.Until, func(a wire.ProposeAnswer) { in.Reply <- a }).cancelled = in.Cancelled
	case UpstreamAnnounced:
		c.announce(in)
	case UpstreamLeft:
		c.leave(in)
	case DrainRequested:
		c.requestDrain(in)
	case StatusRequested:
		c.requestStatus(in)
	case QueryRequested:
		c.query(in.To, in.Frame, in.Until, in.Reply)
	case OrderReported:
		c.orders.reports = append(c.orders.reports, in.Report)
	case TrafficEnded:
		c.releaseGrants()
	case QueuesOwned:
		c.self.Owns = in.Owns
		c.dirty = true
		c.lease.requestNow()
	case LoadMeasured:
		c.self.Load = quantizeLoad(in.Share)
	}
}

func (c *Core) handleFrame(f wire.Frame) {
	switch {
	case f.Consensus != nil && c.log != nil:
		c.log.Step(*f.Consensus, c.now)
	case f.LeaseRequest != nil:
		c.handleLeaseRequest(f.From, *f.LeaseRequest)
	case f.LeaseAnswer != nil:
		c.handleLeaseAnswer(f.From, *f.LeaseAnswer)
	case f.Config != nil:
		c.handleConfigUpdate(*f.Config)
	case f.GrantRequest != nil:
		c.handleGrantRequest(f.From, *f.GrantRequest)
	case f.GrantAnswer != nil:
		c.handleGrantAnswer(f.From, *f.GrantAnswer)
	case f.Propose != nil:
		c.appendProposal(origin{f.From, f.Call}, f.Propose.Command)
	case f.ProposeAnswer != nil:
		c.finishProposal(f.Call, *f.ProposeAnswer)
	case f.Upstreams != nil:
		c.handleUpstreamDelta(f.From, *f.Upstreams)
	case f.Digest != nil:
		c.handleDigest(f.From, *f.Digest)
	case f.Quarantine != nil:
		c.handleQuarantine(f.From, f.Quarantine)
	case f.Evacuations != nil:
		c.handleEvacuations(f.Evacuations.Evacuations)
	case f.Drain != nil:
		c.startDrain()
	default:
		c.handleQuery(f)
	}
}

// handleQuery answers a query from another instance, or passes an answer to the waiting query of this instance.
func (c *Core) handleQuery(f wire.Frame) {
	switch {
	case f.CostQuery != nil:
		c.answerCost(origin{f.From, f.Call}, *f.CostQuery)
	case f.ResultQuery != nil:
		c.answerResult(origin{f.From, f.Call}, *f.ResultQuery)
	case f.SiteQuery != nil:
		c.handleSiteQuery(origin{f.From, f.Call})
	case f.PermitQuery != nil:
		c.handlePermitQuery(origin{f.From, f.Call}, *f.PermitQuery)
	case f.TrialQuery != nil:
		c.handleTrialQuery(origin{f.From, f.Call}, *f.TrialQuery)
	case f.StatusQuery != nil:
		c.answerStatus(origin{f.From, f.Call})
	default:
		c.finishQuery(f)
	}
}

// send queues a frame for an instance. A frame for this instance itself is handled within the same step.
func (c *Core) send(to string, f wire.Frame) {
	f.From, f.Incarnation = c.self.ID, c.self.Incarnation
	if to == c.self.ID {
		c.loopback = append(c.loopback, f)
		return
	}
	c.out = append(c.out, Outbound{To: to, Frame: f})
}

func (c *Core) record(e wire.Event) {
	if c.recorder != nil {
		c.recorder.Record(c.now, e)
	}
}
