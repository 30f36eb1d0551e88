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

// relay passes the events of a stream on as they arrive. A stream that breaks off keeps what was passed on, so
// that it may go on elsewhere.
func (q *request) relay(c *exchange.Conn, t route.Target, res *http.Response) (out sendOutcome, whole bool) {
	defer res.Body.Close()
	reader := newEventReader(res.Body)
	first := true
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return q.endStream(res), true
		}
		if err != nil {
			return sendOutcome{result: mayHaveRun, err: errors.Wrap(err, "stream")}, false
		}
		if first {
			first = false
			q.releaseStages()
		}
		if err := q.passOn(res, e, !reader.more()); err != nil {
			return sendOutcome{result: mayHaveRun, err: err}, false
		}
		now := time.Now()
		t.Progressed(now)
		c.SetDeadline(q.gapLimit(now))
	}
}

// gapLimit is until when the next event may take.
func (q *request) gapLimit(now time.Time) time.Time {
	if q.route.RetryMode != site.Resumable || q.runs+1 >= q.route.MaxAttempts {
		return q.deadline
	}
	return earlier(now.Add(max(gapPatience*q.route.TargetGap, minGapPatience)), q.deadline)
}

// passOn writes one event to the caller, after the head of the first upstream's answer.
func (q *request) passOn(res *http.Response, e event, flush bool) error {
	if !q.started {
		q.started = true
		q.copyHead(res.Header)
		q.writer.WriteHeader(res.StatusCode)
		_ = q.control.SetWriteDeadline(q.deadline.Add(time.Second))
	}
	if _, err := q.writer.Write(e.bytes); err != nil {
		return errors.Wrap(err, "caller")
	}
	q.noteEvent(time.Now())
	if e.id != "" {
		q.lastEvent = e.id
	}
	if flush {
		return errors.Wrap(q.control.Flush(), "caller")
	}
	return nil
}

func (q *request) noteEvent(now time.Time) {
	if q.events == 0 {
		q.firstAfter = now.Sub(q.received)
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.lastAt))
	}
	q.events++
	q.lastAt = now
}

// endStream ends a stream after its last event.
func (q *request) endStream(res *http.Response) sendOutcome {
	if !q.started {
		q.started = true
		q.copyHead(res.Header)
		q.writer.WriteHeader(res.StatusCode)
	}
	q.note("answered", res.StatusCode, "")
	return sendOutcome{result: delivered}
}

// noteSend logs a send that brought no answer.
func (q *request) noteSend(t route.Target, out sendOutcome, took time.Duration) {
	klog.InfoS("send failed", "request", q.call.ID, "upstream", t.ID, "zone", t.Zone, "send", q.sends,
		"notRun", out.result == notRun || out.result == inputsGone, "events", q.events,
		"ms", took.Milliseconds(), "err", out.err.Error())
}
