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
	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// ErrNotConfirmed reports a query that no leader answered within its deadline with the confirmation of a quorum.
var ErrNotConfirmed = errors.New("instance: no answer from a leader that a quorum confirmed")

// ErrNotCommitted reports a change that was refused, or that isn't known to be committed by its deadline.
var ErrNotCommitted = errors.New("instance: change not known to be committed")

// upstreamIdleTimeout is how long an idle connection to an upstream is kept.
const upstreamIdleTimeout = 20 * time.Second

const (
	// headMargin is the size of a request line, and of what else the site's limit for headers doesn't count.
	headMargin = 16 << 10
	// The instance's memory is divided by these for the bodies of requests and of answers.
	requestMemoryParts, answerMemoryParts = 4, 6
	// upstreamDescriptorParts divides the descriptors: one part is for connections that carry callers' requests to upstreams.
	upstreamDescriptorParts = 4
	// timeoutMargin is the time beyond the site's limits within which a connection isn't closed.
	timeoutMargin = time.Second
)

// Proxy describes a listener for opaque requests, which are routed by host and path and forwarded unchanged.
type Proxy struct {
	// Address is the address to listen on, as IP:PORT.
	Address string
	// Codec reads and writes the headers of callers and upstreams.
	Codec forward.HeaderCodec
	// Translate compiles the document of a site. It returns an error if the document is invalid.
	Translate func(document []byte) (*site.Site, error)
	// ReadNotice reads what upstreams say about themselves in their answers.
	ReadNotice quota.Reader
	// Executor returns an executor that runs pieces at upstreams by calls of client.
	Executor func(client *quota.Client) batch.Executor
	// Retries bounds the retries at other upstreams. The instance sets its field Instances.
	Retries *forward.Budget
}

// Option changes an Instance under construction.
type Option func(*Instance)

// WithProxy adds a listener for opaque requests.
func WithProxy(p Proxy) Option {
	return func(x *Instance) { x.proxy = &p }
}

// WithListener adds a listener on address, as IP:PORT. routes returns the endpoints of the listener; New calls it when
// the other parts of the instance are assembled.
func WithListener(address string, routes func(x *Instance) Registrar) Option {
	return func(x *Instance) { x.extraListeners = append(x.extraListeners, extraListener{address, routes}) }
}

// extraListener is a listener added by WithListener.
type extraListener struct {
	address string
	routes  func(x *Instance) Registrar
}

// sites caches the compiled form of the site in force. It is safe for concurrent use.
type sites struct {
	instance *Instance
	mu       sync.Mutex
	// revision is that of the newest configuration whose site was asked for, source its site.
	revision int
	source   *wire.Site
	// compiled is the last site that compiled without error; nil if there is none.
	compiled *site.Site
	// isFailed is set if source can't be compiled, so that compiled is older.
	isFailed bool
}

// Site returns the compiled form of the site in force and what is known about its age. If that site can't be compiled, Site
// returns the last one that could. It returns nil while there is none.
func (s *sites) Site() (*site.Site, site.Freshness) { return s.of(s.instance.View(), time.Now()) }

// of returns the compiled form of the site of a view, or of a newer one that was asked for before: a caller that has waited
// for another site to be compiled may hold an old view.
func (s *sites) of(v *control.View, now time.Time) (*site.Site, site.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Config.Revision > s.revision {
		s.revision = v.Config.Revision
		s.use(v.Config.Site)
	}
	f := freshnessOf(v, now)
	if f == site.Newest && s.isFailed {
		f = site.Unconfirmed
	}
	return s.compiled, f
}

// use compiles a site unless it is the last one. The caller holds mu.
func (s *sites) use(source *wire.Site) {
	if source == s.source {
		return
	}
	s.source = source
	compiled, err := s.compile(source)
	s.isFailed = err != nil
	if err != nil {
		klog.ErrorS(err, "site not taken", "version", source.Version)
		return
	}
	klog.InfoS("site in force", "version", source.Version, "routes", len(compiled.Routes))
	s.compiled = compiled
	s.instance.warmups.SetServices(compiled.Services)
}

// compile returns the compiled form of a site. A document that Translate can't cope with is an error like any other: it is
// read again by every process that starts.
func (s *sites) compile(source *wire.Site) (compiled *site.Site, err error) {
	defer func() {
		if p := recover(); p != nil {
			compiled, err = nil, errors.Newf("translate document: panic: %v", p)
		}
	}()
	text, err := documentOf(source)
	if err != nil {
		return nil, err
	}
	return s.instance.proxy.Translate(text)
}

// SiteKnown returns a channel that is closed once a configuration with a site was applied.
func (s *sites) SiteKnown() <-chan struct{} { return s.instance.loop.Publisher.SiteKnown() }

