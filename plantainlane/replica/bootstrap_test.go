package replica

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/consensus"
)

// TestFoundersBootstrapSameLog guards against founders that create different logs: each founder bootstraps on its own,
// and again after a restart.
func TestFoundersBootstrapSameLog(t *testing.T) {
	is := is.New(t)
	founders := []string{"c", "a", "b"}
	var logs []string
	for _, id := range founders {
		folder := t.TempDir()
		is.NoErr(BootstrapVoters(folder, id, founders))
		is.NoErr(BootstrapVoters(folder, id, founders)) // a restart leaves the log unchanged
		o, err := Open(folder, id, consensus.Config{}, time.Now())
		is.NoErr(err)
		replica, log := o.Identity()
		is.Equal(replica, id+"/first")
		is.Equal(o.Replicas().Voters, []string{"a/first", "b/first", "c/first"})
		logs = append(logs, log)
		is.NoErr(o.Close())
	}
	is.Equal(logs[0], logs[1])
	is.Equal(logs[0], logs[2])
}

// TestWipedFounderGetsNewReplicaID guards against a founder that rejoins under its old replica ID after its disk was
// lost. Such a replica could vote twice in a term, since it lost its votes.
func TestWipedFounderGetsNewReplicaID(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	is.NoErr(BootstrapVoters(folder, "a", []string{"a", "b", "c"}))
	is.NoErr(os.RemoveAll(folder))
	o, err := Open(folder, "a", consensus.Config{}, time.Now())
	is.NoErr(err)
	replica, log := o.Identity()
	is.True(replica != "a/first")
	is.Equal(log, "")
	is.NoErr(o.Close())
}

// TestBootstrapVotersKeepsExistingReplica guards against a bootstrap that replaces the replica of an instance that
// first started as a spare.
func TestBootstrapVotersKeepsExistingReplica(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	o, err := Open(folder, "a", consensus.Config{}, time.Now())
	is.NoErr(err)
	before, _ := o.Identity()
	is.NoErr(o.Close())
	is.NoErr(BootstrapVoters(folder, "a", []string{"a", "b", "c"}))
	o, err = Open(folder, "a", consensus.Config{}, time.Now())
	is.NoErr(err)
	after, log := o.Identity()
	is.Equal(after, before)
	is.Equal(log, "")
	is.NoErr(o.Close())
}
