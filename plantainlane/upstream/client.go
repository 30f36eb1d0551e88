package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// Answer is the whole answer to a call.
type Answer struct {
	// Output is the stage's output.
	Output []byte
	// Cost in units as the upstream reported it.
	Cost float64
	// Reported tells whether the upstream reported a cost.
	Reported bool
}

// Client calls upstreams. Several goroutines may use it.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client that keeps up to idle connections open to each upstream.
func NewClient(idle int) *Client {
	pooled := newTransport()
	pooled.MaxIdleConnsPerHost = idle
	pooled.IdleConnTimeout = idleTimeout
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh}}
}

// Do makes a call and returns its whole answer. Errors are marked with ErrNotRun if no byte went out or
// the upstream said so; any other error leaves it open whether the work ran.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, watch := watchSilence(ctx, call.SilentAfter)
	defer watch.stop()
	res, err := c.open(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(watch.reader(res.Body), maxAnswerBytes+1))
	a := Answer{Output: body}
	a.Cost, a.Reported = costOf(res.Header)
	switch {
	case err != nil && ctx.Err() != nil:
		return a, errors.Wrap(context.Cause(ctx), "read answer")
	case err != nil:
		return a, errors.Mark(errors.Wrap(err, "read answer"), ErrTruncated)
	case len(body) > maxAnswerBytes:
		return a, errors.Wrap(ErrFailed, "answer too large")
	}
	return a, nil
}

// open sends a call and checks the head of its answer.
func (c *Client) open(ctx context.Context, call Call) (*http.Response, error) {
	sent := &sentBytes{}
	req, err := call.request(httptrace.WithClientTrace(ctx, sent.trace()))
	if err != nil {
		return nil, errors.Mark(err, ErrNotRun)
	}
	client := c.pooled
	if call.Fresh {
		client = c.fresh
	}
	res, err := client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		if !sent.any() {
			err = errors.Mark(err, ErrNotRun)
		}
		return nil, errors.Wrap(err, "call")
	}
	if err := checkHead(res, call.Attempt); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// silenceWatch cancels a call whose connection brings nothing for too long.
type silenceWatch struct {
	timer  *time.Timer
	bound  time.Duration
	cancel context.CancelCauseFunc
}

func watchSilence(ctx context.Context, bound time.Duration) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &silenceWatch{bound: bound, cancel: cancel}
	if bound > 0 {
		w.timer = time.AfterFunc(bound, func() { cancel(ErrSilent) })
	}
	return ctx, w
}

func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

func (w *silenceWatch) reader(r io.Reader) io.Reader {
	if w.timer == nil {
		return r
	}
	return &watchedReader{r, w}
}

type watchedReader struct {
	io.Reader
	watch *silenceWatch
}

// Read starts the bound anew with each read that brings something.
func (r *watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.timer.Reset(r.watch.bound)
	}
	return n, err
}
