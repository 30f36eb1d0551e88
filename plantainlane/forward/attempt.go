package forward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
)

const (
	// maxSends bounds the sends of one request, including those that did not run.
	maxSends = 4
	// maxMismatchedAnswers is the number of answers to other requests after which a connection is abandoned. It is larger than that of
	// the requests that may have been refused on it, with some copies each; their bodies together may be as large as one answer's.
	maxMismatchedAnswers = 64
	// maxIdleNonIdempotent is the idle time up to which a connection is reused for a request that is not idempotent.
	maxIdleNonIdempotent = 2 * time.Second
	// minTimeLeft is the time until the deadline below which a request is not sent.
	minTimeLeft = 10 * time.Millisecond
	// firstEventTimeout is how long an upstream may take to start a stream before the request is retried at another.
	firstEventTimeout = 3 * time.Second
	// gapTimeoutFactor is the gap between events after which a stream is resumed at another upstream, as a multiple
	// of the route's TargetGap. The gap is at least minGapTimeout.
	gapTimeoutFactor = 4
	// minGapTimeout is the shortest such gap, see gapTimeoutFactor.
	minGapTimeout = time.Second
)

// sendResult is the result of one send. A send is one transmission of a request to one upstream; the request may be
// sent again if the result allows it.
type sendResult int

const (
	// delivered sends were answered, and the whole answer was forwarded.
	delivered sendResult = iota
	// notRun sends certainly did not run.
	notRun
	// inputsGone sends did not run because stage results that the request needs no longer exist.
	inputsGone
	// mayHaveRun sends received no whole answer that can be trusted and forwarded.
	mayHaveRun
	// failedAnswer sends ran and received a whole answer that reports a failure of the upstream.
	failedAnswer
)

// sendOutcome describes how one send ended.
type sendOutcome struct {
	result sendResult
	// err is why nothing was delivered; nil for delivered sends.
	err error
	// answer is the upstream's whole answer, set for failedAnswer only. claimsNotRun is set if its status says that the request did not
	// run, though it may have.
	answer       *exchange.Reply
	claimsNotRun bool
	// port is the local port of the connection that was used, 0 if there was none, and reused is set if it had carried a request before.
	port   int
	reused bool
}

var (
	errMismatchedID = errors.New("answer carries the ID of another request")
	errUnsigned     = errors.New("answer without the request's ID or the upstream's signature")
	errEncoded      = errors.New("answer has a Content-Encoding that was not requested")
)

// sendUntilAnswered sends the request to one upstream after another until one answers or the request may not be sent
// again, and answers the caller. It returns true, without an answer to the caller, if the stages must be run again
// because results are gone.
func (q *request) sendUntilAnswered(ctx context.Context) (rerunStages bool) {
	defer q.returnTrial()
	last := sendOutcome{result: notRun, err: errors.New("no upstream")}
	for q.sends < maxSends {
		if ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft {
			break
		}
		if refusal := q.refuseBeforeSend(time.Now()); refusal != nil {
			q.refuse(*refusal)
			return false
		}
		if refusal := q.obtainTrial(ctx); refusal != nil {
			if q.hasNotRun() {
				q.refuse(*refusal)
				return false
			}
			break
		}
		if q.connected && !q.server.Budget.Take(q.service, time.Now()) {
			break
		}
		target, permit, ok := q.nextTarget(ctx)
		if !ok {
			if !q.restsUntil.IsZero() {
				last = sendOutcome{result: notRun, err: errAllRest}
			}
			break
		}
		last = q.send(ctx, target, permit)
		switch last.result {
		case delivered:
			q.finishStream()
			return false
		case inputsGone:
			return true
		case notRun:
			continue
		case mayHaveRun, failedAnswer:
			q.runs++
		}
		if !q.mayRunAgain() {
			break
		}
		q.waitForEnd(ctx, target, last)
	}
	q.answerUndelivered(ctx, last)
	return false
}

