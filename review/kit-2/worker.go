package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is the work of a worker on one request or piece.
type run struct {
	request, worker, service string
	begin                    time.Time
	// lastWork is when the worker was last at work on it.
	lastWork time.Time
	ended    string
}

// runLog holds the runs of all workers.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns copies of the runs of a request in the order in which they began.
func (l *runLog) of(request string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.request == request {
			out = append(out, *r)
		}
	}
	return out
}

// worker is a stand-in for a worker.
type worker struct {
	c           *cluster
	log         *runLog
	id, service string
	zone        string
	born        int64
	slots       int
	listener    net.Listener
	stop        chan struct{}
	// needsInputs is set if its requests have stages. calling counts the calls for pieces that it holds, turn is for the one at work.
	needsInputs atomic.Bool
	calling     atomic.Int32
	turn        sync.Mutex

	mu       sync.Mutex
	sequence int
	state    string
	conns    map[net.Conn]bool
	// leftAt is when the worker began to exit; zero before that.
	leftAt time.Time
	stops  sync.Once
	// calls lists when calls for pieces arrived.
	calls []time.Time
}

// newWorker starts a worker at a free port and its heartbeats.
func newWorker(c *cluster, log *runLog, id, service, zone string, slots int) (*worker, error) {
	l, err := net.Listen("tcp", c.subnet+".100:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		c: c, log: log, id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l,
		stop: make(chan struct{}), state: "ready", conns: make(map[net.Conn]bool),
	}
	c.mu.Lock()
	c.workers = append(c.workers, w)
	c.mu.Unlock()
	c.rec.log("worker     %s of %s starts at %s", id, service, l.Addr())
	go w.accept()
	go w.beat()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// body returns what the worker says of itself.
func (w *worker) body() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "warmup_left_ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": w.sequence, "born": w.born,
	}
}

