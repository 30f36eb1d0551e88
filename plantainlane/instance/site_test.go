package instance

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/settings"
	"plantainlane/plantainlane/site"
	"plantainlane/plantainlane/warmup"
	"plantainlane/wire"
)

// silence is a control.FrameSender that sends nothing, and a control.Balancer that ignores all calls.
type silence struct{}

func (silence) Send(string, wire.Frame)               {}
func (silence) Reconnect(string)                      {}
func (silence) SetAddress(wire.InstanceInfo)          {}
func (silence) SetNeighbors([]wire.InstanceInfo)      {}
func (silence) Apply(time.Time, ...wire.Announcement) {}
func (silence) Remove(...string)                      {}
func (silence) SetPolicies([]wire.UpstreamPolicy)     {}
func (silence) Review(time.Time)                      {}

func (silence) SetEvacuated(time.Time, map[string]bool) {}

// inForceWithin is the time within which an accepted change is in force at an instance in contact.
const inForceWithin = 2 * time.Second

// newSiteInstance returns an instance that serves opaque requests, with a control goroutine that reaches nobody. Documents
// are JSON texts of a site; the text "broken" can't be compiled.
func newSiteInstance(t *testing.T) *Instance {
	timing := control.DefaultTiming()
	timing.AcceptCommitted, timing.Lease = true, 2*time.Minute
	core := control.New(wire.InstanceInfo{ID: "e", Incarnation: 1}, control.WithTiming(timing))
	x := &Instance{settings: &settings.Settings{}, loop: control.NewLoop(core, silence{}, silence{}, nil)}
	x.warmups = warmup.New(time.Now(), nil, nil)
	x.proxy = &Proxy{Translate: func(text []byte) (*site.Site, error) {
		if string(text) == "panics" {
			panic("document")
		}
		s := &site.Site{}
		if err := json.Unmarshal(text, s); err != nil {
			return nil, err
		}
		s.Compile(nil)
		return s, nil
	}}
	x.sites = &sites{instance: x}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go x.loop.Run(ctx)
	return x
}

// push delivers a configuration from the leader "l" as the instance's first one or the next after the given revision.
func (x *Instance) push(from, revision int, document string) {
	update := wire.ConfigUpdate{FromRevision: from, Revision: revision, Set: wire.Declarations{
		Site: &wire.Site{Version: revision, Document: []byte(document)},
	}}
	x.loop.Deliver(context.Background(), control.FrameReceived{Frame: wire.Frame{From: "l", Config: &update}})
	synctest.Wait()
}

// TestInstanceThatHearsNoLeaderIsCertain guards against an instance that has a configuration, hears of no leader and so of
// no newer one, and takes its own for the newest.
func TestInstanceThatHearsNoLeaderIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		x.push(0, 1, `{"Version":1}`)
		time.Sleep(inForceWithin)
		synctest.Wait()
		current, freshness := x.sites.Site()
		is.Equal(current.Version, 1)
		is.Equal(freshness, site.Unconfirmed)
	})
}

// answer delivers the leader's confirmed answer to the instance's newest lease request.
func (x *Instance) answer(sequence, revision int) {
	x.loop.Deliver(context.Background(), control.FrameReceived{Frame: wire.Frame{From: "l", LeaseAnswer: &wire.LeaseAnswer{
		Sequence: sequence, Leader: "l", Term: 1, Revision: revision, DurationMs: 1000,
	}}})
	synctest.Wait()
}

// TestConfirmedInstanceDenies guards against an instance that is never certain. It is certain for inForceWithin, counted
// from its request, after a leader has stated that its revision is the newest.
func TestConfirmedInstanceDenies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		freshness := func() site.Freshness { _, f := x.sites.Site(); return f }
		x.answer(0, 0) // announces the leader; the instance sends its first request
		x.push(0, 1, `{"Version":1}`)
		is.Equal(freshness(), site.Unconfirmed)
		time.Sleep(300 * time.Millisecond)
		x.answer(1, 1)
		is.Equal(freshness(), site.Newest)
		time.Sleep(inForceWithin - 300*time.Millisecond)
		is.Equal(freshness(), site.Unconfirmed)
		x.answer(2, 2)
		is.Equal(freshness(), site.Behind)
	})
}

// TestOlderDocumentIsCompiledLast guards against a request that has read an older configuration, has waited while another
// one was compiled, and has the older one compiled again and in force.
func TestOlderDocumentIsCompiledLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		x.push(0, 1, `{"Version":1}`)
		old := x.View()
		x.push(1, 2, `{"Version":2}`)
		current, _ := x.sites.of(x.View(), time.Now())
		is.Equal(current.Version, 2)
		current, _ = x.sites.of(old, time.Now())
		is.Equal(current.Version, 2)
	})
}

// TestBrokenDocumentIsTakenForOlderOne guards against an instance that can't use the newest document, and denies what it
// may allow.
func TestBrokenDocumentIsTakenForOlderOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		x.answer(0, 0)
		x.push(0, 1, `{"Version":1}`)
		x.answer(1, 1)
		_, freshness := x.sites.Site()
		is.Equal(freshness, site.Newest)
		x.push(1, 2, "broken")
		x.answer(2, 2)
		current, freshness := x.sites.Site()
		is.Equal(current.Version, 1)
		is.Equal(freshness, site.Unconfirmed)
		x.push(2, 3, `{"Version":3}`)
		x.answer(3, 3)
		current, freshness = x.sites.Site()
		is.Equal(current.Version, 3)
		is.Equal(freshness, site.Newest)
	})
}

// TestDocumentEndsItsReaders guards against a document that ends each process that reads it, and each that starts afterwards.
func TestDocumentEndsItsReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		x.answer(0, 0)
		x.push(0, 1, `{"Version":1}`)
		x.answer(1, 1)
		x.sites.Site()
		x.push(1, 2, "panics")
		x.answer(2, 2)
		current, freshness := x.sites.Site()
		is.Equal(current.Version, 1)
		is.Equal(freshness, site.Unconfirmed)
	})
}
