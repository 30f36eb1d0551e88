package control

import (
	"time"

	"plantainlane/wire"
)

// Input is a message to the control goroutine.
type Input interface {
	input()
}

// FrameReceived is a frame from another instance.
type FrameReceived struct {
	Frame wire.Frame
}

// PeerConnected reports a connection to another instance.
type PeerConnected struct {
	Info wire.InstanceInfo
}

// PeerLost reports that the last connection to an instance closed.
type PeerLost struct {
	ID string
}

// Proposed asks for a command to be committed. Reply gets exactly one answer and must have room for it.
type Proposed struct {
	Command wire.Command
	// Until is when the proposer stops waiting.
	Until time.Time
	Reply chan<- wire.ProposeAnswer
}

// UpstreamAnnounced is an upstream's announcement. Reply gets nil or the reason it was refused.
type UpstreamAnnounced struct {
	Announcement wire.Announcement
	// Credential names the credential it came with.
	Credential string
	Reply      chan<- error
}

// UpstreamLeft is an upstream's word that it leaves.
type UpstreamLeft struct {
	ID string
	// Credential names the credential it came with.
	Credential  string
	Incarnation int
	Sequence    int
	Reply       chan<- error
}

// DrainRequested asks this or another instance to drain and stop.
type DrainRequested struct {
	Instance string
	Reply    chan<- error
}

// StatusRequested asks for the status of all instances. Reply gets exactly one answer.
type StatusRequested struct {
	Until time.Time
	Reply chan<- wire.StatusAnswer
}

// QueryRequested sends a frame to one instance and gets its answer; the zero Frame if none came in time.
type QueryRequested struct {
	To    string
	Frame wire.Frame
	Until time.Time
	Reply chan<- wire.Frame
}

// LoadMeasured is the share of its capacity that the instance uses.
type LoadMeasured struct {
	Share float64
}

// TrafficEnded tells that a draining instance has answered its last request.
type TrafficEnded struct{}

func (FrameReceived) input()     {}
func (PeerConnected) input()     {}
func (PeerLost) input()          {}
func (Proposed) input()          {}
func (UpstreamAnnounced) input() {}
func (UpstreamLeft) input()      {}
func (DrainRequested) input()    {}
func (StatusRequested) input()   {}
func (QueryRequested) input()    {}
func (TrafficEnded) input()      {}
func (LoadMeasured) input()      {}
