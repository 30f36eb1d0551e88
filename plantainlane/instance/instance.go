// Package instance assembles an instance of the serving system: the control goroutine, the connections to other
// instances and to upstreams, and the listeners for callers, upstreams, operators and peers.
package instance

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/announce"
	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/caller"
	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/cost"
	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/forward"
	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/operator"
	"plantainlane/plantainlane/order"
	"plantainlane/plantainlane/peer"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/replica"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/settings"
	"plantainlane/plantainlane/timeline"
	"plantainlane/plantainlane/upstream"
	"plantainlane/plantainlane/warmup"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

const (
	// maxIdleConnections is the maximum number of idle connections to each upstream.
	maxIdleConnections = 256
	// maxEngineHeadBytes is the maximum size of the headers of an engine's answer.
	maxEngineHeadBytes = 64 << 10
	// redialInterval is the pause between two attempts to connect to another instance.
	redialInterval = 500 * time.Millisecond
	// unusedPeerTimeout is how long a connection that carries nothing but heartbeats is kept, if this instance opened
	// the connection and the other instance isn't a neighbor.
	unusedPeerTimeout = 30 * time.Second
	// replaceTimeouts is the number of election timeouts for which a voter may be unresponsive before it is replaced. An
	// unresponsive leader is replaced after one to two.
	replaceTimeouts = 2
	// heartbeatsPerTimeout is the number of heartbeat rounds that the leader of the control log starts within an
	// election timeout.
	heartbeatsPerTimeout = 5
	// fullDiskPause is the pause between two attempts to open a data folder on a full disk.
	fullDiskPause = 500 * time.Millisecond
)

// Instance is one instance of the serving system: a process with its listeners, connections and control state.
type Instance struct {
	settings *settings.Settings
	self     wire.InstanceInfo
	clock    *wiretimeline.Clock
	// ring holds this instance's newest events of the time line.
	ring   *timeline.Ring
	ledger *cost.Ledger
	// loop is the control goroutine.
	loop     *control.Loop
	services *pipeline.Services
	limiter  *limit.Limiter
	// gate holds the limits that upstreams name.
	gate *quota.Gate
	// warmups knows which upstreams are cold.
	warmups *warmup.Tracker
	// guard refuses requests whose content ends upstreams.
	guard *quarantine.Guard
	// ownedQueues is the newest claim of queues, which is passed on under claiming until proxyCtx ends.
	ownedQueues atomic.Pointer[string]
	claiming    sync.Mutex
	// memberList is the newest list of the members that may own queues.
	memberList atomic.Pointer[memberList]
	proxyCtx   context.Context
	// net holds the connections to other instances.
	net *peer.Net
	// answers holds the outcomes of requests that this instance ran.
	answers *caller.Answers
	// fleet is the access to the engines, with the index of their prefix caches.
	fleet   *engine.Fleet
	metrics *metric.Metrics
	runner  *pipeline.Runner
	// inbound bounds what the connections of all listeners cost, and bodies the memory for the bodies of their requests.
	inbound *inbound.Gate
	bodies  *exchange.Memory
	servers []*server
	// callerServers holds the servers that serve callers. A drain waits for their requests in flight.
	callerServers []*server
	// proxy, sites and dispatcher are nil unless the instance serves opaque requests.
	proxy      *Proxy
	sites      *sites
	documents  documents
	dispatcher *batch.Dispatcher
	// prompts weighs kept prompts of opaque requests against waiting.
	prompts        *promptcache.Estimator
	extraListeners []extraListener
	// drain is nil unless the instance drains.
	drain atomic.Pointer[forward.Drain]
	// drainAsked is when this process was first asked to drain; nil before, and on an instance that an operator drains.
	drainAsked atomic.Pointer[time.Time]
	// replica is nil on an instance without a data folder.
	replica *replica.Opened
}

