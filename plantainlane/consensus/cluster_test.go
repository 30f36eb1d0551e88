package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// stepTime is the simulated time that passes in one step.
	stepTime = 10 * time.Millisecond
	// testTimeout is the election timeout of the simulated replicas.
	testTimeout = 200 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// disk simulates the storage of a replica. Batches that are not synced are lost in a crash.
type disk struct {
	synced   Start
	unsynced []Ready
}

// sync makes the oldest count batches durable and returns the number of the last of them.
func (d *disk) sync(count int) int {
	for _, r := range d.unsynced[:count] {
		if r.HardState != nil {
			d.synced.HardState = *r.HardState
		}
		if r.Snapshot != nil {
			d.synced.Snapshot = *r.Snapshot
		}
		if r.Install {
			d.synced.Entries = nil
		}
		if len(r.Entries) > 0 {
			first := r.Entries[0].Index
			keep := slices.IndexFunc(d.synced.Entries, func(e wire.LogEntry) bool { return e.Index >= first })
			if keep >= 0 {
				d.synced.Entries = slices.Clone(d.synced.Entries[:keep])
			}
			d.synced.Entries = append(d.synced.Entries, r.Entries...)
		}
	}
	batch := d.unsynced[count-1].Batch
	d.unsynced = slices.Clone(d.unsynced[count:])
	return batch
}

// replica is a node with its disk and its copy of the replicated state, which is a register with a single value.
type replica struct {
	id   string
	node *Node
	disk disk
	// up is set while the replica runs.
	up bool
	// diskLost is set once the disk is permanently lost.
	diskLost bool
	// clockRate is the speed of the replica's clock relative to true time.
	clockRate float64
	value     string
	// applied is the index of the last entry applied to value.
	applied int
}

// delivery is a message on the network and the time at which it arrives.
type delivery struct {
	arrivesAt time.Time
	message   wire.ConsensusMessage
}

// cluster simulates replicas that are connected by an unreliable network. The seed determines the whole run.
type cluster struct {
	rng      *rand.Rand
	now      time.Time
	replicas map[string]*replica
	ids      []string
	inFlight []delivery
	// blockedLinks holds the pairs of sender and receiver between which all messages are lost.
	blockedLinks map[[2]string]bool
	// lossRate is the probability that a message on another link is lost.
	lossRate float64
	// committed holds the committed entries by index.
	committed map[int]wire.LogEntry
	// leaderOfTerm holds the ID of the leader seen in each term.
	leaderOfTerm map[int]string
	clients      []*client
	// nextID is the number in the ID of the next replica.
	nextID int
	// failure describes the first violation, or is empty.
	failure string
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, replicas: map[string]*replica{},
		blockedLinks: map[[2]string]bool{}, committed: map[int]wire.LogEntry{}, leaderOfTerm: map[int]string{}, lossRate: 0.03,
	}
	start, _ := Bootstrap("r0", "log")
	set := wire.ReplicaSet{Learners: []string{}}
	for i := range size {
		set.Voters = append(set.Voters, fmt.Sprint("r", i))
	}
	start.Entries[0].Data, _ = wire.Encode(set)
	for range size {
		r := c.add()
		r.disk.synced = start
		if r.id != "r0" {
			r.disk.synced.HardState.Vote = ""
		}
		c.start(r)
	}
	return c
}

// add adds a replica with an empty disk, which isn't started.
func (c *cluster) add() *replica {
	r := &replica{id: fmt.Sprint("r", c.nextID), clockRate: 0.6 + 0.8*c.rng.Float64()}
	c.nextID++
	c.replicas[r.id] = r
	c.ids = append(c.ids, r.id)
	return r
}

// clock returns the time that a replica's clock shows.
func (c *cluster) clock(r *replica) time.Time {
	return epoch.Add(time.Duration(float64(c.now.Sub(epoch)) * r.clockRate))
}

// start starts a replica from what its disk has synced.
func (c *cluster) start(r *replica) {
	cfg := Config{
		ID: r.id, ElectionTimeout: testTimeout, HeartbeatInterval: 40 * time.Millisecond, MaxAppendBytes: 200,
		MaxInFlight: 3, MaxChunkBytes: 16, KeepEntries: 4,
	}
	node, err := New(cfg, r.disk.synced, c.clock(r), WithRand(rand.New(rand.NewPCG(c.rng.Uint64(), 2))))
	if err != nil {
		c.failf("start %s: %v", r.id, err)
		return
	}
	r.node, r.up = node, true
	r.restore(r.disk.synced.Snapshot)
}

// restore replaces the replica's state with the one in a snapshot. Snapshot data is the value followed by 32 bytes
// of padding.
func (r *replica) restore(s wire.Snapshot) {
	r.value, r.applied = "", s.Index
	if len(s.Data) > 0 {
		r.value = string(s.Data[:len(s.Data)-32])
	}
}

func (c *cluster) crash(r *replica) { r.up, r.node, r.disk.unsynced = false, nil, nil }

func (c *cluster) failf(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
	}
}

