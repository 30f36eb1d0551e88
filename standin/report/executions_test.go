package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/load"
	"plantainlane/wire"
)

// A caller that is told "not run" may send the request again elsewhere, so an answer that says so of a send that ran
// leads to double execution and must be counted. A refusal read before the work started, or of another send than the
// one that ran, must not be.
func TestCompareExecutions(t *testing.T) {
	start := time.UnixMicro(1_000_000)
	row := func(request string, atUs int) wire.LedgerRow {
		return wire.LedgerRow{Path: "/purchases", Input: "d", Request: request, StartedUs: atUs}
	}
	refusal := func(request string, at time.Duration) load.Outcome {
		return load.Outcome{Refusals: []load.Refusal{{At: start.Add(at), Request: request}}}
	}
	tests := map[string]struct {
		rows                          []wire.LedgerRow
		outcome                       load.Outcome
		maxPerKey, falseNotRun, other int
		amplification                 float64
	}{
		"once":                    {[]wire.LedgerRow{row("a", 1_000_000)}, load.Outcome{}, 1, 0, 0, 1},
		"twice":                   {[]wire.LedgerRow{row("a", 1_000_000), row("b", 1_000_001)}, load.Outcome{}, 2, 0, 0, 2},
		"refused, did not run":    {nil, refusal("a", 0), 0, 0, 0, 0},
		"refused, but ran":        {[]wire.LedgerRow{row("a", 1_000_000)}, refusal("a", time.Second), 1, 1, 0, 1},
		"refused without ID, ran": {[]wire.LedgerRow{row("a", 1_000_000)}, refusal("", time.Second), 1, 1, 0, 1},
		"refused, then ran":       {[]wire.LedgerRow{row("b", 1_500_000)}, refusal("a", 0), 1, 0, 0, 1},
		"refused, other send ran": {[]wire.LedgerRow{row("b", 1_000_000)}, refusal("a", time.Second), 1, 0, 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := &load.Request{InputDigests: []string{"d"}}
			req.Pipeline.Stages = []wire.Stage{{Path: "/purchases"}}
			l := Ledgers{Ledger: wire.Ledger{Rows: tt.rows}}
			e := compareExecutions([]*load.Request{req}, []load.Outcome{tt.outcome}, l)
			is.Equal(e.MaxPerKey, tt.maxPerKey)
			is.Equal(e.FalseNotRun, tt.falseNotRun)
			is.Equal(e.NotRunBesideOther, tt.other)
			is.Equal(e.Amplification, tt.amplification)
		})
	}
}
