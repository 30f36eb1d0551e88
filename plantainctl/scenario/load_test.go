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
	// loadPause is the pause of a worker after a request, or after it got no entry answer.
	loadPause = 40 * time.Millisecond
	// maxLoadSends is the maximum number of times that a request with an idempotency key is sent until its answer is
	// complete.
	maxLoadSends = 3
)

// loader sends requests by several workers until it is stopped. Like callers, each worker keeps an entry answer (the
// list of addresses to send to) for as long as that answer allows.
type loader struct {
	cluster   *cluster
	request   callerRequest
	name      string
	startedAt time.Time
	cancel    context.CancelFunc
	workers   sync.WaitGroup

	mu sync.Mutex
	// counts is the number of sends by the kind of outcome that sendAndClassify returns. A failure before a send, such as
	// a missing entry answer, counts as "broken".
	counts map[string]int
	// failures describes the first answers whose outcome isn't "whole", at most maxKeptFailures.
	failures []string
}

const maxKeptFailures = 20

// load start NAME [request's options] WORKSPACE PIPELINE
// load await NAME COUNT
// load stop NAME
//
// Start begins to send requests in the background and waits for the first outcomes, await waits until COUNT more sends
// have an outcome, and stop ends the load and prints the number of sends by outcome and the first failures.
func load(cl *cluster, ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) > 2 && args[0] == "start":
		c, err := cl.parseRequest(args[2:])
		if err != nil {
			return err
		}
		l := &loader{cluster: cl, request: c, name: args[1], counts: map[string]int{}}
		cl.loads[args[1]] = l
		return l.start()
	case len(args) == 3 && args[0] == "await" && cl.loads[args[1]] != nil:
		count, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return cl.loads[args[1]].await(count)
	case len(args) == 2 && args[0] == "stop" && cl.loads[args[1]] != nil:
		l := cl.loads[args[1]]
		l.stop()
		_, err := fmt.Fprintf(ts.Stdout(), "whole=%d notRun=%d unknown=%d ran=%d broken=%d foreign=%d unreached=%d\n%s",
			l.counts["whole"], l.counts["notRun"], l.counts["unknown"], l.counts["ran"], l.counts["broken"],
			l.counts["foreign"], l.counts["unreached"], strings.Join(l.failures, "\n"))
		return err
	}
	return errArguments
}

// start starts the workers and waits until as many sends have an outcome as there are workers.
func (l *loader) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.startedAt = cancel, time.Now()
	for i := range loadWorkers {
		l.workers.Go(func() { l.runWorker(ctx, i) })
	}
	return l.await(loadWorkers)
}

// await waits until count more sends have an outcome of any kind.
func (l *loader) await(count int) error {
	goal := l.answered() + count
	return await("load "+l.name, func() bool { return l.answered() >= goal })
}

// answered returns the number of sends that have an outcome.
func (l *loader) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.counts {
		n += c
	}
	return n
}

// stop stops the workers after their current requests and waits for them.
func (l *loader) stop() {
	l.cancel()
	l.workers.Wait()
}

// runWorker sends requests with different inputs until ctx is done, each to a random entry address. The random source
// is seeded with the number of the worker.
func (l *loader) runWorker(ctx context.Context, worker int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(1, uint64(worker)))
	var entries []wire.EntryAddress
	var entriesExpire time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if now := time.Now(); now.After(entriesExpire) {
			answer, err := l.cluster.fetchEntries(client)
			if err != nil {
				l.countOutcome("broken", err.Error())
				time.Sleep(loadPause)
				continue
			}
			entries, entriesExpire = answer.Entries, now.Add(time.Duration(answer.KeepForMs)*time.Millisecond)
		}
		c := l.request
		if c.idempotencyKey != "" {
			c.idempotencyKey = fmt.Sprintf("%s-%d-%d", c.idempotencyKey, worker, n)
		}
		c.input = fmt.Sprintf(`{"prompt": "%s of worker %d, number %d"}`, l.name, worker, n)
		want, err := l.cluster.expectedOutput(c.pipeline, c.input)
		if err != nil {
			l.countOutcome("broken", err.Error())
			return
		}
		for sends := 0; sends == 0 || c.idempotencyKey != "" && sends < maxLoadSends; sends++ {
			sent, entry := time.Now(), entries[random.IntN(len(entries))]
			kind, detail := c.sendAndClassify(client, want, entry.Address, l.cluster.modelName())
			l.countOutcome(kind, fmt.Sprintf("%s at %s from %v to %v: %s", kind, entry.Instance,
				sent.Sub(l.startedAt).Round(time.Millisecond), time.Since(l.startedAt).Round(time.Millisecond), detail))
			if kind == "whole" {
				break
			}
		}
		time.Sleep(loadPause)
	}
}

// countOutcome counts an outcome and keeps its detail if the outcome is one of the first failures.
func (l *loader) countOutcome(kind, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind]++
	if kind != "whole" && len(l.failures) < maxKeptFailures {
		l.failures = append(l.failures, detail)
	}
}

// sendAndClassify sends a request and returns the kind of its outcome: "whole" for a complete answer to this request;
// "notRun", "unknown" or "ran" as reported by a problem; "broken" for an answer that is truncated, malformed or
// missing; "foreign" for an answer to another request; "unreached" if no connection could be opened.
func (c callerRequest) sendAndClassify(client *http.Client, want chain.Output, address, model string) (kind, detail string) {
	resp, err := c.send(context.Background(), client, address, model)
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
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
		return classifyAnswer(strings.Contains(string(body), "event: end\n"), isExpectedStream(string(body), want), body)
	}
	var a wire.PipelineAnswer
	err = json.Unmarshal(body, &a)
	complete := err == nil && a.Status == "complete" && a.Output != nil
	return classifyAnswer(complete, complete && isExpectedOutput(*a.Output, want), body)
}

// classifyAnswer returns the kind of an answer without a problem. The detail is the body if the kind isn't "whole".
func classifyAnswer(complete, expected bool, body []byte) (kind, detail string) {
	switch {
	case !complete:
		return "broken", string(body)
	case !expected:
		return "foreign", string(body)
	}
	return "whole", ""
}
