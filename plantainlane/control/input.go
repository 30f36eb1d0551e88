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

// PeerLost reports that the last open connection to an instance was closed.
type PeerLost struct {
	ID string
}

// Proposed requests that a command is committed. Reply receives exactly one answer and must be buffered.
type Proposed struct {
	Command wire.Command
	// Until is when the proposer stops waiting.
	Until time.Time
	// Cancelled is closed when the command is no longer to be sent to a leader. It may be nil.
	Cancelled <-chan struct{}
	Reply     chan<- wire.ProposeAnswer
}

// UpstreamAnnounced is an upstream's announcement. Reply receives nil, or the reason why the announcement was
// refused.
type UpstreamAnnounced struct {
	Announcement wire.Announcement
	// Credential is the name of the credential that the upstream sent.
	Credential string
	Reply      chan<- error
}

// UpstreamLeft is an upstream's message that it is leaving. Reply receives nil, or the reason why the message was
// refused.
type UpstreamLeft struct {
	ID string
	// Credential is the name of the credential that the upstream sent.
	Credential  string
	Incarnation int
	Sequence    int
	Reply       chan<- error
}

// DrainRequested requests that this or another instance drains and stops. Reply receives nil once the drain of this
// instance has started or the request to another one is sent, or an error that wraps ErrUnknownInstance.
type DrainRequested struct {
	// Instance is the ID of the instance to drain.
	Instance string
	Reply    chan<- error
}

// StatusRequested requests the status of all instances. Reply receives exactly one answer.
type StatusRequested struct {
	// Until is when the requester stops waiting.
	Until time.Time
	Reply chan<- wire.StatusAnswer
}

// QueryRequested sends a frame to one instance. Reply receives the answer, or the zero Frame if there is none by
// Until.
type QueryRequested struct {
	To    string
	Frame wire.Frame
	Until time.Time
	Reply chan<- wire.Frame
}

// LoadMeasured reports the fraction of its own capacity that the instance uses, 0 to 1.
type LoadMeasured struct {
	Share float64
}

// QueuesOwned reports the queues that this instance owns now, as stated in wire.InstanceInfo.
type QueuesOwned struct {
	Owns string
}

// TrafficEnded reports that this instance is draining and has answered its last request.
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
func (QueuesOwned) input()       {}
