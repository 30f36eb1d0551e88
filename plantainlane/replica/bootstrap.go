package replica

import (
	"strings"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/journal"
)

// founderSuffix follows the instance ID in the replica ID of a founder, an instance whose replica is one of the first
// voters of a new log. The ID is fixed instead of random, so that each founder can compute the IDs of the others.
const founderSuffix = "/first"

// BootstrapVoters creates a new log in the data folder of a founder. The founders' replicas are its first voters, so
// every founder must call BootstrapVoters with the same instance IDs. A folder that already holds a replica is left
// unchanged. It returns errors of the file system, journal.ErrDamaged and journal.ErrInUse.
func BootstrapVoters(path, instance string, founders []string) error {
	folder, err := journal.OpenFolder(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	replica := instance + founderSuffix
	done := make(chan journal.Synced, 1)
	j, stored, err := journal.Open(folder, instance, func(s journal.Synced) { done <- s }, journal.WithReplica(replica))
	if err != nil {
		return err
	}
	defer j.Close()
	if stored.Replica != replica || !isEmpty(stored) {
		return nil
	}
	voters := make([]string, 0, len(founders))
	for _, founder := range founders {
		voters = append(voters, founder+founderSuffix)
	}
	start, err := consensus.BootstrapVoters(voters, "log-"+strings.Join(founders, "+"))
	if err != nil {
		return err
	}
	j.Write(journal.Batch{Number: 1, HardState: &start.HardState, Entries: start.Entries})
	return (<-done).Err
}
