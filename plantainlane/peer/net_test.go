package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"plantainlane/plantainlane/credential"
	"plantainlane/wire"
	"plantainlane/wire/timeline"
)

const secret = "0123456789abcdef"

// patience bounds a wait for something that must come. No verdict depends on how long it takes.
const patience = 30 * time.Second

type clock struct{ timeline.Clock }

func (c *clock) Stamp() wire.HLC    { return c.Now(time.Now()) }
func (c *clock) Observe(h wire.HLC) { c.Clock.Observe(time.Now(), h) }

// inbox collects what a Net brings.
type inbox struct {
	connected, lost chan string
	frames          chan wire.Frame
}

func newInbox() *inbox {
	return &inbox{make(chan string, 100), make(chan string, 100), make(chan wire.Frame, 1000)}
}

func (i *inbox) Frame(f wire.Frame)               { i.frames <- f }
func (i *inbox) Connected(info wire.InstanceInfo) { i.connected <- info.ID }
func (i *inbox) Lost(id string)                   { i.lost <- id }

func await[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

type end struct {
	net    *Net
	in     *inbox
	server *httptest.Server
}

func newEnd(t *testing.T, id string) *end {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timing := Timing{Heartbeat: 20 * time.Millisecond, SilentAfter: 200 * time.Millisecond, Redial: 10 * time.Millisecond, Unused: time.Minute}
	e := &end{in: newInbox()}
	e.net = New(ctx, wire.InstanceInfo{ID: id, Incarnation: 1}, secret, timing, e.in, &clock{})
	e.server = httptest.NewServer(e.net)
	t.Cleanup(func() {
		cancel()
		e.net.Wait()
		e.server.Close()
	})
	return e
}

func (e *end) address() string {
	return strings.TrimPrefix(e.server.URL, "http://")
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct{ toServer, toClient bool }{
		"both directions": {true, true},
		"to the server":   {true, false},
		"to the client":   {false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newEnd(t, "a"), newEnd(t, "b")
			r := newRelay(t, b.address())
			a.net.Join(r.address)
			is.Equal(await(t, a.in.connected, "connection"), "b")
			is.Equal(await(t, b.in.connected, "connection"), "a")

			r.freeze(tt.toServer, tt.toClient)
			is.Equal(await(t, a.in.lost, "loss at the client"), "b")
			is.Equal(await(t, b.in.lost, "loss at the server"), "a")

			a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: r.address}})
			is.Equal(await(t, a.in.connected, "new connection"), "b")
			a.net.Send("b", wire.Frame{Call: 7, Drain: &wire.DrainOrder{Instance: "b"}})
			f := await(t, b.in.frames, "frame")
			is.Equal(f.Call, 7)
			is.Equal(f.From, "a")
		})
	}
}

func TestFrameWaitsForItsConnection(t *testing.T) {
	is := is.New(t)
	a, b := newEnd(t, "a"), newEnd(t, "b")
	a.net.SetAddress(wire.InstanceInfo{ID: "b", PeerAddress: b.address()})
	a.net.Send("b", wire.Frame{Call: 7, Drain: &wire.DrainOrder{}})
	is.Equal(await(t, b.in.frames, "frame").Call, 7)
}

func TestUnusedConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	a, b := newEnd(t, "a"), newEnd(t, "b")
	a.net.timing.Unused = 0
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, a.in.connected, "connection")
	await(t, b.in.connected, "connection")
	a.net.SetNeighbors(nil)
	is.Equal(await(t, a.in.lost, "loss"), "b")
	is.Equal(await(t, b.in.lost, "loss"), "a")
}

func TestFramesArriveOnceInOrder(t *testing.T) {
	is := is.New(t)
	a, b := newEnd(t, "a"), newEnd(t, "b")
	a.net.Join(b.address())
	await(t, a.in.connected, "connection")
	for i := range 500 {
		a.net.Send("b", wire.Frame{Call: i + 1, Drain: &wire.DrainOrder{}})
	}
	last := wire.HLC{}
	for i := range 500 {
		f := await(t, b.in.frames, "frame")
		is.Equal(f.Call, i+1)
		is.True(timeline.Compare(f.Time, last) > 0)
		last = f.Time
	}
}

