package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pauseTime is how long a voter is out of contact.
const pauseTime = 2500 * time.Millisecond

// TestPausedVoterAndLostDisk guards against a control log that never has a leader again: a voter is out of contact for pauseTime, and
// another one loses its disk at about the time at which the leader changes the voters. A majority of the committed voters, the leader
// and the first one, is whole all the while.
func TestPausedVoterAndLostDisk(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 4)
				defer func() {
					c.close()
					time.Sleep(10 * time.Second)
				}()
				c.run(20 * time.Second)
				c.useElectionTimeout(electionTimeout)
				l := c.leader()
				var others []*member
				for _, id := range c.voterIDs() {
					if id != l.info.ID {
						others = append(others, c.memberOf(id))
					}
				}
				random := rand.New(rand.NewPCG(seed, 52))
				random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
				paused, lost := others[0], others[1]
				lostAfter := time.Duration(800+random.IntN(800)) * time.Millisecond
				c.setCut(paused, true)
				c.run(lostAfter)
				lost.crash()
				lost.wipe()
				c.run(200 * time.Millisecond)
				lost.start()
				c.run(pauseTime - lostAfter - 200*time.Millisecond)
				c.setCut(paused, false)
				c.requireChange(t, "after")
			})
		})
	}
}
