package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"plantainlane/wire"
)

// printEngines prints a table with one row for each model engine, which is an upstream with a role. Without engines, it
// prints nothing.
func printEngines(w io.Writer, upstreams []wire.UpstreamStatus) error {
	t := newTable(w, "ENGINE", "ROLE", "MODELS", "ADAPTERS", "CHECKS ORDERS", "CAPACITY", "FREE BLOCKS")
	engines := 0
	for _, u := range upstreams {
		a := u.Announcement
		if a.Role == "" {
			continue
		}
		if engines == 0 {
			fmt.Fprintln(w)
		}
		engines++
		checks := "no"
		if a.ChecksFencing {
			checks = "yes"
		}
		t.addRow(a.ID, a.Role, orDash(strings.Join(a.Models, " ")), orDash(strings.Join(a.Adapters, " ")), checks,
			strconv.Itoa(a.Capacity), strconv.Itoa(a.Load.FreeBlocks))
	}
	if engines == 0 {
		return nil
	}
	return t.flush()
}
