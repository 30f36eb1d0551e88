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

// disk keeps what was synced and forgets the rest in a crash. A sync takes up to 5 ms.
type disk struct {
	mu      sync.Mutex
	replica string
	start   consensus.Start
	waiting []journal.Batch
	mailbox *Mailbox
	rng     *rand.Rand
}

func (d *disk) Write(b journal.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = append(d.waiting, b)
	if len(d.waiting) == 1 {
		mailbox := d.mailbox
		time.AfterFunc(time.Duration(d.rng.Int64N(int64(5*time.Millisecond))), func() { d.sync(mailbox) })
	}
}

// sync makes what waits durable, unless a crash came between.
func (d *disk) sync(m *Mailbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m != d.mailbox {
		return
	}
	number := 0
	for _, b := range d.waiting {
		d.store(b)
		number = b.Number
	}
	d.waiting = nil
	m.Synced(journal.Synced{Batch: number})
}

// crash leaves out what is not synced yet.
func (d *disk) crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mailbox = nil
}

// restart forgets what waits, and returns what the disk holds. A sync from before the crash may be under way.
func (d *disk) restart() consensus.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mailbox, d.waiting = NewMailbox(), nil
	return d.start
}

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

// watched is a replica that the test may look at while its control goroutine is idle.
type watched struct {
	*Replica
	mu sync.Mutex
}

func (w *watched) Propose(data []byte, now time.Time) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.Propose(data, now)
}

func (w *watched) Step(m wire.ConsensusMessage, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Step(m, now)
}

func (w *watched) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Tick(now)
}

func (w *watched) TakeOutput(now time.Time) control.LogOutput {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.TakeOutput(now)
}

func (w *watched) ProposeReplicas(set wire.ReplicaSet, now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Replica.ProposeReplicas(set, now)
}

func (w *watched) Transfer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Replica.Transfer(now)
}

// look returns what the replica knows of the others; nil if it doesn't lead.
func (w *watched) look() ([]consensus.ReplicaStatus, consensus.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ReplicaStatuses(time.Now()), w.node.Status()
}

// member is one instance of a site.
type member struct {
	site    *site
	info    wire.InstanceInfo
	disk    *disk
	replica *watched
	stop    context.CancelFunc
	// running is nil while the process is down.
	running  atomic.Pointer[control.Loop]
	draining bool
	// revision is the newest that the running process served under.
	revision int
}

// site is a set of whole control cores over a link that loses, delays, reorders, doubles and cuts.
type site struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	timing  control.Timing
	voters  int
	members []*member
	wipes   int
	// accepted is the newest revision that an operator was told to be in force.
	accepted int

	mu   sync.Mutex
	cut  map[[2]string]bool
	sent map[[2]string]uint64
	loss float64
}

func newSite(t *testing.T, seed uint64, voters, disks int) *site {
	s := &site{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), timing: control.DefaultTiming(), voters: voters,
		cut: map[[2]string]bool{}, sent: map[[2]string]uint64{},
	}
	s.timing.SnapshotEvery = 20
	for i := range disks + 1 {
		m := &member{site: s, info: wire.InstanceInfo{
			ID: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("zone%d", i%4), HasData: i < disks,
		}}
		m.info.PeerAddress = m.info.ID
		if m.info.HasData {
			m.wipe()
		}
		s.members = append(s.members, m)
	}
	first := s.members[0].disk
	var err error
	if first.start, err = consensus.Bootstrap(first.replica, "log"); err != nil {
		t.Fatal(err)
	}
	for _, m := range s.members {
		m.start()
	}
	return s
}

// wipe gives the instance an empty disk, and so a new replica ID.
func (m *member) wipe() {
	m.site.wipes++
	m.disk = &disk{
		replica: fmt.Sprintf("%s/%d", m.info.ID, m.site.wipes),
		rng:     rand.New(rand.NewPCG(m.site.seed, uint64(m.site.wipes))),
	}
}

func (m *member) start() {
	m.info.Incarnation++
	m.revision = 0
	opts := []control.Option{control.WithTiming(m.site.timing), control.WithVoters(m.site.voters), control.WithSeed(m.site.seed)}
	var wake <-chan struct{}
	if m.disk != nil {
		start := m.disk.restart()
		cfg := consensus.Config{ID: m.disk.replica, HeartbeatInterval: 200 * time.Millisecond, KeepEntries: 10, MaxChunkBytes: 512}
		random := consensus.WithRand(rand.New(rand.NewPCG(m.site.rng.Uint64(), 1)))
		r, err := New(cfg, start, m.disk, m.disk.mailbox, time.Now(), random)
		if err != nil {
			m.site.t.Fatalf("seed %d: %v", m.site.seed, err)
		}
		st := &state.State{}
		if applied := start.Snapshot; applied.Index > 0 {
			if st, err = state.Decode(applied.Data); err != nil {
				m.site.t.Fatalf("seed %d: %v", m.site.seed, err)
			}
		}
		m.replica, wake = &watched{Replica: r}, r.Wake()
		opts = append(opts, control.WithLog(m.replica, st, start.Snapshot.Index))
	}
	loop := control.NewLoop(control.New(m.info, opts...), m, nothing{}, wake)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.draining = cancel, false
	m.running.Store(loop)
	go loop.Run(ctx)
	for _, o := range m.site.members {
		if o != m {
			loop.Deliver(ctx, control.PeerConnected{Info: o.info})
		}
	}
}

