package replica

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/journal"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// disk is a Storage in memory. A crash loses the batches that aren't synced. A sync takes up to 5 ms.
type disk struct {
	mu        sync.Mutex
	replicaID string
	start     consensus.Start
	unsynced  []journal.Batch
	mailbox   *Mailbox
	rng       *rand.Rand
	// isFull is set while no batch can be stored. A journal tries again each diskRetry.
	isFull bool
}

// diskRetry is the time after which a disk tries again to store what it couldn't.
const diskRetry = 200 * time.Millisecond

// setFull makes the disk full, or gives it room again.
func (d *disk) setFull(isFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFull = isFull
}

func (d *disk) Write(b journal.Batch) {
	d.mu.Lock()
	mailbox := d.mailbox
	d.mu.Unlock()
	d.write(mailbox, b)
}

// openDisk is a disk as one process has opened it. What the process writes after its crash is lost.
type openDisk struct {
	*disk
	mailbox *Mailbox
}

func (o openDisk) Write(b journal.Batch) { o.write(o.mailbox, b) }

// write writes a batch for the process that has the mailbox, unless it has crashed.
func (d *disk) write(mailbox *Mailbox, b journal.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mailbox == nil || mailbox != d.mailbox {
		return
	}
	d.unsynced = append(d.unsynced, b)
	if len(d.unsynced) == 1 {
		time.AfterFunc(time.Duration(d.rng.Int64N(int64(5*time.Millisecond))), func() { d.sync(mailbox) })
	}
}

// sync makes the written batches durable and reports to m, unless the disk crashed since the batches were written.
func (d *disk) sync(m *Mailbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m != d.mailbox {
		return
	}
	if d.isFull {
		m.Synced(journal.Synced{Batch: d.unsynced[0].Number - 1, Err: journal.ErrFailed})
		time.AfterFunc(diskRetry, func() { d.sync(m) })
		return
	}
	number := 0
	for _, b := range d.unsynced {
		d.store(b)
		number = b.Number
	}
	d.unsynced = nil
	m.Synced(journal.Synced{Batch: number})
}

// crash detaches the mailbox, so that a sync that is still under way stores and reports nothing.
func (d *disk) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mailbox = nil
}

// restart drops the batches that aren't synced and returns what the disk holds. A sync from before the crash may still
// be under way.
func (d *disk) restart() consensus.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mailbox, d.unsynced = NewMailbox(), nil
	return d.start
}

// store applies a batch to the durable log.
func (d *disk) store(b journal.Batch) {
	if b.HardState != nil {
		d.start.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		d.start.Snapshot = *b.Snapshot
	}
	if b.Install {
		d.start.Entries = nil
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].Index
		d.start.Entries = slices.DeleteFunc(slices.Clone(d.start.Entries), func(e wire.LogEntry) bool { return e.Index >= first })
		d.start.Entries = append(d.start.Entries, b.Entries...)
	}
}

// lockedReplica is a replica that the test can inspect while the control goroutine uses it. mu guards the node.
type lockedReplica struct {
	*Replica
	mu sync.Mutex
}

func (w *lockedReplica) Propose(data []byte, now time.Time) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.Propose(data, now)
}

func (w *lockedReplica) Step(m wire.ConsensusMessage, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Step(m, now)
}

func (w *lockedReplica) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Tick(now)
}

func (w *lockedReplica) TakeOutput(now time.Time) control.LogOutput {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.TakeOutput(now)
}

func (w *lockedReplica) ProposeReplicas(set wire.ReplicaSet, now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.ProposeReplicas(set, now)
}

func (w *lockedReplica) Transfer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Transfer(now)
}

// inspect returns the replica's view of all replicas, nil if it doesn't lead, and the status of its node.
func (w *lockedReplica) inspect() ([]consensus.ReplicaStatus, consensus.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ReplicaStatuses(time.Now()), w.node.Status()
}

// member is one instance of a cluster.
type member struct {
	cluster *cluster
	info    wire.InstanceInfo
	// disk is nil for an instance without a data folder.
	disk    *disk
	replica *lockedReplica
	stop    context.CancelFunc
	// running is nil while the process is down.
	running  atomic.Pointer[control.Loop]
	draining bool
	// revision is the newest configuration revision that the running process published.
	revision int
}

