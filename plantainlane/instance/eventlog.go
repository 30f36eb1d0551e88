package instance

import (
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/timeline"
	"plantainlane/wire"
	events "plantainlane/wire/timeline"
)

// eventLog implements control.Recorder. It records the events of the control goroutine in the time line and writes each
// of them to the log.
type eventLog struct {
	ring *timeline.Ring
}

// Record records and logs an event.
func (l eventLog) Record(now time.Time, e wire.Event) {
	l.ring.Record(now, e)
	klog.InfoS("control", "event", e.Kind, "detail", events.Value(e.Detail), "upstream", events.Value(e.Upstream),
		"revision", events.Value(e.Revision))
}
