package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/control"
	"plantainlane/wire"
)

// inForceWithin is the time within which an instance in contact with the leader has each committed revision.
const inForceWithin = 2 * time.Second

// commits holds when the test first saw each revision committed.
type commits struct {
	cluster *cluster
	at      map[int]time.Time
}

// submitEach proposes a change at the leader in each interval for a period, and requires that each instance has every
// revision that was committed inForceWithin ago. The instances in except are not checked.
func (o *commits) submitEach(t *testing.T, interval, period time.Duration, prefix string, except ...*member) {
	c := o.cluster
	skipped := map[*member]bool{}
	for _, m := range except {
		skipped[m] = true
	}
	for i := range int(period / interval) {
		l := c.leader()
		if l == nil {
			c.run(interval)
			continue
		}
		base := l.running.Load().Publisher.View().Config.Revision
		go l.submitChange(change(fmt.Sprint(prefix, i), base), time.Second)
		c.run(interval)
		newest := l.running.Load().Publisher.View().Config.Revision
		if _, ok := o.at[newest]; !ok {
			o.at[newest] = time.Now()
		}
		for _, m := range c.members {
			if !skipped[m] {
				o.require(t, m)
			}
		}
	}
}

// require requires that an instance has every revision that was committed inForceWithin ago.
func (o *commits) require(t *testing.T, m *member) {
	t.Helper()
	has := m.running.Load().Publisher.View().Config.Revision
	for revision, at := range o.at {
		if late := time.Since(at); revision > has && late > inForceWithin {
			t.Fatalf("%s is at revision %d, revision %d was committed %v ago", m.info.ID, has, revision, late)
		}
	}
}

// startCommits starts a cluster of three voters and an instance without a disk, whose changes are accepted once committed.
func startCommits(t *testing.T, seed uint64) (*commits, *member) {
	c := newCommitCluster(t, seed, 3)
	t.Cleanup(func() {
		c.close()
		time.Sleep(10 * time.Second)
	})
	c.run(20 * time.Second)
	is.New(t).True(c.leader() != nil)
	return &commits{c, map[int]time.Time{}}, c.members[len(c.members)-1]
}

// newCommitCluster returns a cluster of three voters, other disks and an instance without one, whose changes are accepted
// once committed.
func newCommitCluster(t *testing.T, seed uint64, disks int) *cluster {
	c := newCluster(t, seed, 3, disks)
	c.timing.AcceptCommitted = true
	for _, m := range c.members {
		m.crash()
		m.start()
	}
	return c
}

// loseNext makes the next count pushed configurations to an instance get lost.
func (c *cluster) loseNext(to *member, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLost = func(_, receiver string, f wire.Frame) bool {
		if f.Config == nil || receiver != to.info.ID || count == 0 {
			return false
		}
		count--
		return true
	}
}

// TestLostPushLeavesInstanceBehind guards against an instance that stays at its revision, as long as changes come more
// often than once a second, after one pushed configuration to it was lost.
func TestLostPushLeavesInstanceBehind(t *testing.T) {
	for seed, interval := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, follower := startCommits(t, uint64(seed))
				o.submitEach(t, interval, 3*time.Second, "before")
				o.cluster.loseNext(follower, 1)
				o.submitEach(t, interval, 12*time.Second, "after")
			})
		})
	}
}

// TestRestartedInstanceGetsNoConfiguration guards against an instance that starts without a configuration, loses the
// first one that is pushed to it, and gets none as long as changes come more often than once a second.
func TestRestartedInstanceGetsNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, follower := startCommits(t, 1)
		o.submitEach(t, 300*time.Millisecond, 3*time.Second, "before")
		follower.crash()
		o.cluster.loseNext(follower, 2)
		follower.start()
		o.submitEach(t, 300*time.Millisecond, inForceWithin+time.Second, "start", follower)
		o.submitEach(t, 300*time.Millisecond, 9*time.Second, "after")
	})
}

