package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

func siteChange(id string, version int, text string) wire.Command {
	return wire.Command{Change: &wire.ChangeSet{
		ChangeID: id, Remove: []wire.DeclarationName{},
		Set: wire.Declarations{Site: &wire.Site{Version: version, Document: []byte(text)}},
	}}
}

// TestHighestSiteIsInForce sends documents out of order, twice, and two under one version.
func TestHighestSiteIsInForce(t *testing.T) {
	is := is.New(t)
	s := &state.State{}
	apply := func(cmd wire.Command) string {
		out, err := s.Apply(cmd)
		is.NoErr(err)
		return out.Change.State
	}
	is.Equal(apply(siteChange("a", 5, "five")), state.ChangePending)
	is.Equal(apply(siteChange("b", 9, "nine")), state.ChangePending)
	is.Equal(apply(siteChange("c", 7, "seven")), state.ChangeAccepted) // overtaken, not refused
	is.Equal(apply(siteChange("d", 9, "other nine")), state.ChangeAccepted)
	is.Equal(string(s.Config.Site.Document), "nine")
	is.Equal(apply(siteChange("a", 5, "five")), state.ChangePending) // as it was answered before
	is.Equal(s.Config.Site.Version, 9)
	is.Equal(s.Config.Revision, 2)
}

func TestSiteSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	s := &state.State{}
	_, err := s.Apply(siteChange("a", 5, "five"))
	is.NoErr(err)
	data, err := s.Encode()
	is.NoErr(err)
	again, err := state.Decode(data)
	is.NoErr(err)
	is.Equal(again.Config.Site.Version, 5)
	is.Equal(string(again.Config.Site.Document), "five")
}

// TestReadNeedsALeader asks an instance that doesn't lead for the newest site.
func TestReadNeedsALeader(t *testing.T) {
	is := is.New(t)
	c := New(wire.InstanceInfo{ID: "a", Incarnation: 1})
	yes := true
	out := c.Step(time.Now(), FrameReceived{Frame: wire.Frame{From: "b", Call: 3, SiteQuery: &yes}})
	is.Equal(len(out), 1)
	is.Equal(out[0].Frame.Call, 3)
	is.True(!out[0].Frame.SiteAnswer.Confirmed)
}
