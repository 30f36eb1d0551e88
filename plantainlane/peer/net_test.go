package peer

import (
	"context"
	"net"
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

// secret is the peer credential of the tests' instances.
const secret = "0123456789abcdef"

// testTimeout is the maximum wait for an expected event. It is far longer than any event should take, so that a slow
// machine doesn't fail the tests.
const testTimeout = 30 * time.Second

// clock is a hybrid logical clock that runs on the time of the machine.
type clock struct{ timeline.Clock }

func (c *clock) Stamp() wire.HLC    { return c.Now(time.Now()) }
func (c *clock) Observe(h wire.HLC) { c.Clock.Observe(time.Now(), h) }

// recorder is a Handler that passes received frames, new connections and losses to channels.
type recorder struct {
	connected, lost chan string
	frames          chan wire.Frame
}

func newRecorder() *recorder {
	return &recorder{make(chan string, 100), make(chan string, 100), make(chan wire.Frame, 1000)}
}

func (r *recorder) Frame(f wire.Frame)               { r.frames <- f }
func (r *recorder) Connected(info wire.InstanceInfo) { r.connected <- info.ID }
func (r *recorder) Lost(id string)                   { r.lost <- id }

// await returns the next value of a channel. It fails the test after testTimeout; event names what was expected.
func await[T any](t *testing.T, c <-chan T, event string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", event)
		panic("unreachable")
	}
}

// testInstance is a Net with its server and the recorder that is its Handler.
type testInstance struct {
	net      *Net
	recorder *recorder
	server   *httptest.Server
}

// newTestInstance starts a Net and its server. Both are stopped at the end of the test.
func newTestInstance(t *testing.T, id string) *testInstance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timing := Timing{Heartbeat: 20 * time.Millisecond, SilentAfter: 200 * time.Millisecond, Redial: 10 * time.Millisecond, Unused: time.Minute}
	i := &testInstance{recorder: newRecorder()}
	i.net = New(ctx, wire.InstanceInfo{ID: id, Incarnation: 1}, secret, timing, i.recorder, &clock{})
	i.server = httptest.NewServer(i.net)
	t.Cleanup(func() {
		cancel()
		i.net.Wait()
		i.server.Close()
	})
	return i
}

// useSilentAfter sets for how long nothing may be received on a connection of any of the instances. It must be called before
// the first connection.
func useSilentAfter(limit time.Duration, instances ...*testInstance) {
	for _, i := range instances {
		i.net.timing.SilentAfter = limit
	}
}

// address returns the host and port of the instance's server.
func (i *testInstance) address() string {
	return strings.TrimPrefix(i.server.URL, "http://")
}

// TestSilentConnectionIsReplaced guards against instances that keep using a connection on which one or both directions
// drop all data without an error. Both ends must report the loss, and a new connection must deliver frames.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct{ toServer, toClient bool }{
		"both directions": {true, true},
		"to the server":   {true, false},
		"to the client":   {false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
			r := newRelay(t, b.address())
			a.net.Join(r.address)
			is.Equal(await(t, a.recorder.connected, "connection"), "b")
			is.Equal(await(t, b.recorder.connected, "connection"), "a")

			r.dropData(tt.toServer, tt.toClient)
			is.Equal(await(t, a.recorder.lost, "loss at the client"), "b")
			is.Equal(await(t, b.recorder.lost, "loss at the server"), "a")

			a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: r.address}})
			is.Equal(await(t, a.recorder.connected, "new connection"), "b")
			a.net.Send("b", wire.Frame{Call: 7, Drain: &wire.DrainOrder{Instance: "b"}})
			f := await(t, b.recorder.frames, "frame")
			is.Equal(f.Call, 7)
			is.Equal(f.From, "a")
		})
	}
}

// TestJoinIsRetriedSoon guards against instances that start together and miss each other by some milliseconds: they must not be
// apart for the whole redial pause.
func TestJoinIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	a.net.timing.Redial = time.Hour
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	a.net.Join(address)
	time.Sleep(10 * time.Millisecond)
	late, err := net.Listen("tcp", address)
	is.NoErr(err)
	server := &http.Server{Handler: b.net, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(late) }()
	t.Cleanup(func() { _ = server.Close() })
	is.Equal(await(t, a.recorder.connected, "connection"), "b")
}

// TestSendOpensConnectionAndDeliversFrame sends to an instance without a connection. The frame must wait until the
// connection is open, and must not be dropped.
func TestSendOpensConnectionAndDeliversFrame(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	a.net.SetAddress(wire.InstanceInfo{ID: "b", PeerAddress: b.address()})
	a.net.Send("b", wire.Frame{Call: 7, Drain: &wire.DrainOrder{}})
	is.Equal(await(t, b.recorder.frames, "frame").Call, 7)
}

// TestUnusedConnectionIsClosed guards against connections that stay open, and take memory and heartbeats, after the
// other instance has ceased to be a neighbor.
func TestUnusedConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	a.net.timing.Unused = 0
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, a.recorder.connected, "connection")
	await(t, b.recorder.connected, "connection")
	a.net.SetNeighbors(nil)
	is.Equal(await(t, a.recorder.lost, "loss"), "b")
	is.Equal(await(t, b.recorder.lost, "loss"), "a")
}