// answerUndelivered answers a request for which no send was delivered. The last send's outcome gives the reason.
func (q *request) answerUndelivered(ctx context.Context, last sendOutcome) {
	reason := "no upstream"
	if last.err != nil {
		reason = last.err.Error()
	}
	switch {
	case last.claimsNotRun && q.route.RetryMode == site.AtMostOnce:
		// The caller would send it again.
		q.refuse(Refusal{Status: http.StatusBadGateway, Reason: reason + " after the request may have run"})
	case last.result == failedAnswer && !q.headSent:
		q.deliver(last.answer)
	// The caller may retry if its deadline leaves the time.
	case q.hasNotRun():
		retryAfter := max(shortRetryAfter, time.Until(q.restsUntil))
		if time.Until(q.deadline) < retryAfter {
			retryAfter = 0
		}
		q.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter})
	case ctx.Err() != nil || time.Until(q.deadline) < minTimeLeft:
		q.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: reason})
	default:
		q.refuse(Refusal{Status: http.StatusBadGateway, Reason: reason})
	}
}

// mayRunAgain reports whether the request may be sent again after a send that may have run. A trial allows one send only.
func (q *request) mayRunAgain() bool {
	return !q.isCallerLost && !q.trialFailed && !q.isInDoubt && q.route.RetryMode != site.AtMostOnce && q.runs < q.route.MaxAttempts && !q.server.Guard.MayCrashAgain(q.content)
}

// hasNotRun reports whether no send ran and no event was forwarded.
func (q *request) hasNotRun() bool { return q.runs == 0 && q.call.ResumeAfter == q.lastEvent }

// send sends the request to one upstream, forwards the answer, and reports the outcome to the balancer.
func (q *request) send(ctx context.Context, t route.Target, permit quota.Permit) sendOutcome {
	q.sends++
	q.upstream = t.ID
	q.tried = append(q.tried, t.ID)
	start, events := time.Now(), q.events
	if q.sends == 1 {
		q.firstSentAt = start
	}
	q.sending = q.server.Prompts.Sent(start, q.affinity.plan, t.ID, t.Incarnation)
	out := q.connectAndSend(ctx, t, permit)
	if out.result == notRun || out.result == inputsGone {
		q.sending.NotRun()
	}
	q.sending.End(time.Now(), out.result == delivered)
	result := route.Failure
	switch {
	case errors.Is(out.err, quota.ErrNoPermit), errors.Is(out.err, errTrialOver):
		// The upstream wasn't asked, so it may be chosen again.
		result = route.Cancelled
		q.tried = q.tried[:len(q.tried)-1]
	case errors.IsAny(out.err, errUpstreamFull, exchange.ErrNoConnection), q.isCallerLost:
		result = route.Cancelled
	case out.result == delivered:
		result = route.Success
	case out.result == notRun && errors.Is(out.err, errRefused), out.result == inputsGone, q.asksForPause(out.answer):
		result = route.Refused
	case errors.Is(ctx.Err(), context.Canceled):
		result = route.Cancelled
	}
	t.Done(time.Now(), route.Outcome{Result: result, Latency: time.Since(start)})
	if out.err != nil {
		q.logFailedSend(t, out, time.Since(start))
	}
	q.reportToGuard(ctx, t, out, q.events > events)
	return out
}

// asksForPause reports whether an upstream's answer asks for a pause, which isn't a failure of the upstream.
func (q *request) asksForPause(a *exchange.Reply) bool {
	if a == nil {
		return false
	}
	n, err := q.server.Client.Read(a.Status, a.Header)
	return err == nil && n.Pause > 0
}

// errRefused reports that the upstream itself refused the request.
var errRefused = errors.New("upstream refused the request")

// connectAndSend sends the request to an upstream over a pooled or new connection.
func (q *request) connectAndSend(ctx context.Context, t route.Target, permit quota.Permit) sendOutcome {
	size := int64(len(q.body))
	if !q.server.underWay.begin(t.Address, size) {
		return sendOutcome{result: notRun, err: errUpstreamFull}
	}
	defer q.server.underWay.end(t.Address, size)
	pool := q.server.Client.Pool
	maxIdle := pool.IdleLimit
	if q.route.RetryMode != site.Idempotent {
		maxIdle = maxIdleNonIdempotent
	}
	c, err := pool.Get(ctx, t.Address, q.call.ID, maxIdle)
	if err != nil {
		return sendOutcome{result: notRun, err: err}
	}
	q.connected = true
	// A connection that was closed at the end of ctx isn't kept.
	stop := context.AfterFunc(ctx, c.Close)
	out, keepFor := q.sendOn(c, t, permit)
	if !stop() {
		keepFor = 0
	}
	// Once the connection is returned, another request may use it.
	out.port, out.reused = c.LocalPort(), c.Reused
	if out.result != delivered {
		c.MarkUnserved(q.call.ID)
	}
	pool.Put(c, keepFor)
	return out
}

