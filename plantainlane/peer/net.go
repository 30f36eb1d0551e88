package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/wire"
)

// ErrHandshake reports a connection whose other end didn't identify itself as another instance with the same protocol
// version.
var ErrHandshake = errors.New("peer: handshake failed")

// Path is the HTTP path at which instances accept connections from each other.
const Path = "/v1/peer"

// assumedUnreachableFor is how long an instance is assumed to be unreachable after the last connection to the instance
// was lost or an attempt to open one failed.
const assumedUnreachableFor = 3 * time.Second

// firstRedial is the pause after the first failed attempt to connect to an address passed to Join. It doubles up to Timing.Redial:
// instances that start at the same time miss each other by some milliseconds.
const firstRedial = 20 * time.Millisecond

// maxHeadBytes is the maximum size of the headers of another instance's answer to a handshake.
const maxHeadBytes = 16 << 10

// maxPending is the number of frames to one instance that may wait for a connection to be opened.
const maxPending = 64

// Timing holds the periods and timeouts of connections.
type Timing struct {
	// Heartbeat is the period of sending heartbeats.
	Heartbeat time.Duration
	// SilentAfter is how long nothing may be received on a connection, or a write may take, before the connection is
	// closed. It also bounds the opening of a connection, handshake included. It must be more than twice Heartbeat.
	SilentAfter time.Duration
	// Redial is the longest pause between two attempts to connect to an address passed to Join, see firstRedial.
	Redial time.Duration
	// Unused is how long a connection that this instance opened may carry nothing but heartbeats before it is closed.
	// Connections to neighbors stay open.
	Unused time.Duration
}

// Handler handles received frames and changes of connections. Its methods are called concurrently.
type Handler interface {
	// Frame handles a frame received after the handshake. It isn't called for heartbeats and refusals.
	Frame(f wire.Frame)
	// Connected is called after each new connection to an instance. There may be several to the same instance.
	Connected(i wire.InstanceInfo)
	// Lost is called when the last connection to an instance has ended.
	Lost(id string)
}

// Clock is a hybrid logical clock.
type Clock interface {
	// Stamp returns the time to put into a frame that is sent.
	Stamp() wire.HLC
	// Observe advances the clock to at least the time in a received frame.
	Observe(wire.HLC)
}

// Net manages this instance's connections to other instances. Its methods may be called concurrently.
type Net struct {
	self       wire.InstanceInfo
	credential string
	timing     Timing
	handler    Handler
	clock      Clock
	client     *http.Client

	mu sync.Mutex
	// conns holds the open connections by instance ID, the newest last. Frames are sent on the newest.
	conns map[string][]*conn
	// instances holds the known instances, with their addresses, by ID.
	instances map[string]wire.InstanceInfo
	// pending holds, by instance ID, the frames to send once a connection to the instance is open.
	pending map[string][]wire.Frame
	// neighbors holds the IDs of the instances to which connections stay open even if unused.
	neighbors map[string]bool
	// unreachableSince holds, by instance ID, when the last connection was lost or an attempt to open one failed. An
	// instance with an open connection has no entry.
	unreachableSince map[string]time.Time
	// losses counts, by instance ID, the events other than dropped frames of open connections by which frames may have
	// been lost.
	losses map[string]int
	// dialing holds the addresses to which a goroutine is opening a connection.
	dialing map[string]bool
	ctx     context.Context
	// wait counts the running goroutines that the Net started.
	wait sync.WaitGroup
}

// New returns a Net without connections. Its connections and goroutines end with ctx. The credential is sent to other
// instances and required of them.
func New(ctx context.Context, self wire.InstanceInfo, credential string, t Timing, h Handler, c Clock) *Net {
	return &Net{
		self:             self,
		credential:       credential,
		timing:           t,
		handler:          h,
		clock:            c,
		client:           &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes}},
		conns:            make(map[string][]*conn),
		instances:        make(map[string]wire.InstanceInfo),
		pending:          make(map[string][]wire.Frame),
		neighbors:        make(map[string]bool),
		dialing:          make(map[string]bool),
		unreachableSince: make(map[string]time.Time),
		losses:           make(map[string]int),
		ctx:              ctx,
	}
}

// Join starts to connect to the instance at an address, whose ID needn't be known. Attempts are repeated until one
// succeeds or the context of the Net ends.
func (n *Net) Join(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dial(address, "")
}

// SetAddress stores the address of an instance. It ignores this instance itself and instances without an address.
func (n *Net) SetAddress(i wire.InstanceInfo) {
	if i.ID == n.self.ID || i.PeerAddress == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instances[i.ID] = i
}

// SetNeighbors replaces the set of neighbors, and connects to each neighbor without a connection. Connections to
// neighbors stay open. A connection that this instance opened to another instance is closed after Timing.Unused without
// frames other than heartbeats.
func (n *Net) SetNeighbors(neighbors []wire.InstanceInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.neighbors)
	for _, i := range neighbors {
		n.neighbors[i.ID] = true
		if len(n.conns[i.ID]) == 0 && i.PeerAddress != "" {
			n.dial(i.PeerAddress, i.ID)
		}
	}
}

