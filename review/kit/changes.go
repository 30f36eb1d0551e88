package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case "changes": routes as after routeSteps disruptions big_config of the largest count, and hundreds of changes.
const (
	routeSteps   = 34
	routesOfStep = 350
	changeCount  = 900
	changeTime   = 95 * time.Second
	inProgress   = 4
)

// changesCase changes a configuration of many routes hundreds of times. A process over its memory limit is killed, as the platform
// does. Without the disruption the configuration has few routes.
func changesCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	config := configuration(7)
	if err := c.start(config); err != nil {
		return false, err
	}
	kills := &memoryLimit{rec: rec, role: "core", killed: make(map[string]int)}
	done := make(chan struct{})
	defer close(done)
	go kills.watch(c, done)

	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	begin := time.Now()
	o := &changer{c: c, rec: rec, kills: kills, until: begin.Add(changeTime), config: config, version: 7}
	for i := range routeSteps {
		if trouble {
			o.addRoutes(routesOfStep, name)
		}
		o.change(i)
	}
	// Several changes are in progress at the same time, at most as many as the pages allow.
	var all sync.WaitGroup
	for i := range inProgress {
		all.Go(func() {
			for n := routeSteps + i; n < changeCount && time.Since(begin) < changeTime; n += inProgress {
				o.change(n)
			}
		})
	}
	all.Wait()
	rec.add("changes acknowledged: %d, refused: %d, calls without a clear answer: %d; most memory of a core process: %d MB; ended by the limit: %v",
		o.acknowledged.Load(), o.refused.Load(), o.unclear.Load(), kills.most, kills.killed)
	// The rule: on half of the core or more, processes end by themselves, three times in all.
	return kills.count >= 3 && 2*len(kills.killed) >= len(c.machines), nil
}

// changer is the operator.
type changer struct {
	c     *cluster
	rec   *recorder
	kills *memoryLimit
	// until is when no more calls are made.
	until time.Time

	mu      sync.Mutex
	config  map[string]any
	version int

	acknowledged, refused, unclear atomic.Int64
}

// addRoutes adds routes to the configuration.
func (o *changer) addRoutes(count int, name func() string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	routes := o.config["routes"].([]any)
	for range count {
		routes = append(routes, map[string]any{
			"name": "r-" + name(), "host": "h" + name() + ".example", "path_prefix": "/" + name() + "/" + name() + "/", "route_type": "idempotent",
			"timeout_ms": 600, "target_latency_ms": 100, "priority": 1, "service": "conto", "max_attempts": 2, "public": false,
		})
	}
	o.config["routes"] = routes
}

// next returns the text of the next version, in which the time-out of a route is another one.
func (o *changer) next(n int) (version, routes int, text json.RawMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 2
	o.config["version"] = o.version
	list := o.config["routes"].([]any)
	list[2].(map[string]any)["timeout_ms"] = 600 + n%5*100
	text, _ = json.Marshal(o.config)
	return o.version, len(list), text
}

// change sends the next version until the answer is clear.
func (o *changer) change(n int) {
	version, routes, text := o.next(n)
	status := 0
	for attempt := 0; attempt < 8 && time.Now().Before(o.until); attempt++ {
		m := o.c.machines[(n+attempt)%len(o.c.machines)]
		status, _ = o.c.post(m, "/plantainlane/Config.Replace", text, 4*time.Second)
		if status == http.StatusOK || status >= 400 && status < 500 {
			break
		}
		o.unclear.Add(1)
		time.Sleep(time.Duration(100*(attempt+1)) * time.Millisecond)
	}
	o.rec.add("operator: version %d, %d bytes: %d", version, len(text), status)
	switch {
	case status == http.StatusOK:
		o.acknowledged.Add(1)
	case status >= 400 && status < 500:
		o.refused.Add(1)
	}
	if n%20 == 0 {
		o.rec.add("operator: version %d, %d routes, %d bytes: %d; cores use %v MB", version, routes, len(text), status, o.kills.now())
	}
}