// New assembles an instance and opens its listeners and data folder. The instance answers no requests until Run is
// called. Its goroutines end with ctx.
func New(ctx context.Context, s *settings.Settings, opts ...Option) (*Instance, error) {
	now := time.Now()
	x := &Instance{
		settings: s,
		clock:    &wiretimeline.Clock{},
		ledger:   cost.New(),
		answers:  caller.NewAnswers(),
		fleet:    engine.NewFleet(now, newEngineClient()),
		inbound:  inbound.NewGate(inbound.LimitsOf(s.Limits.Memory(), s.Limits.Descriptors)),
		self:     newInstanceInfo(now, s),
	}
	x.bodies = exchange.NewMemory(x.partOfMemory(requestMemoryParts, forward.RequestBytes))
	for _, o := range opts {
		o(x)
	}
	x.ring = timeline.New(x.clock, x.self.ID, x.self.Incarnation, s.Timeline.Events)
	x.services = pipeline.NewServices(route.New(now, x.self.Region, x.self.Zone), x.activeCount)
	x.prompts = &promptcache.Estimator{Share: x.requestShare}
	x.limiter = limit.New(now)
	x.warmups = warmup.New(now, x.services.Balancer, x.evacuationEnded)
	x.gate = quota.NewGate(x).WithWarmups(x.warmups).WithEvacuations(x.isEvacuated)
	x.guard = quarantine.NewGuard(ctx, &quarantine.Dialer{IsReplaced: x.isReplaced}, func() {
		go x.loop.Deliver(ctx, control.QuarantineObserved{})
	}).WithAsker(x)
	x.metrics = metric.New()
	x.net = peer.New(ctx, x.self, string(s.Credentials.Peer), peer.Timing{
		Heartbeat:   time.Duration(s.Control.Heartbeat),
		SilentAfter: time.Duration(s.Control.SilentAfter),
		Redial:      redialInterval,
		Unused:      unusedPeerTimeout,
	}, &peerHandler{x, ctx}, clock{x.clock})
	if err := x.openReplica(ctx); err != nil {
		return nil, err
	}
	// Reports of the replica wake the control goroutine.
	var wake <-chan struct{}
	if x.replica != nil {
		wake = x.replica.Wake()
	}
	x.loop = control.NewLoop(x.newCore(), x.net, x.services, wake)
	x.loop.Warmups = x.warmups
	x.loop.OrderSender = &order.Sender{Client: x.fleet.Client(), Report: func(r order.Report) {
		x.loop.Deliver(ctx, control.OrderReported{Report: r})
	}}
	return x, x.listen(ctx)
}

// newInstanceInfo returns the description of an instance that starts at the time now.
func newInstanceInfo(now time.Time, s *settings.Settings) wire.InstanceInfo {
	return wire.InstanceInfo{
		ID:              s.Instance.ID,
		Incarnation:     int(now.UnixMilli()),
		Zone:            s.Instance.Zone,
		Region:          s.Instance.Region,
		CallerAddress:   s.Advertise.Callers,
		UpstreamAddress: s.Advertise.Upstreams,
		OperatorAddress: s.Advertise.Operators,
		PeerAddress:     s.Advertise.Peers,
		HasData:         s.Data != nil,
		ControlOnly:     s.Instance.ControlOnly,
		Cores:           s.Instance.Cores,
		Capacity:        s.Capacity(),
	}
}

// newEngineClient returns the client for calls to engines other than generation, such as exports, orders and reads of their state. Each
// has a connection of its own: nothing in the answers ties them to the calls, so on a kept connection a late copy of one would be taken
// for the answer to the next call. These calls are rare.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxEngineHeadBytes}}
}

