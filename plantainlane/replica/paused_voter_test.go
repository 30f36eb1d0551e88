package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pausedSeeds is the number of seeds of TestPausedVoterAndLostDisk.
var pausedSeeds = flag.Uint64("paused.seeds", 60, "number of seeds of TestPausedVoterAndLostDisk")

// pauseTime is how long an instance is out of contact.
const pauseTime = 2500 * time.Millisecond

// TestPausedVoterAndLostDisk guards against a control log that never has a leader again: an instance is out of contact for
// pauseTime, and another one loses its disk, or only its process, at about the time at which the leader changes the voters. A
// majority of the committed voters is whole all the while. The first seeds are the play of issue 52: two voters that don't lead, and
// four disks. The others take any two of three to seven.
func TestPausedVoterAndLostDisk(t *testing.T) {
	for seed := range *pausedSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPausedVoter(t, seed) })
		})
	}
}

func playPausedVoter(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 52))
	disks, isTold := 4, seed < 20
	if !isTold {
		disks = []int{3, 4, 5, 7}[random.IntN(4)]
	}
	c := newCluster(t, seed, 3, disks)
	defer func() {
		c.close()
		time.Sleep(10 * time.Second)
	}()
	c.run(20 * time.Second)
	c.useElectionTimeout(electionTimeout)
	leader := c.leader()
	var ids []string
	for _, m := range c.members {
		if m.disk != nil && !isTold {
			ids = append(ids, m.info.ID)
		}
	}
	if isTold {
		for _, id := range c.voterIDs() {
			if id != leader.info.ID {
				ids = append(ids, id)
			}
		}
	}
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	paused, lost := c.memberOf(ids[0]), c.memberOf(ids[1])
	lostAfter := time.Duration(800+random.IntN(800)) * time.Millisecond
	c.setCut(paused, true)
	c.run(lostAfter)
	lost.crash()
	if isTold || random.IntN(3) > 0 {
		lost.wipe()
	}
	c.run(200 * time.Millisecond)
	lost.start()
	c.run(pauseTime - lostAfter - 200*time.Millisecond)
	c.setCut(paused, false)
	c.requireChange(t, "after")
}
