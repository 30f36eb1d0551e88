package instance

import (
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/timeline"
	"plantainlane/wire"
)

// eventLog keeps the events of the control goroutine on the time line, and logs what changes in what the instance
// knows of the others.
type eventLog struct {
	ring *timeline.Ring
}

// Record takes an event.
func (l eventLog) Record(now time.Time, e wire.Event) {
	l.ring.Record(now, e)
	detail, upstream, revision := "", "", 0
	if e.Detail != nil {
		detail = *e.Detail
	}
	if e.Upstream != nil {
		upstream = *e.Upstream
	}
	if e.Revision != nil {
		revision = *e.Revision
	}
	klog.InfoS("control", "event", e.Kind, "detail", detail, "upstream", upstream, "revision", revision)
}
