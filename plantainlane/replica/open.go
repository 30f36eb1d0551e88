package replica

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/journal"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// ErrNotEmpty reports a data folder that already belongs to a log.
var ErrNotEmpty = errors.New("replica: data folder already belongs to a log")

// logIDBytes is the number of random bytes in the ID of a new log.
const logIDBytes = 8

// Opened is a replica whose storage is a data folder.
type Opened struct {
	*Replica
	// State is the state that the newest snapshot holds; empty if there is no snapshot.
	State *state.State
	// Applied is the index of the last log entry that State includes.
	Applied int
	// KnownInstances holds the instances that the snapshot and the stored log entries register, committed or not. Their
	// addresses let the replicas find each other after all instances restarted.
	KnownInstances []wire.InstanceInfo

	journal *journal.Journal
	folder  *journal.Folder
}

// Open opens the replica in a data folder, which is created if it doesn't exist. The ID in cfg is replaced by the
// replica ID of the folder. Besides errors of the file system it returns journal.ErrDamaged, journal.ErrInUse and
// consensus.ErrCorrupt.
func Open(path, instance string, cfg consensus.Config, now time.Time) (*Opened, error) {
	folder, err := journal.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	o, err := open(folder, instance, cfg, now)
	if err != nil {
		_ = folder.Close()
		return nil, errors.Wrapf(err, "data folder %s", path)
	}
	return o, nil
}

// open opens the replica in a locked folder, which the caller closes on an error.
func open(folder *journal.Folder, instance string, cfg consensus.Config, now time.Time) (*Opened, error) {
	mailbox := NewMailbox()
	j, stored, err := journal.Open(folder, instance, mailbox.Synced)
	if err != nil {
		return nil, err
	}
	o := &Opened{State: &state.State{}, Applied: stored.Start.Snapshot.Index, journal: j, folder: folder}
	cfg.ID = stored.Replica
	if o.Replica, err = New(cfg, stored.Start, j, mailbox, now); err != nil {
		j.Close()
		return nil, err
	}
	if o.Applied > 0 {
		if o.State, err = state.Decode(stored.Start.Snapshot.Data); err != nil {
			j.Close()
			return nil, err
		}
	}
	o.KnownInstances = registeredInstances(o.State, stored.Start.Entries)
	return o, nil
}

// registeredInstances returns the instances that a state and the entries after it register. Entries that can't be
// decoded are skipped.
func registeredInstances(s *state.State, entries []wire.LogEntry) []wire.InstanceInfo {
	var out []wire.InstanceInfo
	for _, i := range s.Instances.All() {
		out = append(out, i)
	}
	for _, e := range entries {
		var cmd wire.Command
		if e.Kind == consensus.KindCommand && wire.Decode(e.Data, &cmd) == nil && cmd.Register != nil {
			out = append(out, *cmd.Register)
		}
	}
	return out
}

// Close writes the queued batches and unlocks the folder.
func (o *Opened) Close() error {
	o.journal.Close()
	return o.folder.Close()
}

// isEmpty reports whether a folder belongs to no log yet.
func isEmpty(s journal.Stored) bool {
	return s.Start.HardState == (consensus.HardState{}) && s.Start.Snapshot.Index == 0 && len(s.Start.Entries) == 0
}

// Bootstrap creates a new log with a single voter in an empty data folder. It returns the ID of the voter's replica, or
// ErrNotEmpty if the folder already belongs to a log.
func Bootstrap(path, instance string) (string, error) {
	folder, err := journal.OpenFolder(path)
	if err != nil {
		return "", err
	}
	defer folder.Close()
	done := make(chan journal.Synced, 1)
	j, stored, err := journal.Open(folder, instance, func(s journal.Synced) { done <- s })
	if err != nil {
		return "", err
	}
	defer j.Close()
	if !isEmpty(stored) {
		return "", errors.Wrapf(ErrNotEmpty, "%s", path)
	}
	random := make([]byte, logIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	start, err := consensus.Bootstrap(stored.Replica, hex.EncodeToString(random))
	if err != nil {
		return "", err
	}
	j.Write(journal.Batch{Number: 1, HardState: &start.HardState, Entries: start.Entries})
	return stored.Replica, (<-done).Err
}
