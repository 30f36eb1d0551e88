package limit

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestPackUnpackRoundTrip guards against fields that packing loses or mixes up. Only rates change, by rounding.
func TestPackUnpackRoundTrip(t *testing.T) {
	is := is.New(t)
	r := wire.GrantRequest{
		Instance: "i", Incarnation: 2, Sequence: 3, Applied: 1,
		Demands: []wire.GrantDemand{{Workspace: "w", RequestsPerSecond: 1.01, TokensPerSecond: 9.5, InFlight: 2, UnitsUsed: 0.7}},
		Held:    []wire.Grant{{Workspace: "w", Revision: 4, Requests: wire.Rate{PerSecond: 0.3, Burst: 5}, Concurrency: 6, UnitsLeft: 0.1}},
	}
	got, err := UnpackRequest(PackRequest(r))
	is.NoErr(err)
	is.Equal(got.Demands[0].RequestsPerSecond, 1.015625) // rounded up to the next 1/64
	got.Demands[0].RequestsPerSecond, r.Demands[0].TokensPerSecond = 1.01, 10
	is.Equal(got, r)

	a := wire.GrantAnswer{Sequence: 3, DurationMs: 10, Grants: r.Held}
	gotAnswer, err := UnpackAnswer(PackAnswer(a))
	is.NoErr(err)
	is.Equal(gotAnswer, a)
}

// TestUnevenColumnsAreRefused guards against an out-of-range index when a message has columns of different lengths.
func TestUnevenColumnsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := UnpackRequest(wire.PackedGrantRequest{Demands: wire.DemandColumns{Workspaces: []string{"w"}}})
	is.True(errors.Is(err, ErrUneven))
	_, err = UnpackAnswer(wire.PackedGrantAnswer{Grants: wire.GrantColumns{Concurrency: []int{1}}})
	is.True(errors.Is(err, ErrUneven))
}
