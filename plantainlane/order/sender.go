package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

const (
	// readTimeout bounds one read of an engine's state.
	readTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of an engine's answer.
	maxAnswerBytes = 1 << 20
)

// Sender sends a planner's orders to engines over HTTP, reads engine states, and reports the answers.
type Sender struct {
	// Client sends the requests.
	Client *http.Client
	// Report is called with each answer, from several goroutines at the same time. It must not block for long.
	Report func(Report)
}

// Send sends the orders and reads of one step, each in its own goroutine, and doesn't wait for the answers. It sends
// nothing after ctx ends, and no order after its Until. A request that fails is neither reported nor retried: the
// planner decides whether to repeat it.
func (s *Sender) Send(ctx context.Context, a Actions) {
	for _, d := range a.Orders {
		go s.sendOrder(ctx, d)
	}
	for _, r := range a.Reads {
		go s.readState(ctx, r)
	}
}

// sendOrder sends an order unless it has expired, and reports the answer.
func (s *Sender) sendOrder(ctx context.Context, d Dispatch) {
	ctx, cancel := context.WithDeadline(ctx, d.Until)
	defer cancel()
	body, err := json.Marshal(d.Order)
	if err != nil || ctx.Err() != nil {
		return
	}
	var answer wire.OrderAnswer
	err = s.call(ctx, http.MethodPost, "http://"+d.Address+"/v1/orders", body, &answer)
	if err == nil {
		s.Report(Report{Upstream: d.Order.Upstream, Answer: &answer})
	}
}

// readState reads the state of an engine and reports it, unless another engine answers at the address.
func (s *Sender) readState(ctx context.Context, r Read) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	var state wire.EngineState
	if err := s.call(ctx, http.MethodGet, "http://"+r.Address+"/v1/engine", nil, &state); err == nil &&
		state.Upstream == r.Upstream {
		s.Report(Report{Upstream: r.Upstream, State: &state, StartedAt: started})
	}
}

// call sends a request with a JSON body and decodes the JSON body of the response into answer. Any status but 200 is an
// error.
func (s *Sender) call(ctx context.Context, method, url string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build engine request")
	}
	// Without GetBody the transport can't resend the body, so it never sends an order twice by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := s.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("engine answered status %d", res.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(answer), "read engine answer")
}
