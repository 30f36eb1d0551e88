package forward

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// The tests in this file run the queues of a site of 71 instances and 48 upstreams in simulated time, with the real
// dispatchers, owners, queues and stages. Smaller sites don't show what binds there: one owner handles the messages of
// all instances.

const (
	// classFloor is the least share of its worth that a class of requests must earn.
	classFloor = 0.36
	// lateWorth is the worth of a request that is completed late, compared with one on time.
	lateWorth = 0.15
	// siteMembers is the number of instances, siteOwners of those that may own queues.
	siteMembers = 71
	siteOwners  = 6
	// transferTime is the time that a frame needs to another instance, frameTime the processor time to handle it, and
	// viewTime the time to read the members or the upstreams from the control state, on a small and busy machine.
	transferTime = time.Millisecond
	frameTime    = 60 * time.Microsecond
	viewTime     = 120 * time.Microsecond
	// siteDay is the time for which requests arrive, in seconds.
	siteDay = 24.0
	// lossTime is the time until the others notice that an instance is frozen or works again.
	lossTime = 1200 * time.Millisecond
	// claimTime is the time until all instances know the queues that an instance claims.
	claimTime = time.Second
)

// siteStages are the services of the site's stages, in order, with the number of upstreams.
var siteStages = []struct {
	service   string
	upstreams int
	bytes     int
	batch     site.Batch
}{
	{"catalogue", 18, 160_000, site.Batch{Slots: 1, MaxPieces: 18, CallTime: 240 * time.Millisecond, PieceTime: 11 * time.Millisecond, MemoryBytes: 22_000_000, KeepFor: 4 * time.Second}},
	{"audio", 15, 45_000, site.Batch{Slots: 1, MaxPieces: 48, CallTime: 240 * time.Millisecond, PieceTime: 4300 * time.Microsecond, MemoryBytes: 5_300_000, KeepFor: 4 * time.Second}},
	{"notices", 15, 3_000, site.Batch{Slots: 1, MaxPieces: 60, CallTime: 240 * time.Millisecond, PieceTime: 3400 * time.Microsecond, MemoryBytes: 660_000, KeepFor: 4 * time.Second}},
}

// requestClass is a class of requests. Its rate is multiplied by burst from second 3 to second 9.
type requestClass struct {
	name      string
	perSecond float64
	burst     float64
	target    time.Duration
	deadline  time.Duration
	pieces    []int
	priority  int
}

var siteClasses = []requestClass{
	{"guide", 85, 1, 1400 * time.Millisecond, 12 * time.Second, []int{1, 3, 4}, 0},
	{"rewrite", 87, 2.82, 2 * time.Second, 12 * time.Second, []int{1, 3, 4}, 1},
	{"tone", 149, 1, 2200 * time.Millisecond, 6 * time.Second, []int{1, 2, 4}, 2},
}

// siteZone returns the zone of a member or an upstream.
func siteZone(i int) string { return string(rune('a' + i%3)) }

// siteMember is an instance of the simulated site.
type siteMember struct {
	id    string
	cores float64
	// processor is held by the work that runs.
	processor  chan struct{}
	inbox      chan wire.Frame
	dispatcher *batch.Dispatcher
}

// siteModel is a site of instances and upstreams.
type siteModel struct {
	members []*siteMember
	byID    map[string]*siteMember
	site    *site.Site
	route   *site.Route
	// frozen is the index of the member that stands still from frozenFrom to frozenUntil.
	frozen                  int
	frozenFrom, frozenUntil time.Time

	mu        sync.Mutex
	upstreams map[string]*modelUpstream
	// results holds the upstreams of all results, by handle.
	results map[string]*modelUpstream
	handles int
	// owns holds the claims of queues, by member.
	owns   map[string]string
	earned map[string]float64
	owed   map[string]float64
}

// modelUpstream runs one call at a time and holds results until they are freed or expire.
type modelUpstream struct {
	turn   chan struct{}
	memory int
	sizes  map[string]int
}

