package control

import (
	"sync"
	"sync/atomic"
	"time"

	"plantainlane/plantainlane/expiry"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/state"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// View is the part of the control state that traffic goroutines read. It is immutable.
type View struct {
	// Self is this instance.
	Self wire.InstanceInfo
	// Config is the newest configuration that this instance applied.
	Config state.Config
	// LeaseUntil is when the configuration lease expires. From then on new work is refused.
	LeaseUntil time.Time
	// CertainUntil is until when this instance may deny what Config doesn't allow; zero if it may not. Later, a newer
	// configuration that allows it may be required to be in force.
	CertainUntil time.Time
	// BehindSince is since when this instance has known of a revision that it lacks; zero if it knows of none.
	BehindSince time.Time
	// OutdatedFrom is when this instance stops serving under Config because it knows of a newer revision; zero if it
	// knows of none.
	OutdatedFrom time.Time
	// Draining is set while the instance accepts no new callers.
	Draining bool
	// Instances holds the known instances, by ID.
	Instances table.Table[wire.InstanceInfo]
	// Connected holds the IDs of the instances to which this instance has a connection.
	Connected map[string]bool
	// Upstreams holds the known upstreams.
	Upstreams roster.View
	// Leader is the leader's instance ID; empty while unknown.
	Leader string
	// EvacuationEnds holds when this instance learned that the last evacuation of an availability zone ended, by zone.
	EvacuationEnds table.Table[time.Time]
	// HeldUntil is until when this instance sends upstreams nothing after a standstill; zero if it may.
	HeldUntil time.Time
}

// IsEvacuated reports whether the upstreams of an availability zone get no work.
func (v *View) IsEvacuated(zone string) bool { return v.Config.IsEvacuated(zone) }

// EvacuationEnded returns the local time at which this instance learned that the last evacuation of a zone ended; the zero
// time if none is known to have ended.
func (v *View) EvacuationEnded(zone string) time.Time {
	at, _ := v.EvacuationEnds.Get(zone)
	return at
}

// LeaseHeld reports whether the configuration lease is valid at the time now and the configuration isn't outdated.
func (v *View) LeaseHeld(now time.Time) bool {
	return !expiry.IsPast(now, v.LeaseUntil) && !v.IsOutdated(now)
}

// IsCertain reports whether this instance may deny at the time now what Config doesn't allow.
func (v *View) IsCertain(now time.Time) bool {
	return v.BehindSince.IsZero() && !expiry.IsPast(now, v.CertainUntil)
}

// IsOutdated reports whether this instance has known for too long of a newer revision that it lacks.
func (v *View) IsOutdated(now time.Time) bool {
	return !v.OutdatedFrom.IsZero() && !now.Before(v.OutdatedFrom)
}

// Publisher makes the newest View available to traffic goroutines. The zero value holds an empty View.
type Publisher struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// siteKnown is closed once a view with a site was published; nil until it is asked for.
	siteKnown chan struct{}
	// isKnown is set once siteKnown is closed. Only the control goroutine uses it.
	isKnown bool
}

// View returns the newest view. It is never nil.
func (p *Publisher) View() *View {
	if v := p.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// SiteKnown returns a channel that is closed once a view with a site was published.
func (p *Publisher) SiteKnown() <-chan struct{} { return p.siteChannel() }

func (p *Publisher) siteChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.siteKnown == nil {
		p.siteKnown = make(chan struct{})
	}
	return p.siteKnown
}

// publish replaces the view. Only the control goroutine calls it.
func (p *Publisher) publish(v *View) {
	p.view.Store(v)
	if p.isKnown || v.Config.Site == nil {
		return
	}
	p.isKnown = true
	close(p.siteChannel())
}
