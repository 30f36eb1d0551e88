package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/standin/admin"
	"plantainlane/standin/fake"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

const (
	// baselineAttempts is the maximum number of attempts at one stage of a request.
	baselineAttempts = 3
)

// errAttemptFailed marks an attempt that found no upstream, or got an answer that has an error status or isn't JSON.
var errAttemptFailed = errors.New("attempt failed")

// Baseline is the policy that plantainlane is compared with. It calls the upstreams of each stage itself: round
// robin over the upstreams of the service, no limits, and an immediate retry of any failed attempt.
type Baseline struct {
	client   *http.Client
	services map[string]*roundRobin
	// attempts and nonce form attempt IDs that no other attempt or run has.
	attempts atomic.Int64
	nonce    int64
}

// roundRobin selects the upstreams of one service in turn. It has at least one address.
type roundRobin struct {
	addresses []string
	next      atomic.Uint64
}

// pick returns the next address.
func (r *roundRobin) pick() string {
	return r.addresses[(r.next.Add(1)-1)%uint64(len(r.addresses))]
}

// NewBaseline returns a baseline that calls the upstreams listed by the scenario's fakes. Fakes that can't be read are
// logged and left out; it returns an error if no upstream is left.
func NewBaseline(ctx context.Context, s *scenario.Scenario) (*Baseline, error) {
	b := &Baseline{client: newClient(), services: make(map[string]*roundRobin), nonce: time.Now().UnixNano()}
	for _, address := range s.Fakes {
		list, err := admin.Upstreams(ctx, b.client, address)
		if err != nil {
			klog.ErrorS(err, "list of upstreams not read", "fakes", address)
			continue
		}
		for _, a := range list {
			if b.services[a.Service] == nil {
				b.services[a.Service] = &roundRobin{}
			}
			b.services[a.Service].addresses = append(b.services[a.Service].addresses, a.Address)
		}
	}
	if len(b.services) == 0 {
		return nil, errors.Newf("none of the fakes at %v lists an upstream", s.Fakes)
	}
	return b, nil
}

// Name returns the name of the policy.
func (b *Baseline) Name() string { return "baseline" }

// Close closes idle connections.
func (b *Baseline) Close() { b.client.CloseIdleConnections() }

// Run executes the stages of a request one after another, each with the output of the previous stage as input.
// The outcome counts one send.
func (b *Baseline) Run(ctx context.Context, req *Request, arrival time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(req.Deadline()))
	defer cancel()
	out := Outcome{Sends: 1, Result: Lost}
	body := req.Input
	for _, stage := range req.Pipeline.Stages {
		output, err := b.runStage(ctx, req, stage, body)
		if err != nil {
			out.Result, out.Elapsed = Failed, time.Since(arrival)
			return out
		}
		body = output
	}
	out.Result = Wrong
	if isExpectedOutput(req, body) {
		out.Result = Whole
	}
	out.Elapsed = time.Since(arrival)
	if out.Result == Whole && out.Elapsed > req.Deadline() {
		out.Result = Late
	}
	return out
}

// runStage returns the output of the first attempt at a stage that succeeds, or the error of the last attempt. An
// attempt may take the stage's share of the request's deadline, at least a tenth of the deadline.
func (b *Baseline) runStage(ctx context.Context, req *Request, stage wire.Stage, body json.RawMessage) (json.RawMessage, error) {
	upstreams, ok := b.services[stage.Service]
	if !ok {
		return nil, errors.Wrapf(errAttemptFailed, "no upstream of service %q", stage.Service)
	}
	timeout := time.Duration(float64(req.Deadline()) * max(stage.DeadlineShare, 0.1))
	var lastErr error
	for range baselineAttempts {
		out, err := b.attempt(ctx, req, stage, upstreams.pick(), timeout, body)
		if err == nil {
			return out, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

// attempt calls a stage at one upstream and returns its output. A stream is read to its end and joined.
func (b *Baseline) attempt(
	ctx context.Context, req *Request, stage wire.Stage, address string, timeout time.Duration, body json.RawMessage,
) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+stage.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(fake.HeaderAttempt, fmt.Sprintf("baseline-%d-%d", b.nonce, b.attempts.Add(1)))
	r.Header.Set(fake.HeaderRequest, req.ID)
	r.Header.Set(fake.HeaderWorkspace, req.Workspace)
	if req.Flow.MaxTokens > 0 {
		r.Header.Set(fake.HeaderMaxTokens, strconv.Itoa(req.Flow.MaxTokens))
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errAttemptFailed, resp.Status)
	}
	if stage.Streams {
		return joinStream(resp.Body)
	}
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if !json.Valid(out) {
		return nil, errors.Wrap(errAttemptFailed, "answer is not valid JSON")
	}
	return out, nil
}

// joinStream reads a token stream and returns its joined text and token count as JSON. It returns errInvalidStream
// if the stream stops before its end event.
func joinStream(body io.Reader) (json.RawMessage, error) {
	var joined joinedStream
	ended := false
	err := readEvents(body, func(e event) bool {
		var tok fake.Token
		switch {
		case e.name == "end":
			ended = true
			return false
		case e.name == "token" && json.Unmarshal(e.data, &tok) == nil:
			joined.Text += tok.Text
			joined.Tokens++
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	if !ended {
		return nil, errNoEndEvent
	}
	return json.Marshal(joined)
}