// freshnessOf returns what is known about the age of the configuration of a view.
func freshnessOf(v *control.View, now time.Time) site.Freshness {
	switch {
	case v.IsOutdated(now):
		return site.Outdated
	case !v.BehindSince.IsZero():
		return site.Behind
	case !v.IsCertain(now):
		return site.Unconfirmed
	}
	return site.Newest
}

// headLimit returns the largest size of a request's head that is read. The site's limit doesn't count the request line.
func (s *sites) headLimit() int {
	current, _ := s.Site()
	if current == nil || current.Limits.HeaderBytes <= 0 {
		return forward.UnlimitedHeadBytes
	}
	return 2*current.Limits.HeaderBytes + headMargin
}

// extraTimeouts returns by how much the site's times for heads and idle connections are longer than the settings'.
func (s *sites) extraTimeouts() (head, idle time.Duration) {
	current, _ := s.Site()
	if current == nil {
		return 0, 0
	}
	entry := s.instance.settings.Entry
	head = current.Limits.HeaderTimeout + timeoutMargin - time.Duration(entry.HeaderTimeout)
	idle = current.Limits.IdleTimeout + timeoutMargin - time.Duration(entry.IdleTimeout)
	return max(head, 0), max(idle, 0)
}

// Upstreams returns the known state of all upstreams.
func (s *sites) Upstreams() roster.View { return s.instance.View().Upstreams }

// queuePeers implements batch.Peers: it gives the queues of pieces access to the other instances.
type queuePeers struct {
	instance *Instance
}

// Send sends a frame to an instance. It doesn't block; the frame may be lost.
func (p queuePeers) Send(to string, f wire.Frame) { p.instance.net.Send(to, f) }

// Claim tells all instances which queues this one owns, with the next lease request.
func (p queuePeers) Claim(owns string) {
	x := p.instance
	x.ownedQueues.Store(&owns)
	go func() {
		// Only the newest claim counts, in whatever order the goroutines run.
		x.claiming.Lock()
		defer x.claiming.Unlock()
		x.loop.Deliver(x.proxyCtx, control.QueuesOwned{Owns: *x.ownedQueues.Load()})
	}()
}

// Losses returns a number that grows when frames to or from an instance may have been lost.
func (p queuePeers) Losses(id string) int { return p.instance.net.Losses(id) }

// Members returns the reachable instances that may own queues of pieces. A draining instance includes itself only if
// there is no other.
func (p queuePeers) Members() []batch.Member {
	x := p.instance
	v := x.View()
	l := x.membersOf(v)
	out := make([]batch.Member, 0, len(l.others)+1)
	for _, m := range l.others {
		if x.net.IsReachable(m.ID) {
			out = append(out, m)
		}
	}
	if v.Instances.Has(x.self.ID) && !x.self.ControlOnly && (!v.Draining || len(out) == 0) {
		out = append(out, l.self)
	}
	return out
}

// batchSource returns the source from which the owner of a service's queue reads the batch specification and the
// upstreams of the service.
func (x *Instance) batchSource(service string) batch.Source {
	return func() (site.Batch, []batch.Upstream, bool) {
		current, _ := x.sites.Site()
		if current == nil {
			return site.Batch{}, nil, false
		}
		v := current.Services[service]
		if v == nil || v.Batch == nil {
			return site.Batch{}, nil, false
		}
		var upstreams []batch.Upstream
		known := x.View().Upstreams
		for id, row := range known.Rows.All() {
			a := row.Announcement
			if a.Service == service && !row.Expired {
				peer := quota.Peer{Address: a.Address, ID: id, Incarnation: a.Incarnation}
				isLeaving := a.Leaving || known.IsEvacuated(a.Zone) || x.gate.IsLeaving(peer)
				upstreams = append(upstreams, batch.Upstream{Peer: peer, Zone: a.Zone, Leaving: isLeaving})
			}
		}
		return *v.Batch, upstreams, true
	}
}

// partOfMemory returns the bytes of one of a number of equal parts of the instance's memory, and limit if that is less or the memory
// isn't stated.
func (x *Instance) partOfMemory(parts, limit int64) int64 {
	if memory := x.settings.Limits.Memory(); memory > 0 {
		return min(memory/parts, limit)
	}
	return limit
}

// Bodies returns the memory for the bodies of requests to the instance, for listeners that WithListener adds.
func (x *Instance) Bodies() *exchange.Memory { return x.bodies }

