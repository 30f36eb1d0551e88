package limit

import (
	"math"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// ErrUneven means that the columns of a packed message have different lengths.
var ErrUneven = errors.New("limit: columns of different lengths")

// rateSteps is the number of steps per 1/s that rates are rounded to, so that their encoding takes few bytes.
const rateSteps = 64

// PackRequest returns the form of a request that is sent to the leader, with a column for each field of its rows.
// Request rates are rounded up to a multiple of 1/rateSteps, token rates to an integer.
func PackRequest(r wire.GrantRequest) wire.PackedGrantRequest {
	out := wire.PackedGrantRequest{
		Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence, Applied: r.Applied, Held: packGrants(r.Held),
	}
	d := &out.Demands
	for _, row := range r.Demands {
		d.Workspaces = append(d.Workspaces, row.Workspace)
		d.RequestsPerSecond = append(d.RequestsPerSecond, math.Ceil(row.RequestsPerSecond*rateSteps)/rateSteps)
		d.TokensPerSecond = append(d.TokensPerSecond, math.Ceil(row.TokensPerSecond))
		d.InFlight = append(d.InFlight, row.InFlight)
		d.UnitsUsed = append(d.UnitsUsed, row.UnitsUsed)
	}
	return out
}

// UnpackRequest returns the request that was packed into p. The error is ErrUneven if columns have different lengths.
func UnpackRequest(p wire.PackedGrantRequest) (wire.GrantRequest, error) {
	out := wire.GrantRequest{Instance: p.Instance, Incarnation: p.Incarnation, Sequence: p.Sequence, Applied: p.Applied}
	d := p.Demands
	n := len(d.Workspaces)
	if n != len(d.RequestsPerSecond) || n != len(d.TokensPerSecond) || n != len(d.InFlight) || n != len(d.UnitsUsed) {
		return out, ErrUneven
	}
	out.Demands = make([]wire.GrantDemand, n)
	for i := range out.Demands {
		out.Demands[i] = wire.GrantDemand{
			Workspace: d.Workspaces[i], RequestsPerSecond: d.RequestsPerSecond[i], TokensPerSecond: d.TokensPerSecond[i],
			InFlight: d.InFlight[i], UnitsUsed: d.UnitsUsed[i],
		}
	}
	var err error
	out.Held, err = unpackGrants(p.Held)
	return out, err
}

// PackAnswer returns the form of an answer that is sent to an instance, with a column for each field of a grant.
func PackAnswer(a wire.GrantAnswer) wire.PackedGrantAnswer {
	return wire.PackedGrantAnswer{Sequence: a.Sequence, DurationMs: a.DurationMs, Grants: packGrants(a.Grants)}
}

// UnpackAnswer returns the answer that was packed into p. The error is ErrUneven if columns have different lengths.
func UnpackAnswer(p wire.PackedGrantAnswer) (wire.GrantAnswer, error) {
	grants, err := unpackGrants(p.Grants)
	return wire.GrantAnswer{Sequence: p.Sequence, DurationMs: p.DurationMs, Grants: grants}, err
}

// packGrants returns the columns of the grants. The columns hold one revision for all grants, the highest.
func packGrants(list []wire.Grant) wire.GrantColumns {
	var out wire.GrantColumns
	for _, g := range list {
		out.Revision = max(out.Revision, g.Revision)
		out.Workspaces = append(out.Workspaces, g.Workspace)
		out.RequestsPerSecond = append(out.RequestsPerSecond, g.Requests.PerSecond)
		out.RequestBursts = append(out.RequestBursts, g.Requests.Burst)
		out.TokensPerSecond = append(out.TokensPerSecond, g.Tokens.PerSecond)
		out.TokenBursts = append(out.TokenBursts, g.Tokens.Burst)
		out.Concurrency = append(out.Concurrency, g.Concurrency)
		out.UnitsLeft = append(out.UnitsLeft, g.UnitsLeft)
	}
	return out
}

func unpackGrants(c wire.GrantColumns) ([]wire.Grant, error) {
	n := len(c.Workspaces)
	for _, l := range [][]float64{c.RequestsPerSecond, c.RequestBursts, c.TokensPerSecond, c.TokenBursts, c.UnitsLeft} {
		if len(l) != n {
			return nil, ErrUneven
		}
	}
	if len(c.Concurrency) != n {
		return nil, ErrUneven
	}
	out := make([]wire.Grant, n)
	for i := range out {
		out[i] = wire.Grant{
			Workspace: c.Workspaces[i], Revision: c.Revision, Concurrency: c.Concurrency[i], UnitsLeft: c.UnitsLeft[i],
			Requests: wire.Rate{PerSecond: c.RequestsPerSecond[i], Burst: c.RequestBursts[i]},
			Tokens:   wire.Rate{PerSecond: c.TokensPerSecond[i], Burst: c.TokenBursts[i]},
		}
	}
	return out, nil
}

// roundRateDown rounds a rate down to a multiple of 1/rateSteps. Rates below 1 are not rounded.
func roundRateDown(rate float64) float64 {
	if rate < 1 {
		return rate
	}
	return math.Floor(rate*rateSteps) / rateSteps
}
