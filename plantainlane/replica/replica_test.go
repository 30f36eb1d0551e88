package replica

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/journal"
)

// recordingStorage is a Storage that records batches and never reports them as durable.
type recordingStorage struct{ batches []journal.Batch }

func (k *recordingStorage) Write(b journal.Batch) { k.batches = append(k.batches, b) }

// TestFailedStorageStopsReplica guards against a replica that still leads, sends messages or accepts commands while its
// storage fails, and against one that doesn't go on when the storage works again.
func TestFailedStorageStopsReplica(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	start, err := consensus.Bootstrap("a/1", "log")
	is.NoErr(err)
	storage, mailbox := &recordingStorage{}, NewMailbox()
	r, err := New(consensus.Config{ID: "a/1"}, start, storage, mailbox, now)
	is.NoErr(err)
	for range 3 {
		r.Tick(now)
		r.TakeOutput(now)
		mailbox.Synced(journal.Synced{Batch: len(storage.batches)})
	}
	is.True(r.Leadership().Self)
	_, ok := r.Propose([]byte("x"), now)
	is.True(ok)
	r.TakeOutput(now)

	mailbox.Synced(journal.Synced{Batch: len(storage.batches) - 1, Err: errors.Mark(errors.New("no space"), journal.ErrFailed)})
	r.Tick(now)
	is.Equal(r.TakeOutput(now), control.LogOutput{})
	is.Equal(r.Leadership(), control.Leadership{})
	is.True(!r.ConfirmedSince(time.Time{}))
	id, _ := r.Identity()
	is.Equal(id, "")
	_, ok = r.Propose([]byte("y"), now)
	is.True(!ok)

	mailbox.Synced(journal.Synced{Batch: len(storage.batches)})
	r.Tick(now)
	id, _ = r.Identity()
	is.Equal(id, "a/1")
	_, ok = r.Propose([]byte("z"), now)
	is.True(ok)
}
