package forward

import (
	"bufio"
	"bytes"
	"cmp"
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
	// isComment is set if all lines are comments, isEmpty if it is only the empty line. isForeign is set if the bytes are no event.
	isComment, isEmpty, isForeign bool
	// isDoubtful is set if the event looks as if other bytes had ended it: the empty line ends in another way than those of the
	// stream do, a line that is no field of events follows one that is, or there is an ID without data.
	isDoubtful bool
	// beginsForeign is set if the bytes begin like no event does, so that the end of the event before is in doubt.
	beginsForeign bool
}

// eventReader splits a stream into complete events, so that no part of a truncated event is forwarded.
type eventReader struct {
	in     *bufio.Reader
	memory memory
	// end is how the empty lines of the stream end; empty before the first one.
	end string
	// held is the size of an event that the owner of the reader keeps, in bytes.
	held int
}

// memory is what the events of all streams share.
type memory interface {
	// Grow reserves memory for events of size bytes. It returns an error if there is none.
	Grow(size int) error
}

func newEventReader(r io.Reader, m memory) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10), memory: m}
}

// next returns the next event. It returns io.EOF if the stream ended after a complete event, io.ErrUnexpectedEOF if the
// stream ended within an event, errEventTooLarge for an event of more than maxEventBytes, and the error of the memory if
// it has none for the event. With an error, of the event only beginsForeign is set.
func (r *eventReader) next() (event, error) {
	var e event
	var lines eventLines
	firstEnd := ""
	isContinued := false
	for {
		line, err := r.in.ReadSlice('\n')
		if err := r.memory.Grow(r.held + len(e.bytes) + len(line)); err != nil {
			return event{beginsForeign: lines.beginsForeign()}, err
		}
		e.bytes = append(e.bytes, line...)
		if err != nil && !isContinued && len(line) > 0 {
			lines.add(line, kindOfPart(line))
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(e.bytes) < maxEventBytes {
			isContinued = true
			continue
		}
		if err != nil {
			return event{beginsForeign: lines.beginsForeign()}, streamError(err, len(e.bytes))
		}
		if len(e.bytes) > maxEventBytes {
			return event{beginsForeign: lines.beginsForeign()}, errEventTooLarge
		}
		if isContinued {
			isContinued = false
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		end := string(line[len(text):])
		if len(text) == 0 {
			r.finish(&e, &lines, firstEnd, end)
			return e, nil
		}
		if lines.first == lineNone {
			firstEnd = end
		}
		lines.add(text, kindOf(text))
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// finish sets what is known of an event once it is complete. firstEnd is how its first line ends, end how its empty line does.
func (r *eventReader) finish(e *event, lines *eventLines, firstEnd, end string) {
	e.isEmpty = lines.first == lineNone
	e.isForeign, e.beginsForeign = lines.isForeign(), lines.beginsForeign()
	e.isComment = lines.counts[lineField] == 0 && !e.isForeign
	usual := cmp.Or(r.end, firstEnd, end)
	e.isDoubtful = !e.isEmpty && (end != usual || lines.endsOdd || e.id != "" && !lines.hasData)
	r.end = cmp.Or(r.end, end)
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

// isForeignAhead reports whether what is buffered behind the last event may be no event, so that the end of the event is in doubt.
func (r *eventReader) isForeignAhead() bool {
	ahead, err := r.in.Peek(r.in.Buffered())
	if err != nil {
		return false
	}
	ahead = bytes.TrimLeft(ahead, "\r\n")
	line, _, isWhole := bytes.Cut(ahead, []byte("\n"))
	switch {
	case len(line) == 0:
		return false
	case isWhole:
		return kindOf(bytes.TrimRight(line, "\r")) > lineField
	}
	return kindOfPart(line) > lineField
}
