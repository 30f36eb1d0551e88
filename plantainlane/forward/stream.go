package forward

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge reports an event of more than maxEventBytes.
var errEventTooLarge = errors.Newf("forward: stream event larger than %d bytes", maxEventBytes)

// event is one complete server-sent event as the upstream wrote it, including the empty line that ends it.
type event struct {
	bytes []byte
	// id of the event; empty if the event has none.
	id string
	// isComment is set if all lines are comments. isForeign is set if the bytes are no event: no line has a field of events or
	// is a comment, or one begins another answer.
	isComment, isForeign bool
}

// eventFields are the names of the fields that events have. Others are ignored by who reads an event.
var eventFields = []string{"id", "data", "event", "retry"}

// lineKind is what a line of a stream is.
type lineKind int

const (
	lineUnknown lineKind = iota
	lineComment
	lineField
	lineHead
)

// kindOf returns the kind of a line that isn't empty.
func kindOf(line []byte) lineKind {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0:
		return lineComment
	case slices.Contains(eventFields, string(name)):
		return lineField
	case bytes.HasPrefix(line, []byte("HTTP/1.")):
		return lineHead
	}
	return lineUnknown
}

// lineKinds counts the lines of an event by their kind.
type lineKinds [lineHead + 1]int

// isForeign reports whether the lines are no event.
func (k *lineKinds) isForeign() bool {
	return k[lineHead] > 0 || k[lineField] == 0 && k[lineComment] == 0
}

// isComment reports whether all lines are comments.
func (k *lineKinds) isComment() bool { return k[lineField] == 0 && k[lineUnknown] == 0 }

// eventReader splits a stream into complete events, so that no part of a truncated event is forwarded.
type eventReader struct {
	in     *bufio.Reader
	memory memory
}

// memory is what the events of all streams share.
type memory interface {
	// Grow reserves memory for an event of size bytes. It returns an error if there is none.
	Grow(size int) error
}

func newEventReader(r io.Reader, m memory) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10), memory: m}
}

// next returns the next event. It returns io.EOF if the stream ended after a complete event, io.ErrUnexpectedEOF if the
// stream ended within an event, errEventTooLarge for an event of more than maxEventBytes, and the error of the memory if
// it has none for the event.
func (r *eventReader) next() (event, error) {
	var e event
	var kinds lineKinds
	isContinued := false
	for {
		line, err := r.in.ReadSlice('\n')
		if err := r.memory.Grow(len(e.bytes) + len(line)); err != nil {
			return event{}, err
		}
		e.bytes = append(e.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.bytes) < maxEventBytes {
			if !isContinued {
				kinds[kindOf(line)]++
			}
			isContinued = true
			continue
		}
		if err != nil {
			return event{}, streamError(err, len(e.bytes))
		}
		if len(e.bytes) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if isContinued {
			isContinued = false
			continue
		}
		if len(text) == 0 {
			e.isForeign, e.isComment = len(e.bytes) > len(line) && kinds.isForeign(), kinds.isComment()
			return e, nil
		}
		kinds[kindOf(text)]++
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// streamError returns the error of next for a read error after pending bytes of an incomplete event.
func streamError(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return errEventTooLarge
	}
	return err
}

// hasBuffered reports whether another complete event is buffered, so that next won't block.
func (r *eventReader) hasBuffered() bool {
	ahead, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")))
}
