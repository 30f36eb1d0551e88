package timeline

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// TestEventsKeepChangeSets guards against events that keep what their fields point into: a time line of some thousand
// events would hold as many whole configurations.
func TestEventsKeepChangeSets(t *testing.T) {
	is := is.New(t)
	r := New(&wiretimeline.Clock{}, "e", 1, 1000)
	collected := make(chan bool, 1)
	func() {
		change := &wire.ChangeSet{ChangeID: "change", Set: wire.Declarations{Site: &wire.Site{Document: make([]byte, 1<<20)}}}
		runtime.AddCleanup(change, func(c chan bool) { c <- true }, collected)
		r.Record(time.Now(), wire.Event{Kind: "changeCommitted", Detail: &change.ChangeID})
	}()
	runtime.GC()
	select {
	case <-collected:
	case <-time.After(5 * time.Second):
		t.Error("the change set is kept")
	}
	is.Equal(*r.Select(wire.TimelineQuery{}).Events[0].Detail, "change")
}
