package control

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// scaleCluster is a cluster of many control cores. Frames between the cores are encoded, counted and delivered within a
// tick.
type scaleCluster struct {
	cores    []*Core
	limiters []*limit.Limiter
	// index holds the index of each core by instance ID.
	index map[string]int
	now   time.Time
	// bytes is the number of bytes that each core sent, and busy the time that each core spent.
	bytes []int
	busy  []time.Duration
	// inbox holds the inputs of the next step of each core.
	inbox [][]Input
	// connections holds the open connections as pairs of core indexes, the lower index first.
	connections map[[2]int]bool
}

const scaleZones = 10

func scaleID(i int) string { return fmt.Sprintf("instance-%03d", i) }

// newScaleCluster returns a cluster whose first instance leads and is connected to all others.
func newScaleCluster(instances, workspaces int) *scaleCluster {
	s := &scaleCluster{
		index: make(map[string]int), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		bytes: make([]int, instances), busy: make([]time.Duration, instances), inbox: make([][]Input, instances),
		connections: make(map[[2]int]bool),
	}
	st := &state.State{}
	st.Config = st.Config.With(scaleDeclarations(workspaces), nil, 1)
	for i := range instances {
		l := limit.New(s.now)
		opts := []Option{WithLimiter(l), WithSeed(uint64(i))}
		if i == 0 {
			opts = append(opts, WithLog(NewSolo(scaleID(0), 1), st, 0))
		}
		info := wire.InstanceInfo{
			ID: scaleID(i), Incarnation: 1_780_000_000_000, Zone: "zone-" + strconv.Itoa(i%scaleZones), Region: "region",
			CallerAddress: "10.0.0.1:7001", UpstreamAddress: "10.0.0.1:7002", OperatorAddress: "10.0.0.1:7003", PeerAddress: "10.0.0.1:7004",
		}
		c := New(info, opts...)
		// Every core has the whole configuration from the start, since the benchmark measures the steady state.
		c.applyConfig(st.Config)
		s.cores, s.limiters = append(s.cores, c), append(s.limiters, l)
		s.index[info.ID] = i
	}
	// Every core connects to the leader, as an instance does by an address in its settings.
	for i := 1; i < instances; i++ {
		s.connect(0, i)
	}
	return s
}

// connect opens a connection between two cores, unless there is one.
func (s *scaleCluster) connect(i, j int) {
	pair := [2]int{min(i, j), max(i, j)}
	if s.connections[pair] {
		return
	}
	s.connections[pair] = true
	s.inbox[i] = append(s.inbox[i], PeerConnected{Info: s.cores[j].self})
	s.inbox[j] = append(s.inbox[j], PeerConnected{Info: s.cores[i].self})
}

// countHeartbeats adds the bytes of one second of heartbeats. On each connection both ends send a heartbeat and an
// answer every half second.
func (s *scaleCluster) countHeartbeats() {
	frame, _ := wire.Encode(wire.Frame{
		From: scaleID(0), Incarnation: 1_780_000_000_000, Time: wire.HLC{WallMs: 1_780_000_000_000},
		Heartbeat: &wire.Heartbeat{Sequence: 1000},
	})
	for pair := range s.connections {
		s.bytes[pair[0]] += 4 * len(frame)
		s.bytes[pair[1]] += 4 * len(frame)
	}
}

// scaleDeclarations returns one pipeline and a contract for each workspace.
func scaleDeclarations(workspaces int) wire.Declarations {
	set := wire.Declarations{Pipelines: []wire.Pipeline{{Name: "p", Stages: []wire.Stage{{Name: "s", Service: "s", Path: "/run", DeadlineShare: 1}}}}}
	for i := range workspaces {
		set.Contracts = append(set.Contracts, wire.Contract{
			Workspace: "workspace-" + strconv.Itoa(i), Pipelines: []string{"p"}, Models: []string{},
			Keys: []wire.ContractKey{{ID: "k", Sha256: fmt.Sprintf("%064x", i)}},
			Rate: wire.Rate{PerSecond: 100, Burst: 100}, Tokens: wire.Rate{PerSecond: 1000, Burst: 1000}, Concurrency: 100,
			DefaultDeadlineMs: 1000, MaxDeadlineMs: 6000, MaxBodyBytes: 1 << 20, MaxResultBytes: 1 << 16, Budget: wire.Budget{PeriodHours: 720},
		})
	}
	return set
}

// scaleAnnouncement returns an announcement whose zone follows from the upstream and whose load from the sequence.
func scaleAnnouncement(upstream, sequence int) wire.Announcement {
	return wire.Announcement{
		ID: "upstream-" + strconv.Itoa(upstream), Incarnation: 1_780_000_000_000, Sequence: sequence, Service: "writer",
		Zone: "zone-" + strconv.Itoa(upstream%scaleZones), Region: "region", Address: "10.0.1.1:9000", Capacity: 16,
		Models: []string{"phrase@7"}, Adapters: []string{}, Role: "both", TTLMs: 15_000,
		Load: wire.UpstreamLoad{InFlight: sequence % 16, Queued: sequence % 3, FreeBlocks: 1000 - sequence%100},
	}
}

