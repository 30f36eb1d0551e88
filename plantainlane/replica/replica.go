// Package replica runs one replica of the control log: agreement between replicas over durable storage.
// Calls never wait for the storage; it reports by message, and Wake then asks for another Tick.
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

// Replica is a control.Log. It is used by the control goroutine only.
type Replica struct {
	id      string
	node    *consensus.Node
	storage Storage
	mailbox *Mailbox
	// encoding is set while a snapshot is being encoded.
	encoding bool
	// failed is set once the storage failed. The replica then takes part in nothing any more: what it
	// promised may be lost.
	failed bool
}

var _ control.Log = (*Replica)(nil)

// New returns a replica over what its storage holds. The storage reports to the mailbox.
func New(cfg consensus.Config, start consensus.Start, s Storage, m *Mailbox, now time.Time, opts ...consensus.Option) (*Replica, error) {
	node, err := consensus.New(cfg, start, now, opts...)
	if err != nil {
		return nil, err
	}
	return &Replica{id: cfg.ID, node: node, storage: s, mailbox: m}, nil
}

// Wake delivers when there is news for Tick.
func (r *Replica) Wake() <-chan struct{} { return r.mailbox.wake }

// Propose appends a command on the leader.
func (r *Replica) Propose(data []byte, _ time.Time) (int, bool) {
	if r.failed {
		return 0, false
	}
	index, err := r.node.Propose(data)
	return index, err == nil
}

// Step takes a message from another replica.
func (r *Replica) Step(m wire.ConsensusMessage, now time.Time) {
	if r.failed {
		return
	}
	if err := r.node.Step(m, now); err != nil {
		klog.V(1).InfoS("consensus message refused", "from", m.From, "kind", m.Kind, "err", err)
	}
}

// Tick takes what the storage and the encoder report, and runs what time makes due.
func (r *Replica) Tick(now time.Time) {
	news := r.mailbox.take()
	if news.synced.Err != nil && !r.failed {
		r.failed = true
		klog.ErrorS(news.synced.Err, "replica stopped")
	}
	if r.failed {
		return
	}
	r.node.Persisted(news.synced.Batch, now)
	if news.image != nil {
		r.finishSnapshot(*news.image)
	}
	r.node.Tick(now)
}

func (r *Replica) finishSnapshot(i image) {
	r.encoding = false
	err := i.err
	if err == nil {
		err = r.node.Compact(i.index, i.data)
	}
	if err != nil && !errors.Is(err, consensus.ErrCompacted) {
		klog.ErrorS(err, "no snapshot", "index", i.index)
	}
}

// TakeOutput returns what came of the calls since the last one.
func (r *Replica) TakeOutput(now time.Time) control.LogOutput {
	var out control.LogOutput
	for !r.failed {
		rd := r.node.Ready(now)
		if rd.IsEmpty() {
			break
		}
		if rd.Batch != 0 {
			r.storage.Write(journal.Batch{
				Number: rd.Batch, HardState: rd.HardState, Snapshot: rd.Snapshot, Install: rd.Install, Entries: rd.Entries,
			})
		}
		if rd.Install {
			out.Restored, out.Committed = rd.Snapshot, nil
		}
		out.Messages = append(out.Messages, rd.Messages...)
		out.Committed = append(out.Committed, rd.Committed...)
	}
	return out
}

// Leadership tells who leads.
func (r *Replica) Leadership() control.Leadership {
	if r.failed {
		return control.Leadership{}
	}
	s := r.node.Status()
	return control.Leadership{Replica: s.Leader, Term: s.Term, Self: s.Ready}
}

// ConfirmedSince tells whether a quorum confirmed a round of this leader begun at or after t.
func (r *Replica) ConfirmedSince(t time.Time) bool {
	return !r.failed && !r.node.ConfirmedAt().Before(t)
}

// Compact encodes a snapshot on another goroutine, unless one is being encoded already.
func (r *Replica) Compact(index int, encode func() ([]byte, error)) {
	if r.encoding || r.failed {
		return
	}
	r.encoding = true
	go func() {
		data, err := encode()
		r.mailbox.finish(image{index: index, data: data, err: err})
	}()
}

// Replicas returns the newest membership in the log.
func (r *Replica) Replicas() wire.ReplicaSet { return r.node.Status().Replicas }

// ReplicaStatuses returns the replicas as the leader sees them; nil on other replicas.
func (r *Replica) ReplicaStatuses(now time.Time) []consensus.ReplicaStatus {
	if r.failed {
		return nil
	}
	return r.node.ReplicaStatuses(now)
}

// ProposeReplicas appends a membership.
func (r *Replica) ProposeReplicas(set wire.ReplicaSet, now time.Time) error {
	if r.failed {
		return consensus.ErrNotLeader
	}
	_, err := r.node.ProposeReplicas(set, now)
	return err
}

// Transfer hands leadership to the most up-to-date other voter.
func (r *Replica) Transfer(now time.Time) {
	to := r.node.Successor(now)
	if r.failed || to == "" {
		return
	}
	if err := r.node.Transfer(to, now); err != nil {
		klog.V(1).InfoS("no transfer", "to", to, "err", err)
	}
}

// Identity returns the replica ID, empty once the storage failed, and the ID of the log.
func (r *Replica) Identity() (replica, log string) {
	if r.failed {
		return "", ""
	}
	return r.id, r.node.Status().Log
}
