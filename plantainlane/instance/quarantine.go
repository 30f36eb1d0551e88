package instance

import (
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/operator"
	"plantainlane/plantainlane/quarantine"
)

// RegisterQuarantine adds the operators' endpoints of the quarantine to a listener that only operators can reach: they check no
// credentials.
func (x *Instance) RegisterQuarantine(e *echo.Echo) {
	(&operator.Server{Control: x.loop, Quarantine: x.guard}).RegisterQuarantine(e)
}

// isReplaced reports whether a process is known to have ended because its upstream has announced a newer incarnation, or
// another upstream announces its address.
func (x *Instance) isReplaced(p quarantine.Process) bool {
	rows := x.View().Upstreams.Rows
	own, ok := rows.Get(p.Upstream)
	if ok && own.Announcement.Incarnation > p.Incarnation {
		return true
	}
	for id, row := range rows.All() {
		if id != p.Upstream && row.Announcement.Address == p.Address && row.Usable() && ok && row.Until.After(own.Until) {
			return true
		}
	}
	return false
}
