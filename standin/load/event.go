package load

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// errBadStream marks an event stream that ended without its end or out of order.
var errBadStream = errors.New("bad stream")

const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eachEvent calls take for each event until it reports false or the stream ends.
func eachEvent(r io.Reader, take func(event) bool) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var e event
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case len(line) == 0:
			if e.name != "" && !take(e) {
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
