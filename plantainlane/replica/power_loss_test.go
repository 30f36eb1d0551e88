package replica

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/wire"
)

// powerSeeds is the number of seeds of TestLostDiskAndPowerLoseAcknowledged, powerFirst the first of them.
var (
	powerSeeds = flag.Uint64("power.seeds", 42, "number of seeds of TestLostDiskAndPowerLoseAcknowledged")
	powerFirst = flag.Uint64("power.first", 0, "first seed of TestLostDiskAndPowerLoseAcknowledged")
)

const (
	// lastAcknowledged is the longest time from an acknowledgement to the loss of power.
	lastAcknowledged = 100 * time.Millisecond
	// startsWithin is the time within which all instances start again.
	startsWithin = 1500 * time.Millisecond
	// departedWithin is the time after the instances are back from which on no instance may use an upstream that has departed, and
	// heardWithin that time after there is a leader again, without which no instance serves.
	departedWithin = 3 * time.Second
	heardWithin    = 500 * time.Millisecond
	// departedUpstreams is the number of upstreams that depart before the loss of power.
	departedUpstreams = 2
)

// situation is what happens to a cluster before its power is lost.
type situation int

const (
	// isCalm: nothing.
	isCalm situation = iota
	// isFirstStart: the cluster has never had a configuration before.
	isFirstStart
	// exchangesVoter: an instance is out of contact, and a voter is exchanged for it.
	exchangesVoter
	// hasLostDisk: a disk was lost, and nextLossAfter has passed since its instance is back.
	hasLostDisk
	// hasLostProcess: a process has just been killed. It may be the leader's.
	hasLostProcess
	// hasLostDiskAndPower: a disk was lost, then all instances lost power while a voter was exchanged; nextLossAfter has passed since.
	hasLostDiskAndPower
	// wasSplit: the disks were cut into two halves for a while.
	wasSplit
	situations
)

// powerPlay is one play of TestLostDiskAndPowerLoseAcknowledged.
type powerPlay struct {
	*cluster
	random    *rand.Rand
	situation situation
	mu        sync.Mutex
	// revision and entry are the acknowledged configuration and entry of the quarantine.
	revision int
	entry    string
	// quarantined holds the instances that have been told of entry since the loss of power. The cluster's mu guards it.
	quarantined map[string]bool
	// usable is when an upstream that had departed was last seen in use, after the instances were back at backAt.
	usable, backAt time.Time
}

// TestLostDiskAndPowerLoseAcknowledged guards against anything acknowledged, or needed for serving, that is in the memory of instances
// only, with or without a disk: any one disk is lost, and all instances lose power at the same moment. A configuration, two departures
// and an entry of the quarantine were acknowledged just before.
func TestLostDiskAndPowerLoseAcknowledged(t *testing.T) {
	for seed := *powerFirst; seed < *powerFirst+*powerSeeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPowerLoss(t, seed, int(seed%3)) })
		})
	}
}

// TestDepartureIsHeardLateAfterLossOfPower guards against instances without a disk that use an upstream which has departed, since they
// hear of its departure long after the replicas have read it in the log: most of many instances have no disk.
func TestDepartureIsHeardLateAfterLossOfPower(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPowerLoss(t, seed, 14) })
		})
	}
}

// playPowerLoss plays a seed with a number of further instances without a disk.
func playPowerLoss(t *testing.T, seed uint64, diskless int) {
	p := newPowerPlay(t, seed, diskless)
	defer func() {
		p.close()
		time.Sleep(10 * time.Second)
	}()
	p.prepare()
	p.acknowledge(t)
	time.Sleep(time.Duration(p.random.Int64N(int64(lastAcknowledged))))
	var disks []*member
	for _, m := range p.members {
		if m.disk != nil {
			disks = append(disks, m)
		}
	}
	lost := disks[p.random.IntN(len(disks))]
	if l := p.leader(); l != nil && p.random.IntN(3) == 0 {
		lost = l
	}
	p.watchQuarantine()
	p.loseDiskAndPower(lost)
	p.requireAcknowledged(t)
}

// newPowerPlay starts a cluster of three founders, up to two other disks, one instance without a disk and a number of further ones.
func newPowerPlay(t *testing.T, seed uint64, diskless int) *powerPlay {
	random := rand.New(rand.NewPCG(seed, 55))
	c := newCluster(t, seed, 3, 3+random.IntN(3))
	c.timing.AcceptCommitted = true
	for i := range diskless {
		m := &member{cluster: c, info: wire.InstanceInfo{ID: fmt.Sprint("n", i), Zone: fmt.Sprintf("zone%d", i%4)}}
		m.info.PeerAddress = m.info.ID
		m.start()
		c.setMembers(append(c.members[:len(c.members):len(c.members)], m))
	}
	p := &powerPlay{cluster: c, random: random, situation: situation(seed % uint64(situations)), quarantined: map[string]bool{}}
	p.found(t)
	return p
}

