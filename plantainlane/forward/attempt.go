package forward

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
)

const (
	// maxSends bounds the sends of one request, those that did not run included.
	maxSends = 4
	// maxStray is the number of answers to other requests that are skipped on a connection.
	maxStray = 2
	// onceIdleAge is how long a connection may have been idle for a request that runs at most once.
	onceIdleAge = 2 * time.Second
	// minLeft is the time left below which a request is not sent.
	minLeft = 10 * time.Millisecond
	// firstEventPatience is how long a resumable stream may bring nothing until it is tried elsewhere.
	firstEventPatience = 3 * time.Second
	// gapPatience is how many times its aim a pause between events may last until a stream goes on elsewhere.
	gapPatience = 4
	// minGapPatience is the least pause after which a stream goes on elsewhere.
	minGapPatience = time.Second
)

// sendResult tells what came of one send.
type sendResult int

const (
	// delivered answers were passed on whole.
	delivered sendResult = iota
	// notRun sends certainly did not run.
	notRun
	// inputsGone sends did not run since results that they need are gone.
	inputsGone
	// mayHaveRun sends brought no whole answer.
	mayHaveRun
	// failedAnswer sends ran and brought a whole answer that tells a failure of the upstream.
	failedAnswer
)

// sendOutcome is what came of one send.
type sendOutcome struct {
	result sendResult
	err    error
	// answer is the upstream's whole answer, if there is one.
	answer *exchange.Reply
}

var (
	errForeignAnswer = errors.New("answer to another request")
	errUnsigned      = errors.New("answer without the upstream's signature")
	errEncoded       = errors.New("answer with an encoding that was not asked for")
)

// attempts sends the request until it is answered or can't be sent again. It returns true if the stages are to be
// made anew.
func (q *request) attempts(ctx context.Context) (again bool) {
	last := sendOutcome{result: notRun, err: errors.New("no upstream")}
	for q.sends < maxSends {
		if ctx.Err() != nil || time.Until(q.deadline) < minLeft {
			break
		}
		if q.arrived && !q.server.Budget.Take(q.service, time.Now()) {
			break
		}
		target, ok := q.pick()
		if !ok {
			break
		}
		last = q.send(ctx, target)
		switch last.result {
		case delivered:
			return false
		case inputsGone:
			return true
		case notRun:
			continue
		case mayHaveRun, failedAnswer:
			q.runs++
		}
		if q.route.RetryMode == site.AtMostOnce || q.runs >= q.route.MaxAttempts {
			break
		}
	}
	q.end(ctx, last)
	return false
}

func (q *request) pick() (route.Target, bool) {
	s := q.server
	return s.Picker.Pick(time.Now(), route.Query{Service: q.service, Avoid: q.tried, Preferred: q.homes.ids, PreferredSlack: q.homes.slack})
}

// end gives the final answer of a request that was not delivered.
func (q *request) end(ctx context.Context, last sendOutcome) {
	reason := "no upstream"
	if last.err != nil {
		reason = last.err.Error()
	}
	switch {
	case last.result == failedAnswer && !q.started:
		q.deliver(last.answer)
	case q.runs == 0 && q.call.ResumeAfter == q.lastEvent:
		pause := shortPause
		if time.Until(q.deadline) < pause {
			pause = 0
		}
		q.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: pause})
	case ctx.Err() != nil || time.Until(q.deadline) < minLeft:
		q.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: reason})
	default:
		q.refuse(Refusal{Status: http.StatusBadGateway, Reason: reason})
	}
}

// send sends the request to one upstream and passes its answer on.
func (q *request) send(ctx context.Context, t route.Target) sendOutcome {
	q.sends++
	q.upstream = t.ID
	q.tried = append(q.tried, t.ID)
	began := time.Now()
	out := q.exchange(ctx, t)
	result := route.Failure
	switch {
	case out.result == delivered:
		result = route.Success
	case out.result == notRun && errors.Is(out.err, errBusy), out.result == inputsGone:
		result = route.Refused
	case errors.Is(ctx.Err(), context.Canceled):
		result = route.Cancelled
	}
	t.Done(time.Now(), route.Outcome{Result: result, Latency: time.Since(began)})
	if out.err != nil {
		q.noteSend(t, out, time.Since(began))
	}
	return out
}

// errBusy reports an upstream that refused the request.
var errBusy = errors.New("upstream refused")

func (q *request) exchange(ctx context.Context, t route.Target) sendOutcome {
	maxAge := q.server.Pool.IdleLimit
	if q.route.RetryMode != site.Idempotent {
		maxAge = onceIdleAge
	}
	c, err := q.server.Pool.Get(ctx, t.Address, maxAge)
	if err != nil {
		return sendOutcome{result: notRun, err: err}
	}
	q.arrived = true
	stop := context.AfterFunc(ctx, c.Close)
	out, keep := q.exchangeOn(c, t)
	if !stop() {
		keep = 0
	}
	q.server.Pool.Put(c, keep)
	return out
}

