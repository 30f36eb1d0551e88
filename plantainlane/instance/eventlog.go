package instance

import (
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/timeline"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// eventLog implements control.Recorder. It records the events of the control goroutine in the time line and writes each
// of them to the log.
type eventLog struct {
	ring *timeline.Ring
}

// Record records and logs an event.
func (l eventLog) Record(now time.Time, e wire.Event) {
	l.ring.Record(now, e)
	klog.InfoS("control", "event", e.Kind, "detail", wiretimeline.Value(e.Detail),
		"upstream", wiretimeline.Value(e.Upstream), "revision", wiretimeline.Value(e.Revision))
}