// openProxy opens the listener for opaque requests and creates the dispatcher of pieces. It does nothing without
// WithProxy.
func (x *Instance) openProxy(ctx context.Context) error {
	if x.proxy == nil {
		return nil
	}
	x.proxyCtx = ctx
	x.sites = &sites{instance: x}
	pool := exchange.NewPool(upstreamIdleTimeout)
	pool.MaxConns = inbound.Descriptors(x.settings.Limits.Descriptors) / upstreamDescriptorParts
	pool.Memory = exchange.NewMemory(x.partOfMemory(answerMemoryParts, exchange.AnswerBytes))
	client := quota.NewClient(pool, x.gate, x.proxy.ReadNotice)
	x.dispatcher = batch.NewDispatcher(ctx, x.self.ID, x.self.Zone, control.FirstCall(x.self.Incarnation), queuePeers{x}, x.proxy.Executor(client), x.batchSource)
	x.dispatcher.OnLoad = x.services.ObserveLoad
	x.proxy.Retries.Instances = x.activeCount
	handler := &forward.Server{
		Codec: x.proxy.Codec, Views: x.sites, Picker: x.services, Client: client, Dispatcher: x.dispatcher,
		Budget: x.proxy.Retries, Observer: x.metrics, Zone: x.self.Zone, Drain: x.drainOfRequests, Guard: x.guard,
		Prompts:     x.prompts,
		Bodies:      x.bodies,
		OnTimeLines: &logs.Sampler{PerSecond: x.settings.Log.UsualPerSecond}, RefusedLines: &logs.Sampler{PerSecond: x.settings.Log.RefusedPerSecond},
	}
	pool.Memory.MakeRoom = handler.BreakOffSlowAnswers
	s, err := x.listenHTTP(x.proxy.Address, handler, forward.MaxHeaderBytes, inbound.Options{
		Name: "proxy", ForCallers: true, HeadLimit: x.sites.headLimit, ExtraTimeouts: x.sites.extraTimeouts,
	})
	if err != nil {
		return err
	}
	x.servers = append(x.servers, s)
	x.callerServers = append(x.callerServers, s)
	return nil
}

// HasSite reports whether a site is in force at this instance that isn't known to be outdated.
func (x *Instance) HasSite() bool {
	v := x.View()
	return v.Config.Site != nil && !v.IsOutdated(time.Now())
}

// ProposeSite proposes a change that sets the site, under the change ID id. It returns nil once the change is accepted
// or a higher version is in force. It returns ErrNotCommitted, wrapped with the reason, if the change is refused, or if
// its outcome isn't known when ctx ends. ctx must have a deadline.
func (x *Instance) ProposeSite(ctx context.Context, id string, s wire.Site) error {
	s = compressed(s)
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

// ReadSite returns the newest accepted site, nil if there is none. It returns ErrNotConfirmed if no leader that a
// quorum confirmed answers before ctx ends. ctx must have a deadline.
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
	newest := f.SiteAnswer.Site
	if newest == nil {
		return nil, nil
	}
	text, err := x.documents.documentOf(newest)
	if err != nil {
		return nil, err
	}
	return &wire.Site{Version: newest.Version, Document: text}, nil
}

// Announce passes an announcement of an upstream to the control goroutine and waits for the result. It returns
// roster.ErrStale or roster.ErrForeign if the roster refuses the announcement, and the error of ctx if there is no
// result before ctx ends.
func (x *Instance) Announce(ctx context.Context, a wire.Announcement) error {
	reply := make(chan error, 1)
	return x.deliver(ctx, control.UpstreamAnnounced{Announcement: a, Reply: reply}, reply)
}

// Leave passes the departure of an upstream, known or not, to the control goroutine, and waits until it is recorded, as Announce does.
// It returns control.ErrNotRecorded if that takes too long.
func (x *Instance) Leave(ctx context.Context, id string, incarnation, sequence int) error {
	reply := make(chan error, 1)
	return x.deliver(ctx, control.UpstreamLeft{ID: id, Incarnation: incarnation, Sequence: sequence, Reply: reply}, reply)
}

// deliver passes an input to the control goroutine and waits for its reply.
func (x *Instance) deliver(ctx context.Context, in control.Input, reply <-chan error) error {
	if !x.loop.Deliver(ctx, in) {
		return ctx.Err()
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ask asks the leader for a permit for one request to an upstream. It returns false if no leader is known or there is no
// answer before ctx ends. ctx must have a deadline.
func (x *Instance) Ask(ctx context.Context, u wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	leader := x.View().Leader
	if leader == "" {
		return wire.PermitAnswer{}, false
	}
	f, ok := x.loop.Query(ctx, leader, wire.Frame{PermitQuery: &u})
	if !ok || f.PermitAnswer == nil {
		return wire.PermitAnswer{}, false
	}
	return *f.PermitAnswer, true
}

// Join connects to further instances. Each address is the one on which the instance listens for peers, as IP:PORT.
func (x *Instance) Join(addresses []string) {
	for _, a := range addresses {
		x.net.Join(a)
	}
}
