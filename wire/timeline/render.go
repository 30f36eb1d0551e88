package timeline

import (
	"strconv"
	"strings"
	"time"

	"plantainlane/wire"
)

// timeLayout is the format of a reading's wall time in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Stamp formats a clock reading as its wall time, followed by "+" and the logical counter unless that is 0, such as
// "2026-01-02T03:04:05.678Z+2".
func Stamp(t wire.HLC) string {
	s := time.UnixMilli(int64(t.WallMs)).UTC().Format(timeLayout)
	if t.Logical > 0 {
		s += "+" + strconv.Itoa(t.Logical)
	}
	return s
}

// Line formats an event as one line: its time, its instance and its label.
func Line(e wire.Event) string {
	return Stamp(e.Time) + " " + e.Instance + " " + Label(e)
}

// Label formats the kind of an event and its optional fields, such as the request and the upstream. Fields that are not
// set are left out.
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