// runStep advances the time by stepTime: it delivers the messages that arrive, ticks the nodes, and syncs some of
// their batches.
func (c *cluster) runStep() {
	c.now = c.now.Add(stepTime)
	due := c.inFlight
	c.inFlight = nil
	for _, d := range due {
		if d.arrivesAt.After(c.now) {
			c.inFlight = append(c.inFlight, d)
			continue
		}
		if r := c.replicas[d.message.To]; r.up {
			_ = r.node.Step(d.message, c.clock(r))
		}
	}
	for _, id := range c.ids {
		r := c.replicas[id]
		if !r.up {
			continue
		}
		r.node.Tick(c.clock(r))
		c.processReady(r)
		if len(r.disk.unsynced) > 0 && c.rng.Float64() < 0.6 {
			r.node.Persisted(r.disk.sync(1+c.rng.IntN(len(r.disk.unsynced))), c.clock(r))
			c.processReady(r)
		}
		c.checkSingleLeader(r)
	}
}

// processReady does the work in Ready, except that batches only wait to be synced.
func (c *cluster) processReady(r *replica) {
	for {
		rd := r.node.Ready(c.clock(r))
		if rd.IsEmpty() {
			return
		}
		if rd.Batch > 0 {
			r.disk.unsynced = append(r.disk.unsynced, rd)
		}
		if rd.Install {
			r.restore(*rd.Snapshot)
		}
		for _, m := range rd.Messages {
			c.transmit(m)
		}
		for _, e := range rd.Committed {
			c.apply(r, e)
		}
	}
}

// transmit sends a message, which may be lost, delayed, reordered or duplicated.
func (c *cluster) transmit(m wire.ConsensusMessage) {
	for copies := 1; copies > 0; copies-- {
		if c.rng.Float64() < 0.02 {
			copies++
		}
		if c.blockedLinks[[2]string{m.From, m.To}] || c.rng.Float64() < c.lossRate {
			continue
		}
		c.inFlight = append(c.inFlight, delivery{arrivesAt: c.now.Add(time.Duration(c.rng.IntN(4)) * stepTime), message: m})
	}
}

// apply applies a committed entry, and fails the run if an index is skipped or if replicas commit different entries
// at the same index. Every 16th entry makes a snapshot.
func (c *cluster) apply(r *replica, e wire.LogEntry) {
	if e.Index != r.applied+1 {
		c.failf("%s applies entry %d after entry %d", r.id, e.Index, r.applied)
	}
	r.applied = e.Index
	if known, ok := c.committed[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		c.failf("%s committed another entry at index %d than an earlier replica", r.id, e.Index)
	}
	c.committed[e.Index] = e
	if e.Kind == KindCommand {
		r.value = string(e.Data)
	}
	if e.Index%16 == 0 {
		data := append([]byte(r.value), make([]byte, 32)...)
		if err := r.node.Compact(e.Index, data); err != nil {
			c.failf("%s compact: %v", r.id, err)
		}
	}
}

// checkSingleLeader fails the run if two replicas lead in the same term.
func (c *cluster) checkSingleLeader(r *replica) {
	s := r.node.Status()
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaderOfTerm[s.Term]; ok && other != r.id {
		c.failf("%s and %s lead term %d", other, r.id, s.Term)
	}
	c.leaderOfTerm[s.Term] = r.id
}

// leader returns the running replica that is leader in the newest term, or nil.
func (c *cluster) leader() *replica {
	var best *replica
	for _, id := range c.ids {
		r := c.replicas[id]
		if r.up && r.node.Status().Role == Leader && (best == nil || r.node.Status().Term > best.node.Status().Term) {
			best = r
		}
	}
	return best
}

// replaceLostVoter proposes the next step to replace a voter whose disk is lost, as the control system does: add a
// learner, promote it once it has caught up, then remove the lost voter.
func (c *cluster) replaceLostVoter() {
	l := c.leader()
	if l == nil {
		return
	}
	set := l.node.Status().Replicas
	for _, id := range set.Learners {
		if !c.replicas[id].diskLost {
			set.Learners = slices.DeleteFunc(set.Learners, func(x string) bool { return x == id })
			set.Voters = append(set.Voters, id)
			_, _ = l.node.ProposeReplicas(set, c.clock(l))
			return
		}
	}
	for _, id := range set.Voters {
		if !c.replicas[id].diskLost {
			continue
		}
		if spare := c.spareReplica(set); spare != nil {
			set.Learners = append(set.Learners, spare.id)
		} else {
			set.Voters = slices.DeleteFunc(set.Voters, func(x string) bool { return x == id })
		}
		_, _ = l.node.ProposeReplicas(set, c.clock(l))
		return
	}
}

// spareReplica returns a replica without a log that can replace a lost voter, and adds one if there is none. It
// returns nil if the number of voters is even: the replacement is then already a voter.
func (c *cluster) spareReplica(set wire.ReplicaSet) *replica {
	if len(set.Voters)%2 == 0 {
		return nil
	}
	for _, id := range c.ids {
		r := c.replicas[id]
		if r.up && !slices.Contains(set.Voters, id) && r.node.Status().Log == "" {
			return r
		}
	}
	r := c.add()
	c.start(r)
	return r
}
