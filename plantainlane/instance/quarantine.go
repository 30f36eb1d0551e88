package instance

import (
	"context"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/operator"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/wire"
)

// RegisterQuarantine adds the operators' endpoints of the quarantine to a listener that only operators can reach: they check no
// credentials.
func (x *Instance) RegisterQuarantine(e *echo.Echo) {
	(&operator.Server{Control: x.loop, Quarantine: x.guard}).RegisterQuarantine(e)
}

// AskTrial sends a query for the trial of a suspect request to the leader. It returns false if no leader is known or there is no
// answer before ctx ends. ctx must have a deadline.
func (x *Instance) AskTrial(ctx context.Context, q wire.TrialQuery) (wire.TrialAnswer, bool) {
	leader := x.View().Leader
	if leader == "" {
		return wire.TrialAnswer{}, false
	}
	f, ok := x.loop.Query(ctx, leader, wire.Frame{TrialQuery: &q})
	if !ok || f.TrialAnswer == nil {
		return wire.TrialAnswer{}, false
	}
	return *f.TrialAnswer, true
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
