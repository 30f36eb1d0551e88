package batch

import (
	"context"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"testing/quick"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// network connects dispatchers in memory. Frames from and to unreachable ones are lost.
type network struct {
	mu          sync.Mutex
	dispatchers map[string]*Dispatcher
	unreachable map[string]bool
	// isLost, if set, reports whether a frame to an instance is lost, and losses counts the lost ones.
	isLost func(to string, f wire.Frame) bool
	losses int
	// owns holds the claims of queues.
	owns map[string]string
}

func (p memberPeers) Claim(owns string) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.owns[p.self] = owns
}

type memberPeers struct {
	net  *network
	self string
}

func (p memberPeers) Send(to string, f wire.Frame) {
	f.From = p.self
	p.net.mu.Lock()
	d, isLost := p.net.dispatchers[to], p.net.unreachable[to] || p.net.unreachable[p.self]
	if !isLost && p.net.isLost != nil && p.net.isLost(to, f) {
		isLost = true
		p.net.losses++
	}
	p.net.mu.Unlock()
	if d != nil && !isLost {
		go d.HandleFrame(f)
	}
}

func (p memberPeers) Losses(string) int {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.losses
}

func (p memberPeers) Members() []Member {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var out []Member
	for id := range p.net.dispatchers {
		if !p.net.unreachable[id] {
			out = append(out, Member{ID: id, Owns: p.net.owns[id]})
		}
	}
	return out
}

// fakeExecutor completes every piece immediately; while it is stuck, calls last until their context ends.
type fakeExecutor struct {
	mu    sync.Mutex
	calls []int
	freed []string
	stuck bool
}

func (e *fakeExecutor) Execute(ctx context.Context, c *Call) ([]Result, bool, error) {
	e.mu.Lock()
	e.calls = append(e.calls, len(c.Items))
	stuck := e.stuck
	e.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return nil, false, ctx.Err()
	}
	return completedResults(c, c.Items[0].Job.Request), false, nil
}

func (e *fakeExecutor) Free(_ context.Context, handles []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, handles...)
}

func newDispatchers(t *testing.T, executor Executor, ids ...string) *network {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &network{dispatchers: make(map[string]*Dispatcher), unreachable: make(map[string]bool), owns: make(map[string]string)}
	source := func(string) Source {
		return func() (site.Batch, []Upstream, bool) { return spec, upstreams("z", "z"), true }
	}
	for i, id := range ids {
		n.dispatchers[id] = NewDispatcher(ctx, id, "z", i<<20, memberPeers{n, id}, executor, source)
	}
	return n
}

func testJob(request string) Job {
	return Job{Request: request, Pieces: 2, Bytes: 1, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
}

// TestEveryInstanceSubmitsToOneOwner guards against instances that disagree on the owner of a queue: the calls of each
// owner would then be filled by the requests of a few instances only.
func TestEveryInstanceSubmitsToOneOwner(t *testing.T) {
	is := is.New(t)
	executor := &fakeExecutor{}
	n := newDispatchers(t, executor, "a", "b", "c")
	for id, d := range n.dispatchers {
		out := d.Run(context.Background(), "encode", testJob(id))
		is.Equal(out.Reason, Reason(""))
		is.Equal(len(out.Handles), 2)
	}
	owners := 0
	for _, d := range n.dispatchers {
		owners += len(d.owners)
	}
	is.Equal(owners, 1)
}

// TestLostOwnerIsReplaced loses the owner of a queue while a job waits there. The job is submitted to the next owner.
func TestLostOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	executor := &fakeExecutor{stuck: true}
	n := newDispatchers(t, executor, "a", "b", "c")
	owner := Owner("encode", "", memberPeers{n, "a"}.Members())
	caller := "a"
	if owner == "a" {
		caller = "b"
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		executor.mu.Lock()
		executor.stuck = false
		executor.mu.Unlock()
		n.mu.Lock()
		n.unreachable[owner] = true
		n.mu.Unlock()
	}()
	out := n.dispatchers[caller].Run(context.Background(), "encode", testJob("r"))
	is.Equal(out.Reason, Reason(""))
	is.Equal(len(out.Handles), 2)
}

// TestLostFrameOfJobHoldsRequest guards against a job that waits until its deadline because the frame with it, or with its
// outcome, was lost with a connection that is open again.
func TestLostFrameOfJobHoldsRequest(t *testing.T) {
	for name, isLost := range map[string]func(wire.Frame) bool{
		"order":  func(f wire.Frame) bool { return f.PieceOrder != nil },
		"answer": func(f wire.Frame) bool { return f.PieceAnswer != nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			executor := &fakeExecutor{}
			n := newDispatchers(t, executor, "a", "b")
			caller := "a"
			if Owner("encode", "", memberPeers{n, "a"}.Members()) == "a" {
				caller = "b"
			}
			n.isLost = func(_ string, f wire.Frame) bool { return n.losses == 0 && isLost(f) }
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			out := n.dispatchers[caller].Run(ctx, "encode", testJob("r"))
			is.Equal(out.Reason, Reason(""))
			is.Equal(len(out.Handles), 2)
		})
	}
}

