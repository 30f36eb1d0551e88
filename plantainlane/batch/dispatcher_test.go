package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// net joins dispatchers in memory.
type net struct {
	mu          sync.Mutex
	dispatchers map[string]*Dispatcher
	lost        map[string]bool
}

type port struct {
	net  *net
	self string
}

func (p port) Send(to string, f wire.Frame) {
	f.From = p.self
	p.net.mu.Lock()
	d, lost := p.net.dispatchers[to], p.net.lost[to] || p.net.lost[p.self]
	p.net.mu.Unlock()
	if d != nil && !lost {
		go d.HandleFrame(f)
	}
}

func (p port) Members() []Member {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var out []Member
	for id := range p.net.dispatchers {
		if !p.net.lost[id] {
			out = append(out, Member{ID: id})
		}
	}
	return out
}

// fakeMaker makes every piece at once, or never while it is stuck.
type fakeMaker struct {
	mu    sync.Mutex
	calls []int
	freed []string
	stuck bool
}

func (m *fakeMaker) Execute(ctx context.Context, c *Call) ([]Result, bool, error) {
	m.mu.Lock()
	m.calls = append(m.calls, len(c.Items))
	stuck := m.stuck
	m.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return nil, false, ctx.Err()
	}
	return made(c, c.Items[0].Job.Request), false, nil
}

func (m *fakeMaker) Free(_ context.Context, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freed = append(m.freed, handles...)
}

func newDispatchers(t *testing.T, m Executor, ids ...string) *net {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &net{dispatchers: make(map[string]*Dispatcher), lost: make(map[string]bool)}
	supply := func(string) Source {
		return func() (site.Batch, []Upstream, bool) { return spec, upstreams("z", "z"), true }
	}
	for i, id := range ids {
		n.dispatchers[id] = NewDispatcher(ctx, id, i<<20, port{n, id}, m, supply)
	}
	return n
}

func anOrder(request string) Job {
	return Job{Request: request, Pieces: 2, Bytes: 1, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
}

func TestEveryInstanceOrdersAtOneOwner(t *testing.T) {
	is := is.New(t)
	m := &fakeMaker{}
	n := newDispatchers(t, m, "a", "b", "c")
	for id, d := range n.dispatchers {
		out := d.Run(context.Background(), "encode", anOrder(id))
		is.Equal(out.Reason, Reason(""))
		is.Equal(len(out.Handles), 2)
	}
	owners := 0
	for _, d := range n.dispatchers {
		owners += len(d.owners)
	}
	is.Equal(owners, 1)
}

func TestLostOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	m := &fakeMaker{stuck: true}
	n := newDispatchers(t, m, "a", "b", "c")
	owner := Owner("encode", port{n, "a"}.Members())
	asker := "a"
	if owner == "a" {
		asker = "b"
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		m.mu.Lock()
		m.stuck = false
		m.mu.Unlock()
		n.mu.Lock()
		n.lost[owner] = true
		n.mu.Unlock()
	}()
	out := n.dispatchers[asker].Run(context.Background(), "encode", anOrder("r"))
	is.Equal(out.Reason, Reason(""))
	is.Equal(len(out.Handles), 2)
}

func TestCallerThatLeavesCancelsItsOrder(t *testing.T) {
	is := is.New(t)
	n := newDispatchers(t, &fakeMaker{stuck: true}, "a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for _, d := range n.dispatchers {
		is.Equal(d.Run(ctx, "encode", anOrder("r")).Reason, ReasonCancelled)
	}
}

func TestOwnerChangesLittleWithMembers(t *testing.T) {
	is := is.New(t)
	all := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	for _, service := range []string{"encode", "retrieve", "rerank"} {
		owner := Owner(service, all)
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
			is.Equal(Owner(service, rest), owner) // the loss of another member moves nothing
		}
	}
	is.Equal(Owner("encode", nil), "")
}

func TestSmallInstancesOwnNoQueue(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: "a", Cores: 0.1}, {ID: "b", Cores: 0.5}, {ID: "c", Cores: 0.1}}
	for _, service := range []string{"encode", "retrieve", "rerank", "generate"} {
		is.Equal(Owner(service, members), "b")
	}
	is.True(Owner("encode", []Member{members[0], members[2]}) != "") // better than none
}
