// Package story tells what became of one request, from the log lines of many processes.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// around is the time before a request's end in which lines on a queue that refused it are of interest.
const around = 3 * time.Second

// Line is one log line. Fields that it lacks are empty.
type Line struct {
	// Time at which it was logged, by the clock of its process.
	Time time.Time `json:"time"`
	// Source is the instance that logged it, or else the name of the file.
	Source string `json:"instance"`
	// Message names the event.
	Message string `json:"msg"`
	// Request ID, empty on lines about none.
	Request string `json:"request"`
	// Service of a queue, on lines about one.
	Service string `json:"service"`
	// Outcome, Status, Reason, Sends and Events are those of the end of a request.
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Sends   int    `json:"sends"`
	Events  int    `json:"events"`
	// Upstream that was sent to last.
	Upstream string `json:"upstream"`
	// Fields are all but those that every line has, in the order in which they were logged, as name and JSON text.
	Fields []Field `json:"-"`
}

// Field is a field of a line.
type Field struct {
	Name, Value string
}

// Reader reads lines. Text that is no JSON line is counted and left out.
type Reader struct {
	// Skipped counts the lines that could not be read.
	Skipped int
	lines   []Line
}

// Read takes the lines of one file or stream.
func (r *Reader) Read(name string, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		if i := bytes.IndexByte(text, '{'); i > 0 {
			text = text[i:]
		}
		l, err := parse(text)
		if err != nil {
			r.Skipped++
			continue
		}
		if l.Source == "" {
			l.Source = name
		}
		r.lines = append(r.lines, l)
	}
	return errors.Wrapf(s.Err(), "read %s", name)
}

func parse(text []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(text, &l); err != nil {
		return Line{}, errors.Wrap(err, "log line")
	}
	var err error
	l.Fields, err = parseFields(text)
	return l, err
}

// parseFields returns the fields of a line in their order, without those that every line has.
func parseFields(text []byte) ([]Field, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return nil, errors.Wrap(err, "log line")
	}
	var out []Field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, errors.Wrap(err, "name of a field")
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, errors.Wrap(err, "value of a field")
		}
		switch name {
		case "time", "level", "msg", "instance", "request":
			continue
		}
		out = append(out, Field{Name: fmt.Sprint(name), Value: string(value)})
	}
	return out, nil
}

// RequestLines returns the lines on a request in causal order: those of one instance in its order, its end last, whatever the
// clocks say. Lines on the queues that refused one of its orders, from shortly before, go first.
func (r *Reader) RequestLines(request string) []Line {
	var own []Line
	for _, l := range r.lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int {
		if endA, endB := a.isEnd(), b.isEnd(); endA != endB {
			if endA {
				return 1
			}
			return -1
		}
		if a.Source == b.Source {
			return 0
		}
		return a.Time.Compare(b.Time)
	})
	return append(r.queues(own), own...)
}

func (l *Line) isEnd() bool { return l.Message == "request ended" }

// queues returns the last line on each queue that refused an order of the request, by the owner's own clock.
func (r *Reader) queues(own []Line) []Line {
	var out []Line
	for _, refusal := range own {
		if refusal.Message != "order refused" {
			continue
		}
		var last *Line
		for i := range r.lines {
			l := &r.lines[i]
			isBefore := !l.Time.After(refusal.Time) && refusal.Time.Sub(l.Time) < around
			if l.Message == "queue" && l.Service == refusal.Service && l.Source == refusal.Source && isBefore {
				last = l
			}
		}
		if last != nil {
			out = append(out, *last)
		}
	}
	return out
}

// Conclusion says in one sentence what became of a request, by its lines.
func Conclusion(lines []Line) string {
	if len(lines) == 0 || !lines[len(lines)-1].isEnd() {
		return "the end of the request is not in these logs"
	}
	end := lines[len(lines)-1]
	switch {
	case end.Outcome == "answered":
		return "answered by " + end.Upstream
	case end.Outcome == "failed":
		return fmt.Sprintf("failed by the upstream itself: %s answered %d", end.Upstream, end.Status)
	case end.Outcome == "callerLost":
		return "the caller left before its answer"
	case end.Outcome == "brokenOff":
		return fmt.Sprintf("cut off after %d events from %s: %s", end.Events, end.Upstream, end.Reason)
	case end.Status == 502 || end.Status == 504:
		return fmt.Sprintf("outcome unknown: sent to %s, which may have run it, and no whole answer: %s", end.Upstream, end.Reason)
	case end.Sends == 0:
		return "not run: refused before any send: " + end.Reason
	}
	return fmt.Sprintf("not run: refused after %d sends that did not run: %s", end.Sends, end.Reason)
}

// Write prints lines with their fields.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var text strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&text, " %s=%s", f.Name, f.Value)
		}
		_, err := fmt.Fprintf(w, "%s  %s  %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Message, text.String())
		if err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
