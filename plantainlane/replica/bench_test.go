package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/journal"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// singleReplica is a control goroutine with the only replica of a log, on a folder of the file system.
type singleReplica struct {
	opened *Opened
	loop   *control.Loop
	stop   context.CancelFunc
	done   chan struct{}
}

func startSingleReplica(b *testing.B, path string) *singleReplica {
	b.Helper()
	opened, err := Open(path, "i0", consensus.Config{}, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	info := wire.InstanceInfo{ID: "i0", Incarnation: int(time.Now().UnixNano()), HasData: true}
	core := control.New(info, control.WithVoters(1), control.WithLog(opened, opened.State, opened.Applied))
	ctx, cancel := context.WithCancel(context.Background())
	l := &singleReplica{opened: opened, stop: cancel, done: make(chan struct{})}
	l.loop = control.NewLoop(core, &member{}, noBalancer{}, opened.Wake())
	go func() {
		l.loop.Run(ctx)
		close(l.done)
	}()
	return l
}

func (l *singleReplica) close(b *testing.B) {
	l.stop()
	<-l.done
	if err := l.opened.Close(); err != nil {
		b.Fatal(err)
	}
}

// awaitLease waits until the instance holds a lease on a configuration of at least the given revision.
func (l *singleReplica) awaitLease(revision int) {
	for {
		v := l.loop.Publisher.View()
		if v.LeaseHeld(time.Now()) && v.Config.Revision >= revision {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// newFolder returns the path of a data folder with a new log that has a single voter.
func newFolder(b *testing.B) string {
	b.Helper()
	path := filepath.Join(b.TempDir(), "data")
	if _, err := Bootstrap(path, "i0"); err != nil {
		b.Fatal(err)
	}
	return path
}

// BenchmarkCommit measures commits per second with 1 and with 64 concurrent writers. Each writer waits for its commit
// before it proposes again.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(fmt.Sprint("writers=", writers), func(b *testing.B) {
			l := startSingleReplica(b, newFolder(b))
			defer l.close(b)
			l.awaitLease(0)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			done := make(chan struct{})
			b.ResetTimer()
			for range writers {
				go func() {
					for remaining.Add(-1) >= 0 {
						a := l.loop.Propose(context.Background(), wire.Command{Fencing: &wire.FencingAdvance{}})
						if !a.Committed {
							b.Error(a.Refusal)
						}
					}
					done <- struct{}{}
				}()
			}
			for range writers {
				<-done
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRestart measures the time from opening the folder until the instance holds a lease on the newest revision,
// with an empty log and with one of 10,000 changes.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{0, 10_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			path := newFolder(b)
			writeChanges(b, path, changes)
			var opening time.Duration
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				l := startSingleReplica(b, path)
				opening += time.Since(start)
				l.awaitLease(changes)
				b.StopTimer()
				l.close(b)
				b.StartTimer()
			}
			b.ReportMetric(float64(opening.Milliseconds())/float64(b.N), "open-ms")
		})
	}
}

// writeChanges writes a log of the given number of changes directly to the folder, with a snapshot every 4,096 entries
// (the default Timing.SnapshotEvery).
func writeChanges(b *testing.B, path string, changes int) {
	b.Helper()
	folder, err := journal.OpenFolder(path)
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	j, stored, err := journal.Open(folder, "i0", func(journal.Synced) {})
	if err != nil {
		b.Fatal(err)
	}
	defer j.Close()
	snapshotEvery := control.DefaultTiming().SnapshotEvery
	s := &state.State{}
	for i := range changes {
		c := &wire.ChangeSet{ChangeID: fmt.Sprint("c", i), BaseRevision: i, Set: policy(fmt.Sprint("service", i%100))}
		data, err := wire.Encode(wire.Command{Change: c})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Apply(wire.Command{Change: c}); err != nil {
			b.Fatal(err)
		}
		e := wire.LogEntry{Index: i + 2, Term: 1, Data: data}
		batch := journal.Batch{Number: i + 2, Entries: []wire.LogEntry{e}}
		if e.Index%snapshotEvery == 0 {
			encoded, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			voters := wire.ReplicaSet{Voters: []string{stored.Replica}, Learners: []string{}}
			j.Write(batch)
			batch = journal.Batch{Number: i + 2, Snapshot: &wire.Snapshot{Index: e.Index, Term: 1, Replicas: voters, Data: encoded}}
		}
		j.Write(batch)
	}
}

// BenchmarkApply measures how long one committed change of one contract takes to apply, with few and with many
// workspaces.
func BenchmarkApply(b *testing.B) {
	for _, workspaces := range []int{250, 25_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			s := &state.State{}
			contract := func(i int) wire.Declarations {
				return wire.Declarations{Contracts: []wire.Contract{{Workspace: fmt.Sprint("workspace", i), Models: []string{"m"}}}}
			}
			apply := func(n, workspace int) {
				c := &wire.ChangeSet{ChangeID: fmt.Sprint(n), BaseRevision: n, Set: contract(workspace)}
				if _, err := s.Apply(wire.Command{Change: c}); err != nil {
					b.Fatal(err)
				}
			}
			for i := range workspaces {
				apply(i, i)
			}
			b.ResetTimer()
			for i := range b.N {
				apply(workspaces+i, i%workspaces)
			}
		})
	}
}
