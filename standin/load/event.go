package load

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// errNoEndEvent marks an event stream that stopped before its end event.
var errNoEndEvent = errors.New("stream stopped before its end event")

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// event is one server-sent event, with its lines of data joined.
type event struct {
	name string
	data []byte
}

// readEvents calls handle for each named event until handle reports false or the stream ends.
func readEvents(r io.Reader, handle func(event) bool) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var e event
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case len(line) == 0:
			if e.name != "" && !handle(e) {
				return nil
			}
			e = event{}
		case bytes.HasPrefix(line, []byte("event:")):
			e.name = string(bytes.TrimSpace(line[len("event:"):]))
		case bytes.HasPrefix(line, []byte("data:")):
			e.data = append(e.data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		}
	}
	return errors.Wrap(lines.Err(), "read events")
}
