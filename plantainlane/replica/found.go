package replica

import (
	"strings"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/journal"
)

// firstReplica follows the instance ID in the replica IDs of a log's founders.
const firstReplica = "/first"

// BootstrapVoters begins a new log whose first voters are the replicas of the named instances, each of which calls
// BootstrapVoters with the same names. A folder that holds a replica already stays as it is.
func BootstrapVoters(path, instance string, founders []string) error {
	folder, err := journal.OpenFolder(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	self := instance + firstReplica
	done := make(chan journal.Synced, 1)
	j, stored, err := journal.Open(folder, instance, func(s journal.Synced) { done <- s }, journal.WithReplica(self))
	if err != nil {
		return err
	}
	defer j.Close()
	if stored.Replica != self || !isEmpty(stored) {
		return nil
	}
	voters := make([]string, 0, len(founders))
	for _, f := range founders {
		voters = append(voters, f+firstReplica)
	}
	start, err := consensus.BootstrapVoters(voters, "log-"+strings.Join(founders, "+"))
	if err != nil {
		return err
	}
	j.Write(journal.Batch{Number: 1, HardState: &start.HardState, Entries: start.Entries})
	return (<-done).Err
}
