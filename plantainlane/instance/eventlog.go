package instance

import (
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/timeline"
	"plantainlane/wire"
	events "plantainlane/wire/timeline"
)

// eventLog keeps the events of the control goroutine on the time line, and logs what changes in what the instance
// knows of the others.
type eventLog struct {
	ring *timeline.Ring
}

// Record takes an event.
func (l eventLog) Record(now time.Time, e wire.Event) {
	l.ring.Record(now, e)
	klog.InfoS("control", "event", e.Kind, "detail", events.Value(e.Detail), "upstream", events.Value(e.Upstream),
		"revision", events.Value(e.Revision))
}
