package inbound

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSlowReader reports a stream that was broken off because its caller has left too much of it unread.
var ErrSlowReader = errors.New("inbound: the caller reads the stream too slowly")

const (
	// maxUnreadBytes is the largest part of one stream that is held for a slow caller.
	maxUnreadBytes = 1 << 20
	// minBlockBytes is the least size of the blocks in which it is held.
	minBlockBytes = 4 << 10
	// stalledAfter is the time without progress after which a stream is broken off to make room. Until then, what makes the stream waits,
	// so that a caller which reads at the speed of its link loses nothing. Upstreams cut off what stays unread for longer.
	stalledAfter = 2 * time.Second
	// roomPause is the pause between two attempts to make room.
	roomPause = 5 * time.Millisecond
)

// Stream holds the part of an answer that its caller hasn't read yet, so that what makes the answer need not wait for the caller. It
// holds nothing, and needs no goroutine, while the connection accepts what is written.
type Stream struct {
	conn *Conn

	mu sync.Mutex
	// changed is signalled when isFlushing or failed changes.
	changed *sync.Cond
	blocks  [][]byte
	// isFlushing is set while a goroutine writes the blocks to the connection.
	isFlushing bool
	// failed is the reason why nothing more can be written; nil if there is none.
	failed error

	// held is the size of the blocks, and progress when a block was last written, or the first one held. isBroken is set once the stream
	// is broken off. The gate's mu guards all three.
	held     int64
	progress time.Time
	isBroken bool
}

// StartStream lets writes of the answer to a request return before the caller has read it, up to a bound. It returns nil if the request's
// connection isn't one of a gate. Drain must be called on the result before the request's handler returns.
func StartStream(r *http.Request) *Stream {
	c := connOfRequest(r)
	if c == nil {
		return nil
	}
	s := &Stream{conn: c}
	s.changed = sync.NewCond(&s.mu)
	c.stream.Store(s)
	return s
}

// Drain waits until all is written to the connection and ends the stream. If that fails, what is written to the connection afterwards fails
// too, so that no end of the answer follows.
func (s *Stream) Drain() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.isFlushing {
		s.changed.Wait()
	}
	if s.failed == nil {
		s.conn.stream.Store(nil)
	}
	return s.failed
}

// Write writes to the connection. While an answer is a stream, it returns at once.
func (c *Conn) Write(b []byte) (int, error) {
	if s := c.stream.Load(); s != nil {
		return s.write(b)
	}
	if c.isHijacked.Load() {
		return c.TCPConn.Write(b)
	}
	return c.writeAll(b)
}

// write writes what the connection accepts at once, and holds the rest for flush.
func (s *Stream) write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failed
	}
	written := 0
	if !s.isFlushing {
		var err error
		if written, err = s.conn.tryWrite(b); err != nil || written == len(b) {
			return written, err
		}
	}
	if err := s.hold(b[written:]); err != nil {
		s.failed = err
		return written, err
	}
	if !s.isFlushing {
		s.isFlushing = true
		go s.flush()
	}
	return len(b), nil
}

// tryWrite writes what the connection accepts without waiting.
func (c *Conn) tryWrite(b []byte) (n int, err error) {
	rawErr := c.raw.Write(func(fd uintptr) bool {
		for n < len(b) {
			var k int
			k, err = syscall.Write(int(fd), b[n:])
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				break
			}
			n += k
		}
		if errors.Is(err, syscall.EAGAIN) {
			err = nil
		}
		return true
	})
	return n, errors.CombineErrors(err, rawErr)
}

// hold appends to the blocks, and waits for room. The caller holds mu.
func (s *Stream) hold(b []byte) error {
	if last := len(s.blocks) - 1; last >= 0 {
		room := min(cap(s.blocks[last])-len(s.blocks[last]), len(b))
		s.blocks[last] = append(s.blocks[last], b[:room]...)
		b = b[room:]
	}
	if len(b) == 0 {
		return nil
	}
	size := max(len(b), minBlockBytes)
	for {
		hasRoom, err := s.conn.gate.growStream(s, int64(size))
		if err == nil {
			err = s.failed
		}
		if err != nil {
			return err
		}
		if hasRoom {
			break
		}
		s.mu.Unlock()
		time.Sleep(roomPause)
		s.mu.Lock()
	}
	s.blocks = append(s.blocks, append(make([]byte, 0, size), b...))
	return nil
}

// flush writes the blocks to the connection until there are none or a write fails.
func (s *Stream) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.blocks) > 0 && s.failed == nil {
		block := s.blocks[0]
		s.blocks = s.blocks[1:]
		s.mu.Unlock()
		_, err := s.conn.writeAll(block)
		s.conn.gate.shrinkStream(s, int64(cap(block)))
		s.mu.Lock()
		if err != nil && s.failed == nil {
			s.failed = errors.Wrap(err, "write")
		}
	}
	s.conn.gate.shrinkStream(s, s.conn.gate.heldBy(s))
	s.blocks, s.isFlushing = nil, false
	s.changed.Broadcast()
}

// fail lets a write that waits for the caller, and all later ones, fail.
func (s *Stream) fail() { _ = s.conn.SetWriteDeadline(time.Unix(1, 0)) }

// growStream counts n bytes more that a stream holds. It returns false if there is no room now: it breaks off the stream that has made no
// progress for longest, if that is longer than stalledAfter. It returns ErrSlowReader if s is broken off.
func (g *Gate) growStream(s *Stream, n int64) (hasRoom bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	slowest := s
	isOwnFull := s.held > 0 && s.held+n > maxUnreadBytes
	switch {
	case s.isBroken:
		return false, ErrSlowReader
	case isOwnFull:
	case s.held > 0 && g.stats.StreamBytes+n > g.limits.StreamBytes, g.stats.StreamBytes > g.limits.StreamBytes:
		for other := range g.streams {
			if other.progress.Before(slowest.progress) || slowest.held == 0 {
				slowest = other
			}
		}
	default:
		if s.held == 0 {
			s.progress = now
		}
		s.held += n
		g.stats.StreamBytes += n
		g.streams[s] = struct{}{}
		return true, nil
	}
	if now.Sub(slowest.progress) > stalledAfter {
		g.breakOff(slowest)
	}
	if s.isBroken {
		return false, ErrSlowReader
	}
	return false, nil
}

// breakOff breaks a stream off. Its memory counts as free, since flush drops it at once. The caller holds mu.
func (g *Gate) breakOff(s *Stream) {
	g.log("stream broken off, its caller reads too slowly", s.conn.options, s.conn.TCPConn, "unreadBytes", s.held)
	g.stats.BrokenStreams++
	g.stats.StreamBytes -= s.held
	s.held, s.isBroken = 0, true
	delete(g.streams, s)
	s.fail()
}

// shrinkStream counts n bytes less that a stream holds.
func (g *Gate) shrinkStream(s *Stream, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = min(n, s.held)
	s.held -= n
	s.progress = time.Now()
	g.stats.StreamBytes -= n
	if s.held == 0 {
		delete(g.streams, s)
	}
}

// heldBy returns the number of bytes that a stream holds.
func (g *Gate) heldBy(s *Stream) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.held
}
