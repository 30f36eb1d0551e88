package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/fake"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// Bounds on what a caller reads and waits for.
const (
	maxAnswerBytes = 16 << 20
	lateAllowance  = 500 * time.Millisecond
)

// Caller sends requests to the entries that the system tells.
type Caller struct {
	client *http.Client
	dir    *directory
	stop   context.CancelFunc
}

// NewCaller returns a caller that has asked for entries. Close it after use.
func NewCaller(ctx context.Context, s *scenario.Scenario) (*Caller, error) {
	client := newClient()
	dir := newDirectory(client, s.Entries, uint64(s.Seed))
	keep, err := dir.refresh(ctx)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	go dir.run(ctx, keep)
	return &Caller{client: client, dir: dir, stop: stop}, nil
}

// newClient returns a client that keeps many direct connections to each address.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2000,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Close stops asking for entries.
func (c *Caller) Close() {
	c.stop()
	c.client.CloseIdleConnections()
}

// Name returns the name of the policy.
func (c *Caller) Name() string { return "plantainlane" }

// Run sends a request until its outcome is known, its sends are used up or its deadline is over.
func (c *Caller) Run(ctx context.Context, req *Request, arrival time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(req.Deadline()+lateAllowance))
	defer cancel()
	var out Outcome
	entry := ""
	for out.Sends < max(req.Flow.Sends, 1) {
		left := time.Until(arrival.Add(req.Deadline()))
		if left < time.Millisecond && out.Sends > 0 {
			break
		}
		entry = c.dir.pick(entry)
		out.Sends++
		lose := req.LoseAnswer && out.Sends == 1
		err := c.send(ctx, req, entry, arrival, lose, &out)
		if err != nil && !lose && ctx.Err() == nil {
			c.dir.markFailed(entry)
		}
		if out.Result != Lost && out.Result != Failed {
			break
		}
		if ctx.Err() != nil || !c.mayRepeat(out) {
			break
		}
	}
	out.Elapsed = time.Since(arrival)
	if out.Result == Whole && out.Elapsed > req.Deadline() {
		out.Result = Late
	}
	return out
}

// unresolvedPause is how long a caller waits before it asks again for an unresolved outcome.
const unresolvedPause = 50 * time.Millisecond

// mayRepeat reports whether another send may tell more, and waits before it where the outcome is
// unresolved.
func (c *Caller) mayRepeat(out Outcome) bool {
	if out.Status == http.StatusConflict {
		time.Sleep(unresolvedPause)
	}
	return out.Result == Lost || out.Status == http.StatusConflict
}

// send sends a request once and notes the outcome. It returns an error if no whole HTTP answer came.
func (c *Caller) send(ctx context.Context, req *Request, entry string, arrival time.Time, lose bool, out *Outcome) error {
	out.Result, out.Status = Lost, 0
	if bound := sendBound(req, lose); bound > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	r, err := newCallerRequest(ctx, req, entry, arrival)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	if lose {
		<-ctx.Done()
		return ctx.Err()
	}
	out.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp.Body, out)
	}
	if req.Flow.Stream {
		return readStream(resp.Body, req, arrival, out)
	}
	return readWhole(resp.Body, req, out)
}

// sendBound returns how long the client waits for an answer to one send, 0 for no bound of its own.
func sendBound(req *Request, lose bool) time.Duration {
	ms := req.Flow.SendTimeoutMs
	if lose {
		ms = req.Flow.LostAfterMs
	}
	return time.Duration(ms) * time.Millisecond
}

func newCallerRequest(ctx context.Context, req *Request, entry string, arrival time.Time) (*http.Request, error) {
	left := max(int(time.Until(arrival.Add(req.Deadline())).Milliseconds()), 1)
	if !req.Idempotent {
		// A repeated body must be the same under the same key.
		left = req.Flow.DeadlineMs
	}
	body := wire.PipelineRequest{Input: req.Input, DeadlineMs: &left}
	if req.Flow.Stream {
		body.Stream = &req.Flow.Stream
	}
	if req.Flow.MaxTokens > 0 {
		body.MaxTokens = &req.Flow.MaxTokens
	}
	if req.Flow.Model != "" {
		body.Model = &req.Flow.Model
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	url := "http://" + entry + "/v1/workspaces/" + req.Workspace + "/pipelines/" + req.Pipeline.Name + "/requests"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+req.Key)
	if !req.Idempotent {
		r.Header.Set("Idempotency-Key", req.ID)
	}
	return r, nil
}

func readProblem(body io.Reader, out *Outcome) error {
	var p wire.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&p); err != nil {
		return errors.Wrap(err, "problem")
	}
	noteProblem(p, out)
	return nil
}

func noteProblem(p wire.Problem, out *Outcome) {
	out.Result, out.Problem = Failed, p.Type
	if p.Execution != fake.NotRun {
		return
	}
	out.Result = Refused
	refusal := Refusal{At: time.Now()}
	if p.RequestID != nil {
		refusal.Request = *p.RequestID
	}
	out.Refusals = append(out.Refusals, refusal)
}

func readWhole(body io.Reader, req *Request, out *Outcome) error {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	var a wire.PipelineAnswer
	out.Result = Wrong
	if json.Unmarshal(b, &a) == nil && a.Status == "complete" && a.Output != nil && isOwn(req, *a.Output) {
		out.Result = Whole
	}
	out.Cost = a.Cost
	return nil
}

func readStream(body io.Reader, req *Request, arrival time.Time, out *Outcome) error {
	t := &tokenReader{req: req, arrival: arrival}
	err := t.read(body)
	out.FirstToken, out.Gaps, out.Cost = t.first, t.gaps, t.end.Cost
	switch {
	case t.problem != nil:
		noteProblem(*t.problem, out)
	case t.ended && t.wrong:
		out.Result = Wrong
	case t.ended:
		out.Result = Whole
	case err == nil:
		err = errBadStream
	}
	return err
}