// cluster is a set of control cores that run over simulated links. The links lose, delay, reorder and duplicate frames
// and can be cut in one direction.
type cluster struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	timing control.Timing
	// electionTimeout is that of all replicas; 0 for the default.
	electionTimeout time.Duration
	voters          int
	members         []*member
	// wipes counts the disks that were created; it makes replica IDs unique.
	wipes int
	// acceptedRevision is the newest revision that was reported to an operator as accepted. acceptedAt is when each
	// revision was.
	acceptedRevision int
	acceptedAt       map[int]time.Time

	mu sync.Mutex
	// cut has the directions in which all frames are lost, framesSent the number of frames sent in each direction. A
	// direction is the IDs of the sender and the receiver.
	cut        map[[2]string]bool
	framesSent map[[2]string]uint64
	// lossProbability is the probability that a frame is lost, and that a frame which isn't lost is duplicated.
	lossProbability float64
	// isLost, if set, reports whether a frame is lost.
	isLost func(from, to string, f wire.Frame) bool
	// onReconnect, if set, is called when an instance replaces its connections to another one.
	onReconnect func(from, to string)
	// hasFullDisks is set if disks are full at times, beside other faults.
	hasFullDisks bool
}

func newCluster(t *testing.T, seed uint64, voters, disks int) *cluster {
	c := &cluster{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), timing: control.DefaultTiming(), voters: voters,
		cut: map[[2]string]bool{}, framesSent: map[[2]string]uint64{}, acceptedAt: map[int]time.Time{},
	}
	c.timing.SnapshotEvery = 20
	for i := range disks + 1 {
		m := &member{cluster: c, info: wire.InstanceInfo{
			ID: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("zone%d", i%4), HasData: i < disks,
		}}
		m.info.PeerAddress = m.info.ID
		if m.info.HasData {
			m.wipe()
		}
		c.members = append(c.members, m)
	}
	first := c.members[0].disk
	var err error
	if first.start, err = consensus.Bootstrap(first.replicaID, "log"); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.members {
		m.start()
	}
	return c
}

// wipe gives the instance an empty disk with a new replica ID.
func (m *member) wipe() {
	m.cluster.wipes++
	m.disk = &disk{
		replicaID: fmt.Sprintf("%s/%d", m.info.ID, m.cluster.wipes),
		rng:       rand.New(rand.NewPCG(m.cluster.seed, uint64(m.cluster.wipes))),
	}
}

// start starts the process of an instance from its disk, under a new incarnation.
func (m *member) start() {
	m.info.Incarnation++
	m.revision = 0
	opts := []control.Option{control.WithTiming(m.cluster.timing), control.WithVoters(m.cluster.voters), control.WithSeed(m.cluster.seed)}
	var wake <-chan struct{}
	if m.disk != nil {
		start := m.disk.restart()
		cfg := consensus.Config{ID: m.disk.replicaID, ElectionTimeout: m.cluster.electionTimeout, HeartbeatInterval: 200 * time.Millisecond, KeepEntries: 10, MaxChunkBytes: 512}
		random := consensus.WithRand(rand.New(rand.NewPCG(m.cluster.rng.Uint64(), 1)))
		r, err := New(cfg, start, openDisk{m.disk, m.disk.mailbox}, m.disk.mailbox, time.Now(), random)
		if err != nil {
			m.cluster.t.Fatalf("seed %d: %v", m.cluster.seed, err)
		}
		st := &state.State{}
		if applied := start.Snapshot; applied.Index > 0 {
			if st, err = state.Decode(applied.Data); err != nil {
				m.cluster.t.Fatalf("seed %d: %v", m.cluster.seed, err)
			}
		}
		m.replica, wake = &lockedReplica{Replica: r}, r.Wake()
		opts = append(opts, control.WithLog(m.replica, st, start.Snapshot.Index))
	}
	loop := control.NewLoop(control.New(m.info, opts...), m, noBalancer{}, wake)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.draining = cancel, false
	m.running.Store(loop)
	go loop.Run(ctx)
	for _, o := range m.cluster.members {
		if o != m {
			m.connect(o)
		}
	}
}

// connect tells the process of an instance that it has a connection to another one.
func (m *member) connect(o *member) {
	m.running.Load().Deliver(context.Background(), control.PeerConnected{Info: o.info})
}

func (m *member) isUp() bool { return m.running.Load() != nil }

// crash stops the process; batches that aren't synced are lost.
func (m *member) crash() {
	m.stop()
	m.running.Store(nil)
	m.replica = nil
	if m.disk != nil {
		m.disk.crash()
	}
}

// Send implements control.FrameSender. A member without a cluster sends nothing. Whether a frame is lost, duplicated or
// delayed depends only on the seed, the sender, the receiver and the number of frames sent between them so far.
func (m *member) Send(to string, f wire.Frame) {
	if m.cluster == nil {
		return
	}
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	direction := [2]string{m.info.ID, to}
	c.framesSent[direction]++
	h := fnv.New64()
	fmt.Fprint(h, direction)
	rng := rand.New(rand.NewPCG(c.seed^h.Sum64(), c.framesSent[direction]))
	if c.cut[direction] || rng.Float64() < c.lossProbability || c.isLost != nil && c.isLost(m.info.ID, to, f) {
		return
	}
	copies := 1
	if rng.Float64() < c.lossProbability {
		copies = 2
	}
	f.From = m.info.ID
	for range copies {
		delay := time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Millisecond)))
		time.AfterFunc(delay, func() { c.deliver(to, f) })
	}
}

