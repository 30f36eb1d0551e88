package replica

import (
	"sync"

	"plantainlane/plantainlane/journal"
)

// Mailbox keeps the reports of the storage and of the snapshot encoder until the replica's control goroutine takes
// them. It is safe for concurrent use.
type Mailbox struct {
	mu      sync.Mutex
	reports pendingReports
	// wake holds a signal if a report arrived since the channel was last read.
	wake chan struct{}
}

// pendingReports holds the newest report of each kind.
type pendingReports struct {
	// synced is how far the storage is durable. takeReports returns it each time.
	synced journal.Synced
	// snapshot is the newest result of encoding a snapshot, or nil if takeReports has returned it.
	snapshot *encodedSnapshot
}

// encodedSnapshot is an encoded snapshot of the state after index, or the error that encoding returned.
type encodedSnapshot struct {
	index int
	data  []byte
	err   error
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{wake: make(chan struct{}, 1)}
}

// Synced records a report of the storage, in place of the previous one.
func (m *Mailbox) Synced(s journal.Synced) {
	m.mu.Lock()
	m.reports.synced = s
	m.mu.Unlock()
	m.signal()
}

// snapshotEncoded records the result of encoding a snapshot.
func (m *Mailbox) snapshotEncoded(snapshot encodedSnapshot) {
	m.mu.Lock()
	m.reports.snapshot = &snapshot
	m.mu.Unlock()
	m.signal()
}

func (m *Mailbox) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeReports returns the newest reports, the result of encoding a snapshot only once.
func (m *Mailbox) takeReports() pendingReports {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.reports
	m.reports.snapshot = nil
	return out
}
