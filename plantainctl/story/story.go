// Package story collects the log lines of one request from the logs of several processes and derives the request's
// outcome from them.
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

// maxLineBytes is the maximum length of a log line. Reader.Read returns an error at a longer line.
const maxLineBytes = 1 << 20

// queueLineWindow limits the age of a shown queue line: the last log line on the length of the queue that refused a job
// is shown if it was logged less than this before the refusal.
const queueLineWindow = 3 * time.Second

// Line is one log line. Fields that the line lacks are empty.
type Line struct {
	// Time is when the line was logged, by the clock of its process.
	Time time.Time `json:"time"`
	// Source is the ID of the instance that logged the line, or the name of the file if the line has none.
	Source string `json:"instance"`
	// Message is the log message, such as "request ended".
	Message string `json:"msg"`
	// Request is the request's ID, empty if the line isn't about a request.
	Request string `json:"request"`
	// Service is the service of the queue that the line is about.
	Service string `json:"service"`
	// Outcome, Status, Reason, Sends (number of sends to upstreams) and Events (number of events delivered to the
	// caller) are set on the line "request ended".
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Sends   int    `json:"sends"`
	Events  int    `json:"events"`
	// Upstream is the ID of the upstream that the line is about; on the line "request ended", of the last send's.
	Upstream string `json:"upstream"`
	// Fields holds the other fields, without time, level, message, instance and request, in the order of the line.
	Fields []Field `json:"-"`
}

// Field is a field of a log line. Value is its JSON text.
type Field struct {
	Name, Value string
}

// Reader collects the lines of several logs. Lines that aren't JSON objects are counted and skipped.
type Reader struct {
	// Skipped is the number of lines that couldn't be parsed.
	Skipped int
	lines   []Line
}

// Read adds the lines of one file or stream. Text before the first brace of a line, such as a prefix added by a log
// collector, is ignored.
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

// parseFields returns the fields of a line in their order, without time, level, message, instance and request.
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

// RequestLines returns the lines of a request in causal order. Lines of one instance keep their order, and the end of
// the request goes last even if the clocks of the instances differ. All these lines are preceded by the lines that
// queueLines returns for the request's refused jobs.
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
	return append(r.queueLines(own), own...)
}

func (l *Line) isEnd() bool { return l.Message == "request ended" }

// queueLines returns, for each refused job in own, the last line on the length of the queue that the same owner logged
// within queueLineWindow before. Both times are of the owner's clock. The message of a refused job is "order refused".
func (r *Reader) queueLines(own []Line) []Line {
	var out []Line
	for _, refusal := range own {
		if refusal.Message != "order refused" {
			continue
		}
		var last *Line
		for i := range r.lines {
			l := &r.lines[i]
			isBefore := !l.Time.After(refusal.Time) && refusal.Time.Sub(l.Time) < queueLineWindow
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

// Conclusion returns the outcome of a request as one sentence, from its lines in the order of RequestLines.
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

// Write prints each line's time, source, message and fields.
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
