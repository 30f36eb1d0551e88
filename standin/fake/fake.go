package fake

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"plantainlane/wire"

	"github.com/labstack/echo/v5"
)

// Fake is a simulated upstream. Instead of running a model, it derives its answers from the input and waits for a
// random service time.
type Fake struct {
	id      string
	service string
	zone    string
	region  string
	address string
	profile Profile

	random    *randomSource
	semaphore *semaphore
	ledger    *ledger
	fault     atomic.Pointer[wire.Fault]
	// previousAttempt is the attempt ID of the previous call, which a crossed answer contains.
	previousAttempt atomic.Pointer[string]
	// closing is closed by Stop and ends the waits of the calls in flight.
	closing chan struct{}

	handler http.Handler

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// isDown is set from the end of a process until the next one starts, crashes counts the ends. restarted receives a value at
	// each start after an end.
	isDown    bool
	crashes   int
	restarted chan struct{}
}

// New returns a fake upstream of a service. Serve accepts its calls on l.
func New(id, service string, l net.Listener, options ...Option) *Fake {
	f := &Fake{
		id:       id,
		service:  service,
		address:  l.Addr().String(),
		profile:  DefaultProfile(),
		random:   newRandomSource(1),
		closing:  make(chan struct{}),
		listener: l,

		restarted: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(f)
	}
	f.semaphore = newSemaphore(f.profile.Capacity, f.profile.Queue)
	f.ledger = newLedger(service, f.profile.LedgerRows)
	f.fault.Store(&wire.Fault{})
	e := echo.New()
	e.POST("/*", f.serveCall)
	f.handler = e
	f.server = f.newServer()
	return f
}

// newServer returns the server of a process.
func (f *Fake) newServer() *http.Server {
	return &http.Server{Handler: f.handler, ReadHeaderTimeout: 5 * time.Second}
}

// ID returns the upstream ID.
func (f *Fake) ID() string { return f.id }

// Address returns the host and port of the fake.
func (f *Fake) Address() string { return f.address }

// Fault returns the fault in force. While the process is down, it doesn't renew its announcement.
func (f *Fake) Fault() wire.Fault {
	fault := *f.fault.Load()
	isDown, _ := f.lifetime()
	fault.StopRenewing = fault.StopRenewing || isDown
	return fault
}

// SetFault replaces the fault in force.
func (f *Fake) SetFault(fault wire.Fault) { f.fault.Store(&fault) }

// Announcement returns the fake's current description and load, without incarnation, sequence and time to live.
func (f *Fake) Announcement() wire.Announcement {
	return wire.Announcement{
		ID: f.id, Service: f.service, Zone: f.zone, Region: f.region, Address: f.address,
		Capacity: f.profile.Capacity, Models: f.profile.Models, Adapters: []string{},
		Load: wire.UpstreamLoad{InFlight: f.semaphore.inFlight(), Queued: f.semaphore.waiting()},
	}
}

// Serve serves calls until Stop is called. It then returns http.ErrServerClosed.
func (f *Fake) Serve() error {
	for {
		server, listener := f.current()
		err := server.Serve(listener)
		if isDown, _ := f.lifetime(); !isDown && len(f.restarted) == 0 {
			return err
		}
		select {
		case <-f.restarted:
		case <-f.closing:
			return err
		}
	}
}