// sendOn sends the request on a connection and forwards the answer. It returns how long the connection may stay idle
// until its next use; 0 if the connection can't be used again.
func (q *request) sendOn(c *exchange.Conn, t route.Target, permit quota.Permit) (out sendOutcome, keepFor time.Duration) {
	left := time.Until(q.deadline)
	if left < minTimeLeft {
		return sendOutcome{result: notRun, err: errors.Newf("%v left until the deadline, at least %v needed", left, minTimeLeft)}, 0
	}
	c.SetDeadline(q.answerDeadline(time.Now()))
	header := maps.Clone(q.header)
	q.server.Codec.Prepare(header, Send{
		Upstream: t.ID, Workspace: q.workspace, Left: left, Inputs: q.inputs, ResumeAfter: q.lastEvent,
	})
	sentAt := time.Now()
	err := c.Write(&exchange.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, Check: q.checkSend(permit),
	})
	if err != nil {
		if errors.Is(err, exchange.ErrNotSent) {
			return sendOutcome{result: notRun, err: err}, 0
		}
		// The upstream may have answered before it read the whole body.
		c.SetDeadline(time.Now().Add(time.Second))
	}
	out, keepFor = q.readAnswer(c, t, sentAt)
	if err != nil {
		keepFor = 0
	}
	return out, keepFor
}

// readAnswer reads the answer and forwards it. It returns how long the connection may stay idle, as sendOn does.
func (q *request) readAnswer(c *exchange.Conn, t route.Target, sentAt time.Time) (out sendOutcome, keepFor time.Duration) {
	res, answer, err := q.readHead(c)
	if err != nil {
		return sendOutcome{result: mayHaveRun, err: err}, 0
	}
	defer res.Body.Close()
	if answer.ID == "" {
		sentAt = c.Since(sentAt)
	}
	q.server.Client.Observe(peerOf(t), quota.Heard{
		SentAt: sentAt, Status: res.StatusCode, Header: res.Header, IsOwn: q.isOwn(c, answer),
		MayEndLimit: answer.ID != "" && !answer.Misdirected,
	})
	if answer.Load != nil {
		t.Reported(time.Now(), *answer.Load)
		if len(q.route.Stages) > 0 {
			q.server.Dispatcher.Reported(t.ID, *answer.Load)
		}
	}
	out, complete := q.handleAnswer(c, t, res, answer)
	if !complete || answer.ID == "" {
		// A copy of an answer without an ID couldn't be told from the next answer.
		return out, 0
	}
	return out, exchange.KeepFor(res)
}

// isOwn reports whether an answer is known to be the chosen upstream's, to this request. An answer without an ID on a
// reused connection may be a late one to an earlier request.
func (q *request) isOwn(c *exchange.Conn, a Answer) bool {
	if a.ID == "" {
		return a.NotRun && !c.Reused
	}
	return a.ID == q.call.ID && !a.Misdirected
}

