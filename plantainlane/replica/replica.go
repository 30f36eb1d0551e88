// Package replica runs one replica of the control log: it connects the consensus node to durable storage. No method
// waits for the storage. The storage reports to the replica's Mailbox, whose signal on Wake asks the control goroutine
// to call Tick.
package replica

import (
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/journal"
	"plantainlane/wire"
)

// Storage makes batches durable, in order, and reports to the replica's Mailbox. It must not block.
type Storage interface {
	Write(b journal.Batch)
}

// Replica implements control.Log. Only the control goroutine may use it.
type Replica struct {
	id      string
	node    *consensus.Node
	storage Storage
	mailbox *Mailbox
	// encoding is set while a snapshot is being encoded.
	encoding bool
	// failed is set while the storage fails. Until it works again the replica sends nothing and accepts nothing, so that others take
	// over and what waits for the storage stays bounded. Nothing that it has promised is lost: votes and entries are acknowledged
	// once they are stored.
	failed bool
}

var _ control.Log = (*Replica)(nil)

// New returns a replica that continues from start, which the storage s holds. The storage must report to m. It returns
// consensus.ErrCorrupt if start is inconsistent.
func New(cfg consensus.Config, start consensus.Start, s Storage, m *Mailbox, now time.Time, opts ...consensus.Option) (*Replica, error) {
	node, err := consensus.New(cfg, start, now, opts...)
	if err != nil {
		return nil, err
	}
	return &Replica{id: cfg.ID, node: node, storage: s, mailbox: m}, nil
}

// Wake returns a channel that delivers when the mailbox has reports for Tick.
func (r *Replica) Wake() <-chan struct{} { return r.mailbox.wake }

// Propose appends a command and returns its index. It returns false if this replica doesn't lead, can't accept the
// command now, or its storage fails.
func (r *Replica) Propose(data []byte, _ time.Time) (int, bool) {
	if r.failed {
		return 0, false
	}
	index, err := r.node.Propose(data)
	return index, err == nil
}

// Step handles a message from another replica.
func (r *Replica) Step(m wire.ConsensusMessage, now time.Time) {
	if r.failed {
		return
	}
	if err := r.node.Step(m, now); err != nil {
		klog.V(1).InfoS("consensus message rejected", "from", m.From, "kind", m.Kind, "err", err)
	}
}

// Tick handles the reports of the storage and of the snapshot encoder, then runs the node's timers.
func (r *Replica) Tick(now time.Time) {
	reports := r.mailbox.takeReports()
	if reports.snapshot != nil {
		r.finishSnapshot(*reports.snapshot)
	}
	switch hasFailed := reports.synced.Err != nil; {
	case hasFailed && !r.failed:
		klog.ErrorS(reports.synced.Err, "replica stopped, its storage fails", "leader", r.node.Status().Leader)
	case !hasFailed && r.failed:
		klog.InfoS("replica goes on, its storage works again")
	}
	r.failed = reports.synced.Err != nil
	if r.failed {
		return
	}
	r.node.Persisted(reports.synced.Batch, now)
	r.node.Tick(now)
}

// finishSnapshot hands an encoded snapshot to the node, which compacts the log in memory and returns the snapshot in
// its next batch. A snapshot that isn't newer than the node's is ignored.
func (r *Replica) finishSnapshot(snapshot encodedSnapshot) {
	r.encoding = false
	err := snapshot.err
	if err == nil {
		err = r.node.Compact(snapshot.index, snapshot.data)
	}
	if err != nil && !errors.Is(err, consensus.ErrCompacted) {
		klog.ErrorS(err, "log not compacted", "index", snapshot.index)
	}
}

// TakeOutput queues the node's new batches at the storage and returns the messages, committed entries and installed
// snapshot that are new since the previous call. Entries committed before an installed snapshot are left out, since the
// snapshot covers them.
func (r *Replica) TakeOutput(now time.Time) control.LogOutput {
	var out control.LogOutput
	for !r.failed {
		ready := r.node.Ready(now)
		if ready.IsEmpty() {
			break
		}
		if ready.Batch != 0 {
			r.storage.Write(journal.Batch{
				Number: ready.Batch, HardState: ready.HardState, Snapshot: ready.Snapshot, Install: ready.Install, Entries: ready.Entries,
			})
		}
		if ready.Install {
			out.Restored, out.Committed = ready.Snapshot, nil
		}
		out.Messages = append(out.Messages, ready.Messages...)
		out.Committed = append(out.Committed, ready.Committed...)
	}
	out.LostElection = r.node.TakeLostElection()
	return out
}

// Leadership returns the known leader; empty while none is known and while the storage fails.
func (r *Replica) Leadership() control.Leadership {
	if r.failed {
		return control.Leadership{}
	}
	s := r.node.Status()
	return control.Leadership{Replica: s.Leader, Term: s.Term, Self: s.LeaderReady}
}

// ConfirmedSince reports whether this replica leads and a quorum confirmed a round of heartbeats that started at t or
// later.
func (r *Replica) ConfirmedSince(t time.Time) bool {
	return !r.failed && !r.node.ConfirmedAt().Before(t)
}

// Compact calls encode, which returns a snapshot of the state after the entry at index, on another goroutine. A later
// Tick then compacts the log up to index, except for consensus.Config.KeepEntries. Compact does nothing while another
// snapshot is being encoded.
func (r *Replica) Compact(index int, encode func() ([]byte, error)) {
	if r.encoding || r.failed {
		return
	}
	r.encoding = true
	go func() {
		data, err := encode()
		r.mailbox.snapshotEncoded(encodedSnapshot{index: index, data: data, err: err})
	}()
}

// Replicas returns the newest membership in the log.
func (r *Replica) Replicas() wire.ReplicaSet { return r.node.Status().Replicas }

// ReplicaStatuses returns the leader's view of all replicas; nil if this replica doesn't lead.
func (r *Replica) ReplicaStatuses(now time.Time) []consensus.ReplicaStatus {
	if r.failed {
		return nil
	}
	return r.node.ReplicaStatuses(now)
}

// ProposeReplicas appends a membership. It returns an error if this replica doesn't lead, its storage fails, or the
// membership isn't one valid step from the current one.
func (r *Replica) ProposeReplicas(set wire.ReplicaSet, now time.Time) error {
	if r.failed {
		return consensus.ErrNotLeader
	}
	_, err := r.node.ProposeReplicas(set, now)
	return err
}

// Transfer starts a leader transfer to the most up-to-date other voter, if there is one. A failure is only logged.
func (r *Replica) Transfer(now time.Time) {
	to := r.node.Successor(now)
	if r.failed || to == "" {
		return
	}
	if err := r.node.Transfer(to, now); err != nil {
		klog.V(1).InfoS("leader transfer not started", "to", to, "err", err)
	}
}

// Identity returns the replica ID and the ID of its log. The log ID is empty for a new replica; both are empty while the
// storage fails.
func (r *Replica) Identity() (replica, log string) {
	if r.failed {
		return "", ""
	}
	return r.id, r.node.Status().Log
}