// found starts the cluster again with empty disks, of which the first three found a log.
func (p *powerPlay) found(t *testing.T) {
	p.electionTimeout, p.timing.ReplaceAfter = electionTimeout, 2*electionTimeout
	p.timing.QuorumFresh = electionTimeout / 2
	var founders []string
	for i, m := range p.members {
		m.crash()
		if m.disk != nil {
			m.wipe()
		}
		if i < 3 {
			founders = append(founders, m.disk.replicaID)
		}
	}
	for _, m := range p.members[:3] {
		start, err := consensus.BootstrapVoters(founders, "founded")
		if err != nil {
			t.Fatal(err)
		}
		m.disk.start = start
	}
	for _, m := range p.members {
		m.start()
	}
}

// prepare brings about the situation.
func (p *powerPlay) prepare() {
	if p.situation != isFirstStart {
		p.run(20 * time.Second)
	}
	m := p.members[p.random.IntN(3)]
	switch p.situation {
	case isCalm, isFirstStart:
	case exchangesVoter:
		p.setCut(m, true)
		p.run(1200*time.Millisecond + time.Duration(p.random.IntN(1200))*time.Millisecond)
	case hasLostDisk:
		m.crash()
		m.wipe()
		p.run(successorAfter)
		m.start()
		p.run(nextLossAfter)
	case hasLostProcess:
		m.crash()
		p.run(200 * time.Millisecond)
		m.start()
		p.run(time.Duration(p.random.IntN(1500)) * time.Millisecond)
	case hasLostDiskAndPower:
		m.crash()
		m.wipe()
		p.run(successorAfter)
		m.start()
		p.run(time.Duration(p.random.IntN(2000)) * time.Millisecond)
		p.losePower()
		p.run(nextLossAfter)
	case wasSplit:
		p.split(true)
		p.run(time.Duration(500+p.random.IntN(4000)) * time.Millisecond)
		p.split(false)
	}
}

// split cuts the links between the instances of even and of odd number, or restores them.
func (p *powerPlay) split(isCut bool) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for i, a := range p.members {
		for j, b := range p.members {
			if (i+j)%2 == 1 && a.disk != nil && b.disk != nil {
				p.cut[[2]string{a.info.ID, b.info.ID}] = isCut
			}
		}
	}
}

