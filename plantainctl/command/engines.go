package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"plantainlane/wire"
)

// printEngines prints one row for each upstream that is a model engine, if there is any.
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
		t.row(a.ID, a.Role, dash(strings.Join(a.Models, " ")), dash(strings.Join(a.Adapters, " ")), checks,
			strconv.Itoa(a.Capacity), strconv.Itoa(a.Load.FreeBlocks))
	}
	if engines == 0 {
		return nil
	}
	return t.end()
}