// TestFramesArriveOnceInOrder guards against frames of one connection that are lost, repeated or reordered, and against
// times of the hybrid logical clock that don't increase from frame to frame.
func TestFramesArriveOnceInOrder(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	useSilentAfter(30*time.Second, a, b) // frames of a connection that ends are lost
	a.net.Join(b.address())
	await(t, a.recorder.connected, "connection")
	for i := range 500 {
		a.net.Send("b", wire.Frame{Call: i + 1, Drain: &wire.DrainOrder{}})
	}
	last := wire.HLC{}
	for i := range 500 {
		f := await(t, b.recorder.frames, "frame")
		is.Equal(f.Call, i+1)
		is.True(timeline.Compare(f.Time, last) > 0)
		last = f.Time
	}
}

// TestWrongCredentialIsRefused guards against clients that connect as instances without the peer credential.
func TestWrongCredentialIsRefused(t *testing.T) {
	is := is.New(t)
	a := newTestInstance(t, "a")
	for _, header := range []string{"", "Bearer ", "Bearer wrong", secret} {
		req, err := http.NewRequest(http.MethodGet, a.server.URL+Path, http.NoBody)
		is.NoErr(err)
		req.Header.Set("Authorization", header)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusUnauthorized)
	}
	is.Equal(len(a.recorder.connected), 0)
}

// TestFrameWithUnknownFieldIsRefused guards against decoding and applying only a part of a frame from a newer version.
// The sender must be told the reason, and the connection must end.
func TestFrameWithUnknownFieldIsRefused(t *testing.T) {
	is := is.New(t)
	a := newTestInstance(t, "a")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	await(t, a.recorder.connected, "connection")
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
	is.Equal(await(t, a.recorder.lost, "loss"), "b")
	is.Equal(len(a.recorder.frames), 0)
}

var _ Handler = (*recorder)(nil)

// TestBlockedWriteClosesConnection connects to a server that reads nothing, so that writes block when the buffers are
// full. A blocked write must end the connection; otherwise frames would be queued for an instance that reads none.
func TestBlockedWriteClosesConnection(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	accepted := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		hello, _ := wire.Encode(wire.Frame{From: "b", Hello: &wire.Hello{Info: wire.InstanceInfo{ID: "b"}, Protocol: wire.Protocol}})
		_ = ws.Write(r.Context(), websocket.MessageBinary, hello)
		once.Do(func() { close(accepted) })
		<-r.Context().Done()
	}))
	defer server.Close()
	a := newTestInstance(t, "a")
	a.net.Join(strings.TrimPrefix(server.URL, "http://"))
	await(t, accepted, "server")
	is.Equal(await(t, a.recorder.connected, "connection"), "b")
	big := &wire.ConfigUpdate{Set: wire.Declarations{Pipelines: []wire.Pipeline{{Name: strings.Repeat("x", 1<<20)}}}}
	for range 64 {
		a.net.Send("b", wire.Frame{Config: big})
	}
	is.Equal(await(t, a.recorder.lost, "loss"), "b")
}

// TestLostInstanceIsNotReachable checks IsReachable before the first connection to an instance, while it is connected,
// after the loss, and after the next connection.
func TestLostInstanceIsNotReachable(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	useSilentAfter(2*time.Second, a, b) // on a busy machine a shorter one also ends connections that are used
	is.True(a.net.IsReachable("b"))     // no connection was lost or failed yet
	r := newRelay(t, b.address())
	a.net.Join(r.address)
	await(t, a.recorder.connected, "connection")
	is.True(a.net.IsReachable("b"))
	r.dropData(true, true)
	await(t, a.recorder.lost, "loss")
	is.True(!a.net.IsReachable("b"))
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, a.recorder.connected, "new connection")
	is.True(a.net.IsReachable("b"))
}

// TestWaitingHandlerMakesInstanceDeaf guards against an instance that no longer hears another one because the handler of
// one of its frames waits for good, while heartbeats keep the connection open.
func TestWaitingHandlerMakesInstanceDeaf(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
	waits := make(chan struct{})
	defer close(waits)
	a.net.handler = &waitingHandler{a.recorder, waits}
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, a.recorder.connected, "connection")
	await(t, b.recorder.connected, "connection")
	b.net.Send("a", wire.Frame{Call: 1, Drain: &wire.DrainOrder{}})
	b.net.Send("a", wire.Frame{Call: 2, Drain: &wire.DrainOrder{}})
	time.Sleep(2 * a.net.timing.SilentAfter)
	is.Equal(len(a.recorder.frames), 0)
	a.net.Reconnect("b")
	is.Equal(await(t, a.recorder.lost, "loss"), "b")
	is.Equal(await(t, b.recorder.lost, "loss at the other end"), "a")
	a.net.SetNeighbors([]wire.InstanceInfo{{ID: "b", PeerAddress: b.address()}})
	await(t, b.recorder.connected, "new connection")
	b.net.Send("a", wire.Frame{Call: 3, Drain: &wire.DrainOrder{}})
	is.Equal(await(t, a.recorder.frames, "frame").Call, 3)
}

// waitingHandler is a recorder whose handling of call 1 ends only when waits is closed.
type waitingHandler struct {
	*recorder
	waits chan struct{}
}

func (h *waitingHandler) Frame(f wire.Frame) {
	if f.Call == 1 {
		<-h.waits
		return
	}
	h.recorder.Frame(f)
}