// TestInstanceIsBehindAfterCut guards against an instance that stays behind after its connections were lost for a time
// and came back, while changes come more often than once a second.
func TestInstanceIsBehindAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, follower := startCommits(t, 2)
		o.submitEach(t, 200*time.Millisecond, 3*time.Second, "before")
		o.cluster.setCut(follower, true)
		o.submitEach(t, 200*time.Millisecond, 1500*time.Millisecond, "cut", follower)
		o.cluster.setCut(follower, false)
		o.submitEach(t, 200*time.Millisecond, inForceWithin, "back", follower)
		o.submitEach(t, 200*time.Millisecond, 10*time.Second, "after")
	})
}

// setCut cuts all links of an instance in both directions, or restores them. Connections end and begin accordingly.
func (c *cluster) setCut(m *member, cut bool) {
	c.mu.Lock()
	for _, o := range c.members {
		if o != m {
			c.cut[[2]string{m.info.ID, o.info.ID}], c.cut[[2]string{o.info.ID, m.info.ID}] = cut, cut
		}
	}
	c.mu.Unlock()
	notice := func(at, of *member) {
		var in control.Input = control.PeerConnected{Info: of.info}
		if cut {
			in = control.PeerLost{ID: of.info.ID}
		}
		at.running.Load().Deliver(context.Background(), in)
	}
	for _, o := range c.members {
		if o != m {
			notice(o, m)
			notice(m, o)
		}
	}
}

// TestInstanceIsSentEachMissedDocument guards against an instance that lacks many changes being sent the documents of
// all of them, though only the newest matters.
func TestInstanceIsSentEachMissedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, follower := startCommits(t, 3)
		c := o.cluster
		o.submitEach(t, 200*time.Millisecond, time.Second, "before")
		c.setCut(follower, true)
		for version := range 30 {
			l := c.leader()
			site := wire.Declarations{Site: &wire.Site{Version: version + 1, Document: make([]byte, 1000)}}
			set := &wire.ChangeSet{ChangeID: fmt.Sprint("site", version), Set: site}
			go l.submitChange(set, time.Second)
			c.run(100 * time.Millisecond)
		}
		documents := 0
		c.mu.Lock()
		c.isLost = func(_, to string, f wire.Frame) bool {
			if f.Config != nil && to == follower.info.ID && f.Config.Set.Site != nil {
				documents++
			}
			return false
		}
		c.mu.Unlock()
		c.setCut(follower, false)
		c.run(3 * time.Second)
		is.Equal(follower.running.Load().Publisher.View().Config.Site.Version, 30)
		is.True(documents <= 2) // two at most: one may be on its way when the instance asks
	})
}

// TestAnyLostFrameLeavesInstanceBehind guards against an instance that stays behind after any single frame between it
// and the leader was lost, whatever its kind and direction.
func TestAnyLostFrameLeavesInstanceBehind(t *testing.T) {
	for lost := range 24 {
		synctest.Test(t, func(t *testing.T) {
			o, follower := startCommits(t, uint64(lost))
			o.submitEach(t, 300*time.Millisecond, 2*time.Second, "before")
			leader, n := follower.running.Load().Publisher.View().Leader, 0
			o.cluster.mu.Lock()
			o.cluster.isLost = func(from, to string, _ wire.Frame) bool {
				if from == leader && to == follower.info.ID || to == leader && from == follower.info.ID {
					n++
				}
				return n == lost+1
			}
			o.cluster.mu.Unlock()
			o.submitEach(t, 300*time.Millisecond, 6*time.Second, "after")
		})
	}
}

// TestInstanceServesBehind guards against an instance that serves under a configuration although it has known of a newer
// one for longer than ServeBehind.
func TestInstanceServesBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, follower := startCommits(t, 4)
		o.submitEach(t, 300*time.Millisecond, 2*time.Second, "before")
		view := func() *control.View { return follower.running.Load().Publisher.View() }
		is.True(view().LeaseHeld(time.Now()))
		o.cluster.loseNext(follower, 1000)
		o.submitEach(t, 300*time.Millisecond, 3*time.Second, "lost", follower)
		is.True(!view().BehindSince.IsZero())
		is.True(!view().LeaseHeld(time.Now()))
		o.cluster.loseNext(follower, 0)
		o.submitEach(t, 300*time.Millisecond, 2*time.Second, "back", follower)
		is.True(view().LeaseHeld(time.Now()))
	})
}
