package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"plantainlane/standin/chain"
	"plantainlane/wire"
)

const (
	loadWorkers = 8
	loadPause   = 40 * time.Millisecond
	// loadSends is how often a request with an idempotency key is sent until its answer is whole.
	loadSends = 3
)

// loader sends requests by several workers until it is stopped. Each worker keeps an entry answer for as
// long as that says, as callers do.
type loader struct {
	world  *world
	caller caller
	name   string
	began  time.Time
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	// failures holds the first answers that were not whole.
	failures []string
}

const keptFailures = 20

// load start NAME [request's options] WORKSPACE PIPELINE
// load await NAME COUNT
// load stop NAME
func load(w *world, ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) > 2 && args[0] == "start":
		c, err := w.parse(args[2:])
		if err != nil {
			return err
		}
		l := &loader{world: w, caller: c, name: args[1], counts: map[string]int{}}
		w.loads[args[1]] = l
		return l.start()
	case len(args) == 3 && args[0] == "await" && w.loads[args[1]] != nil:
		more, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return w.loads[args[1]].await(more)
	case len(args) == 2 && args[0] == "stop" && w.loads[args[1]] != nil:
		l := w.loads[args[1]]
		l.stop()
		_, err := fmt.Fprintf(ts.Stdout(), "whole=%d notRun=%d unknown=%d ran=%d broken=%d foreign=%d unreached=%d\n%s",
			l.counts["whole"], l.counts["notRun"], l.counts["unknown"], l.counts["ran"], l.counts["broken"],
			l.counts["foreign"], l.counts["unreached"], strings.Join(l.failures, "\n"))
		return err
	}
	return errArguments
}

// start begins the load and waits until some requests were answered.
func (l *loader) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.began = cancel, time.Now()
	for i := range loadWorkers {
		l.done.Go(func() { l.work(ctx, i) })
	}
	return l.await(loadWorkers)
}

// await waits until so many more requests got an answer.
func (l *loader) await(more int) error {
	goal := l.answered() + more
	return await("load "+l.name, func() bool { return l.answered() >= goal })
}

func (l *loader) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.counts {
		n += c
	}
	return n
}

// stop lets every worker finish its request.
func (l *loader) stop() {
	l.cancel()
	l.done.Wait()
}

func (l *loader) work(ctx context.Context, worker int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(1, uint64(worker)))
	var entries []wire.EntryAddress
	var until time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if now := time.Now(); now.After(until) {
			answer, err := l.world.entries(client)
			if err != nil {
				l.count("broken", err.Error())
				time.Sleep(loadPause)
				continue
			}
			entries, until = answer.Entries, now.Add(time.Duration(answer.KeepForMs)*time.Millisecond)
		}
		c := l.caller
		if c.id != "" {
			c.id = fmt.Sprintf("%s-%d-%d", c.id, worker, n)
		}
		c.input = fmt.Sprintf(`{"prompt": "%s of worker %d, number %d"}`, l.name, worker, n)
		want, err := l.world.expected(c.pipeline, c.input)
		if err != nil {
			l.count("broken", err.Error())
			return
		}
		for sends := 0; sends == 0 || c.id != "" && sends < loadSends; sends++ {
			sent, entry := time.Now(), entries[random.IntN(len(entries))]
			kind, detail := c.outcome(client, want, entry.Address, l.world.model())
			l.count(kind, fmt.Sprintf("%s at %s from %v to %v: %s", kind, entry.Instance,
				sent.Sub(l.began).Round(time.Millisecond), time.Since(l.began).Round(time.Millisecond), detail))
			if kind == "whole" {
				break
			}
		}
		time.Sleep(loadPause)
	}
}

func (l *loader) count(kind, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind]++
	if kind != "whole" && len(l.failures) < keptFailures {
		l.failures = append(l.failures, detail)
	}
}

// outcome sends a request and returns whole, notRun, unknown or ran, broken for an answer that was cut off
// or never came, foreign for one that isn't the request's own, or unreached if no connection was made.
func (c caller) outcome(client *http.Client, want chain.Output, address, model string) (kind, detail string) {
	resp, err := c.send(context.Background(), client, address, model)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return "unreached", err.Error()
	case err != nil:
		return "broken", err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken", err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		var p wire.Problem
		if err := json.Unmarshal(body, &p); err != nil || p.Execution == "" {
			return "broken", errors.Newf("%s: %s", resp.Status, body).Error()
		}
		return p.Execution, p.Detail
	}
	if _, data, found := strings.Cut(string(body), "event: problem\ndata: "); c.stream && found {
		var p wire.Problem
		if err := json.Unmarshal([]byte(data), &p); err != nil || p.Execution == "" {
			return "broken", data
		}
		return p.Execution, p.Detail
	}
	if c.stream {
		return judge(strings.Contains(string(body), "event: end\n"), isOwnStream(string(body), want), body)
	}
	var a wire.PipelineAnswer
	err = json.Unmarshal(body, &a)
	complete := err == nil && a.Status == "complete" && a.Output != nil
	return judge(complete, complete && isOwn(*a.Output, want), body)
}

func judge(complete, own bool, body []byte) (kind, detail string) {
	switch {
	case !complete:
		return "broken", string(body)
	case !own:
		return "foreign", string(body)
	}
	return "whole", ""
}
