package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// siteChange returns a change that sets the site document.
func siteChange(id string, version int, text string) wire.Command {
	return wire.Command{Change: &wire.ChangeSet{
		ChangeID: id, Remove: []wire.DeclarationName{},
		Set: wire.Declarations{Site: &wire.Site{Version: version, Document: []byte(text)}},
	}}
}

// TestHighestSiteVersionIsInForce guards against an older or repeated site document that replaces a newer one. The
// documents arrive out of order, one of them twice, and two with the same version.
func TestHighestSiteVersionIsInForce(t *testing.T) {
	is := is.New(t)
	s := &state.State{}
	apply := func(cmd wire.Command) string {
		out, err := s.Apply(cmd)
		is.NoErr(err)
		return out.Change.State
	}
	is.Equal(apply(siteChange("a", 5, "five")), state.ChangePending)
	is.Equal(apply(siteChange("b", 9, "nine")), state.ChangePending)
	is.Equal(apply(siteChange("c", 7, "seven")), state.ChangeAccepted) // superseded, not refused
	is.Equal(apply(siteChange("d", 9, "other nine")), state.ChangeAccepted)
	is.Equal(string(s.Config.Site.Document), "nine")
	is.Equal(apply(siteChange("a", 5, "five")), state.ChangePending) // same outcome as the first time
	is.Equal(s.Config.Site.Version, 9)
	is.Equal(s.Config.Revision, 2)
}

// TestSiteSurvivesASnapshot guards against a snapshot that loses the site document.
func TestSiteSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	s := &state.State{}
	_, err := s.Apply(siteChange("a", 5, "five"))
	is.NoErr(err)
	data, err := s.Encode()
	is.NoErr(err)
	decoded, err := state.Decode(data)
	is.NoErr(err)
	is.Equal(decoded.Config.Site.Version, 5)
	is.Equal(string(decoded.Config.Site.Document), "five")
}

// TestSiteReadNeedsLeader guards against a read of the site that an instance answers as confirmed without being the
// leader.
func TestSiteReadNeedsLeader(t *testing.T) {
	is := is.New(t)
	c := New(wire.InstanceInfo{ID: "a", Incarnation: 1})
	yes := true
	out := c.Step(time.Now(), FrameReceived{Frame: wire.Frame{From: "b", Call: 3, SiteQuery: &yes}})
	is.Equal(len(out), 1)
	is.Equal(out[0].Frame.Call, 3)
	is.True(!out[0].Frame.SiteAnswer.Confirmed)
}