func TestStrangerIsRefused(t *testing.T) {
	is := is.New(t)
	a := newEnd(t, "a")
	for _, header := range []string{"", "Bearer ", "Bearer wrong", secret} {
		req, err := http.NewRequest(http.MethodGet, a.server.URL+Path, http.NoBody)
		is.NoErr(err)
		req.Header.Set("Authorization", header)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusUnauthorized)
	}
	is.Equal(len(a.in.connected), 0)
}

// TestUnknownFieldIsRefused meets a peer whose version knows more, which must be told and not half understood.
func TestUnknownFieldIsRefused(t *testing.T) {
	is := is.New(t)
	a := newEnd(t, "a")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ws, answer, err := websocket.Dial(ctx, "ws://"+a.address()+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{"Authorization": {credential.Scheme + secret}},
	})
	is.NoErr(err)
	defer ws.CloseNow()
	if answer.Body != nil {
		defer answer.Body.Close()
	}
	write := func(v any) {
		b, err := wire.Encode(v)
		is.NoErr(err)
		is.NoErr(ws.Write(ctx, websocket.MessageBinary, b))
	}
	write(wire.Frame{From: "b", Hello: &wire.Hello{Info: wire.InstanceInfo{ID: "b"}, Protocol: wire.Protocol}})
	await(t, a.in.connected, "connection")
	write(struct {
		From  string `cbor:"from"`
		Drain struct {
			Instance string `cbor:"instance"`
			AtOnce   bool   `cbor:"atOnce"`
		} `cbor:"drain"`
	}{From: "b"})
	for {
		_, data, err := ws.Read(ctx)
		is.NoErr(err)
		var f wire.Frame
		is.NoErr(wire.Decode(data, &f))
		if f.Refusal != nil {
			is.True(strings.Contains(f.Refusal.Reason, "unknown field"))
			break
		}
	}
	is.Equal(await(t, a.in.lost, "loss"), "b")
	is.Equal(len(a.in.frames), 0)
}

var _ Handler = (*inbox)(nil)

// TestBlockedWrites connects to a server that reads nothing, so that writes block once buffers are full.
func TestBlockedWrites(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	blocked := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		hello, _ := wire.Encode(wire.Frame{From: "b", Hello: &wire.Hello{Info: wire.InstanceInfo{ID: "b"}, Protocol: wire.Protocol}})
		_ = ws.Write(r.Context(), websocket.MessageBinary, hello)
		once.Do(func() { close(blocked) })
		<-r.Context().Done()
	}))
	defer server.Close()
	a := newEnd(t, "a")
	a.net.Join(strings.TrimPrefix(server.URL, "http://"))
	await(t, blocked, "server")
	is.Equal(await(t, a.in.connected, "connection"), "b")
	big := &wire.ConfigUpdate{Set: wire.Declarations{Pipelines: []wire.Pipeline{{Name: strings.Repeat("x", 1<<20)}}}}
	for range 64 {
		a.net.Send("b", wire.Frame{Config: big})
	}
	is.Equal(await(t, a.in.lost, "loss"), "b")
}

// TestLostInstanceIsNotReached follows an instance that is connected, lost, and there again.
func TestLostInstanceIsNotReached(t *testing.T) {
	is := is.New(t)
	a, b := newEnd(t, "a"), newEnd(t, "b")
	is.True(a.net.IsReachable("b")) // nothing speaks against it yet
	r := newRelay(t, b.address())
	a.net.Join(r.address)
	await(t, a.in.connected, "connection")
	is.True(a.net.IsReachable("b"))
	r.freeze(true, true)
	await(t, a.in.lost, "loss")
	is.True(!a.net.IsReachable("b"))
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, a.in.connected, "new connection")
	is.True(a.net.IsReachable("b"))
}