// isNeighbor reports whether an instance is in the set of the last SetNeighbors.
func (n *Net) isNeighbor(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbors[id]
}

// Send queues a frame on the newest connection to an instance. If there is no connection, Send starts to open one and
// the frame waits for that. The frame is dropped, without notice to the caller, if the address of the instance isn't
// known, a queue is full, or the connection can't be opened or fails.
func (n *Net) Send(to string, f wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.conns[to]
	if len(list) > 0 {
		list[len(list)-1].enqueue(f)
		return
	}
	i, ok := n.instances[to]
	if !ok || i.PeerAddress == "" {
		return
	}
	if len(n.pending[to]) < maxPending {
		n.pending[to] = append(n.pending[to], f)
	} else {
		n.losses[to]++
	}
	n.dial(i.PeerAddress, to)
}

// IsReachable reports whether an instance can presumably be reached. It returns false only if there is no connection to
// the instance and, within the last assumedUnreachableFor, the last connection was lost or an attempt to open one
// failed.
func (n *Net) IsReachable(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.conns[id]) > 0 {
		return true
	}
	since, found := n.unreachableSince[id]
	return !found || time.Since(since) > assumedUnreachableFor
}

// Losses returns a number that grows when frames to or from an instance may have been lost: a connection has ended or
// couldn't be opened, or a queue was full.
func (n *Net) Losses(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.losses[id]
	for _, c := range n.conns[id] {
		total += int(c.dropped.Load())
	}
	return total
}

// Wait blocks until all goroutines that the Net started have ended. It must be called after the context passed to New has
// ended, with which they end.
func (n *Net) Wait() {
	// A goroutine that is started meanwhile is counted before, see start.
	n.mu.Lock()
	n.mu.Unlock() //nolint:staticcheck // the lock orders the starts before the wait
	n.wait.Wait()
}

// start runs f in a goroutine, unless the context of the Net has ended. It reports whether it does. The caller must not hold
// n.mu.
func (n *Net) start(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wait.Go(f)
	return true
}

// dial starts a goroutine that connects to an address, unless another goroutine is already connecting to it. id is the
// ID of the instance at the address; empty if not known. If the goroutine ends and there is no connection to the
// instance, the pending frames for the instance are dropped. The caller must hold n.mu.
func (n *Net) dial(address, id string) {
	if n.dialing[address] || n.ctx.Err() != nil {
		return
	}
	n.dialing[address] = true
	n.wait.Go(func() {
		n.dialWithRetries(address, id)
		n.mu.Lock()
		delete(n.dialing, address)
		if len(n.conns[id]) == 0 {
			delete(n.pending, id)
			n.losses[id]++
			n.unreachableSince[id] = time.Now()
		}
		n.mu.Unlock()
	})
}

// dialWithRetries connects to an address. If id, the ID of the instance there, isn't empty, there is only one attempt,
// as the next Send or SetNeighbors starts another. If id is empty, attempts are repeated until one succeeds or the
// context of the Net ends.
func (n *Net) dialWithRetries(address, id string) {
	for pause := min(firstRedial, n.timing.Redial); n.ctx.Err() == nil; pause = min(2*pause, n.timing.Redial) {
		err := n.connect(address)
		if err == nil || (id != "" && !errors.Is(err, context.Canceled)) {
			return
		}
		klog.V(2).InfoS("peer connection not opened", "address", address, "err", err)
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// add makes a connection available for sending, queues the pending frames on it, and calls Handler.Connected.
func (n *Net) add(c *conn) {
	n.mu.Lock()
	n.conns[c.info.ID] = append(n.conns[c.info.ID], c)
	n.instances[c.info.ID] = c.info
	delete(n.unreachableSince, c.info.ID)
	for _, f := range n.pending[c.info.ID] {
		c.enqueue(f)
	}
	delete(n.pending, c.info.ID)
	n.mu.Unlock()
	n.handler.Connected(c.info)
}

// Reconnect closes the connections to an instance, also one whose frames wait to be handled. The next Send or SetNeighbors
// opens another one.
func (n *Net) Reconnect(id string) {
	n.mu.Lock()
	list := slices.Clone(n.conns[id])
	n.mu.Unlock()
	for _, c := range list {
		n.start(func() {
			_ = c.ws.CloseNow()
			n.remove(c)
		})
	}
}

// remove removes a connection that has ended, unless it was removed before. It calls Handler.Lost if no other connection to
// the instance is open.
func (n *Net) remove(c *conn) {
	n.mu.Lock()
	i := slices.Index(n.conns[c.info.ID], c)
	if i < 0 {
		n.mu.Unlock()
		return
	}
	list := slices.Concat(n.conns[c.info.ID][:i], n.conns[c.info.ID][i+1:])
	n.conns[c.info.ID] = list
	n.losses[c.info.ID] += 1 + int(c.dropped.Load())
	if len(list) == 0 {
		n.unreachableSince[c.info.ID] = time.Now()
	}
	n.mu.Unlock()
	if len(list) == 0 {
		n.handler.Lost(c.info.ID)
	}
}