// TestJobSentAgainRunsTwice guards against a job that waits in a queue twice because its frame was sent again after
// another frame was lost.
func TestJobSentAgainRunsTwice(t *testing.T) {
	is := is.New(t)
	executor := &fakeExecutor{stuck: true}
	n := newDispatchers(t, executor, "a", "b")
	caller := "a"
	if Owner("encode", "", memberPeers{n, "a"}.Members()) == "a" {
		caller = "b"
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		n.mu.Lock()
		n.losses++
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.dispatchers[caller].Run(ctx, "encode", testJob("r"))
	executor.mu.Lock()
	defer executor.mu.Unlock()
	is.Equal(executor.calls, []int{2})
}

// TestNewOwnerFreesResultsReleasedToLostOwner guards against results that were released to an owner which was lost
// before it freed them: they would fill the upstreams' memory, unknown to the next owner.
func TestNewOwnerFreesResultsReleasedToLostOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := &fakeExecutor{}
		n := newDispatchers(t, executor, "a", "b", "c")
		owner := Owner("encode", "", memberPeers{n, "a"}.Members())
		caller := "a"
		if owner == "a" {
			caller = "b"
		}
		d := n.dispatchers[caller]
		is.Equal(d.Run(context.Background(), "encode", testJob("first")).Reason, Reason(""))
		n.mu.Lock()
		n.dispatchers[owner] = nil // the owner doesn't run, but still counts as reachable
		n.mu.Unlock()
		d.Release("encode", "", []string{"released/0", "released/1"})
		n.mu.Lock()
		n.unreachable[owner] = true
		n.mu.Unlock()
		is.Equal(d.Run(context.Background(), "encode", testJob("second")).Reason, Reason(""))
		time.Sleep(time.Second)
		executor.mu.Lock()
		defer executor.mu.Unlock()
		is.Equal(executor.freed, []string{"released/0", "released/1"})
	})
}

func TestEndedContextCancelsJob(t *testing.T) {
	is := is.New(t)
	n := newDispatchers(t, &fakeExecutor{stuck: true}, "a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for _, d := range n.dispatchers {
		is.Equal(d.Run(ctx, "encode", testJob("r")).Reason, ReasonCancelled)
	}
}

func TestOwnerStaysWhenAnotherMemberIsLost(t *testing.T) {
	is := is.New(t)
	all := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	for _, service := range []string{"encode", "retrieve", "rerank"} {
		owner := Owner(service, "", all)
		for _, m := range all {
			if m.ID == owner {
				continue
			}
			var rest []Member
			for _, o := range all {
				if o != m {
					rest = append(rest, o)
				}
			}
			is.Equal(Owner(service, "", rest), owner) // the loss of another member changes no owner
		}
	}
	is.Equal(Owner("encode", "", nil), "")
}

// TestInstancesWithFewCoresOwnNoQueue guards against queues on instances that are too small to serve them.
func TestInstancesWithFewCoresOwnNoQueue(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: "a", Cores: 0.1}, {ID: "b", Cores: 0.5}, {ID: "c", Cores: 0.1}}
	for _, service := range []string{"encode", "retrieve", "rerank", "generate"} {
		is.Equal(Owner(service, "", members), "b")
	}
	is.True(Owner("encode", "", []Member{members[0], members[2]}) != "") // without eligible members, any member owns the queue
}

// TestOwnerDoesNotWaitForItself guards against the owner of a queue that stands still: a report that inputs were read
// releases results to its own inbox, which may be full.
func TestOwnerDoesNotWaitForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newDispatchers(t, &timedExecutor{spec: spec}, "a")
		d := n.dispatchers["a"]
		is.Equal(d.Run(context.Background(), "encode", testJob("first")).Reason, Reason(""))
		time.Sleep(2 * steadyAfter) // the queue is steady
		j := testJob("second")
		j.OnInputsRead = func() {
			for range 2 * ownerInbox {
				d.Release("encode", "", []string{"released"})
			}
		}
		is.Equal(d.Run(context.Background(), "encode", j).Reason, Reason(""))
	})
}

// TestMalformedFrameEndsProcess guards against one message of a faulty instance that ends the process of the owner of a
// queue.
func TestMalformedFrameEndsProcess(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	synctest.Test(t, func(t *testing.T) {
		n := newDispatchers(t, &fakeExecutor{}, "a", "b")
		for range 2000 {
			f := wire.Frame{From: "b", Call: random.Intn(100)}
			switch random.Intn(6) {
			case 0:
				f.PieceOrder = randomValue[wire.PieceOrder](random)
			case 1:
				f.PieceAnswer = randomValue[wire.PieceAnswer](random)
			case 2:
				f.PieceQueue = randomValue[wire.PieceQueue](random)
			case 3:
				f.PieceRelease = randomValue[wire.PieceRelease](random)
			case 4:
				f.PieceCancel = randomValue[bool](random)
			case 5:
				f.PieceBegun = randomValue[bool](random)
			}
			n.dispatchers["a"].HandleFrame(f)
			time.Sleep(time.Millisecond)
		}
	})
}

// randomValue returns a random value.
func randomValue[T any](random *rand.Rand) *T {
	var v T
	value, _ := quick.Value(reflect.TypeOf(v), random)
	v = value.Interface().(T)
	return &v
}
