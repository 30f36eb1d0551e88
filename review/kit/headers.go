package main

import (
	"fmt"
	"strings"
	"time"
)

// headersCase raises max_header_bytes by a change of the configuration, and sends requests with headers within the new limit.
func headersCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.start(configuration(7)); err != nil {
		return false, err
	}
	if err := startSoundWorkers(c); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	limit := 16384
	if trouble {
		limit = 65536
		next := configuration(9)
		next["limits"].(map[string]any)["max_header_bytes"] = limit
		if err := c.replace(next); err != nil {
			return false, err
		}
	}
	time.Sleep(2*time.Second + contact)
	// The prompt of a long request has many parts. All headers together stay below three quarters of the limit in force.
	prefix := promptPrefix(limit * 2 / 3)
	ended := map[string]int{}
	denied, total := 0, 0
	for i := range 90 {
		m := c.machines[i%len(c.machines)]
		conn, err := dial(m.at(c.front))
		if err != nil {
			return false, err
		}
		q := &call{method: "GET", path: "/preferiti/x", id: newID("h"), deadline: 600 * time.Millisecond, headers: "Prompt-Prefix: " + prefix + "\r\n"}
		r := conn.do(q)
		conn.raw.Close()
		total++
		if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && r.seal == "" {
			denied++
		}
		ended[fmt.Sprintf("status %d, from a worker %v", r.status, r.seal != "")]++
		rec.add("client: %s at %s, %d bytes of Prompt-Prefix: status %d, %v", q.id, m.ip, len(prefix), r.status, r.err)
		time.Sleep(20 * time.Millisecond)
	}
	for o, n := range ended {
		rec.add("%5d %s", n, o)
	}
	rec.add("max_header_bytes in force: %d; requests: %d; denied by the system: %d", limit, total, denied)
	return denied > 5+total/500, nil
}

// promptPrefix returns the parts of a prompt as text of about size bytes.
func promptPrefix(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:%d", 0x5c1e0000+i, 16)
	}
	return b.String()
}

// startSoundWorkers starts six workers of service frasi and three of conto.
func startSoundWorkers(c *cluster) error {
	for i := range 9 {
		id, service, answer := fmt.Sprintf("i-frasi%02d", i), "frasi", streamAnswer(8, 100*time.Millisecond, 50*time.Millisecond)
		if i >= 6 {
			id, service, answer = fmt.Sprintf("i-conto%02d", i), "conto", plainAnswer(15*time.Millisecond)
		}
		w, err := newWorker(c, id, service, c.zones[i%len(c.zones)])
		if err != nil {
			return err
		}
		w.respond = answer
		go w.announce()
	}
	return nil
}