// acknowledge proposes a configuration, departures and an entry of the quarantine at random instances until each is acknowledged.
func (p *powerPlay) acknowledge(t *testing.T) {
	began := time.Now()
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; p.revision == 0 && time.Since(began) < serviceWithin; n++ {
			m := p.anyMember()
			base := m.running.Load().Publisher.View().Config.Revision
			if out := m.submitChange(change(fmt.Sprint("config-", n), base), time.Second); out != nil && out.Revision > 0 {
				p.revision = out.Revision
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for i := range departedUpstreams {
		all.Go(func() {
			for !p.depart(i) && time.Since(began) < serviceWithin {
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Go(func() {
		for p.entry == "" && time.Since(began) < serviceWithin {
			p.setEntry("entry")
			time.Sleep(50 * time.Millisecond)
		}
	})
	all.Wait()
	if p.revision == 0 || p.entry == "" {
		t.Fatalf("seed %d: situation %d: nothing is acknowledged: revision %d, entry %q", p.seed, p.situation, p.revision, p.entry)
	}
}

// anyMember returns a random member.
func (p *powerPlay) anyMember() *member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[p.random.IntN(len(p.members))]
}

// announcementOf returns an announcement that a departed upstream made before it departed.
func announcementOf(upstream int) wire.Announcement {
	return wire.Announcement{ID: fmt.Sprint("gone-", upstream), Service: "s", Address: "a:1", Zone: "zone0", Incarnation: 1, Sequence: 1, TTLMs: 60000}
}

// depart reports a departure at a random instance, and reports whether it was acknowledged.
func (p *powerPlay) depart(upstream int) bool {
	reply := make(chan error, 1)
	a := announcementOf(upstream)
	p.anyMember().running.Load().Deliver(context.Background(), control.UpstreamLeft{ID: a.ID, Incarnation: a.Incarnation, Sequence: 9, Reply: reply})
	select {
	case err := <-reply:
		return err == nil
	case <-time.After(time.Second):
		return false
	}
}

// setEntry proposes an entry of the quarantine at a random instance.
func (p *powerPlay) setEntry(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	now := int(time.Now().UnixMilli())
	entry := &wire.QuarantineEntry{ID: id, Service: "s", Parts: []string{"bad"}, Upstreams: []string{}, SinceMs: now, UntilMs: now + 600_000}
	a := p.anyMember().running.Load().Propose(ctx, wire.Command{Quarantine: &wire.QuarantineChange{AtMs: now, Entry: entry}})
	if a.Committed {
		p.entry = id
	}
}

// watchQuarantine records from now on which instances are told of the entry.
func (p *powerPlay) watchQuarantine() {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.isLost = func(_, to string, f wire.Frame) bool {
		if p.backAt.IsZero() || f.LeaseAnswer == nil || f.LeaseAnswer.Quarantine == nil {
			return false
		}
		for _, e := range f.LeaseAnswer.Quarantine.Entries {
			p.quarantined[to] = p.quarantined[to] || e.ID == p.entry
		}
		return false
	}
}

// loseDiskAndPower ends all processes, and with them what isn't synced, and the disk of one. They start again one after the other within
// startsWithin. The announcements of the departed upstreams arrive at random instances up to a second after these have started.
func (p *powerPlay) loseDiskAndPower(lost *member) {
	p.cluster.mu.Lock()
	clear(p.cut)
	p.cluster.mu.Unlock()
	for _, m := range p.members {
		m.crash()
	}
	lost.wipe()
	late := map[*member][]int{}
	for i := range departedUpstreams {
		to := p.anyMember()
		late[to] = append(late[to], i)
	}
	time.Sleep(successorAfter)
	for _, i := range p.random.Perm(len(p.members)) {
		m := p.members[i]
		time.Sleep(time.Duration(p.random.Int64N(int64(startsWithin) / int64(len(p.members)))))
		m.start()
		for _, o := range p.members {
			if o != m && o.isUp() {
				o.connect(m)
			}
		}
		for _, upstream := range late[m] {
			a := control.UpstreamAnnounced{Announcement: announcementOf(upstream), Reply: make(chan error, 1)}
			time.AfterFunc(time.Duration(p.random.IntN(1000))*time.Millisecond, func() { m.running.Load().Deliver(context.Background(), a) })
		}
	}
	p.cluster.mu.Lock()
	p.backAt = time.Now()
	p.cluster.mu.Unlock()
}

// requireAcknowledged requires that within serviceWithin all instances have what was acknowledged, that changes are accepted, and that
// no instance uses an upstream that has departed from departedWithin on.
func (p *powerPlay) requireAcknowledged(t *testing.T) {
	t.Helper()
	before, leaderAt := p.revision, time.Duration(0)
	for time.Since(p.backAt) < serviceWithin {
		p.run(50 * time.Millisecond)
		if leaderAt == 0 && p.leader() != nil {
			leaderAt = time.Since(p.backAt)
		}
		p.requireDeparted(t, leaderAt)
	}
	p.cluster.mu.Lock()
	quarantined := maps.Clone(p.quarantined)
	p.cluster.mu.Unlock()
	for _, m := range p.members {
		v := m.running.Load().Publisher.View()
		if v.Config.Revision < before || !v.LeaseHeld(time.Now()) || !v.IsCertain(time.Now()) {
			t.Fatalf("seed %d: situation %d: %s is at revision %d of %d, serves: %v, leader after %v", p.seed, p.situation, m.info.ID,
				v.Config.Revision, before, v.LeaseHeld(time.Now()), leaderAt)
		}
		if l := p.leader(); m != l && !quarantined[m.info.ID] {
			t.Fatalf("seed %d: situation %d: %s isn't told of the quarantine", p.seed, p.situation, m.info.ID)
		}
	}
	t.Logf("situation %d, %d members, leader after %v, departed upstream last used after %v", p.situation, len(p.members), leaderAt, max(p.usable.Sub(p.backAt), 0))
	p.requireChange(t, "after")
}

// requireDeparted requires that no instance uses a departed upstream from departedWithin on. leaderAt is when there was a leader; 0 as
// long as there is none.
func (p *powerPlay) requireDeparted(t *testing.T, leaderAt time.Duration) {
	t.Helper()
	for _, m := range p.members {
		for i := range departedUpstreams {
			row, ok := m.running.Load().Publisher.View().Upstreams.Rows.Get(announcementOf(i).ID)
			if !ok || !row.Usable() {
				continue
			}
			p.usable = time.Now()
			if since := time.Since(p.backAt); since > departedWithin && leaderAt > 0 && since > leaderAt+heardWithin {
				t.Fatalf("seed %d: situation %d: %s uses a departed upstream after %v, leader after %v", p.seed, p.situation, m.info.ID, since, leaderAt)
			}
		}
	}
}

// TestStartedInstanceUsesDepartedUpstream guards against an instance that serves before it knows which upstreams have departed: an
// announcement that is late came before its first connection, so that nobody has told it.
func TestStartedInstanceUsesDepartedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPowerPlay(t, 0, 0)
		defer func() {
			p.close()
			time.Sleep(10 * time.Second)
		}()
		p.prepare()
		p.acknowledge(t)
		p.run(time.Second)
		m := p.members[len(p.members)-1]
		p.cluster.mu.Lock()
		p.isLost = func(from, _ string, f wire.Frame) bool {
			return f.Digest != nil || from == m.info.ID && f.Upstreams != nil
		}
		p.cluster.mu.Unlock()
		m.crash()
		m.start()
		m.running.Load().Deliver(context.Background(), control.UpstreamAnnounced{Announcement: announcementOf(0), Reply: make(chan error, 1)})
		p.run(3 * time.Second)
		v := m.running.Load().Publisher.View()
		row, ok := v.Upstreams.Rows.Get(announcementOf(0).ID)
		if v.Config.Revision == 0 || ok && row.Usable() {
			t.Fatalf("revision %d, upstream known: %v", v.Config.Revision, ok)
		}
	})
}
