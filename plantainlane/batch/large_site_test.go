package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// calmShare is the share that the site earns without disturbances at least, and again from two seconds after one.
const calmShare = 0.9

// skipReplay leaves a replay out of the race detector's run, which is short: it has only one goroutine.
func skipReplay(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a replay of thousands of requests")
	}
}

// TestBurstOfLargeSiteOutlastsItself guards against a backlog that stays after the burst that has caused it.
func TestBurstOfLargeSiteOutlastsItself(t *testing.T) {
	skipReplay(t)
	tests := map[string]struct {
		bursts []largeBurst
		calm   []int
	}{
		"calm":    {nil, []int{2, 20}},
		"rewrite": {[]largeBurst{{"rewrite", 4, 11, 2.3}}, []int{13, 20}},
		"guide":   {[]largeBurst{{"guide", 4, 10, 2.4}}, []int{12, 20}},
		"all":     {[]largeBurst{{"", 4, 8, 1.8}}, []int{10, 20}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(2) {
				r := newLargeReplay(seed)
				r.play(20, tt.bursts...)
				t.Log(r.summary())
				is.True(r.share(tt.calm[0], tt.calm[1]) >= calmShare)
			}
		})
	}
}

// TestLargeSiteAfterChangeOfOwner guards against a queue whose new owner doesn't know what the upstreams hold, and against
// a backlog that stays.
func TestLargeSiteAfterChangeOfOwner(t *testing.T) {
	skipReplay(t)
	is := is.New(t)
	for seed := range uint64(3) {
		r := newLargeReplay(seed)
		r.after(6*time.Second, func() {
			for i := range r.queues {
				r.changeOwner(i)
			}
		})
		r.play(14)
		t.Log(r.summary())
		is.True(r.share(8, 14) >= calmShare)
		for i := range r.noMemory {
			is.True(float64(r.noMemory[i]) < 0.02*float64(r.made[i]))
		}
	}
}

// TestSlowThirdOfLargeSite guards against a backlog that stays after a third of the upstreams of a service was slow.
func TestSlowThirdOfLargeSite(t *testing.T) {
	skipReplay(t)
	for i, s := range largeStages {
		t.Run(s.service, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newLargeReplay(1)
			ids := make([]string, 0, len(r.upstreams[i]))
			for id := range r.upstreams[i] {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			set := func(slowness float64) {
				for _, id := range ids[:len(ids)/3] {
					r.upstreams[i][id].slowness = slowness
				}
			}
			r.after(4*time.Second, func() { set(2.5) })
			r.after(9*time.Second, func() { set(1) })
			r.play(18)
			t.Log(r.summary())
			is.True(r.share(12, 18) >= calmShare)
		})
	}
}

const (
	// rewriteFloor is the least share of its worth that the class of rewrites has to earn on a day of high load.
	rewriteFloor = 0.34
	// largeInstances is the number of instances, all of which submit jobs to the owner of a queue.
	largeInstances = 200
)

// TestOwnerCollectsGarbageInsteadOfServing guards against an owner whose connections to all instances hold so much memory
// that its collector leaves it no processor time: upstreams idle while pieces wait.
func TestOwnerCollectsGarbageInsteadOfServing(t *testing.T) {
	skipReplay(t)
	is := is.New(t)
	connection := connectionBytes(t)
	live := largeOtherMemory + largeInstances*connection
	// After a cut, a replica has half as many connections more for a while.
	liveAfterCut := live + largeInstances*connection/2
	for seed := range uint64(2) {
		r := newLargeReplay(seed)
		a, b, leader := besideReplica(live, live), besideReplica(live, liveAfterCut), besideLeader(live, live)
		r.machines = []*largeMachine{a, a, a}
		r.moveQueues(besideReplica(live, live), 1)
		r.moveQueues(besideReplica(live, live), 2)
		// A cut leaves two queues to the leader's machine. When that ends, one machine has all for some seconds.
		r.after(7*time.Second, func() { r.moveQueues(leader, 0, 2) })
		r.after(17*time.Second, func() { r.moveQueues(b, 0, 1, 2) })
		r.after(21*time.Second, func() { r.moveQueues(a, 0) })
		r.play(34, largeBurst{"guide", 4.4, 10.1, 2.5}, largeBurst{"rewrite", 16, 22, 2.4}, largeBurst{"", 26, 30, 1.7})
		rewrite := r.classEarned["rewrite"] / r.classOwed["rewrite"]
		t.Logf("live %d MB, rewrite %.3f, %s", live>>20, rewrite, r.summary())
		is.True(rewrite >= rewriteFloor)
	}
}

// TestQueuesBesideControlStarve guards against queues whose owners have no processor time left because few machines own all of
// them and serve control too: requests stay late for as long as the queues are there. What a burst leaves is gone two seconds
// after it, also when one of these machines is lost.
func TestQueuesBesideControlStarve(t *testing.T) {
	skipReplay(t)
	is := is.New(t)
	live := largeOtherMemory + largeInstances*connectionBytes(t)
	for seed := range uint64(2) {
		r := newZonedReplay(seed, largeZones)
		// The first zone's machine leads, so that those of the others own its queues.
		machines := make([]*largeMachine, largeZones)
		for zone := range machines {
			machines[zone] = besideReplica(live, live)
		}
		for queue := range r.machines {
			zone := queue % largeZones
			if zone == 0 {
				zone = 1 + queue/largeZones
			}
			r.machines[queue] = machines[zone]
		}
		r.after(17*time.Second, func() {
			next := 2
			for queue, m := range r.machines {
				if m == machines[1] {
					r.moveQueues(machines[next], queue)
					next = 2 + (next-1)%3
				}
			}
		})
		r.play(34, largeBurst{"guide", 4.4, 10.1, 2.5}, largeBurst{"rewrite", 16, 22, 2.4}, largeBurst{"", 26, 30, 1.7})
		rewrite := r.classEarned["rewrite"] / r.classOwed["rewrite"]
		t.Logf("rewrite %.3f, %s", rewrite, r.summary())
		is.True(rewrite >= rewriteFloor)
		for _, calm := range [][2]int{{0, 4}, {13, 16}, {24, 26}, {32, 34}} {
			is.True(r.share(calm[0], calm[1]) >= calmShare)
		}
	}
}
