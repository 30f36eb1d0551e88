package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge reports an event over maxEventBytes.
var errEventTooLarge = errors.New("forward: event too large")

// event is one whole event of a stream as the upstream wrote it, with the empty line that ends it.
type event struct {
	bytes []byte
	// id of the event; empty if it has none.
	id string
}

// eventReader reads whole events, so that nothing of an event that is cut off is passed on.
type eventReader struct {
	in *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next event. io.EOF tells that the stream ended after a whole event; io.ErrUnexpectedEOF that it
// ended within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.in.ReadSlice('\n')
		e.bytes = append(e.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.bytes) < maxEventBytes {
			continue
		}
		if err != nil {
			return event{}, endOf(err, len(e.bytes))
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

func endOf(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return errEventTooLarge
	}
	return err
}

// more tells whether a further whole event has arrived already.
func (r *eventReader) more() bool {
	ahead, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")))
}
