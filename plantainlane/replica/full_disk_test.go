package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// fullFor is how long each disk is full, and the time until the next one is.
	fullFor = 4 * time.Second
	// acceptedWithin is the time in which a change must be accepted though one disk is full.
	acceptedWithin = 4 * time.Second
)

// TestFullDisksOneAfterAnotherLoseQuorum guards against replicas that stop for good when their disk is full, so that the quorum is
// gone once two have been full, though never two at once, and against a leader that keeps its lead while it can't store anything.
// There is no other disk.
func TestFullDisksOneAfterAnotherLoseQuorum(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			o, _ := startCommits(t, seed)
			c := o.cluster
			c.useElectionTimeout(electionTimeout)
			for i := range 4 {
				m := c.members[i%3]
				if i == 3 {
					m = c.leader()
				}
				m.disk.setFull(true)
				began, accepted := time.Now(), false
				for !accepted && time.Since(began) < acceptedWithin {
					c.run(100 * time.Millisecond)
					if l := c.leader(); l != nil {
						base := l.running.Load().Publisher.View().Config.Revision
						out := l.submitChange(change(fmt.Sprintf("full-%d-%d", i, time.Since(began).Milliseconds()), base), time.Second)
						accepted = out != nil && out.Revision > 0
					}
				}
				is.True(accepted)
				c.run(fullFor - min(time.Since(began), fullFor))
				m.disk.setFull(false)
				c.run(fullFor)
			}
			is.Equal(len(c.voterIDs()), 3)
			c.requireChange(t, "after")
			c.losePower() // what was accepted is on the disks
			c.requireChange(t, "restarted")
		})
	}
}