func newSiteModel(ctx context.Context) *siteModel {
	m := &siteModel{
		byID: make(map[string]*siteMember), upstreams: make(map[string]*modelUpstream), results: make(map[string]*modelUpstream),
		owns: make(map[string]string), earned: make(map[string]float64), owed: make(map[string]float64), frozen: -1,
		site: &site.Site{Services: make(map[string]*site.Service)}, route: &site.Route{Name: "r"},
	}
	for i, s := range siteStages {
		m.site.Services[s.service] = &site.Service{Name: s.service, Batch: &s.batch}
		stage := site.Stage{Service: s.service, Bytes: s.bytes}
		if i > 0 {
			stage.After = []int{i - 1}
		}
		m.route.Stages = append(m.route.Stages, stage)
		for _, u := range m.upstreamsOf(s.service) {
			m.upstreams[u.ID] = &modelUpstream{turn: make(chan struct{}, 1), memory: s.batch.MemoryBytes, sizes: make(map[string]int)}
		}
	}
	for i := range siteMembers {
		member := &siteMember{id: fmt.Sprint("m", i), cores: 0.192, processor: make(chan struct{}, 1), inbox: make(chan wire.Frame, 1<<16)}
		if i < siteOwners {
			member.cores = 0.512
		}
		m.members = append(m.members, member)
		m.byID[member.id] = member
	}
	for i, member := range m.members {
		source := func(service string) batch.Source {
			return func() (site.Batch, []batch.Upstream, bool) {
				m.work(i, viewTime)
				return *m.site.Services[service].Batch, m.upstreamsOf(service), true
			}
		}
		member.dispatcher = batch.NewDispatcher(ctx, member.id, siteZone(i), i<<24, sitePeers{m, i}, siteExecutor{m, i}, source)
		go m.handleFrames(ctx, i)
	}
	return m
}

func (m *siteModel) upstreamsOf(service string) []batch.Upstream {
	var out []batch.Upstream
	for _, s := range siteStages {
		for i := range s.upstreams {
			if s.service == service {
				id := fmt.Sprint(service, i)
				out = append(out, batch.Upstream{Peer: quota.Peer{ID: id, Address: id}, Zone: siteZone(i)})
			}
		}
	}
	return out
}

// work takes processor time of a member, which runs one piece of work at a time and none while it is frozen.
func (m *siteModel) work(member int, took time.Duration) {
	processor := m.members[member].processor
	processor <- struct{}{}
	time.Sleep(took)
	if now := time.Now(); member == m.frozen && now.After(m.frozenFrom) && now.Before(m.frozenUntil) {
		time.Sleep(m.frozenUntil.Sub(now))
	}
	<-processor
}

// handleFrames handles the frames that a member receives, one after another.
func (m *siteModel) handleFrames(ctx context.Context, member int) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-m.members[member].inbox:
			m.work(member, frameTime)
			m.members[member].dispatcher.HandleFrame(f)
		}
	}
}

// sitePeers connects a member with the others.
type sitePeers struct {
	model  *siteModel
	member int
}

func (p sitePeers) Send(to string, f wire.Frame) {
	f.From = p.model.members[p.member].id
	go func() {
		p.model.work(p.member, frameTime)
		time.Sleep(transferTime)
		p.model.byID[to].inbox <- f
	}()
}

func (p sitePeers) Losses(string) int { return 0 }

// Claim tells the others after the time of a message.
func (p sitePeers) Claim(owns string) {
	time.AfterFunc(claimTime, func() {
		p.model.mu.Lock()
		defer p.model.mu.Unlock()
		p.model.owns[p.model.members[p.member].id] = owns
	})
}

func (p sitePeers) Members() []batch.Member {
	m := p.model
	m.work(p.member, viewTime)
	m.mu.Lock()
	owns := maps.Clone(m.owns)
	m.mu.Unlock()
	now := time.Now()
	isLost := now.After(m.frozenFrom.Add(lossTime)) && now.Before(m.frozenUntil.Add(lossTime))
	out := make([]batch.Member, 0, siteMembers)
	for i, member := range m.members {
		if i != m.frozen || !isLost || i == p.member {
			out = append(out, batch.Member{ID: member.id, Zone: siteZone(i), Cores: member.cores, Owns: owns[member.id]})
		}
	}
	return out
}

// siteExecutor runs the calls of a member at the model's upstreams.
type siteExecutor struct {
	model  *siteModel
	member int
}

