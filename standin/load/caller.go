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

const (
	// maxAnswerBytes bounds the part of an answer's body that is read.
	maxAnswerBytes = 16 << 20
	// lateAllowance is how long after its deadline a request is still waited for, so that an answer that comes
	// then is counted as Late and not as Lost.
	lateAllowance = 500 * time.Millisecond
)

// Caller is the policy that sends requests to plantainlane, at the entries that the system lists at GET /v1/entries.
type Caller struct {
	client *http.Client
	dir    *directory
	// stop ends the refresh of dir.
	stop context.CancelFunc
}

// NewCaller returns a caller that has read the list of entries and keeps it up to date until Close. It returns
// ErrNoEntry if no instance answers.
func NewCaller(ctx context.Context, s *scenario.Scenario) (*Caller, error) {
	client := newClient()
	dir := newDirectory(client, s.Entries, uint64(s.Seed))
	interval, err := dir.refresh(ctx)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	go dir.run(ctx, interval)
	return &Caller{client: client, dir: dir, stop: stop}, nil
}

// newClient returns a client that keeps enough idle connections to each address to reuse them at high load.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2000,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Close stops the refresh of the list of entries and closes idle connections.
func (c *Caller) Close() {
	c.stop()
	c.client.CloseIdleConnections()
}

// Name returns the name of the policy.
func (c *Caller) Name() string { return "plantainlane" }

// Run sends a request, and sends it again while the last send got no complete answer or 409 Conflict, the flow's number
// of sends isn't used up and the deadline hasn't passed. A further send avoids the entry of the previous one.
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
		loseAnswer := req.LoseAnswer && out.Sends == 1
		err := c.send(ctx, req, entry, arrival, loseAnswer, &out)
		if err != nil && !loseAnswer && ctx.Err() == nil {
			c.dir.markFailed(entry)
		}
		if out.Result != Lost && out.Result != Failed {
			break
		}
		if ctx.Err() != nil || !c.shouldResend(out) {
			break
		}
	}
	out.Elapsed = time.Since(arrival)
	if out.Result == Whole && out.Elapsed > req.Deadline() {
		out.Result = Late
	}
	return out
}

// unresolvedPause is how long a caller waits after a 409 Conflict before it sends the request again.
const unresolvedPause = 50 * time.Millisecond

// shouldResend reports whether another send may give the outcome of the request: the last send got no complete answer,
// or its answer was 409 Conflict, since an earlier execution is unresolved. In the second case it first waits for
// unresolvedPause.
func (c *Caller) shouldResend(out Outcome) bool {
	if out.Status == http.StatusConflict {
		time.Sleep(unresolvedPause)
	}
	return out.Result == Lost || out.Status == http.StatusConflict
}

// send sends a request once and writes the result to out. If no complete HTTP answer was received, it returns an error
// and leaves the result Lost. With loseAnswer it discards the answer: it waits for Flow.LostAfterMs and returns the
// context's error.
func (c *Caller) send(ctx context.Context, req *Request, entry string, arrival time.Time, loseAnswer bool, out *Outcome) error {
	out.Result, out.Status = Lost, 0
	if timeout := sendTimeout(req, loseAnswer); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	r, err := newHTTPRequest(ctx, req, entry, arrival)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	if loseAnswer {
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
	return readAnswer(resp.Body, req, out)
}

// sendTimeout returns how long one send waits for its answer; 0 means until the context of the request ends.
func sendTimeout(req *Request, loseAnswer bool) time.Duration {
	ms := req.Flow.SendTimeoutMs
	if loseAnswer {
		ms = req.Flow.LostAfterMs
	}
	return time.Duration(ms) * time.Millisecond
}

// newHTTPRequest returns the HTTP request of one send. An idempotent request states the milliseconds left until the
// deadline, at least 1; any other states the full deadline and carries its ID as idempotency key.
func newHTTPRequest(ctx context.Context, req *Request, entry string, arrival time.Time) (*http.Request, error) {
	left := max(int(time.Until(arrival.Add(req.Deadline())).Milliseconds()), 1)
	if !req.Idempotent {
		// The system refuses an idempotency key that is used again with another body.
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

// readProblem decodes a problem document from the body of an answer and records it in out. For a body that isn't a
// problem document it returns an error and leaves the result Lost.
func readProblem(body io.Reader, out *Outcome) error {
	var p wire.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&p); err != nil {
		return errors.Wrap(err, "problem")
	}
	recordProblem(p, out)
	return nil
}

// recordProblem sets the result to Failed, or to Refused if the problem states that the request did not run; each
// refusal is kept with the time at which it was read.
func recordProblem(p wire.Problem, out *Outcome) {
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

// readAnswer reads a pipeline's answer that isn't streamed. The result is Whole if the answer is complete and holds
// the expected output, otherwise Wrong.
func readAnswer(body io.Reader, req *Request, out *Outcome) error {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	var a wire.PipelineAnswer
	out.Result = Wrong
	if json.Unmarshal(b, &a) == nil && a.Status == "complete" && a.Output != nil && isExpectedOutput(req, *a.Output) {
		out.Result = Whole
	}
	out.Cost = a.Cost
	return nil
}

// readStream reads a streamed answer and checks each token. The result stays Lost if the stream stops before an end or
// problem event.
func readStream(body io.Reader, req *Request, arrival time.Time, out *Outcome) error {
	t := &tokenReader{req: req, arrival: arrival}
	err := t.read(body)
	out.FirstToken, out.Gaps, out.Cost = t.firstToken, t.gaps, t.end.Cost
	switch {
	case t.problem != nil:
		recordProblem(*t.problem, out)
	case t.ended && t.wrong:
		out.Result = Wrong
	case t.ended:
		out.Result = Whole
	case err == nil:
		err = errNoEndEvent
	}
	return err
}
