package instance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/forward"
	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// ErrNotConfirmed reports a question that no leader confirmed by a quorum answered in time.
var ErrNotConfirmed = errors.New("instance: no answer that a quorum confirmed")

// ErrNotCommitted reports a change that no quorum is known to have stored in time.
var ErrNotCommitted = errors.New("instance: change not known to be committed")

// idleUpstream is how long an unused connection to an upstream is kept.
const idleUpstream = 20 * time.Second

// Proxy describes a listener for opaque requests.
type Proxy struct {
	// Address to listen on, as IP:PORT.
	Address string
	// Codec of the callers and upstreams.
	Codec forward.HeaderCodec
	// Translate reads the document of a site.
	Translate func(document []byte) (*site.Site, error)
	// Executor returns what makes pieces over a pool of connections.
	Executor func(pool *exchange.Pool) batch.Executor
	// Retries bounds the sends to a second upstream. Instances is set by the instance.
	Retries *forward.Budget
}

// Option changes an Instance under construction.
type Option func(*Instance)

// WithProxy adds a listener for opaque requests.
func WithProxy(f Proxy) Option {
	return func(x *Instance) { x.front = &f }
}

// WithListener adds a listener whose endpoints are made by routes.
func WithListener(address string, routes func(x *Instance) Registrar) Option {
	return func(x *Instance) { x.extra = append(x.extra, extraListener{address, routes}) }
}

type extraListener struct {
	address string
	routes  func(x *Instance) Registrar
}

// sites keeps the compiled form of the site in force.
type sites struct {
	instance *Instance
	mu       sync.Mutex
	source   *wire.Site
	compiled *site.Site
}

// Site returns the site in force; nil while none is known. A site that can't be read is not taken; the one before
// stays.
func (s *sites) Site() *site.Site {
	source := s.instance.View().Config.Site
	s.mu.Lock()
	defer s.mu.Unlock()
	if source == s.source {
		return s.compiled
	}
	s.source = source
	compiled, err := s.instance.front.Translate(source.Document)
	if err != nil {
		klog.ErrorS(err, "site not taken", "version", source.Version)
		return s.compiled
	}
	klog.InfoS("site in force", "version", source.Version, "routes", len(compiled.Routes))
	s.compiled = compiled
	return compiled
}

// Upstreams known now.
func (s *sites) Upstreams() roster.View { return s.instance.View().Upstreams }

// queuePeers is what the queues of pieces use of the other instances.
type queuePeers struct {
	instance *Instance
}

// Send passes a frame to an instance.
func (p queuePeers) Send(to string, f wire.Frame) { p.instance.net.Send(to, f) }

// Members returns the instances that may own queues and are reached from here.
func (p queuePeers) Members() []batch.Member {
	x := p.instance
	v := x.View()
	var out []batch.Member
	for id, i := range v.Instances.All() {
		if i.ControlOnly || i.Silent || i.Draining || id == x.self.ID || !x.net.IsReachable(id) {
			continue
		}
		out = append(out, batch.Member{ID: id, Cores: i.Cores})
	}
	if v.Instances.Has(x.self.ID) && !x.self.ControlOnly && (!v.Draining || len(out) == 0) {
		out = append(out, batch.Member{ID: x.self.ID, Cores: x.self.Cores})
	}
	return out
}

// supply tells the owner of a queue its service and upstreams.
func (x *Instance) supply(service string) batch.Source {
	return func() (site.Batch, []batch.Upstream, bool) {
		current := x.sites.Site()
		if current == nil {
			return site.Batch{}, nil, false
		}
		v := current.Services[service]
		if v == nil || v.Batch == nil {
			return site.Batch{}, nil, false
		}
		var upstreams []batch.Upstream
		for id, row := range x.View().Upstreams.Rows.All() {
			a := row.Announcement
			if a.Service == service && !row.Expired {
				upstreams = append(upstreams, batch.Upstream{ID: id, Address: a.Address, Zone: a.Zone, Leaving: a.Leaving})
			}
		}
		return *v.Batch, upstreams, true
	}
}

// openFront makes the listener for opaque requests and the queues of pieces.
func (x *Instance) openFront(ctx context.Context) error {
	if x.front == nil {
		return nil
	}
	x.sites = &sites{instance: x}
	pool := exchange.NewPool(idleUpstream)
	x.dispatcher = batch.NewDispatcher(ctx, x.self.ID, control.FirstCall(x.self.Incarnation), queuePeers{x}, x.front.Executor(pool), x.supply)
	x.front.Retries.Instances = x.serving
	handler := &forward.Server{
		Codec: x.front.Codec, Views: x.sites, Picker: x.services, Pool: pool, Dispatcher: x.dispatcher,
		Budget: x.front.Retries, Observer: x.metrics, Zone: x.self.Zone,
		OnTimeLines: &logs.Sampler{PerSecond: x.settings.Log.UsualPerSecond},
	}
	s, err := listenHTTP(x.front.Address, handler, x.settings.Entry.MaxHeaderBytes)
	if err != nil {
		return err
	}
	x.servers = append(x.servers, s)
	x.traffic = append(x.traffic, s)
	return nil
}

// HasSite tells whether a site is in force here.
func (x *Instance) HasSite() bool { return x.View().Config.Site != nil }

// ProposeSite puts a document in force. It returns nil once the change is accepted, or a higher version is in
// force, and ErrNotCommitted if neither is known when ctx ends, which must have a deadline.
func (x *Instance) ProposeSite(ctx context.Context, id string, s wire.Site) error {
	change := wire.ChangeSet{
		ChangeID: id,
		Remove:   []wire.DeclarationName{},
		Set: wire.Declarations{
			Contracts: []wire.Contract{}, Pipelines: []wire.Pipeline{},
			UpstreamPolicies: []wire.UpstreamPolicy{}, Models: []wire.Model{},
			Site: &s,
		},
	}
	a := x.loop.Propose(ctx, wire.Command{Change: &change})
	if a.Committed && a.Change != nil && a.Change.State == state.ChangeAccepted {
		return nil
	}
	reason := a.Refusal
	if a.Change != nil {
		reason = a.Change.State
	}
	return errors.Wrap(ErrNotCommitted, reason)
}

// ReadSite returns the newest accepted site, nil if there is none. It returns ErrNotConfirmed if no leader
// confirmed by a quorum answered before ctx ended, which must have a deadline.
func (x *Instance) ReadSite(ctx context.Context) (*wire.Site, error) {
	leader := x.View().Leader
	if leader == "" {
		return nil, ErrNotConfirmed
	}
	yes := true
	f, ok := x.loop.Query(ctx, leader, wire.Frame{SiteQuery: &yes})
	if !ok || f.SiteAnswer == nil || !f.SiteAnswer.Confirmed {
		return nil, ErrNotConfirmed
	}
	return f.SiteAnswer.Site, nil
}

// Announce takes what an upstream says of itself. It returns the roster's errors for stale announcements.
func (x *Instance) Announce(ctx context.Context, a wire.Announcement) error {
	reply := make(chan error, 1)
	if !x.loop.Deliver(ctx, control.UpstreamAnnounced{Announcement: a, Reply: reply}) {
		return ctx.Err()
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Join connects to further instances at their addresses for other instances.
func (x *Instance) Join(addresses []string) {
	for _, a := range addresses {
		x.net.Join(a)
	}
}
