package control

import (
	"math/rand/v2"
	"time"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/state"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// Outbound is a frame for another instance.
type Outbound struct {
	// To is the receiving instance.
	To    string
	Frame wire.Frame
}

// Recorder takes events for the time line. It must not block.
type Recorder interface {
	Record(now time.Time, e wire.Event)
}

// Core is the control state of one instance and the systems that run over it. It does no I/O and reads no
// clock: Step is given the time and the inputs, and returns the frames to send. It is used by one
// goroutine.
type Core struct {
	timing   Timing
	log      Log
	recorder Recorder
	random   *rand.Rand

	// self is this instance as the leader should know it.
	self wire.InstanceInfo
	// state is the replicated state; nil on an instance without a replica.
	state *state.State
	// applied is the index of the newest entry that state includes.
	applied int
	// compacted is the index of the newest snapshot asked for.
	compacted int
	// uncompacted is the size of the commands applied since then, in bytes.
	uncompacted int
	// voters is how many replicas vote once enough instances have a disk.
	voters int
	// deltas holds recent change sets by the revision they made.
	deltas map[int]*wire.ChangeSet

	config    state.Config
	leader    string
	term      int
	leases    leaseHolder
	grants    grants
	instances instanceRows
	peers     map[string]wire.InstanceInfo
	// connected is published with the views, and replaced when peers changes.
	connected map[string]bool
	roster    *roster.Roster
	proposals proposals
	queries   queries
	lead      *leadership
	orders    orders
	draining  bool
	// gone holds upstreams that lapsed and were not taken by TakeUpstreams.
	gone     []string
	digestAt time.Time
	expireAt time.Time

	now      time.Time
	out      []Outbound
	loopback []wire.Frame
	// proposed tells that the log has new proposals to pass on.
	proposed bool
	view     *View
	dirty    bool
}

// Option changes a Core under construction.
type Option func(*Core)

// WithLog gives the instance a replica of the control log and the state that the log's snapshot holds.
func WithLog(l Log, s *state.State, applied int) Option {
	return func(c *Core) {
		c.log, c.state, c.applied, c.compacted = l, s, applied, applied
		c.config = s.Config
	}
}

// WithVoters sets how many replicas vote once enough instances have a disk; an odd number.
func WithVoters(n int) Option {
	return func(c *Core) { c.voters = n }
}

// WithTiming replaces the default periods.
func WithTiming(t Timing) Option {
	return func(c *Core) { c.timing = t }
}

// WithRecorder sends the core's events to r.
func WithRecorder(r Recorder) Option {
	return func(c *Core) { c.recorder = r }
}

// WithSeed seeds the choice of peers.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns the control state of an instance that has just started.
func New(self wire.InstanceInfo, opts ...Option) *Core {
	c := &Core{
		timing:    DefaultTiming(),
		voters:    DefaultVoters,
		self:      self,
		random:    rand.New(rand.NewPCG(uint64(self.Incarnation), 0)),
		deltas:    make(map[int]*wire.ChangeSet),
		peers:     make(map[string]wire.InstanceInfo),
		roster:    roster.New(),
		instances: instanceRows{rows: table.Table[wire.InstanceInfo]{}},
		proposals: newProposals(self.Incarnation),
		queries:   newQueries(self.Incarnation),
		dirty:     true,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Step takes inputs, runs the systems, and returns the frames to send. Time never goes back between calls.
func (c *Core) Step(now time.Time, inputs ...Input) []Outbound {
	c.now = now
	c.out = nil
	for _, in := range inputs {
		c.take(in)
	}
	c.runReplication()
	c.runLeadership()
	c.runInstances()
	c.runMembership()
	c.runLeases()
	c.runConfig()
	c.runGrants()
	c.runProposals()
	c.runQueries()
	c.runSiteReads()
	c.runRoster()
	c.runRetention()
	c.runOrders()
	c.settle()
	return c.out
}

// settle takes the frames this instance sent to itself and passes what was proposed on to the log, all at
// once, so that proposals of one step share a batch.
func (c *Core) settle() {
	for len(c.loopback) > 0 || c.proposed {
		frames := c.loopback
		c.loopback = nil
		for _, f := range frames {
			c.takeFrame(f)
		}
		c.proposed = false
		c.runReplication()
	}
}

// View returns the state for traffic goroutines, and whether it changed since the last call.
func (c *Core) View() (*View, bool) {
	if !c.dirty {
		return c.view, false
	}
	c.dirty = false
	c.view = &View{
		Self:       c.self,
		Config:     c.config,
		LeaseUntil: c.leases.until,
		Draining:   c.draining,
		Instances:  c.instances.rows,
		Connected:  c.connected,
		Upstreams:  c.roster.View(),
		Leader:     c.leader,
	}
	return c.view, true
}

// peersChanged notes which instances there is a connection to, for the next views.
func (c *Core) peersChanged() {
	c.connected = make(map[string]bool, len(c.peers))
	for id := range c.peers {
		c.connected[id] = true
	}
	c.dirty = true
}

func (c *Core) take(in Input) {
	switch in := in.(type) {
	case FrameReceived:
		c.takeFrame(in.Frame)
	case PeerConnected:
		c.peers[in.Info.ID] = in.Info
		c.peersChanged()
	case PeerLost:
		delete(c.peers, in.ID)
		c.peersChanged()
	case Proposed:
		c.propose(in)
	case UpstreamAnnounced:
		in.Reply <- c.announce(in)
	case UpstreamLeft:
		in.Reply <- c.roster.Leave(in.ID, in.Credential, in.Incarnation, in.Sequence, c.now)
		c.dirty = true
	case DrainRequested:
		c.requestDrain(in)
	case StatusRequested:
		c.requestStatus(in)
	case QueryRequested:
		c.query(in.To, in.Frame, in.Until, in.Reply)
	case OrderReported:
		c.orders.inbox = append(c.orders.inbox, in.Report)
	case TrafficEnded:
		c.releaseGrants()
	case LoadMeasured:
		c.self.Load = quantizeLoad(in.Share)
	}
}

func (c *Core) takeFrame(f wire.Frame) {
	switch {
	case f.Consensus != nil && c.log != nil:
		c.log.Step(*f.Consensus, c.now)
	case f.LeaseRequest != nil:
		c.takeLeaseRequest(f.From, *f.LeaseRequest)
	case f.LeaseAnswer != nil:
		c.takeLeaseAnswer(f.From, *f.LeaseAnswer)
	case f.Config != nil:
		c.takeConfig(*f.Config)
	case f.GrantRequest != nil:
		c.takeGrantRequest(f.From, *f.GrantRequest)
	case f.GrantAnswer != nil:
		c.takeGrantAnswer(f.From, *f.GrantAnswer)
	case f.Propose != nil:
		c.leadProposal(origin{f.From, f.Call}, f.Propose.Command)
	case f.ProposeAnswer != nil:
		c.finishProposal(f.Call, *f.ProposeAnswer)
	case f.Upstreams != nil:
		c.takeUpstreams(f.From, *f.Upstreams)
	case f.Digest != nil:
		c.takeDigest(f.From, *f.Digest)
	case f.Drain != nil:
		c.startDrain()
	default:
		c.takeQuery(f)
	}
}

// takeQuery takes a query, or the answer to one.
func (c *Core) takeQuery(f wire.Frame) {
	switch {
	case f.CostQuery != nil:
		c.answerCost(origin{f.From, f.Call}, *f.CostQuery)
	case f.ResultQuery != nil:
		c.answerResult(origin{f.From, f.Call}, *f.ResultQuery)
	case f.SiteQuery != nil:
		c.takeSiteQuery(origin{f.From, f.Call})
	case f.StatusQuery != nil:
		c.answerStatus(origin{f.From, f.Call})
	default:
		c.finishQuery(f)
	}
}

// send queues a frame for an instance; one for this instance itself is taken within the same step.
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
