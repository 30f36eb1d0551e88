package main

import (
	"net/http"
	"time"
)

// seedsTime is how long the operator sends the first configuration.
const seedsTime = 60 * time.Second

// seedsCase is no case, see REPORT.md. It starts the system for the first time with seeds that serve control: with trouble, one that has a
// disk and two that have none.
func seedsCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 3)
	if err != nil {
		return false, err
	}
	defer c.close()
	if trouble {
		c.seeds = []*machine{c.machines[0], c.machines[4], c.machines[5]}
	}
	if err := c.startProcesses(); err != nil {
		return false, err
	}
	if err := startSoundWorkers(c); err != nil {
		return false, err
	}
	begin := time.Now()
	acknowledged := false
	for i := 0; time.Since(begin) < seedsTime && !acknowledged; i++ {
		m := c.machines[i%len(c.machines)]
		status, _ := c.post(m, "/plantainlane/Config.Replace", configuration(7), 4*time.Second)
		rec.add("operator: version 7 to %s: %d", m.ip, status)
		acknowledged = status == http.StatusOK
		time.Sleep(300 * time.Millisecond)
	}
	if acknowledged {
		if err := c.waitReady(20 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * contact)
	}
	served := 0
	for i := range 60 {
		conn, err := dial(c.machines[i%len(c.machines)].at(c.front))
		if err != nil {
			continue
		}
		r := conn.do(&call{method: "GET", path: "/preferiti/x", id: newID("p"), deadline: 600 * time.Millisecond})
		conn.raw.Close()
		if r.status == http.StatusOK && r.complete {
			served++
		}
	}
	rec.add("acknowledged: %v; requests served: %d of 60", acknowledged, served)
	return served == 0, nil
}