func (e siteExecutor) Execute(ctx context.Context, c *batch.Call) ([]batch.Result, bool, error) {
	m := e.model
	u := m.upstreams[c.Upstream.ID]
	select {
	case u.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	spec := m.site.Services[m.route.Stages[c.Items[0].Job.Stage].Service].Batch
	results, completed := m.startCall(u, c)
	time.Sleep(spec.CallTime + time.Duration(completed)*spec.PieceTime)
	<-u.turn
	time.AfterFunc(spec.KeepFor, func() { m.drop(results) })
	m.work(e.member, frameTime)
	return results, false, nil
}

func (e siteExecutor) Free(_ context.Context, handles []string) {
	time.Sleep(2 * transferTime)
	var results []batch.Result
	for _, h := range handles {
		results = append(results, batch.Result{Handle: h})
	}
	e.model.drop(results)
}

// startCall reads the inputs of a call's pieces and reserves the memory of their results.
func (m *siteModel) startCall(u *modelUpstream, c *batch.Call) (results []batch.Result, completed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range c.Items {
		r := batch.Result{}
		for _, input := range item.Job.Inputs {
			if m.results[input] == nil {
				r.Reason = batch.ReasonGone
			}
		}
		switch {
		case r.Reason != "":
		case u.memory < item.Job.Bytes:
			r.Reason = batch.ReasonNoMemory
		default:
			m.handles++
			completed++
			r.Handle = fmt.Sprint(c.Upstream.ID, "/", m.handles)
			u.memory -= item.Job.Bytes
			u.sizes[r.Handle] = item.Job.Bytes
			m.results[r.Handle] = u
		}
		results = append(results, r)
	}
	return results, completed
}

// drop deletes results, if they exist.
func (m *siteModel) drop(results []batch.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range results {
		if u := m.results[r.Handle]; u != nil {
			u.memory += u.sizes[r.Handle]
			delete(u.sizes, r.Handle)
			delete(m.results, r.Handle)
		}
	}
}

// request runs a request of a class at a random member, and once more if it is rejected.
func (m *siteModel) request(ctx context.Context, c requestClass, id string, random uint64) {
	received := time.Now()
	worth := 0.0
	for try := range uint64(2) {
		member := int((random + 31*try) % siteMembers)
		if member == m.frozen {
			member = siteMembers - 1
		}
		wait, ok := m.run(ctx, c, fmt.Sprint(id, ".", try), member, received)
		if ok {
			worth = lateWorth
			if time.Since(received) <= c.target {
				worth = 1
			}
			break
		}
		time.Sleep(wait)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owed[c.name]++
	m.earned[c.name] += worth
}

// run runs the stages of a request, then the request itself, which takes 50 ms until its first event.
func (m *siteModel) run(ctx context.Context, c requestClass, id string, member int, received time.Time) (retryAfter time.Duration, ok bool) {
	route := *m.route
	route.TargetLatency = c.target
	deadline := received.Add(c.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x := &stageRun{
		dispatcher: m.members[member].dispatcher, site: m.site, route: &route,
		call: &Call{ID: id, Pieces: c.pieces, PieceKey: id}, zone: siteZone(member),
		received: received, deadline: deadline, priority: c.priority,
	}
	_, err := x.run(ctx)
	if err != nil {
		var failed *stageError
		if errors.As(err, &failed) {
			retryAfter = failed.outcome.RetryAfter
		}
		return max(retryAfter, shortRetryAfter), false
	}
	time.Sleep(50 * time.Millisecond)
	x.release()
	return 0, time.Now().Before(deadline)
}

// play sends the requests of siteDay and returns the share of its worth that each class earned.
func (m *siteModel) play(ctx context.Context) map[string]float64 {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	var requests sync.WaitGroup
	for _, c := range siteClasses {
		for at := 0.0; at < siteDay; {
			rate := c.perSecond
			if at > 3 && at < 9 {
				rate *= c.burst
			}
			at += random.ExpFloat64() / rate
			id, pick := fmt.Sprint(c.name, at), random.Uint64()
			requests.Go(func() {
				time.Sleep(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
				m.request(ctx, c, id, pick)
			})
		}
	}
	requests.Wait()
	shares := make(map[string]float64)
	for name, owed := range m.owed {
		shares[name] = m.earned[name] / owed
	}
	return shares
}

// playSite plays a site and checks the share of each class. If freeze is set, the owner of the second stage's queue
// stands still for five seconds. The race detector's run, which is short, leaves these days out.
func playSite(t *testing.T, freeze bool) {
	if testing.Short() {
		t.Skip("a day of 8,000 requests")
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := newSiteModel(ctx)
		if freeze {
			owner := batch.Owner(siteStages[1].service, "", sitePeers{m, 0}.Members())
			for i, member := range m.members {
				if member.id == owner {
					m.frozen = i
				}
			}
			m.frozenFrom, m.frozenUntil = time.Now().Add(2*time.Second), time.Now().Add(7*time.Second)
		}
		shares := m.play(ctx)
		t.Log(shares)
		for _, c := range siteClasses {
			is.True(shares[c.name] >= classFloor)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestClassOfLargeSiteIsNotShortInBurst guards against a class that earns less than its floor because the owner of a
// queue can't keep up with a burst.
func TestClassOfLargeSiteIsNotShortInBurst(t *testing.T) { playSite(t, false) }

// TestClassOfLargeSiteIsNotShortAfterFreeze guards against a class that earns less than its floor because the owner of
// a queue was frozen during a burst.
func TestClassOfLargeSiteIsNotShortAfterFreeze(t *testing.T) { playSite(t, true) }
