package batch

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/peer"
	"plantainlane/wire"
	"plantainlane/wire/timeline"
)

// wallClock is a hybrid logical clock on the time of the machine.
type wallClock struct{ timeline.Clock }

func (c *wallClock) Stamp() wire.HLC    { return c.Now(time.Now()) }
func (c *wallClock) Observe(h wire.HLC) { c.Clock.Observe(time.Now(), h) }

// connections is a peer.Handler that tells of new connections.
type connections chan string

func (connections) Frame(wire.Frame)                {}
func (c connections) Connected(i wire.InstanceInfo) { c <- i.ID }
func (connections) Lost(string)                     {}

// connectionBytes returns the live memory of one connection between two instances at one of its ends, in bytes.
func connectionBytes(t *testing.T) int {
	t.Helper()
	const count = 100
	ctx, cancel := context.WithCancel(context.Background())
	timing := peer.Timing{Heartbeat: time.Second, SilentAfter: 10 * time.Second, Redial: time.Second, Unused: time.Minute}
	connected := make(connections, 2*count)
	newNet := func(id string) *peer.Net {
		return peer.New(ctx, wire.InstanceInfo{ID: id, Incarnation: 1}, "0123456789abcdef", timing, connected, &wallClock{})
	}
	hub := newNet("hub")
	server := httptest.NewServer(hub)
	nets := []*peer.Net{hub}
	defer func() {
		cancel()
		for _, n := range nets {
			n.Wait()
		}
		server.Close()
	}()
	before := liveBytes()
	for i := range count {
		n := newNet(fmt.Sprint("instance-", i))
		nets = append(nets, n)
		n.Join(strings.TrimPrefix(server.URL, "http://"))
	}
	for range 2 * count {
		select {
		case <-connected:
		case <-time.After(30 * time.Second):
			t.Fatal("no connection")
		}
	}
	return (liveBytes() - before) / (2 * count)
}

// liveBytes returns the live memory of the process, in bytes.
func liveBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

const (
	// designInstances and designMemory are the number of instances and the memory of one, in bytes, to design for.
	designInstances = 460
	designMemory    = 128 << 20
	// connectionShare is the part of its memory that an instance may use for its connections to all others.
	connectionShare = 0.25
)

// TestConnectionsToAllInstancesFillMemory guards against connections that reserve memory for frames which don't wait.
func TestConnectionsToAllInstancesFillMemory(t *testing.T) {
	is := is.New(t)
	connection := connectionBytes(t)
	t.Logf("%d bytes a connection", connection)
	is.True(float64(designInstances*connection) <= connectionShare*designMemory)
}
