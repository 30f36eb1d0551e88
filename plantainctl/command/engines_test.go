package command

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestPrintEngines checks that upstreams without a role are left out, and that no table is printed without engines.
func TestPrintEngines(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	plain := wire.UpstreamStatus{Announcement: wire.Announcement{ID: "u1"}}
	is.NoErr(printEngines(&out, []wire.UpstreamStatus{plain}))
	is.Equal(out.String(), "")
	engine := wire.UpstreamStatus{Announcement: wire.Announcement{
		ID: "e1", Role: "both", Models: []string{"a@1", "a@2"}, Capacity: 8, Load: wire.UpstreamLoad{FreeBlocks: 5},
	}}
	is.NoErr(printEngines(&out, []wire.UpstreamStatus{plain, engine}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(strings.Fields(lines[1]), []string{"e1", "both", "a@1", "a@2", "-", "no", "8", "5"})
}
