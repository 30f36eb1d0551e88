package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a sound worker that follows the pages: it refuses requests that name another worker, stops when its connection closes,
// and sends heartbeats.
type worker struct {
	id, service, zone string
	c                 *cluster
	listener          net.Listener
	server            *http.Server
	born              int64
	stop              chan struct{}
	stopOnce          sync.Once
	// respond answers a request that runs.
	respond func(w *worker, rw http.ResponseWriter, r *http.Request, id string)
	// onRun is called when a request begins to run, onEnd when it has ended; complete is set if its whole answer was written.
	onRun func(w *worker, id string)

	mu       sync.Mutex
	sequence int
	runs     map[string]int
}

func newWorker(c *cluster, id, service, zone string) (*worker, error) {
	l, err := net.Listen("tcp", c.subnet+".200:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	w := &worker{
		id: id, service: service, zone: zone, c: c, listener: l, born: time.Now().UnixMilli(), stop: make(chan struct{}),
		runs: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", id) })
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux, MaxHeaderBytes: 1 << 20}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) close() {
	w.stopOnce.Do(func() {
		close(w.stop)
		_ = w.server.Close()
	})
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.c.rec.add("worker %s: runs %s, Last-Event-Id %q", w.id, id, r.Header.Get("Last-Event-Id"))
	if w.onRun != nil {
		w.onRun(w, id)
	}
	rw.Header().Set("Response-Seal", "seal-"+id)
	w.respond(w, rw, r, id)
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat(state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 64, "state": state,
		"warmup_left_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

// beat sends a heartbeat to one machine after the other until it is acknowledged.
func (w *worker) beat(state string, first int) {
	body := w.heartbeat(state)
	for i := range w.c.machines {
		m := w.c.machines[(first+i)%len(w.c.machines)]
		if status, _ := w.c.post(m, "/plantainlane/Instances.Heartbeat/"+w.id, body, time.Second); status == http.StatusOK {
			return
		}
	}
}

// announce sends heartbeats until the worker stops.
func (w *worker) announce() {
	for i := 0; ; i++ {
		w.beat("ready", i)
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// ran returns whether a request ran at the worker.
func (w *worker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

// streamAnswer returns a function that answers with a stream: its first event comes after first, the others after gap each.
func streamAnswer(events int, first, gap time.Duration) func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
	return func(_ *worker, rw http.ResponseWriter, r *http.Request, id string) {
		wait(r.Context(), first)
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= events && r.Context().Err() == nil; i++ {
			fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", i, id, i)
			_ = http.NewResponseController(rw).Flush()
			if i < events {
				wait(r.Context(), gap)
			}
		}
	}
}

// plainAnswer answers after some time.
func plainAnswer(work time.Duration) func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
	return func(_ *worker, rw http.ResponseWriter, r *http.Request, id string) {
		wait(r.Context(), work)
		_ = json.NewEncoder(rw).Encode(map[string]string{"answer": id})
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
