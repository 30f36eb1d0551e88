package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
)

// errForeignBytes reports bytes in a stream that are none of its events, such as an error of the upstream. They are not
// forwarded. The rest of a resumed stream has IDs, since it was asked for by one.
var errForeignBytes = errors.New("bytes in the stream that are no event of it")

// forwardStream forwards the events of a stream as they arrive. If the stream is interrupted, the caller's answer stays
// open after the last forwarded event, so that another upstream can resume the stream. The result complete is true if
// the stream was read to its end.
func (q *request) forwardStream(c *exchange.Conn, t route.Target, res *http.Response) (out sendOutcome, complete bool) {
	defer res.Body.Close()
	memory := q.server.Client.Pool.Memory.Reserve()
	defer memory.Release()
	reader := newEventReader(res.Body, memory)
	first, resumes := true, q.headSent
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) && first && !exchange.HasEnd(res) {
			err = io.ErrUnexpectedEOF
		}
		if err == nil && (e.isForeign || resumes && e.id == "" && !e.isComment) {
			err = errForeignBytes
		}
		if errors.Is(err, io.EOF) {
			return q.endStream(res), true
		}
		if err != nil {
			return sendOutcome{result: mayHaveRun, err: errors.Wrap(err, "stream")}, false
		}
		if first {
			// An upstream that has started its answer has read the results of the stages.
			first = false
			q.releaseStages()
		}
		if err := q.forwardEvent(res, e, !reader.hasBuffered()); err != nil {
			return sendOutcome{result: mayHaveRun, err: err}, false
		}
		now := time.Now()
		t.Progressed(now)
		c.SetDeadline(q.nextEventDeadline(now))
	}
}

// nextEventDeadline returns the time until which the upstream must have sent the next event. It is earlier than the
// request's deadline while the stream could still be resumed at another upstream.
func (q *request) nextEventDeadline(now time.Time) time.Time {
	if q.route.RetryMode != site.Resumable || q.runs+1 >= q.route.MaxAttempts {
		return q.deadline
	}
	return earlier(now.Add(max(gapTimeoutFactor*q.route.TargetGap, minGapTimeout)), q.deadline)
}

// forwardEvent writes one event to the caller. The first event is preceded by the head of the answer that it came with;
// heads of answers that resume the stream are not forwarded.
func (q *request) forwardEvent(res *http.Response, e event, flush bool) error {
	if !q.headSent {
		q.headSent, q.statusSent = true, res.StatusCode
		q.copyHeader(res.Header)
		q.writer.WriteHeader(res.StatusCode)
		_ = q.control.SetWriteDeadline(q.deadline.Add(time.Second))
	}
	if _, err := q.writer.Write(e.bytes); err != nil {
		return errors.Wrap(err, "caller")
	}
	q.recordEvent(time.Now())
	if e.id != "" {
		q.lastEvent = e.id
	}
	if flush {
		return errors.Wrap(q.control.Flush(), "caller")
	}
	return nil
}

// recordEvent counts a forwarded event and updates the times to the first event and between events.
func (q *request) recordEvent(now time.Time) {
	if q.events == 0 {
		q.firstEventAfter = now.Sub(q.received)
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEventAt))
	}
	q.events++
	q.lastEventAt = now
}

// endStream ends the caller's answer after the last event and records the end of the request.
func (q *request) endStream(res *http.Response) sendOutcome {
	if !q.headSent {
		q.headSent, q.statusSent = true, res.StatusCode
		q.copyHeader(res.Header)
		q.writer.WriteHeader(res.StatusCode)
	}
	q.recordEnd("answered", res.StatusCode, "")
	return sendOutcome{result: delivered}
}

// logFailedSend logs a send that was not delivered, with the parts of the prompt that other requests may share.
func (q *request) logFailedSend(t route.Target, out sendOutcome, took time.Duration) {
	klog.InfoS("send failed", "request", q.call.ID, "upstream", t.ID, "zone", t.Zone, "send", q.sends,
		"notRun", out.result == notRun || out.result == inputsGone, "events", q.events, "parts", q.call.sharedParts(),
		"ms", took.Milliseconds(), "err", out.err.Error())
}
