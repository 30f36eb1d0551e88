package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	step        = 10 * time.Millisecond
	testTimeout = 200 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// disk keeps what was synced and forgets the rest in a crash.
type disk struct {
	synced  Start
	waiting []Ready
}

func (d *disk) sync(count int) int {
	for _, r := range d.waiting[:count] {
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
	batch := d.waiting[count-1].Batch
	d.waiting = slices.Clone(d.waiting[count:])
	return batch
}

// replica is a node with its disk and the register that it replicates.
type replica struct {
	id   string
	node *Node
	disk disk
	up   bool
	lost bool
	// rate of its clock against true time.
	rate  float64
	value string
	at    int
}

type delivery struct {
	at time.Time
	m  wire.ConsensusMessage
}

type cluster struct {
	rng       *rand.Rand
	now       time.Time
	replicas  map[string]*replica
	ids       []string
	inFlight  []delivery
	cut       map[[2]string]bool
	loss      float64
	committed map[int]wire.LogEntry
	leaders   map[int]string
	clients   []*client
	nextID    int
	failure   string
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, replicas: map[string]*replica{},
		cut: map[[2]string]bool{}, committed: map[int]wire.LogEntry{}, leaders: map[int]string{}, loss: 0.03,
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

func (c *cluster) add() *replica {
	r := &replica{id: fmt.Sprint("r", c.nextID), rate: 0.6 + 0.8*c.rng.Float64()}
	c.nextID++
	c.replicas[r.id] = r
	c.ids = append(c.ids, r.id)
	return r
}

// clock returns the time as a replica sees it.
func (c *cluster) clock(r *replica) time.Time {
	return epoch.Add(time.Duration(float64(c.now.Sub(epoch)) * r.rate))
}

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

func (r *replica) restore(s wire.Snapshot) {
	r.value, r.at = "", s.Index
	if len(s.Data) > 0 {
		r.value = string(s.Data[:len(s.Data)-32])
	}
}

func (c *cluster) crash(r *replica) { r.up, r.node, r.disk.waiting = false, nil, nil }

func (c *cluster) failf(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
	}
}

// run lets one step of time pass.
func (c *cluster) run() {
	c.now = c.now.Add(step)
	due := c.inFlight
	c.inFlight = nil
	for _, d := range due {
		if d.at.After(c.now) {
			c.inFlight = append(c.inFlight, d)
			continue
		}
		if r := c.replicas[d.m.To]; r.up {
			_ = r.node.Step(d.m, c.clock(r))
		}
	}
	for _, id := range c.ids {
		r := c.replicas[id]
		if !r.up {
			continue
		}
		r.node.Tick(c.clock(r))
		c.drain(r)
		if len(r.disk.waiting) > 0 && c.rng.Float64() < 0.6 {
			r.node.Persisted(r.disk.sync(1+c.rng.IntN(len(r.disk.waiting))), c.clock(r))
			c.drain(r)
		}
		c.check(r)
	}
}

func (c *cluster) drain(r *replica) {
	for {
		rd := r.node.Ready(c.clock(r))
		if rd.IsEmpty() {
			return
		}
		if rd.Batch > 0 {
			r.disk.waiting = append(r.disk.waiting, rd)
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

func (c *cluster) transmit(m wire.ConsensusMessage) {
	for copies := 1; copies > 0; copies-- {
		if c.rng.Float64() < 0.02 {
			copies++
		}
		if c.cut[[2]string{m.From, m.To}] || c.rng.Float64() < c.loss {
			continue
		}
		c.inFlight = append(c.inFlight, delivery{at: c.now.Add(time.Duration(c.rng.IntN(4)) * step), m: m})
	}
}

func (c *cluster) apply(r *replica, e wire.LogEntry) {
	if e.Index != r.at+1 {
		c.failf("%s applies %d after %d", r.id, e.Index, r.at)
	}
	r.at = e.Index
	if known, ok := c.committed[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		c.failf("%s committed another entry at %d", r.id, e.Index)
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

func (c *cluster) check(r *replica) {
	s := r.node.Status()
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != r.id {
		c.failf("%s and %s lead term %d", other, r.id, s.Term)
	}
	c.leaders[s.Term] = r.id
}

// leader returns the leader of the newest term that is up, or nil.
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

// repair does what the control systems do: replaces one lost voter by a caught-up learner.
func (c *cluster) repair() {
	l := c.leader()
	if l == nil {
		return
	}
	set := l.node.Status().Replicas
	for _, id := range set.Learners {
		if !c.replicas[id].lost {
			set.Learners = slices.DeleteFunc(set.Learners, func(x string) bool { return x == id })
			set.Voters = append(set.Voters, id)
			_, _ = l.node.ProposeReplicas(set, c.clock(l))
			return
		}
	}
	for _, id := range set.Voters {
		if !c.replicas[id].lost {
			continue
		}
		if spare := c.spare(set); spare != nil {
			set.Learners = append(set.Learners, spare.id)
		} else {
			set.Voters = slices.DeleteFunc(set.Voters, func(x string) bool { return x == id })
		}
		_, _ = l.node.ProposeReplicas(set, c.clock(l))
		return
	}
}

// spare returns a fresh replica if a lost voter was not replaced yet.
func (c *cluster) spare(set wire.ReplicaSet) *replica {
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
