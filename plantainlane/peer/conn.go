package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"plantainlane/wire"
)

// lateHandling is the time for handling a frame above which it is logged.
const lateHandling = 100 * time.Millisecond

// errUnused is the reason for closing a connection that carried only heartbeats for longer than Timing.Unused.
var errUnused = errors.New("peer: connection closed because it carried only heartbeats for too long")

// errSilent is the reason for closing a connection on which no frame was received for Timing.SilentAfter.
var errSilent = errors.New("peer: connection closed because nothing was received for too long")

// conn is one connection to another instance. Both ends send heartbeats, and an end that receives nothing for
// Timing.SilentAfter closes the connection. So a connection is also closed if only one direction has failed.
type conn struct {
	net *Net
	ws  *websocket.Conn
	// info describes the instance at the other end.
	info wire.InstanceInfo
	// out holds the frames to write.
	out *outbox
	// dialed is set if this instance opened the connection.
	dialed bool
	// lastUsed is when a frame other than a heartbeat was last sent or received, in nanoseconds since 1970.
	lastUsed atomic.Int64
	// dropped is the number of frames that were dropped because the queue was full.
	dropped atomic.Int64
}

// markUsed records that a frame other than a heartbeat is sent or received now.
func (c *conn) markUsed() {
	c.lastUsed.Store(time.Now().UnixNano())
}

// isUnused reports whether this end should close the connection because only heartbeats were sent and received on it
// for longer than Timing.Unused. Only the end that opened a connection closes it for this reason, and only if the
// instance at the other end isn't a neighbor.
func (c *conn) isUnused() bool {
	idle := time.Duration(time.Now().UnixNano() - c.lastUsed.Load())
	return c.dialed && idle > c.net.timing.Unused && !c.net.isNeighbor(c.info.ID)
}

// enqueue adds a frame to the queue of frames to write, or drops the frame if the queue is full. Frames in the queue
// are also lost if the connection fails.
func (c *conn) enqueue(f wire.Frame) {
	if !c.out.put(f) {
		c.dropped.Add(1)
		klog.V(1).InfoS("peer queue full, frame dropped", "peer", c.info.ID)
	}
}

// serve reads from and writes to the connection until it fails or the context of the Net ends. It then removes the
// connection from the Net. The connection must have been added to the Net.
func (c *conn) serve() {
	ctx, cancel := context.WithCancelCause(c.net.ctx)
	defer cancel(nil)
	defer c.net.remove(c)
	if c.net.start(func() { cancel(c.write(ctx)) }) {
		cancel(c.read(ctx))
	}
	_ = c.ws.CloseNow()
	klog.V(1).InfoS("peer connection ended", "peer", c.info.ID, "err", context.Cause(ctx))
}

// read handles received frames until the connection fails or ctx ends. It returns the reason.
func (c *conn) read(ctx context.Context) error {
	for {
		f, err := c.readFrame(ctx)
		if err != nil {
			return err
		}
		c.net.clock.Observe(f.Time)
		switch {
		case f.Heartbeat != nil:
		case f.Refusal != nil:
			klog.InfoS("peer refused a frame", "peer", c.info.ID, "reason", f.Refusal.Reason)
		case f.From != c.info.ID:
			return errors.Newf("received a frame of instance %q on the connection to instance %q", f.From, c.info.ID)
		default:
			c.markUsed()
			c.handle(f)
		}
	}
}

// handle passes a frame to the handler. While the handler waits, nothing else that arrives on the connection is handled.
func (c *conn) handle(f wire.Frame) {
	started := time.Now()
	c.net.handler.Frame(f)
	if took := time.Since(started); took > lateHandling {
		klog.InfoS("frame handled late", "peer", c.info.ID, "ms", took.Milliseconds())
	}
}

// readFrame reads one frame. It returns an error if no frame arrives within Timing.SilentAfter. If the frame can't be
// decoded, for example because it has a field that this version doesn't know, readFrame sends the other end a Refusal
// with the reason and returns an error, which ends the connection.
func (c *conn) readFrame(ctx context.Context) (wire.Frame, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.net.timing.SilentAfter, errSilent)
	defer cancel()
	var f wire.Frame
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return f, errors.Wrap(err, "read")
	}
	if err := wire.Decode(data, &f); err != nil {
		refusal := wire.Frame{Refusal: &wire.Refusal{Reason: err.Error()}}
		return f, errors.CombineErrors(err, c.writeFrame(ctx, refusal))
	}
	return f, nil
}

// write writes the queued frames, and a heartbeat in each period of Timing.Heartbeat, until a write fails, the
// connection is unused, or ctx ends. It returns the reason.
func (c *conn) write(ctx context.Context) error {
	heartbeat := time.NewTicker(c.net.timing.Heartbeat)
	defer heartbeat.Stop()
	sequence := 0
	for {
		var frames []wire.Frame
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-heartbeat.C:
			if c.isUnused() {
				return errUnused
			}
			sequence++
			frames = []wire.Frame{{Heartbeat: &wire.Heartbeat{Sequence: sequence}}}
		case <-c.out.wake:
			frames = c.out.take()
		}
		if err := c.writeFrames(ctx, frames); err != nil {
			return err
		}
	}
}

// writeFrames writes frames one after another.
func (c *conn) writeFrames(ctx context.Context, frames []wire.Frame) error {
	for _, f := range frames {
		if f.Heartbeat == nil {
			c.markUsed()
		}
		if err := c.writeFrame(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// writeFrame sets the sender and the time of a frame and writes it. A write may take Timing.SilentAfter at most.
func (c *conn) writeFrame(ctx context.Context, f wire.Frame) error {
	f.From, f.Incarnation = c.net.self.ID, c.net.self.Incarnation
	f.Time = c.net.clock.Stamp()
	data, err := wire.Encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.net.timing.SilentAfter)
	defer cancel()
	return errors.Wrap(c.ws.Write(ctx, websocket.MessageBinary, data), "write")
}
