package timeline

import (
	"strconv"
	"strings"
	"time"

	"plantainlane/wire"
)

// timeLayout shows a reading's wall clock in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Stamp returns a clock reading as text, such as "2026-01-02T03:04:05.678Z+2".
func Stamp(t wire.HLC) string {
	s := time.UnixMilli(int64(t.WallMs)).UTC().Format(timeLayout)
	if t.Logical > 0 {
		s += "+" + strconv.Itoa(t.Logical)
	}
	return s
}

// Line returns an event on one line: time, instance, kind and what it is about.
func Line(e wire.Event) string {
	return Stamp(e.Time) + " " + e.Instance + " " + Label(e)
}

// Label returns an event's kind and what it is about.
func Label(e wire.Event) string {
	parts := []string{e.Kind}
	add := func(name, v string) {
		if v != "" {
			parts = append(parts, name+"="+v)
		}
	}
	add("request", Value(e.Request))
	add("attempt", Value(e.Attempt))
	add("workspace", Value(e.Workspace))
	add("upstream", Value(e.Upstream))
	if e.Revision != nil {
		add("revision", strconv.Itoa(*e.Revision))
	}
	if d := Value(e.Detail); d != "" {
		parts = append(parts, d)
	}
	return strings.Join(parts, " ")
}
