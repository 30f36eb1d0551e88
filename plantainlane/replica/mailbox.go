package replica

import (
	"sync"

	"plantainlane/plantainlane/journal"
)

// Mailbox keeps the news that other goroutines have for a replica. It is safe for concurrent use.
type Mailbox struct {
	mu   sync.Mutex
	news news
	wake chan struct{}
}

type news struct {
	synced journal.Synced
	image  *image
}

// image is an encoded snapshot of the state after index.
type image struct {
	index int
	data  []byte
	err   error
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{wake: make(chan struct{}, 1)}
}

// Synced takes a report of the storage.
func (m *Mailbox) Synced(s journal.Synced) {
	m.mu.Lock()
	m.news.synced = s
	m.mu.Unlock()
	m.signal()
}

func (m *Mailbox) finish(i image) {
	m.mu.Lock()
	m.news.image = &i
	m.mu.Unlock()
	m.signal()
}

func (m *Mailbox) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mailbox) take() news {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.news
	m.news.image = nil
	return out
}
