package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	plays["stream-of-exiting-worker"] = streamOfExitingWorker
	plays["invalid-configuration"] = invalidConfiguration
	plays["foreign-heartbeat"] = foreignHeartbeat
	plays["last-key"] = lastKey
}

// ready puts a configuration into force and waits until requests are answered by all machines, and they have been in touch.
func ready(c *cluster, first *config, probe func(m *machine, id string) bool) bool {
	if status, _ := c.replace(first.Version, first.text(), 20*time.Second); status != 200 {
		return false
	}
	for i, m := range c.machines {
		until := time.Now().Add(15 * time.Second)
		for n := 0; !probe(m, fmt.Sprintf("probe-%d-%d", i, n)); n++ {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + time.Second)
	return true
}

// streamOfExitingWorker: a worker is emptied and taken away while streams run that may be resumed.
func streamOfExitingWorker(c *cluster, trouble bool) int {
	const overlap = 400 * time.Millisecond
	log := &runLog{}
	first := newConfig(1)
	first.addModel("huvo11a")
	first.addRoute("/stream/", "streaming", 15000, map[string]any{"service": "huvo11a", "max_attempts": 2, "stream_resume": true})
	old, err := newWorker(c, log, "i-old", "huvo11a", "milano-a", 64)
	if err != nil {
		return failed
	}
	// One of eight leaves: the site's scale_in has a share of 0.14 at most.
	for i := range 7 {
		if _, err := newWorker(c, log, fmt.Sprintf("i-%d", i), "huvo11a", zones[i%len(zones)], 64); err != nil {
			return failed
		}
	}
	if !ready(c, first, func(m *machine, id string) bool {
		return c.send(m, http.MethodPost, "/stream/1", id, "x", 2*time.Second).whole
	}) {
		return failed
	}
	var all sync.WaitGroup
	answers := make(map[string]answer)
	var mu sync.Mutex
	for i := range 32 {
		all.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			a := c.send(c.machines[i%len(c.machines)], http.MethodPost, "/stream/70", id, "x", 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		at, ok := old.drain()
		if !ok {
			return failed
		}
		time.Sleep(time.Until(at.Add(drainTime + 500*time.Millisecond)))
		old.leave()
	}
	all.Wait()
	time.Sleep(time.Second)
	code, atOld := held, 0
	for id, a := range answers {
		runs := log.of(id)
		if len(runs) > 0 && runs[0].worker == old.id {
			atOld++
		}
		if len(runs) == 0 || a.status != 200 {
			c.rec.log("case       %s: %d runs, answer %d", id, len(runs), a.status)
			return failed
		}
		for i, later := range runs {
			for _, before := range runs[:i] {
				if together := before.lastWork.Sub(later.begin); together >= overlap {
					code = broken
					c.rec.log("TWICE      %s goes on at %s at %s; %s is at work on it until %s, %v later", id, later.worker, c.rec.at(later.begin),
						before.worker, c.rec.at(before.lastWork), together.Round(time.Millisecond))
				}
			}
		}
	}
	c.rec.log("case       %d of %d streams began at %s", atOld, len(answers), old.id)
	if atOld == 0 {
		return failed
	}
	return code
}

// invalidConfiguration: the operator sends a configuration with a route that names an unknown service.
func invalidConfiguration(c *cluster, trouble bool) int {
	log := &runLog{}
	build := func(version int, split bool, unknown string) *config {
		out := newConfig(version)
		out.addPlain("wuno96b")
		out.addPlain("wuno97b")
		more := map[string]any{"service": "wuno96b"}
		if split {
			more = map[string]any{"traffic_split": []map[string]any{{"service": "wuno96b", "weight": 90}, {"service": "wuno97b", "weight": 10}}}
		}
		if unknown != "" {
			more["service"] = unknown
		}
		out.addRoute("/puxa400/", "idempotent", 2000, more)
		return out
	}
	for _, name := range []string{"wuno96b", "wuno97b"} {
		if _, err := newWorker(c, log, "i-"+name, name, "milano-a", 6); err != nil {
			return failed
		}
	}
	if !ready(c, build(1, false, ""), func(m *machine, id string) bool {
		return c.send(m, http.MethodGet, "/puxa400/a", id, "", time.Second).status == 200
	}) {
		return failed
	}
	if !trouble {
		// The same change without the name of the service that is gone.
		if status, _ := c.replace(2, build(2, true, "").text(), 10*time.Second); status != 200 {
			return failed
		}
		return held
	}
	// The route is split, and still names the service of before, which the configuration doesn't have any more.
	invalid := build(2, true, "gone55c")
	c.rec.log("operator   configuration 2: %s", invalid.text())
	status, _ := c.replace(2, invalid.text(), 10*time.Second)
	switch status {
	case 200:
	case 0:
		return failed
	default:
		return held
	}
	c.rec.log("CONFIG     an invalid configuration is acknowledged")
	time.Sleep(configApply)
	status, text := c.call(c.machines[1], http.MethodGet, "/plantainlane/Config.Read", nil, 2*time.Second)
	c.rec.log("operator   reads from %s: %d %s", c.machines[1].ip, status, text)
	return broken
}

// foreignHeartbeat: a heartbeat of another writer, with fields missing, names a worker that is draining.
func foreignHeartbeat(c *cluster, trouble bool) int {
	log := &runLog{}
	first := newConfig(1)
	first.addModel("huvo11a")
	first.addPieces("kafi81c")
	first.addRoute("/stream/", "streaming", 15000, map[string]any{
		"service": "huvo11a", "stages": []map[string]any{{"service": "kafi81c", "after": []int{}, "bytes": 8000}},
	})
	model, err := newWorker(c, log, "i-model", "huvo11a", "milano-a", 64)
	if err != nil {
		return failed
	}
	model.needsInputs.Store(true)
	leaving, err := newWorker(c, log, "i-leaving", "kafi81c", "milano-a", 1)
	if err != nil {
		return failed
	}
	// One of eight drains: the site's scale_in has a share of 0.14 at most.
	for i := range 7 {
		if _, err := newWorker(c, log, fmt.Sprintf("i-staying-%d", i), "kafi81c", zones[i%len(zones)], 1); err != nil {
			return failed
		}
	}
	send := func(m *machine, id string) bool {
		return c.send(m, http.MethodPost, "/stream/1", id, "x", 4*time.Second, "Pieces", "2", "Piece-Key", "k-"+id).status == 200
	}
	if !ready(c, first, send) {
		return failed
	}
	acknowledged, ok := leaving.drain()
	if !ok {
		return failed
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		foreign := map[string]any{"service": "kafi81c", "address": leaving.address(), "state": "ready", "sequence": 100000, "born": leaving.born}
		for _, m := range c.machines {
			status, _ := c.call(m, http.MethodPost, "/plantainlane/Instances.Heartbeat/i-leaving", foreign, time.Second)
			c.rec.log("writer     sends %s a heartbeat without zone, version, slots, stage, models and warmup_left_ms for i-leaving, answer %d", m.ip, status)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + 500*time.Millisecond)))
	sentFrom := time.Now()
	const requests = 90
	var all sync.WaitGroup
	var served atomic.Int32
	for i := range requests {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			if send(c.machines[i%len(c.machines)], fmt.Sprintf("late-%d", i)) {
				served.Add(1)
			}
		})
	}
	all.Wait()
	c.rec.log("case       %d of %d requests were served", served.Load(), requests)
	if served.Load() < requests/2 {
		return failed
	}
	code := held
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, at := range leaving.calls {
		if at.After(sentFrom) {
			code = broken
			c.rec.log("DRAIN      pieces reach i-leaving at %s, %v after its draining was acknowledged", c.rec.at(at), at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	return code
}

// lastKey: the last key of the configuration is taken away, with its tenant.
func lastKey(c *cluster, trouble bool) int {
	log := &runLog{}
	first := newConfig(1)
	first.addPlain("wuno96b")
	first.addRoute("/puxa400/", "non_idempotent", 2000, map[string]any{"service": "wuno96b"})
	if _, err := newWorker(c, log, "i-plain", "wuno96b", "milano-a", 6); err != nil {
		return failed
	}
	send := func(m *machine, id string) bool {
		return c.send(m, http.MethodPost, "/puxa400/a", id, "x", time.Second).status == 200
	}
	if !ready(c, first, send) {
		return failed
	}
	next := *first
	next.Version = 2
	if trouble {
		next.Tenants = []map[string]any{}
	}
	c.rec.log("operator   configuration 2: %s", next.text())
	if status, _ := c.replace(2, next.text(), 10*time.Second); status != 200 {
		return failed
	}
	time.Sleep(configApply + 500*time.Millisecond)
	code := held
	for i, m := range c.machines {
		for name, text := range map[string]string{"dropped": key, "never-held": "zzzzzzzzzzzzzzzzzzzz"} {
			id := fmt.Sprintf("%s-%d", name, i)
			a := c.send(m, http.MethodPost, "/puxa400/a", id, "x", time.Second, "Authorization", "Bearer "+text)
			isHeld := name == "dropped" && !trouble
			if isHeld && a.status != 200 || !isHeld && a.status == 0 {
				c.rec.log("case       %s: answer %d", id, a.status)
				return failed
			}
			if runs := len(log.of(id)); runs > 0 && !isHeld {
				code = broken
				c.rec.log("ROUTE      request %s with the key %s runs, %d ms after the acknowledgement and more; answer %d", id, text,
					(configApply + 500*time.Millisecond).Milliseconds(), a.status)
			}
		}
	}
	return code
}
