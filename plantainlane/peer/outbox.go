package peer

import (
	"sync"

	"plantainlane/wire"
)

// maxQueued is the number of frames that may wait to be written to one connection.
const maxQueued = 1024

// outbox holds the frames that wait to be written to a connection, oldest first. It takes memory only for frames that wait:
// an instance may have a connection to each other one. It is safe for concurrent use.
type outbox struct {
	// wake receives a value after a frame was put into an empty outbox.
	wake chan struct{}

	mu      sync.Mutex
	waiting []wire.Frame
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

// put adds a frame. It reports false if maxQueued frames wait already.
func (o *outbox) put(f wire.Frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxQueued {
		return false
	}
	o.waiting = append(o.waiting, f)
	if len(o.waiting) == 1 {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// take removes and returns the frames that wait.
func (o *outbox) take() []wire.Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.waiting
	o.waiting = nil
	return out
}