// exchangeOn sends the request on a connection. It returns how long the connection may be kept; 0 if it can't be used
// again.
func (q *request) exchangeOn(c *exchange.Conn, t route.Target) (out sendOutcome, keep time.Duration) {
	left := time.Until(q.deadline)
	if left < minLeft {
		return sendOutcome{result: notRun, err: errors.New("no time left")}, 0
	}
	c.SetDeadline(q.patience(time.Now()))
	header := maps.Clone(q.header)
	q.server.Codec.Prepare(header, Send{
		Upstream: t.ID, Workspace: q.workspace, Left: left, Inputs: q.inputs, ResumeAfter: q.lastEvent,
	})
	err := c.Write(&exchange.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body})
	if err != nil {
		if errors.Is(err, exchange.ErrNotSent) {
			return sendOutcome{result: notRun, err: err}, 0
		}
		// The upstream may have answered before it read the whole body.
		c.SetDeadline(time.Now().Add(time.Second))
	}
	out, keep = q.readAnswer(c, t)
	if err != nil {
		keep = 0
	}
	return out, keep
}

// readAnswer reads the answer and passes it on.
func (q *request) readAnswer(c *exchange.Conn, t route.Target) (out sendOutcome, keep time.Duration) {
	res, answer, err := q.readHead(c)
	if err != nil {
		return sendOutcome{result: mayHaveRun, err: err}, 0
	}
	defer res.Body.Close()
	if answer.Load != nil {
		t.Reported(*answer.Load)
	}
	out, whole := q.take(c, t, res, answer)
	if !whole {
		return out, 0
	}
	return out, exchange.KeepFor(res)
}

// patience is how long the upstream may bring nothing.
func (q *request) patience(now time.Time) time.Time {
	if q.runs+1 >= q.route.MaxAttempts || q.route.RetryMode == site.AtMostOnce {
		return q.deadline
	}
	limit := now.Add(max(q.route.TargetLatency, time.Until(q.deadline)/4))
	if q.route.Stream {
		limit = now.Add(firstEventPatience)
	}
	return earlier(limit, q.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// readHead reads the head of the answer to this request. Late answers to earlier requests are skipped.
func (q *request) readHead(c *exchange.Conn) (*http.Response, Answer, error) {
	for range maxStray {
		res, err := c.Read(q.method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := q.server.Codec.ReadAnswer(res)
		if answer.ID == "" || answer.ID == q.call.ID {
			return res, answer, nil
		}
		if _, err := exchange.ReadBody(res, maxBodyBytes); err != nil {
			return nil, Answer{}, err
		}
	}
	return nil, Answer{}, errForeignAnswer
}

// take passes an answer on or tells why not. Whole tells that the answer was read to its end.
func (q *request) take(c *exchange.Conn, t route.Target, res *http.Response, a Answer) (out sendOutcome, whole bool) {
	if a.NotRun || a.Misdirected {
		_, err := exchange.ReadBody(res, maxBodyBytes)
		out = sendOutcome{result: notRun, err: errors.Wrapf(errBusy, "status %d", res.StatusCode)}
		if a.InputsGone {
			out.result = inputsGone
		}
		if a.Misdirected {
			q.server.Pool.CloseIdle(t.Address)
			out.err = errors.New("another upstream has the address")
		}
		return out, err == nil
	}
	isSuccess := res.StatusCode >= 200 && res.StatusCode < 300
	switch {
	case a.ID == "" || !a.Genuine && isSuccess:
		return sendOutcome{result: mayHaveRun, err: errUnsigned}, false
	case res.Header.Get("Content-Encoding") != "":
		return sendOutcome{result: mayHaveRun, err: errEncoded}, false
	case isSuccess && q.route.Stream:
		return q.relay(c, t, res)
	case q.started:
		return sendOutcome{result: mayHaveRun, err: errors.Newf("status %d instead of the rest of a stream", res.StatusCode)}, false
	}
	body, err := exchange.ReadBody(res, maxBodyBytes)
	if err != nil {
		return sendOutcome{result: mayHaveRun, err: err}, false
	}
	answer := &exchange.Reply{Status: res.StatusCode, Header: res.Header, Body: body}
	if !isSuccess {
		return sendOutcome{result: failedAnswer, answer: answer, err: errors.Newf("status %d", res.StatusCode)}, true
	}
	q.deliver(answer)
	return sendOutcome{result: delivered}, true
}

// deliver passes a whole answer on.
func (q *request) deliver(a *exchange.Reply) {
	q.copyHead(a.Header)
	q.started = true
	q.writer.WriteHeader(a.Status)
	outcome := "answered"
	if a.Status >= http.StatusBadRequest {
		outcome = "failed"
	}
	if _, err := q.writer.Write(a.Body); err != nil {
		outcome = "callerLost"
	}
	q.note(outcome, a.Status, "")
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

func (q *request) copyHead(from http.Header) {
	h := q.writer.Header()
	maps.Copy(h, from)
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
