package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestClockSetBackEndsServiceForGood guards against an instance that never serves again because its process started at an earlier time
// of day than the one before, whose clock was ahead: after a loss of power of all instances, where one or all clocks are set back, and
// after the end of one process.
func TestClockSetBackEndsServiceForGood(t *testing.T) {
	for _, c := range []struct {
		name                string
		isPowerLost, isEach bool
	}{{"one process ends", false, false}, {"power is lost, one clock is set back", true, false}, {"power is lost, all clocks are set back", true, true}} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(c.name, ", seed-", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playClockSetBack(t, seed, c.isPowerLost, c.isEach) })
			})
		}
	}
}

func playClockSetBack(t *testing.T, seed uint64, isPowerLost, isEach bool) {
	p := newPowerPlay(t, seed, 1)
	defer func() {
		p.close()
		time.Sleep(10 * time.Second)
	}()
	for _, m := range p.members {
		m.crash()
		m.info.Incarnation = 100
		m.start()
	}
	p.run(20 * time.Second)
	p.acknowledge(t)
	p.run(time.Second)
	for i, m := range p.members {
		// The clock was ahead when the process started that runs now.
		if isEach || i == int(seed)%len(p.members) {
			m.info.Incarnation -= 5
			if !isPowerLost {
				m.crash()
				m.start()
			}
		}
	}
	if isPowerLost {
		p.losePower()
	}
	p.run(serviceWithin)
	for _, m := range p.members {
		if v := m.running.Load().Publisher.View(); v.Config.Revision < p.revision || !v.LeaseHeld(time.Now()) || !v.IsCertain(time.Now()) {
			t.Fatalf("seed %d: %s is at revision %d of %d, serves: %v", seed, m.info.ID, v.Config.Revision, p.revision, v.LeaseHeld(time.Now()))
		}
	}
}