func (m *member) isUp() bool { return m.running.Load() != nil }

// crash stops the process; what was not synced is gone.
func (m *member) crash() {
	m.stop()
	m.running.Store(nil)
	m.replica = nil
	if m.disk != nil {
		m.disk.crash()
	}
}

// Send implements control.Sender. What happens to a frame depends on the seed, the two ends and the count of
// frames between them only.
func (m *member) Send(to string, f wire.Frame) {
	if m.site == nil {
		return
	}
	s := m.site
	s.mu.Lock()
	defer s.mu.Unlock()
	way := [2]string{m.info.ID, to}
	s.sent[way]++
	h := fnv.New64()
	fmt.Fprint(h, way)
	rng := rand.New(rand.NewPCG(s.seed^h.Sum64(), s.sent[way]))
	if s.cut[way] || rng.Float64() < s.loss {
		return
	}
	copies := 1
	if rng.Float64() < s.loss {
		copies = 2
	}
	f.From = m.info.ID
	for range copies {
		delay := time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Millisecond)))
		time.AfterFunc(delay, func() { s.deliver(to, f) })
	}
}

func (s *site) deliver(to string, f wire.Frame) {
	for _, m := range s.members {
		if loop := m.running.Load(); m.info.ID == to && loop != nil {
			loop.Deliver(context.Background(), control.FrameReceived{Frame: f})
		}
	}
}

// SetAddress implements control.Sender.
func (m *member) SetAddress(wire.InstanceInfo) {}

// SetNeighbors implements control.Sender.
func (m *member) SetNeighbors([]wire.InstanceInfo) {}

// nothing is a balancer that takes no notice.
type nothing struct{}

func (nothing) Apply(time.Time, ...wire.Announcement) {}
func (nothing) Remove(...string)                      {}
func (nothing) SetPolicies([]wire.UpstreamPolicy)     {}
func (nothing) Review(time.Time)                      {}

// leader returns the member whose replica leads and has committed in its term, or nil.
func (s *site) leader() *member {
	var best *member
	term := 0
	for _, m := range s.members {
		if m.isUp() && m.replica != nil {
			if _, status := m.replica.look(); status.Ready && status.Term > term {
				best, term = m, status.Term
			}
		}
	}
	return best
}

// run lets time pass and checks the site at every step.
func (s *site) run(period time.Duration) {
	const step = 50 * time.Millisecond
	for range period / step {
		time.Sleep(step)
		synctest.Wait()
		for _, m := range s.members {
			if m.isUp() {
				s.check(m)
			}
		}
	}
}

// check requires that the revision at an instance never falls, and that no instance may serve under an older
// one than was accepted.
func (s *site) check(m *member) {
	v := m.running.Load().Publisher.View()
	if v.Config.Revision < m.revision {
		s.t.Fatalf("seed %d: %s fell from revision %d to %d", s.seed, m.info.ID, m.revision, v.Config.Revision)
	}
	m.revision = v.Config.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.LeaseHeld(time.Now()) && v.Config.Revision < s.accepted {
		s.t.Fatalf("seed %d: revision %d was accepted, %s serves under %d", s.seed, s.accepted, m.info.ID, v.Config.Revision)
	}
}

func (s *site) setLoss(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = share
}

func (s *site) heal() {
	s.mu.Lock()
	clear(s.cut)
	s.mu.Unlock()
	for _, m := range s.members {
		if m.isUp() && m.draining {
			m.crash()
		}
		if !m.isUp() {
			m.start()
		}
	}
}

func (s *site) close() {
	for _, m := range s.members {
		if m.isUp() {
			m.crash()
		}
	}
}

// voterIDs returns the members whose current replica votes, by the leader's membership.
func (s *site) voterIDs() []string {
	l := s.leader()
	if l == nil {
		return nil
	}
	_, status := l.replica.look()
	set := status.Replicas
	var ids []string
	for _, m := range s.members {
		if m.disk != nil && slices.Contains(set.Voters, m.disk.replica) {
			ids = append(ids, m.info.ID)
		}
	}
	return ids
}

// TestDiskRestartsBesideASync starts a member while a sync from before its crash runs; the race detector tells
// whether the two share the disk's state without its lock.
func TestDiskRestartsBesideASync(t *testing.T) {
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