// deliver delivers a frame to an instance, or drops it if the instance is down.
func (c *cluster) deliver(to string, f wire.Frame) {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	for _, m := range members {
		if loop := m.running.Load(); m.info.ID == to && loop != nil {
			loop.Deliver(context.Background(), control.FrameReceived{Frame: f})
		}
	}
}

// Reconnect implements control.FrameSender.
func (m *member) Reconnect(to string) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onReconnect != nil {
		c.onReconnect(m.info.ID, to)
	}
}

// SetAddress implements control.FrameSender.
func (m *member) SetAddress(wire.InstanceInfo) {}

// SetNeighbors implements control.FrameSender.
func (m *member) SetNeighbors([]wire.InstanceInfo) {}

// noBalancer is a balancer that ignores all calls.
type noBalancer struct{}

func (noBalancer) Apply(time.Time, ...wire.Announcement) {}
func (noBalancer) Remove(...string)                      {}
func (noBalancer) SetPolicies([]wire.UpstreamPolicy)     {}
func (noBalancer) Review(time.Time)                      {}

func (noBalancer) SetEvacuated(time.Time, map[string]bool) {}

// leader returns the member whose replica leads in the highest term and has committed an entry of that term, or nil.
func (c *cluster) leader() *member {
	var newest *member
	term := 0
	for _, m := range c.members {
		if m.isUp() && m.replica != nil {
			if _, status := m.replica.inspect(); status.LeaderReady && status.Term > term {
				newest, term = m, status.Term
			}
		}
	}
	return newest
}

// run lets period pass and checks every running member with requireRevision each 50 ms.
func (c *cluster) run(period time.Duration) {
	const step = 50 * time.Millisecond
	for range period / step {
		time.Sleep(step)
		synctest.Wait()
		for _, m := range c.members {
			if m.isUp() {
				c.requireRevision(m)
			}
		}
	}
}

// requireRevision requires that the revision at an instance never decreases, and that no instance holds a lease on an
// older revision than the newest accepted one. If changes are accepted once committed, no instance may deny requests by an
// older revision than one that was accepted inForceWithin ago.
func (c *cluster) requireRevision(m *member) {
	v := m.running.Load().Publisher.View()
	if v.Config.Revision < m.revision {
		c.t.Fatalf("seed %d: the revision at %s decreased from %d to %d", c.seed, m.info.ID, m.revision, v.Config.Revision)
	}
	m.revision = v.Config.Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	required, reliesOn := c.acceptedRevision, v.LeaseHeld(time.Now())
	if c.timing.AcceptCommitted {
		required, reliesOn = c.revisionInForce(), v.IsCertain(time.Now())
	}
	if reliesOn && v.Config.Revision < required {
		c.t.Fatalf("seed %d: revision %d was accepted, but %s serves under %d", c.seed, required, m.info.ID, v.Config.Revision)
	}
}

// revisionInForce returns the newest revision that was accepted more than inForceWithin ago. The caller holds mu.
func (c *cluster) revisionInForce() int {
	newest := 0
	for revision, at := range c.acceptedAt {
		if time.Since(at) > inForceWithin {
			newest = max(newest, revision)
		}
	}
	return newest
}

func (c *cluster) setLoss(probability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossProbability = probability
}

// heal restores all links, restarts the members that are down and replaces draining processes.
func (c *cluster) heal() {
	c.mu.Lock()
	clear(c.cut)
	c.mu.Unlock()
	for _, m := range c.members {
		if m.disk != nil {
			m.disk.setFull(false)
		}
		if m.isUp() && m.draining {
			m.crash()
		}
		if !m.isUp() {
			m.start()
		}
	}
}

func (c *cluster) close() {
	for _, m := range c.members {
		if m.isUp() {
			m.crash()
		}
	}
}

// voterIDs returns the IDs of the members whose current replica is a voter in the leader's membership; nil without a
// leader.
func (c *cluster) voterIDs() []string {
	l := c.leader()
	if l == nil {
		return nil
	}
	_, status := l.replica.inspect()
	set := status.Replicas
	var ids []string
	for _, m := range c.members {
		if m.disk != nil && slices.Contains(set.Voters, m.disk.replicaID) {
			ids = append(ids, m.info.ID)
		}
	}
	return ids
}

// TestDiskRestartDuringSync restarts a disk while a sync from before its crash is under way. Under the race detector it
// fails if the two access the disk's state without its lock.
func TestDiskRestartDuringSync(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(*testing.T) {
			d := &disk{rng: rand.New(rand.NewPCG(seed, 0)), mailbox: NewMailbox()}
			d.Write(journal.Batch{Number: 1})
			old := d.mailbox
			go d.sync(old)
			d.restart()
			time.Sleep(10 * time.Millisecond)
		})
	}
}