// answerDeadline returns the time until which the upstream must have answered, or have sent the first event of a
// stream. It is earlier than the request's deadline while the request could still be retried at another upstream.
func (q *request) answerDeadline(now time.Time) time.Time {
	if q.runs+1 >= q.route.MaxAttempts || q.route.RetryMode == site.AtMostOnce {
		return q.deadline
	}
	limit := now.Add(max(q.route.TargetLatency, time.Until(q.deadline)/4))
	if q.route.Stream {
		limit = now.Add(firstEventTimeout)
	}
	return earlier(limit, q.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// readHead reads the head of the answer to this request. It skips late answers to earlier requests on the connection.
func (q *request) readHead(c *exchange.Conn) (*http.Response, Answer, error) {
	left := int64(maxBodyBytes)
	for range maxMismatchedAnswers {
		res, err := c.Read(q.method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := q.server.Codec.ReadAnswer(res)
		if answer.ID == "" || answer.ID == q.call.ID {
			return res, answer, nil
		}
		klog.InfoS("answer to another request skipped", "request", q.call.ID, "answered", answer.ID, "status", res.StatusCode,
			"upstream", q.upstream, "port", c.LocalPort(), "reused", c.Reused)
		skipped, err := skipBody(res, left)
		if err != nil {
			return nil, Answer{}, err
		}
		left -= skipped
	}
	return nil, Answer{}, errMismatchedID
}

// skipBody reads the body of an answer to another request, of at most maxBytes, and returns its size. It returns an error if nothing can come
// after it.
func skipBody(res *http.Response, maxBytes int64) (size int64, err error) {
	if !exchange.HasEnd(res) {
		return 0, errors.Wrap(errMismatchedID, "without an end of its own")
	}
	size, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxBytes+1))
	if err == nil && size > maxBytes {
		err = exchange.ErrTooLarge
	}
	return size, errors.Wrap(err, "read answer to another request")
}

// handleAnswer checks an answer and forwards it if it is a success. Only successes need the upstream's signature. The
// result complete is true if the answer was read to its end, so that the connection can carry another request.
func (q *request) handleAnswer(c *exchange.Conn, t route.Target, res *http.Response, a Answer) (out sendOutcome, complete bool) {
	if a.NotRun || a.Misdirected {
		return q.handleRefusal(c, t, res, a)
	}
	isSuccess := res.StatusCode >= 200 && res.StatusCode < 300
	switch {
	case a.ID == "" || !a.Genuine && isSuccess:
		return sendOutcome{result: mayHaveRun, err: errUnsigned}, false
	case res.Header.Get("Content-Encoding") != "":
		return sendOutcome{result: mayHaveRun, err: errEncoded}, false
	case q.headSent && !q.continues(res):
		return sendOutcome{result: mayHaveRun, err: errors.Newf("expected the rest of the stream, got status %d with content type %q",
			res.StatusCode, res.Header.Get("Content-Type"))}, false
	case isSuccess && q.route.Stream:
		return q.forwardStream(c, t, res)
	}
	q.answerMemory.Release()
	body, err := q.answerMemory.ReadBody(res, maxBodyBytes)
	if err != nil {
		return sendOutcome{result: mayHaveRun, err: err}, false
	}
	answer := &exchange.Reply{Status: res.StatusCode, Header: res.Header, Body: body}
	if !isSuccess {
		err := errors.Newf("upstream answered with status %d", res.StatusCode)
		return sendOutcome{result: failedAnswer, answer: answer, claimsNotRun: a.ClaimsNotRun, err: err}, true
	}
	q.deliver(answer)
	return sendOutcome{result: delivered}, true
}

// continues reports whether an answer can be the rest of the stream of which the head was sent to the caller.
func (q *request) continues(res *http.Response) bool {
	return res.StatusCode == q.statusSent && res.Header.Get("Content-Type") == q.writer.Header().Get("Content-Type")
}

// handleRefusal handles an answer that says that the request did not run. Without the request's ID, it is believed only
// on a new connection: on a reused one it may be a late answer to an earlier request.
func (q *request) handleRefusal(c *exchange.Conn, t route.Target, res *http.Response, a Answer) (out sendOutcome, complete bool) {
	if a.ID == "" && c.Reused {
		return sendOutcome{result: mayHaveRun, err: errUnsigned}, false
	}
	_, err := q.server.Client.Pool.Memory.ReadBody(res, maxSkippedBytes)
	out = sendOutcome{result: notRun, err: errors.Wrapf(errRefused, "status %d", res.StatusCode)}
	if a.InputsGone {
		out.result = inputsGone
	}
	if a.Misdirected {
		q.server.Client.CloseIdle(t.Address)
		out.err = errors.New("address belongs to another upstream now")
	}
	return out, err == nil
}

// deliver forwards a whole answer to the caller and records the end of the request.
func (q *request) deliver(a *exchange.Reply) {
	q.copyHeader(a.Header)
	q.headSent, q.statusSent = true, a.Status
	q.writer.WriteHeader(a.Status)
	outcome := "answered"
	if a.Status >= http.StatusBadRequest {
		outcome = "failed"
	}
	if err := q.writeAnswer(a.Body); err != nil {
		outcome = "callerLost"
	}
	q.recordEnd(outcome, a.Status, "")
}

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

// copyHeader copies an upstream's headers to the caller's answer, without those that are not forwarded.
func (q *request) copyHeader(from http.Header) {
	h := q.writer.Header()
	maps.Copy(h, from)
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
