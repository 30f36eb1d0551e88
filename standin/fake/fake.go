package fake

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"plantainlane/wire"

	"github.com/labstack/echo/v5"
)

// Fake is one fake upstream.
type Fake struct {
	id      string
	service string
	zone    string
	region  string
	address string
	profile Profile

	dice   *dice
	gate   *gate
	ledger *ledger
	fault  atomic.Pointer[wire.Fault]
	// previous is the attempt ID of the call before, which a crossed answer carries.
	previous atomic.Pointer[string]
	closing  chan struct{}

	server   *http.Server
	listener net.Listener
}

// New returns a fake of a service that will serve on a listener.
func New(id, service string, l net.Listener, options ...Option) *Fake {
	f := &Fake{
		id:       id,
		service:  service,
		address:  l.Addr().String(),
		profile:  DefaultProfile(),
		dice:     newDice(1),
		closing:  make(chan struct{}),
		listener: l,
	}
	for _, o := range options {
		o(f)
	}
	f.gate = newGate(f.profile.Capacity, f.profile.Queue)
	f.ledger = newLedger(service, f.profile.LedgerRows)
	f.fault.Store(&wire.Fault{})
	e := echo.New()
	e.POST("/*", f.serveCall)
	f.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	return f
}

// ID returns the upstream ID.
func (f *Fake) ID() string { return f.id }

// Address returns the host and port of the fake.
func (f *Fake) Address() string { return f.address }

// Fault returns the fault in force.
func (f *Fake) Fault() wire.Fault { return *f.fault.Load() }

// SetFault replaces the fault in force.
func (f *Fake) SetFault(fault wire.Fault) { f.fault.Store(&fault) }

// Announcement returns what the fake says of itself, without incarnation, sequence and time to live.
func (f *Fake) Announcement() wire.Announcement {
	return wire.Announcement{
		ID: f.id, Service: f.service, Zone: f.zone, Region: f.region, Address: f.address,
		Capacity: f.profile.Capacity, Models: f.profile.Models, Adapters: []string{},
		Load: wire.UpstreamLoad{InFlight: f.gate.inFlight(), Queued: f.gate.waiting()},
	}
}

// Serve serves calls until the fake is closed. It returns http.ErrServerClosed then.
func (f *Fake) Serve() error { return f.server.Serve(f.listener) }
