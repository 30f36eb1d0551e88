package forward

import (
	"bufio"
	"bytes"
	"io"

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
}

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
	for {
		line, err := r.in.ReadSlice('\n')
		if err := r.memory.Grow(len(e.bytes) + len(line)); err != nil {
			return event{}, err
		}
		e.bytes = append(e.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.bytes) < maxEventBytes {
			continue
		}
		if err != nil {
			return event{}, streamError(err, len(e.bytes))
		}
		if len(e.bytes) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
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