// tell sends a call to one node after another until one acknowledges it within a second.
func (w *worker) tell(path string, body any) bool {
	for i := range 2 * len(w.c.machines) {
		m := w.c.machines[i%len(w.c.machines)]
		if status, _ := w.c.call(m, http.MethodPost, path, body, time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

// beat sends heartbeats.
func (w *worker) beat() {
	for {
		if !w.tell("/plantainlane/Instances.Heartbeat/"+w.id, w.body()) {
			w.c.rec.log("worker     %s: heartbeat not acknowledged", w.id)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// drain reports that the worker is draining and returns when that was acknowledged.
func (w *worker) drain() (time.Time, bool) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	ok := w.tell("/plantainlane/Instances.Heartbeat/"+w.id, w.body())
	now := time.Now()
	w.c.rec.log("worker     %s reports draining, acknowledged %v", w.id, ok)
	return now, ok
}

// leave deregisters the worker and exits: it listens no more, closes its connections, and its runs notice that within half a second.
func (w *worker) leave() {
	ok := w.tell("/plantainlane/Instances.Deregister/"+w.id, map[string]any{"sequence": w.sequence + 1, "born": w.born})
	w.c.rec.log("worker     %s deregisters, acknowledged %v; it exits", w.id, ok)
	w.end()
}

// end ends the worker.
func (w *worker) end() {
	w.stops.Do(func() {
		close(w.stop)
		_ = w.listener.Close()
		w.mu.Lock()
		w.leftAt = time.Now()
		var open []net.Conn
		for c := range w.conns {
			open = append(open, c)
		}
		w.mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

// serve answers the requests on a connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, r, body) {
			return
		}
	}
}

func (w *worker) write(conn net.Conn, status int, id, headers, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		text += "Request-Id: " + id + "\r\n"
	}
	text += headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_, err := io.WriteString(conn, text)
	return err == nil
}

// answer answers one request and reports whether the connection stays open.
func (w *worker) answer(conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		w.c.rec.log("worker     %s is sent %s for %s, answers 421", w.id, r.URL.Path, target)
		return w.write(conn, http.StatusMisdirectedRequest, id, "Not-Executed: 1\r\n", "")
	}
	switch {
	case r.URL.Path == "/health":
		return w.write(conn, 200, id, "Instance-Id: "+w.id+"\r\n", "")
	case r.URL.Path == "/plantainlane/stage-run":
		return w.runPieces(conn, body)
	case r.URL.Path == "/plantainlane/stage-free":
		return w.write(conn, 200, "", "", "")
	case id == "":
		return w.write(conn, 400, "", "Not-Executed: 1\r\n", "")
	case w.needsInputs.Load() && r.Header.Get("Inputs") == "":
		return w.write(conn, 400, id, "Not-Executed: 1\r\n", "")
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		return w.stream(conn, r, id)
	}
	one := &run{request: id, worker: w.id, service: w.service, begin: time.Now()}
	w.log.add(one)
	w.c.rec.log("worker     %s of %s runs %s (%s)", w.id, w.service, id, r.URL.Path)
	time.Sleep(15 * time.Millisecond)
	w.log.mu.Lock()
	one.lastWork, one.ended = time.Now(), "200"
	w.log.mu.Unlock()
	return w.write(conn, 200, id, "Response-Seal: seal-"+w.id+"-"+id+"\r\nServer-Load: 1,0,"+strconv.Itoa(w.slots)+"\r\n", "answer to "+id)
}

const (
	// noticeTime is how long a run takes to notice that its connection has ended.
	noticeTime = 490 * time.Millisecond
	// eventPeriod is the time between two events of a stream.
	eventPeriod = 100 * time.Millisecond
)

// stream runs a request whose path says how many events its answer has.
func (w *worker) stream(conn net.Conn, r *http.Request, id string) bool {
	total, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/stream/"))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	one := &run{request: id, worker: w.id, service: w.service, begin: time.Now(), lastWork: time.Now()}
	w.log.add(one)
	w.c.rec.log("worker     %s of %s runs %s after event %d", w.id, w.service, id, from)
	out := httputil.NewChunkedWriter(conn)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Seal: seal-"+w.id+"-"+id+
		"\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n")
	var brokenAt time.Time
	next := time.Now().Add(eventPeriod)
	for n := from + 1; n <= total; {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		if err != nil && brokenAt.IsZero() {
			brokenAt = now
		}
		w.mu.Lock()
		if left := w.leftAt; brokenAt.IsZero() && !left.IsZero() {
			brokenAt = left
		}
		w.mu.Unlock()
		if !brokenAt.IsZero() && now.Sub(brokenAt) >= noticeTime {
			w.endRun(one, "its connection has ended")
			return false
		}
		w.log.mu.Lock()
		one.lastWork = now
		w.log.mu.Unlock()
		if now.Before(next) {
			continue
		}
		next = next.Add(eventPeriod)
		if brokenAt.IsZero() {
			_, err = fmt.Fprintf(out, "id: %d\ndata: %s/%d\n\n", n, id, n)
		}
		n++
	}
	_ = out.Close()
	_, err = io.WriteString(conn, "\r\n")
	w.endRun(one, "200")
	return err == nil
}

func (w *worker) endRun(one *run, how string) {
	w.log.mu.Lock()
	one.lastWork, one.ended = time.Now(), how
	w.log.mu.Unlock()
	w.c.rec.log("worker     %s ends its run of %s: %s", w.id, one.request, how)
}

// runPieces makes pieces.
func (w *worker) runPieces(conn net.Conn, body []byte) bool {
	var call struct {
		Items []struct {
			ID           string
			Stage, Piece int
		}
	}
	if json.Unmarshal(body, &call) != nil {
		return w.write(conn, 400, "", "Not-Executed: 1\r\n", "")
	}
	now := time.Now()
	w.mu.Lock()
	w.calls = append(w.calls, now)
	w.mu.Unlock()
	// One slot, and a queue of two.
	defer w.calling.Add(-1)
	if w.calling.Add(1) > 3 {
		return w.write(conn, 503, "", "Not-Executed: 1\r\n", "")
	}
	w.turn.Lock()
	defer w.turn.Unlock()
	var items []map[string]string
	for _, item := range call.Items {
		w.log.add(&run{request: item.ID, worker: w.id, service: w.service, begin: now})
		w.c.rec.log("worker     %s of %s makes piece %d of stage %d of %s", w.id, w.service, item.Piece, item.Stage, item.ID)
		items = append(items, map[string]string{"handle": fmt.Sprintf("%s/%s-%d-%d-%d", w.address(), item.ID, item.Stage, item.Piece, now.UnixNano())})
	}
	time.Sleep(240*time.Millisecond + time.Duration(len(items))*17*time.Millisecond)
	text, _ := json.Marshal(map[string]any{"items": items})
	return w.write(conn, 200, "", "Content-Type: application/json\r\nServer-Load: 1,0,1\r\n", string(text))
}
