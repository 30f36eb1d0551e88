package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleEach is the reciprocal of the share of its answers that a garbling worker spoils.
	garbleEach = 50
	// garbleTime is how long the clients send requests.
	garbleTime = 60 * time.Second
	// streamEvents is the number of events of a stream, eventGap the time between two.
	streamEvents = 24
	eventGap     = 40 * time.Millisecond
)

// streamEvent returns an event of the stream that answers a request.
func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d %s\n\n", number, id, number, strings.Repeat("phrase ", 6))
}

// garbler answers with streams. Of garbling workers it breaks off some answers within an event, and sends bytes that are no response.
type garbler struct {
	rec     *recorder
	answers map[string]*atomic.Int64
	spoilt  sync.Map
}

func (g *garbler) respond(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if count := g.answers[w.id]; count != nil && count.Add(1)%garbleEach == 0 {
		g.spoil(w, rw, id, after)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= streamEvents && r.Context().Err() == nil; i++ {
		fmt.Fprint(rw, streamEvent(id, i))
		_ = http.NewResponseController(rw).Flush()
		if i < streamEvents {
			wait(r.Context(), eventGap)
		}
	}
}

// spoil sends an answer without a length. It stops in the middle of an event in the first half of the stream; then come bytes that are
// no response, and the connection is reset.
func (g *garbler) spoil(w *worker, rw http.ResponseWriter, id string, after int) {
	raw, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer raw.Close()
	fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id)
	last := max(after+1, streamEvents/2)
	for i := after + 1; i < last; i++ {
		fmt.Fprint(raw, streamEvent(id, i))
		time.Sleep(eventGap)
	}
	event := streamEvent(id, last)
	fmt.Fprint(raw, event[:len(event)-20])
	fmt.Fprint(raw, "\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	g.spoilt.Store(id, last)
	g.rec.add("worker %s: broke off the answer to %s in event %d, and sent bytes that are no response", w.id, id, last)
	time.Sleep(50 * time.Millisecond)
	if c, ok := raw.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// garbleCase lets a third of the workers break off a fiftieth of their answers within an event, followed by bytes that are no response.
func garbleCase(rec *recorder, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root, []string{"z-a", "z-b", "z-c"}, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.start(configuration(7)); err != nil {
		return false, err
	}
	g := &garbler{rec: rec, answers: make(map[string]*atomic.Int64)}
	for i := range 6 {
		w, err := newWorker(c, fmt.Sprintf("i-frasi%02d", i), "frasi", c.zones[i%3])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.respond = g.respond
		if trouble && i < 2 {
			g.answers[w.id] = &atomic.Int64{}
		}
		go w.announce()
	}
	time.Sleep(2 * contact)
	var mu sync.Mutex
	var all sync.WaitGroup
	ended := make(map[string]int)
	wrong := 0
	one := func(m *machine) {
		conn, err := dial(m.at(c.front))
		if err != nil {
			return
		}
		defer conn.raw.Close()
		q := &call{method: "POST", path: "/guida/x", id: newID("g"), body: []byte("prompt"), deadline: 15 * time.Second}
		r := conn.do(q)
		problem := checkStream(q.id, r.body)
		mu.Lock()
		defer mu.Unlock()
		ended[fmt.Sprintf("status %d, complete %v, right as far as it goes %v", r.status, r.complete, problem == "")]++
		if at, ok := g.spoilt.Load(q.id); ok || problem != "" {
			rec.add("client: %s at %s (spoilt in event %v): status %d, seal %s, complete %v, %s", q.id, m.ip, at, r.status, r.seal, r.complete, problem)
		}
		if r.status == http.StatusOK && r.complete && problem != "" {
			wrong++
		}
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < garbleTime; i++ {
		all.Add(1)
		go func() {
			defer all.Done()
			one(c.machines[i%3])
		}()
		time.Sleep(time.Second / 30)
	}
	all.Wait()
	for o, n := range ended {
		rec.add("%5d %s", n, o)
	}
	rec.add("answers that look complete and have a piece that no worker made: %d", wrong)
	return wrong > 0, nil
}

// checkStream returns what is wrong with the events of a complete stream; empty if nothing is.
func checkStream(id, body string) string {
	number := 0
	for event := range strings.SplitSeq(strings.ReplaceAll(body, "\r\n", "\n"), "\n\n") {
		if strings.Trim(event, "\n") == "" {
			continue
		}
		number++
		if want := strings.TrimSuffix(streamEvent(id, number), "\n\n"); event != want {
			return fmt.Sprintf("event %d is %q, expected %q", number, event, want)
		}
	}
	if number < streamEvents {
		return fmt.Sprintf("%d events of %d", number, streamEvents)
	}
	return ""
}
