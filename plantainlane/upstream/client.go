package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
)

// maxAnswerBytes is the maximum length of the body of an answer that isn't streamed.
const maxAnswerBytes = 16 << 20

// Answer is the complete answer to a call.
type Answer struct {
	// Output is the stage's output.
	Output []byte
	// Cost is the cost of the attempt as reported by the upstream, in cost units.
	Cost float64
	// Reported is set if the upstream reported a valid cost.
	Reported bool
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	// pooled reuses idle connections.
	pooled *http.Client
	// unpooled opens a new connection for each call.
	unpooled *http.Client
	// limits obtains the permits of the calls.
	limits *quota.Client
	// memory is for the answers that are being collected.
	memory *exchange.Memory
}

// NewClient returns a client that keeps up to maxIdle idle connections to each upstream, and obtains a permit from the
// gate for each call.
func NewClient(maxIdle int, g *quota.Gate) *Client {
	pooled := newTransport()
	pooled.MaxIdleConnsPerHost = maxIdle
	pooled.IdleConnTimeout = idleTimeout
	unpooled := newTransport()
	unpooled.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
		limits:   &quota.Client{Gate: g, Read: noticeOf},
		memory:   exchange.NewMemory(exchange.AnswerBytes),
	}
}

// Do makes a call and returns its complete answer. Errors are marked with ErrNotRun if no byte was sent or the upstream
// reported that the work did not run. After any other error the work may have run; the returned Answer then holds the
// cost that was received.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, silence := withSilenceTimeout(ctx, call.SilentAfter)
	defer silence.stop()
	res, err := c.open(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	body, err := c.memory.ReadAll(silence.reader(res.Body), maxAnswerBytes)
	a := Answer{Output: body}
	a.Cost, a.Reported = costOf(res.Header)
	switch {
	case errors.Is(err, exchange.ErrTooLarge) || errors.Is(err, exchange.ErrNoMemory):
		return a, errors.Mark(errors.Wrap(err, "read answer"), ErrFailed)
	case err != nil && ctx.Err() != nil:
		return a, errors.Wrap(context.Cause(ctx), "read answer")
	case err != nil:
		return a, errors.Mark(errors.Wrap(err, "read answer"), ErrTruncated)
	}
	return a, nil
}

// open obtains a permit, sends a call and checks the head of its answer. The caller must close the body of the answer.
// Without a permit, the error is a *quota.Refusal marked with ErrNotRun.
func (c *Client) open(ctx context.Context, call Call) (*http.Response, error) {
	permit, err := c.limits.Gate.Acquire(ctx, call.Peer)
	if err != nil {
		return nil, errors.Mark(err, ErrNotRun)
	}
	tracker := &writeTracker{check: permit.Check, written: make(chan error, 1)}
	req, err := call.request(httptrace.WithClientTrace(ctx, tracker.trace()))
	if err != nil {
		return nil, errors.Mark(err, ErrNotRun)
	}
	client := c.pooled
	if call.Fresh {
		client = c.unpooled
	}
	res, err := client.Do(req)
	if refused := tracker.refused(); refused != nil {
		return nil, errors.Mark(refused, ErrNotRun)
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		if !tracker.hasWritten() {
			err = errors.Mark(err, ErrNotRun)
		}
		return nil, errors.Wrap(err, "call")
	}
	if err := c.checkAnswer(res, call, tracker); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	if !exchange.HasEnd(res) {
		res.Body = &unendedBody{res.Body, tracker}
	}
	return res, nil
}

// checkAnswer checks the head of the answer to a call, and reads the notice in it. The connection of an answer to another attempt is
// closed: each later answer on it would be that to the call before.
func (c *Client) checkAnswer(res *http.Response, call Call, t *writeTracker) error {
	err := checkHead(res, call.Attempt)
	if errors.Is(err, ErrForeignAnswer) {
		t.closeConn()
		return err
	}
	c.limits.Observe(call.Peer, quota.Heard{SentAt: t.sentAt(), Status: res.StatusCode, Header: res.Header, IsOwn: true, MayEndLimit: true})
	return err
}

// silenceTimer cancels a call with ErrSilent if no data of the answer is received for the timeout.
type silenceTimer struct {
	// timer is nil if there is no timeout.
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

// withSilenceTimeout returns a context that is canceled with ErrSilent when the timer, which it returns too, reaches
// the timeout. Reads by the timer's reader restart the timer. A timeout of 0 means none. The caller must stop the
// timer.
func withSilenceTimeout(ctx context.Context, timeout time.Duration) (context.Context, *silenceTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &silenceTimer{timeout: timeout, cancel: cancel}
	if timeout > 0 {
		t.timer = time.AfterFunc(timeout, func() { cancel(ErrSilent) })
	}
	return ctx, t
}

// stop stops the timer and cancels the context of the call.
func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(nil)
}

// reader returns a reader of r that restarts the timer whenever it reads data.
func (t *silenceTimer) reader(r io.Reader) io.Reader {
	if t.timer == nil {
		return r
	}
	return &timedReader{r, t}
}

// timedReader is a reader that restarts a silenceTimer.
type timedReader struct {
	io.Reader
	silence *silenceTimer
}

// Read reads from the underlying reader, and restarts the timer if that returned data.
func (r *timedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.silence.timer.Reset(r.silence.timeout)
	}
	return n, err
}
