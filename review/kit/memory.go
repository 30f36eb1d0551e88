package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The load of the case "memory": the rate of guida in the sheet of lanterna-frasi, the strongest burst of one class in its site
// file, and bodies within max_body_bytes.
const (
	guidaPerSecond = 12.5
	burstFactor    = 2.4
	burstTime      = 7 * time.Second
	largeBody      = 4_194_304
)

// memoryCase lets many clients come at once with large requests. A process over its memory limit is killed, as the platform does.
func memoryCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.start(configuration(7)); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 6 {
		w, err := newWorker(c, fmt.Sprintf("i-frasi%02d", i), "frasi", c.zones[i%3])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.respond = streamAnswer(64, 1200*time.Millisecond, 100*time.Millisecond)
		workers = append(workers, w)
		go w.announce()
	}
	for i := range 3 {
		w, err := newWorker(c, fmt.Sprintf("i-conto%02d", i), "conto", c.zones[i])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.respond = plainAnswer(15 * time.Millisecond)
		workers = append(workers, w)
		go w.announce()
	}
	time.Sleep(2 * contact)

	kills := &memoryLimit{rec: rec, role: "entry", killed: make(map[string]int)}
	done := make(chan struct{})
	defer close(done)
	go kills.watch(c, done)

	body := make([]byte, largeBody)
	var mu sync.Mutex
	var all sync.WaitGroup
	outcomes := make(map[string]int)
	lost := 0
	one := func(m *machine) {
		defer all.Done()
		addresses := m.resolve()
		if len(addresses) == 0 {
			addresses = []string{m.at(c.front)}
		}
		conn, err := dial(addresses[0])
		if err != nil {
			mu.Lock()
			outcomes["no connection"]++
			mu.Unlock()
			return
		}
		defer conn.raw.Close()
		// The connection is kept: it has carried a request before.
		if first := conn.do(&call{method: "GET", path: "/preferiti/x", id: newID("p"), deadline: 600 * time.Millisecond}); !first.complete {
			mu.Lock()
			outcomes["no kept connection"]++
			mu.Unlock()
			return
		}
		q := &call{method: "POST", path: "/guida/x", id: newID("g"), body: body, deadline: 15 * time.Second, pace: 150 * time.Millisecond}
		r := conn.do(q)
		ran := false
		for _, w := range workers {
			ran = ran || w.ran(q.id)
		}
		mu.Lock()
		defer mu.Unlock()
		outcome := fmt.Sprintf("status %d, complete %v, closed %v, passed on %v", r.status, r.complete, r.closed, ran)
		outcomes[outcome]++
		rec.add("client: %s at %s: %s, %v", q.id, addresses[0], outcome, r.err)
		if r.status == 0 && r.closed && ran {
			lost++
		}
	}
	send := func(perSecond float64, during time.Duration) {
		begin := time.Now()
		for i := 0; ; i++ {
			at := begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
			if at.Sub(begin) > during {
				return
			}
			time.Sleep(time.Until(at))
			all.Add(1)
			go one(c.machines[i%3])
		}
	}
	send(guidaPerSecond, 8*time.Second)
	factor := 1.0
	if trouble {
		factor = burstFactor
		rec.add("burst of %v begins", factor)
	}
	send(guidaPerSecond*factor, burstTime)
	rec.add("burst ends")
	send(guidaPerSecond, 8*time.Second)
	all.Wait()
	for o, n := range outcomes {
		rec.add("%5d %s", n, o)
	}
	rec.add("most memory: %d MB; processes killed for their memory: %d; requests of kept connections passed on and closed without an answer: %d",
		kills.most, kills.count, lost)
	return lost > 3, nil
}

// memoryLimit kills processes of a role that use more than their memory limit, and starts them again.
type memoryLimit struct {
	rec  *recorder
	role string
	mu   sync.Mutex
	// killed counts the kills by machine, and count all of them. latest holds the newest measurement of each machine.
	killed map[string]int
	count  int
	most   int
	latest []int
}

// now returns the newest measurement of each machine.
func (l *memoryLimit) now() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.latest)
}

func (l *memoryLimit) watch(c *cluster, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		latest := make([]int, 0, len(c.machines))
		for _, m := range c.machines {
			mb := m.process(l.role).residentMB()
			latest = append(latest, mb)
			if mb <= memoryMB {
				continue
			}
			l.rec.add("platform: %s of %s uses %d MB of %d MB: killed", l.role, m.ip, mb, memoryMB)
			l.mu.Lock()
			l.killed[m.ip]++
			l.count++
			l.mu.Unlock()
			if err := m.restart(l.role); err != nil {
				l.rec.add("platform: %s of %s not started: %v", l.role, m.ip, err)
				return
			}
		}
		l.mu.Lock()
		l.latest = latest
		for _, mb := range latest {
			l.most = max(l.most, mb)
		}
		l.mu.Unlock()
	}
}
