package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
)

var (
	// errForeignBytes reports bytes in a stream that are none of its events, such as an error of the upstream. They are not
	// forwarded. The rest of a resumed stream has IDs, since it was asked for by one.
	errForeignBytes = errors.New("bytes in the stream that are no event of it")
	// errEventInDoubt reports such bytes behind an event that was forwarded already: they may have begun with its end, so that the
	// caller may have a part of an event. No other upstream can go on after it.
	errEventInDoubt = errors.New("the last event that was forwarded may be a part of one: the bytes behind it are no event")
)

// maxEmptyLines is the number of empty lines in a row that a stream may have beside the one that ends an event. No writer of events
// needs more than a few.
const maxEmptyLines = 16

// forwarding is the forwarding of the events of one answer.
type forwarding struct {
	*request
	res    *http.Response
	reader *eventReader
	// resumes is set if the head of an earlier answer was sent, so that the events are the rest of its stream.
	resumes bool
	// held is an event in doubt, kept until the next one shows that it is whole; nil if there is none.
	held *event
	// isLastOpen is set if the last event was forwarded and nothing has shown that it is whole.
	isLastOpen bool
	// hasEvent is set once there was an event that isn't only an empty line. What comes before it waits for it.
	hasEvent bool
	// emptyLines is the number of empty lines since the last event.
	emptyLines int
	// lastID is the ID of the last event, held or forwarded.
	lastID string
}

// forwardStream forwards the events of a stream as they arrive. If the stream is interrupted, the caller's answer stays
// open after the last forwarded event, so that another upstream can resume the stream. The result complete is true if
// the stream was read to its end.
func (q *request) forwardStream(c *exchange.Conn, t route.Target, res *http.Response) (out sendOutcome, complete bool) {
	defer res.Body.Close()
	memory := q.server.Client.Pool.Memory.Reserve()
	defer memory.Release()
	f := &forwarding{request: q, res: res, reader: newEventReader(res.Body, memory), resumes: q.headSent, lastID: q.lastEvent}
	first := true
	for {
		e, err := f.next(first)
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
		if err := f.forward(e); err != nil {
			return sendOutcome{result: mayHaveRun, err: err}, false
		}
		now := time.Now()
		t.Progressed(now)
		if !e.isComment {
			q.sending.FirstEvent(now)
		}
		c.SetDeadline(q.nextEventDeadline(now))
	}
}

// next reads the next event. It forwards the event that is held at the end of a stream, and returns io.EOF then.
func (f *forwarding) next(first bool) (event, error) {
	e, err := f.reader.next()
	if errors.Is(err, io.EOF) && !exchange.HasEnd(f.res) && (first || f.held != nil) {
		err = io.ErrUnexpectedEOF
	}
	f.emptyLines++
	if !e.isEmpty {
		f.emptyLines = 0
	}
	if err == nil && (e.isForeign || !f.isNext(e) || f.emptyLines > maxEmptyLines) {
		err = errForeignBytes
	}
	switch {
	case errors.Is(err, io.EOF):
		if flushErr := f.forwardHeld(); flushErr != nil {
			return event{}, flushErr
		}
		return event{}, err
	case err != nil && e.beginsForeign && f.isLastOpen:
		f.isInDoubt = true
		return event{}, errors.CombineErrors(errEventInDoubt, err)
	}
	return e, err
}

// isNext reports whether an event can be the one after the last of the stream: it has an ID if others have brought the stream up
// to here, and IDs that are numbers increase where streams are resumed by them.
func (f *forwarding) isNext(e event) bool {
	if e.id == "" {
		return !f.resumes || e.isComment
	}
	if f.route.RetryMode != site.Resumable {
		return true
	}
	id, err := strconv.ParseUint(e.id, 10, 64)
	last, lastErr := strconv.ParseUint(f.lastID, 10, 64)
	return err != nil || lastErr != nil || id > last
}

// forward forwards an event, behind the one that is held. An event in doubt is held instead.
func (f *forwarding) forward(e event) error {
	if e.isEmpty && f.held != nil {
		f.held.bytes = append(f.held.bytes, e.bytes...)
		f.reader.held = len(f.held.bytes)
		return nil
	}
	if err := f.forwardHeld(); err != nil {
		return err
	}
	if e.id != "" {
		f.lastID = e.id
	}
	f.hasEvent = f.hasEvent || !e.isEmpty
	if e.isDoubtful || !f.hasEvent || !e.isComment && f.reader.isForeignAhead() {
		f.held, f.reader.held, f.isLastOpen = &e, len(e.bytes), false
		return nil
	}
	f.isLastOpen = !e.isComment || e.isEmpty && f.isLastOpen
	return f.forwardEvent(f.res, e, !f.reader.hasBuffered())
}

// forwardHeld forwards the event that is held, if any.
func (f *forwarding) forwardHeld() error {
	if f.held == nil {
		return nil
	}
	e := *f.held
	f.held, f.reader.held = nil, 0
	return f.forwardEvent(f.res, e, true)
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
		q.unread = inbound.StartStream(q.incoming)
	}
	if _, err := q.writer.Write(e.bytes); err != nil {
		q.isCallerLost = true
		return errors.Wrap(err, "caller")
	}
	q.recordEvent(time.Now())
	if e.id != "" {
		q.lastEvent = e.id
	}
	if flush {
		if err := q.control.Flush(); err != nil {
			q.isCallerLost = true
			return errors.Wrap(err, "caller")
		}
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

// endStream ends the caller's answer after the last event. finishStream records the end of the request.
func (q *request) endStream(res *http.Response) sendOutcome {
	if !q.headSent {
		q.headSent, q.statusSent = true, res.StatusCode
		q.copyHeader(res.Header)
		q.writer.WriteHeader(res.StatusCode)
	}
	return sendOutcome{result: delivered}
}

// finishStream waits until the caller has been sent the whole stream, if the answer is one, and records the end of the request. The
// upstream is done by then.
func (q *request) finishStream() {
	if !q.route.Stream {
		return
	}
	if q.unread != nil {
		err := q.control.Flush()
		if err == nil {
			err = q.unread.Drain()
		}
		if err != nil {
			q.abort("caller: " + err.Error())
		}
	}
	q.recordEnd("answered", q.statusSent, "")
}

// logFailedSend logs a send that was not delivered, with its connection and the parts of the prompt that other requests may share.
func (q *request) logFailedSend(t route.Target, out sendOutcome, took time.Duration) {
	hasNotRun := out.result == notRun || out.result == inputsGone
	leftOut := 0
	if hasNotRun {
		var log bool
		if log, leftOut = q.server.RefusedLines.Allow(time.Now()); !log {
			return
		}
	}
	klog.InfoS("send failed", "request", q.call.ID, "upstream", t.ID, "zone", t.Zone, "send", q.sends,
		"notRun", hasNotRun, "events", q.events, "parts", q.call.sharedParts(),
		"port", out.port, "reused", out.reused, "ms", took.Milliseconds(), "err", out.err.Error(), "leftOut", leftOut)
}