// announce puts the announcement of an upstream in the inbox of core i.
func (s *scaleCluster) announce(i, upstream, sequence int) {
	a := scaleAnnouncement(upstream, sequence)
	s.inbox[i] = append(s.inbox[i], UpstreamAnnounced{Announcement: a, Credential: "c", Reply: make(chan error, 1)})
}

// tick steps every core once, and up to two more times each core that received frames. It counts the time and bytes of
// each core.
func (s *scaleCluster) tick() {
	for round := range 3 {
		for i, c := range s.cores {
			in := s.inbox[i]
			s.inbox[i] = nil
			if round > 0 && len(in) == 0 {
				continue
			}
			start := time.Now()
			out := c.Step(s.now, in...)
			frames := make([][]byte, len(out))
			for k := range out {
				frames[k], _ = wire.Encode(out[k].Frame)
			}
			c.View()
			c.TakeUpstreams()
			s.busy[i] += time.Since(start)
			for k, o := range out {
				s.deliver(i, s.index[o.To], frames[k])
			}
		}
	}
	s.now = s.now.Add(100 * time.Millisecond)
}

// deliver decodes a frame and puts it in the inbox of core to, counting the bytes and the time.
func (s *scaleCluster) deliver(from, to int, frame []byte) {
	s.bytes[from] += len(frame)
	start := time.Now()
	var f wire.Frame
	if err := wire.Decode(frame, &f); err != nil {
		panic(err)
	}
	s.busy[to] += time.Since(start)
	s.inbox[to] = append(s.inbox[to], FrameReceived{Frame: f})
}

// runSecond simulates second n. In each second one of five upstreams renews its announcement, and each instance is
// offered one request for each of its active workspaces.
func (s *scaleCluster) runSecond(n, upstreams, active int) {
	for i, c := range s.cores {
		for _, other := range c.Neighbors() {
			s.connect(i, s.index[other.ID])
		}
	}
	s.countHeartbeats()
	for t := range 10 {
		for u := t; u < upstreams; u += 10 {
			if (u/10+n)%5 == 0 {
				// The receiver is one of the instances in the zone of the upstream.
				s.announce(u%scaleZones+u/scaleZones%(len(s.cores)/scaleZones)*scaleZones, u, n+1)
			}
		}
		for i, l := range s.limiters {
			for k := t; k < active; k += 10 {
				if ticket, err := l.TryAdmit(s.now, limit.Request{Workspace: "workspace-" + strconv.Itoa((i*7+k*13+n)%250)}); err == nil {
					ticket.Done(s.now, limit.Usage{Tokens: 10})
				}
			}
		}
		s.tick()
	}
}

// BenchmarkControl reports the cost of the control state for the average follower and for the leader: processor time
// and sent bytes per second, including heartbeats, and heap. Upstreams announce to an instance of their availability
// zone.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ instances, upstreams, workspaces, active int }{
		{10, 50, 250, 0},
		{10, 50, 250, 85},
		{10, 50, 25_000, 0},
		{10, 1200, 250, 0},
		{40, 50, 250, 0},
		{40, 1200, 250, 0},
		{160, 50, 250, 0},
		{160, 4000, 25_000, 85},
		{460, 12_000, 25_000, 85},
	} {
		b.Run(fmt.Sprintf("instances=%d/upstreams=%d/workspaces=%d/active=%d", size.instances, size.upstreams, size.workspaces, size.active), func(b *testing.B) {
			s := newScaleCluster(size.instances, size.workspaces)
			for n := range 10 {
				s.runSecond(n, size.upstreams, size.active)
			}
			clear(s.bytes)
			clear(s.busy)
			n := 10
			for b.Loop() {
				s.runSecond(n, size.upstreams, size.active)
				n++
			}
			seconds := float64(n - 10)
			var busy time.Duration
			var bytes int
			for i := 1; i < len(s.cores); i++ {
				busy += s.busy[i]
				bytes += s.bytes[i]
			}
			others := float64(len(s.cores) - 1)
			b.ReportMetric(float64(busy.Microseconds())/others/seconds, "us-cpu/s")
			b.ReportMetric(float64(bytes)/others/seconds, "B/s")
			b.ReportMetric(float64(s.busy[0].Microseconds())/seconds, "leader-us-cpu/s")
			b.ReportMetric(float64(s.bytes[0])/seconds, "leader-B/s")
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/float64(len(s.cores))/1e6, "MB/instance")
		})
	}
}
