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

// queueSize is the number of frames that may wait for a connection.
const queueSize = 1024

// errUnused ends a connection that nothing was sent or received on for long.
var errUnused = errors.New("peer: connection not used any more")

// errSilent ends a connection that brought nothing for too long.
var errSilent = errors.New("peer: connection went silent")

// conn is one connection. Heartbeats go both ways over it: each end closes it when it heard nothing for
// too long, whether the silence is of one direction or both.
type conn struct {
	net  *Net
	ws   *websocket.Conn
	info wire.InstanceInfo
	out  chan wire.Frame
	// dialed tells that this end opened the connection.
	dialed bool
	// used is when a frame other than a heartbeat last passed, in nanoseconds since 1970.
	used atomic.Int64
}

// touch notes that the connection is in use.
func (c *conn) touch() {
	c.used.Store(time.Now().UnixNano())
}

func (c *conn) isUnused() bool {
	idle := time.Duration(time.Now().UnixNano() - c.used.Load())
	return c.dialed && idle > c.net.timing.Unused && !c.net.isKept(c.info.ID)
}

// queue hands a frame to the writer. It is lost if the queue is full, as on a broken connection.
func (c *conn) queue(f wire.Frame) {
	select {
	case c.out <- f:
	default:
		klog.V(1).InfoS("peer queue full, frame lost", "peer", c.info.ID)
	}
}

// serve runs a connection that was added until it breaks or the Net ends.
func (c *conn) serve() {
	ctx, cancel := context.WithCancelCause(c.net.ctx)
	defer cancel(nil)
	defer c.net.remove(c)
	c.net.wait.Go(func() {
		cancel(c.write(ctx))
	})
	err := c.read(ctx)
	cancel(err)
	_ = c.ws.CloseNow()
	klog.V(1).InfoS("peer connection ended", "peer", c.info.ID, "err", context.Cause(ctx))
}

func (c *conn) read(ctx context.Context) error {
	for {
		f, err := c.readFrame(ctx)
		if err != nil {
			return err
		}
		c.net.clock.Observe(f.Time)
		switch {
		case f.Heartbeat != nil:
			if !f.Heartbeat.Answer {
				c.queue(wire.Frame{Heartbeat: &wire.Heartbeat{Sequence: f.Heartbeat.Sequence, Answer: true}})
			}
		case f.Refusal != nil:
			klog.InfoS("peer refused a frame", "peer", c.info.ID, "reason", f.Refusal.Reason)
		case f.From != c.info.ID:
			return errors.Newf("frame of %q on the connection of %q", f.From, c.info.ID)
		default:
			c.touch()
			c.net.handler.Frame(f)
		}
	}
}

// readFrame reads one frame. A frame that this version can't fully understand is refused with a reason and
// ends the connection.
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

func (c *conn) write(ctx context.Context) error {
	heartbeat := time.NewTicker(c.net.timing.Heartbeat)
	defer heartbeat.Stop()
	sequence := 0
	for {
		var f wire.Frame
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-heartbeat.C:
			if c.isUnused() {
				return errUnused
			}
			sequence++
			f.Heartbeat = &wire.Heartbeat{Sequence: sequence}
		case f = <-c.out:
			if f.Heartbeat == nil {
				c.touch()
			}
		}
		if err := c.writeFrame(ctx, f); err != nil {
			return err
		}
	}
}

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
