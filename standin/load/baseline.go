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
	// baselineAttempts is how often the baseline tries a stage.
	baselineAttempts = 3
)

// errAttempt marks a failed attempt at a stage.
var errAttempt = errors.New("attempt failed")

// Baseline runs the stages itself: it takes the upstreams of a service in turn, knows no limits and
// repeats any failed attempt at once.
type Baseline struct {
	client   *http.Client
	services map[string]*ring
	attempts atomic.Int64
	nonce    int64
}

// ring is the upstreams of one service, taken in turn.
type ring struct {
	addresses []string
	next      atomic.Uint64
}

func (r *ring) take() string {
	return r.addresses[(r.next.Add(1)-1)%uint64(len(r.addresses))]
}

// NewBaseline returns a baseline over the upstreams that the fakes of a scenario tell.
func NewBaseline(ctx context.Context, s *scenario.Scenario) (*Baseline, error) {
	b := &Baseline{client: newClient(), services: make(map[string]*ring), nonce: time.Now().UnixNano()}
	for _, address := range s.Fakes {
		list, err := admin.Upstreams(ctx, b.client, address)
		if err != nil {
			klog.ErrorS(err, "upstreams unknown", "fakes", address)
			continue
		}
		for _, a := range list {
			if b.services[a.Service] == nil {
				b.services[a.Service] = &ring{}
			}
			b.services[a.Service].addresses = append(b.services[a.Service].addresses, a.Address)
		}
	}
	if len(b.services) == 0 {
		return nil, errors.New("no fakes tell their upstreams")
	}
	return b, nil
}

// Name returns the name of the policy.
func (b *Baseline) Name() string { return "baseline" }

// Close closes idle connections.
func (b *Baseline) Close() { b.client.CloseIdleConnections() }

// Run runs the stages of a request one after another.
func (b *Baseline) Run(ctx context.Context, req *Request, arrival time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(req.Deadline()))
	defer cancel()
	out := Outcome{Sends: 1, Result: Lost}
	body := req.Input
	for _, stage := range req.Pipeline.Stages {
		next, err := b.stage(ctx, req, stage, body)
		if err != nil {
			out.Result, out.Elapsed = Failed, time.Since(arrival)
			return out
		}
		body = next
	}
	out.Result = Wrong
	if isOwn(req, body) {
		out.Result = Whole
	}
	out.Elapsed = time.Since(arrival)
	if out.Result == Whole && out.Elapsed > req.Deadline() {
		out.Result = Late
	}
	return out
}

func (b *Baseline) stage(ctx context.Context, req *Request, stage wire.Stage, body json.RawMessage) (json.RawMessage, error) {
	upstreams, ok := b.services[stage.Service]
	if !ok {
		return nil, errors.Wrapf(errAttempt, "no upstream of %s", stage.Service)
	}
	timeout := time.Duration(float64(req.Deadline()) * max(stage.DeadlineShare, 0.1))
	var last error
	for range baselineAttempts {
		out, err := b.attempt(ctx, req, stage, upstreams.take(), timeout, body)
		if err == nil {
			return out, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

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
		return nil, errors.Wrap(errAttempt, resp.Status)
	}
	if stage.Streams {
		return joinStream(resp.Body)
	}
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if !json.Valid(out) {
		return nil, errors.Wrap(errAttempt, "truncated answer")
	}
	return out, nil
}

// joinStream returns the joined text of a stream that ends with its end event.
func joinStream(body io.Reader) (json.RawMessage, error) {
	var g generated
	ended := false
	err := eachEvent(body, func(e event) bool {
		var tok fake.Token
		switch {
		case e.name == "end":
			ended = true
			return false
		case e.name == "token" && json.Unmarshal(e.data, &tok) == nil:
			g.Text += tok.Text
			g.Tokens++
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	if !ended {
		return nil, errBadStream
	}
	return json.Marshal(g)
}
