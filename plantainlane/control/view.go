package control

import (
	"sync/atomic"
	"time"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/state"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// View is what traffic goroutines see of the control state. It is immutable.
type View struct {
	// Self is this instance.
	Self wire.InstanceInfo
	// Config is the newest configuration applied here.
	Config state.Config
	// LeaseUntil is when the configuration lease lapses. New work is refused from then on.
	LeaseUntil time.Time
	// Draining tells that the instance takes no new callers.
	Draining bool
	// Instances known, by ID.
	Instances table.Table[wire.InstanceInfo]
	// Connected holds the IDs of the instances that this one has a connection to.
	Connected map[string]bool
	// Upstreams known.
	Upstreams roster.View
	// Leader is the leader's instance ID; empty while unknown.
	Leader string
}

// LeaseHeld tells whether the configuration lease holds at a time.
func (v *View) LeaseHeld(now time.Time) bool {
	return now.Before(v.LeaseUntil)
}

// Publisher hands the newest View to traffic goroutines. The zero value holds an empty View.
type Publisher struct {
	view atomic.Pointer[View]
}

// View returns the newest view. It is never nil.
func (p *Publisher) View() *View {
	if v := p.view.Load(); v != nil {
		return v
	}
	return &View{}
}

func (p *Publisher) publish(v *View) {
	p.view.Store(v)
}
