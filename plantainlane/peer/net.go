package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/wire"
)

// ErrHandshake reports a connection whose other end didn't identify itself as another instance with the same protocol
// version.
var ErrHandshake = errors.New("peer: handshake failed")

// Path is the HTTP path of the peer endpoint.
const Path = "/v1/peer"

// tryAgain is how long after its loss an instance is thought to be reachable again.
const tryAgain = 3 * time.Second

// maxPending is the number of frames that may wait for a connection to one instance.
const maxPending = 64

// Timing is the periods of a connection.
type Timing struct {
	// Heartbeat is the period at which a heartbeat is sent.
	Heartbeat time.Duration
	// SilentAfter is how long a connection may bring nothing, or a write may take, before it is closed.
	// It is more than twice Heartbeat.
	SilentAfter time.Duration
	// Redial is the pause between two tries to connect to an instance.
	Redial time.Duration
	// Unused is how long a connection that this end opened may carry nothing but heartbeats, unless it is
	// kept.
	Unused time.Duration
}

// Handler takes what connections bring. Its methods are called from several goroutines.
type Handler interface {
	Frame(f wire.Frame)
	Connected(i wire.InstanceInfo)
	Lost(id string)
}

// Clock stamps frames with a hybrid logical clock and learns from those that arrive.
type Clock interface {
	Stamp() wire.HLC
	Observe(wire.HLC)
}

// Net is this instance's connections to others.
type Net struct {
	self       wire.InstanceInfo
	credential string
	timing     Timing
	handler    Handler
	clock      Clock
	client     *http.Client

	mu sync.Mutex
	// conns holds the open connections to each instance; the last one is used for sending.
	conns map[string][]*conn
	// known holds what is known of other instances.
	known map[string]wire.InstanceInfo
	// pending holds frames that wait for a connection being opened.
	pending map[string][]wire.Frame
	// kept holds the instances that connections are kept to.
	kept map[string]bool
	// lost holds when the last connection to an instance was lost, or could not be opened.
	lost map[string]time.Time
	// dialing holds the addresses that a goroutine keeps trying.
	dialing map[string]bool
	ctx     context.Context
	wait    sync.WaitGroup
}

// New returns a Net without connections. Its goroutines end with ctx.
func New(ctx context.Context, self wire.InstanceInfo, credential string, t Timing, h Handler, c Clock) *Net {
	return &Net{
		self:       self,
		credential: credential,
		timing:     t,
		handler:    h,
		clock:      c,
		client:     &http.Client{},
		conns:      make(map[string][]*conn),
		known:      make(map[string]wire.InstanceInfo),
		pending:    make(map[string][]wire.Frame),
		kept:       make(map[string]bool),
		dialing:    make(map[string]bool),
		lost:       make(map[string]time.Time),
		ctx:        ctx,
	}
}

// Join keeps trying to connect to the instance at an address until there is a connection to it.
func (n *Net) Join(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dial(address, "")
}

// SetAddress takes the address of an instance.
func (n *Net) SetAddress(i wire.InstanceInfo) {
	if i.ID == n.self.ID || i.PeerAddress == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[i.ID] = i
}

// SetNeighbors connects to instances and keeps a connection to each. One that this end opened to any other instance is
// closed once it has not been used for a while.
func (n *Net) SetNeighbors(neighbors []wire.InstanceInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.kept)
	for _, i := range neighbors {
		n.kept[i.ID] = true
		if len(n.conns[i.ID]) == 0 && i.PeerAddress != "" {
			n.dial(i.PeerAddress, i.ID)
		}
	}
}

func (n *Net) isKept(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kept[id]
}

// Send queues a frame on the newest connection to an instance. Without one, a connection is opened and the frame
// waits for it; it is lost if that fails.
func (n *Net) Send(to string, f wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.conns[to]
	if len(list) > 0 {
		list[len(list)-1].queue(f)
		return
	}
	i, ok := n.known[to]
	if !ok || i.PeerAddress == "" {
		return
	}
	if len(n.pending[to]) < maxPending {
		n.pending[to] = append(n.pending[to], f)
	}
	n.dial(i.PeerAddress, to)
}

// IsReachable tells whether there is a connection to an instance, or no reason to think that none can be opened.
func (n *Net) IsReachable(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.conns[id]) > 0 {
		return true
	}
	lost, known := n.lost[id]
	return !known || time.Since(lost) > tryAgain
}

// Wait returns when all goroutines have ended, after the context did.
func (n *Net) Wait() {
	n.wait.Wait()
}

// dial starts a goroutine that connects to an address, unless one is at it. The lock is held.
func (n *Net) dial(address, id string) {
	if n.dialing[address] {
		return
	}
	n.dialing[address] = true
	n.wait.Go(func() {
		n.keepDialing(address, id)
		n.mu.Lock()
		delete(n.dialing, address)
		if len(n.conns[id]) == 0 {
			delete(n.pending, id)
			n.lost[id] = time.Now()
		}
		n.mu.Unlock()
	})
}

// keepDialing tries until there is a connection. A connection to a known instance is tried for as long as
// somebody sends to it, one by address alone for good.
func (n *Net) keepDialing(address, id string) {
	for n.ctx.Err() == nil {
		err := n.connect(address)
		if err == nil || (id != "" && !errors.Is(err, context.Canceled)) {
			return
		}
		klog.V(2).InfoS("peer not reached", "address", address, "err", err)
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(n.timing.Redial):
		}
	}
}

func (n *Net) add(c *conn) {
	n.mu.Lock()
	n.conns[c.info.ID] = append(n.conns[c.info.ID], c)
	n.known[c.info.ID] = c.info
	delete(n.lost, c.info.ID)
	for _, f := range n.pending[c.info.ID] {
		c.queue(f)
	}
	delete(n.pending, c.info.ID)
	n.mu.Unlock()
	n.handler.Connected(c.info)
}

func (n *Net) remove(c *conn) {
	n.mu.Lock()
	list := n.conns[c.info.ID]
	for i := range list {
		if list[i] == c {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	n.conns[c.info.ID] = list
	if len(list) == 0 {
		n.lost[c.info.ID] = time.Now()
	}
	n.mu.Unlock()
	if len(list) == 0 {
		n.handler.Lost(c.info.ID)
	}
}
