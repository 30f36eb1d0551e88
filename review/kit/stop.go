package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// earlyEvents and laterEvents are the numbers of events of the streams before the stop and after it, events are eventPause apart.
	earlyEvents, laterEvents = 24, 64
	eventPause               = 80 * time.Millisecond
	// afterwards is how long after the grace time the rule counts.
	afterwards = time.Second
)

// stopCase stops a machine as planned, in calm. A few clients can't obtain a new list of addresses for three seconds and go on with the one
// that they have.
func stopCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 1)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.start(configuration(7)); err != nil {
		return false, err
	}
	early, later := streamAnswer(earlyEvents, 300*time.Millisecond, eventPause), streamAnswer(laterEvents, 300*time.Millisecond, eventPause)
	var workers []*worker
	for i := range 6 {
		w, err := newWorker(c, fmt.Sprintf("i-frasi%02d", i), "frasi", c.zones[i%3])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.respond = func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
			if r.Header.Get("Token-Count") == "1460,384" {
				later(w, rw, r, id)
				return
			}
			early(w, rw, r, id)
		}
		workers = append(workers, w)
		go w.announce()
	}
	// A directory node that doesn't answer in time, as these clients see it.
	silent, err := net.Listen("tcp", c.subnet+".201:0")
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSetup, err)
	}
	defer silent.Close()
	time.Sleep(2 * contact)

	m := c.machines[len(c.machines)-1]
	t := &stopTrial{rec: rec, m: m, workers: workers, ended: make(map[string]int)}
	for range 20 {
		t.send("1460,144")
		time.Sleep(100 * time.Millisecond)
	}
	t.all.Wait()

	// The clients have the address since now. Their calls for a new list, one second each to three nodes, get no answer.
	t.stopped = time.Now()
	if trouble {
		rec.add("platform: SIGTERM to both processes of %s", m.ip)
		_ = m.process("core").cmd.Process.Signal(syscall.SIGTERM)
		_ = m.process("entry").cmd.Process.Signal(syscall.SIGTERM)
	}
	obtained := make(chan struct{})
	go func() {
		defer close(obtained)
		time.Sleep(500 * time.Millisecond)
		for range 3 {
			client := http.Client{Timeout: time.Second}
			res, err := client.Get("http://" + silent.Addr().String() + "/plantainlane/resolve?name=" + host + "&region=region&zone=" + m.zone)
			if err == nil {
				res.Body.Close()
			}
			rec.add("client: no new list of addresses: %v", err)
		}
	}()
	for keeps := true; keeps; {
		t.send("1460,384")
		select {
		case <-obtained:
			keeps = false
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.all.Wait()
	if trouble {
		select {
		case <-m.process("entry").exited:
			rec.add("platform: entry of %s has ended", m.ip)
		case <-time.After(time.Until(t.stopped.Add(graceBound))):
			m.process("entry").kill()
		}
	}
	for o, n := range t.ended {
		rec.add("%5d %s", n, o)
	}
	rec.add("requests passed on and cut before a complete answer: %d, of these sent later than 3 s after SIGTERM: %d", t.cut, t.lost)
	return t.lost > 0, nil
}

// stopTrial sends requests to a machine and counts how they end.
type stopTrial struct {
	rec     *recorder
	m       *machine
	workers []*worker
	stopped time.Time
	all     sync.WaitGroup
	mu      sync.Mutex
	ended   map[string]int
	// cut counts the requests that were passed on and whose connection ended without a complete answer. lost counts those of them
	// that the rule doesn't excuse.
	cut, lost int
}

// send sends a request of a client.
func (t *stopTrial) send(tokens string) {
	t.all.Go(func() {
		conn, err := dial(t.m.at(t.m.c.front))
		if err != nil {
			return
		}
		defer conn.raw.Close()
		q := &call{method: "POST", path: "/guida/x", id: newID("g"), body: []byte("prompt"), deadline: 15 * time.Second, headers: "Token-Count: " + tokens + "\r\n"}
		r := conn.do(q)
		ran := false
		for _, w := range t.workers {
			ran = ran || w.ran(q.id)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.ended[fmt.Sprintf("status %d, complete %v, passed on %v", r.status, r.complete, ran)]++
		if t.stopped.IsZero() {
			return
		}
		sent, ended := q.sent.Sub(t.stopped), r.at.Sub(t.stopped)
		t.rec.add("client: %s at %s, sent %.3f s after SIGTERM: status %d, complete %v, closed %v, passed on %v, ended at %.3f s",
			q.id, t.m.ip, sent.Seconds(), r.status, r.complete, r.closed, ran, ended.Seconds())
		if !ran || r.complete || !r.closed || ended > graceBound+afterwards {
			return
		}
		t.cut++
		// Excused: the worker was still at work in the last sixth of the grace time, and the request was sent no later than 3 s after
		// SIGTERM. The deadline is 15 s, the workers are sound.
		if ended >= graceBound*5/6 && sent <= 3*time.Second {
			return
		}
		t.lost++
	})
}