// openReplica opens the replica of the control log in the data folder. It does nothing if the settings name no data
// folder. While the folder's disk is full, it tries again until ctx ends.
func (x *Instance) openReplica(ctx context.Context) error {
	if x.settings.Data == nil {
		return nil
	}
	timeout := time.Duration(x.settings.Control.ElectionTimeout)
	cfg := consensus.Config{ElectionTimeout: timeout, HeartbeatInterval: timeout / heartbeatsPerTimeout}
	return onceThereIsRoom(ctx, func() (err error) {
		if err := x.bootstrap(); err != nil {
			return err
		}
		x.replica, err = replica.Open(x.settings.Data.Folder, x.self.ID, cfg, time.Now())
		return err
	})
}

// onceThereIsRoom calls open again while it fails because a disk is full, until ctx ends.
func onceThereIsRoom(ctx context.Context, open func() error) error {
	for {
		err := open()
		if !errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT) {
			return err
		}
		klog.ErrorS(err, "data folder not opened, it is tried again", "after", fullDiskPause)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fullDiskPause):
		}
	}
}

// bootstrap creates the control log in the data folder if this instance is one of the founders. It keeps a log that
// already exists.
func (x *Instance) bootstrap() error {
	var ids []string
	for _, f := range x.settings.Data.Founders {
		ids = append(ids, f.Instance)
	}
	if !slices.Contains(ids, x.self.ID) {
		return nil
	}
	return replica.BootstrapVoters(x.settings.Data.Folder, x.self.ID, ids)
}

// newCore returns the control state with the timing, planner and log that the settings specify.
func (x *Instance) newCore() *control.Core {
	t := control.DefaultTiming()
	t.Tick = time.Duration(x.settings.Control.Tick)
	t.Lease = time.Duration(x.settings.Control.Lease)
	t.ReplaceAfter = replaceTimeouts * time.Duration(x.settings.Control.ElectionTimeout)
	t.QuorumFresh = time.Duration(x.settings.Control.ElectionTimeout) / 2
	t.ServeBehind = time.Duration(x.settings.Control.ServeBehind)
	t.ObeyWithin = time.Duration(x.settings.Control.EvacuateWithin)
	t.AcceptCommitted = x.settings.Control.Acceptance == settings.AcceptCommitted
	w := x.settings.WeightStore
	opts := []control.Option{control.WithOrders(func() *order.Planner {
		return order.NewPlanner(order.WithWeightRate(wire.Rate{PerSecond: w.PerSecond, Burst: w.Burst}),
			order.WithSeed(uint64(x.self.Incarnation)))
	}), control.WithTiming(t), control.WithRecorder(eventLog{x.ring}), control.WithLimiter(x.limiter), control.WithGate(x.gate), control.WithGuard(x.guard)}
	if r := x.replica; r != nil {
		opts = append(opts, control.WithLog(r, r.State, r.Applied), control.WithVoters(x.settings.Data.Voters))
	}
	return control.New(x.self, opts...)
}

// PublishMetrics publishes the instance's metrics by expvar under name, and the statistics of the prefix index under
// "prefixIndex", of the weighing of kept prompts under "promptCache", of the quarantine under "quarantine", of warm-ups under
// "warmups", of the connections that others open under "inbound", and the number of evacuated zones under "evacuatedZones". It panics
// if one of the names is in use.
func (x *Instance) PublishMetrics(name string) {
	x.metrics.Publish(name)
	x.publishEvacuations()
	expvar.Publish("prefixIndex", expvar.Func(func() any { return x.fleet.Index.Stats() }))
	expvar.Publish("promptCache", expvar.Func(func() any { return x.prompts.Stats() }))
	expvar.Publish("warmups", expvar.Func(func() any { return x.warmups.Stats() }))
	expvar.Publish("inbound", expvar.Func(func() any { return x.inbound.Stats() }))
	expvar.Publish("quarantine", expvar.Func(func() any { return x.guard.Stats(time.Now()) }))
}

// View returns the current control state.
func (x *Instance) View() *control.View {
	return x.loop.Publisher.View()
}

// activeCount returns the number of instances that are neither silent nor draining. It also counts control-only ones.
func (x *Instance) activeCount() int {
	n := 0
	for _, i := range x.View().Instances.All() {
		if !i.Silent && !i.Draining {
			n++
		}
	}
	return n
}

// listen opens the listeners of the instance and registers the endpoints of each.
func (x *Instance) listen(ctx context.Context) error {
	l := x.settings.Listen
	entry := x.settings.Entry
	x.runner = x.newRunner(ctx)
	callers := &caller.Server{
		Views:        x,
		Runner:       x.runner,
		Finder:       x,
		Answers:      x.answers,
		Metrics:      x.metrics,
		IDs:          caller.NewIDs(x.self.ID, x.self.Incarnation),
		KeepFor:      time.Duration(entry.KeepFor),
		MaxBodyBytes: entry.MaxBodyBytes,
		Bodies:       x.bodies,
		MayTake:      x.mayTake,
	}
	upstreams := &announce.Server{Control: x.loop, Caches: x, Credentials: x.settings.Credentials.Upstreams}
	operators := &operator.Server{Control: x.loop, Views: x, Gatherer: x, Quarantine: x.guard, Evacuator: x, Credentials: x.settings.Credentials.Operators}
	listeners := []struct {
		name, address string
		routes        Registrar
	}{
		{"peers", l.Peers, peerRoutes{x.net}},
		{"upstreams", l.Upstreams, upstreams},
		{"operators", l.Operators, operators},
		{"callers", l.Callers, callers},
	}
	for _, e := range x.extraListeners {
		listeners = append(listeners, struct {
			name, address string
			routes        Registrar
		}{"extra", e.address, e.routes(x)})
	}
	for _, r := range listeners {
		s, err := newServer(r.address, x, r.routes, inbound.Options{Name: r.name, ForCallers: r.routes == Registrar(callers)})
		if err != nil {
			return err
		}
		x.servers = append(x.servers, s)
		if r.routes == Registrar(callers) {
			x.callerServers = append(x.callerServers, s)
		}
	}
	return x.openProxy(ctx)
}

// newRunner returns the runner of pipeline requests. Its background work ends with ctx.
func (x *Instance) newRunner(ctx context.Context) *pipeline.Runner {
	return &pipeline.Runner{
		Instance:    x.self.ID,
		Incarnation: x.self.Incarnation,
		Picker:      x.services,
		Client:      upstream.NewClient(maxIdleConnections, x.gate),
		Committer:   x.loop,
		Recorder:    x.ring,
		Observer:    x.metrics,
		Ledger:      x.ledger,
		Background:  ctx,
		Guard:       x.guard,
		Admission:   x.limiter,
		Services:    x.services,
		Engines:     engines{x.fleet, x},
	}
}

// Run serves until ctx ends or the instance is drained. It then returns the first error of a listener combined with the
// error of closing the data folder; nil if there is neither. A listener that fails doesn't end Run.
func (x *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		x.loop.Run(ctx)
		return nil
	})
	for _, s := range x.servers {
		g.Go(s.serve)
	}
	for _, address := range x.settings.Join {
		x.net.Join(address)
	}
	if x.replica != nil {
		for _, f := range x.settings.Data.Founders {
			x.net.SetAddress(wire.InstanceInfo{ID: f.Instance, PeerAddress: f.Address})
		}
		for _, i := range x.replica.KnownInstances {
			x.net.SetAddress(i)
		}
	}
	klog.InfoS("serving", "incarnation", x.self.Incarnation, "callers", x.self.CallerAddress)
	g.Go(func() error {
		x.reportCosts(ctx)
		return nil
	})
	g.Go(func() error {
		x.reportLoad(ctx)
		return nil
	})
	g.Go(func() error {
		x.watchEngines(ctx)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		x.waitForDrain(ctx)
		x.closeServers()
		return nil
	})
	err := g.Wait()
	if x.replica != nil {
		err = errors.CombineErrors(err, x.replica.Close())
	}
	return err
}
