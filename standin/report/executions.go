package report

import (
	"time"

	"plantainlane/standin/load"
	"plantainlane/wire"
)

// place is a stage's work on one input.
type place struct {
	path  string
	input string
}

// ran is what the ledgers hold of a place.
type ran struct {
	count     int
	startedUs int
	requests  map[string]bool
}

func byPlace(rows []wire.LedgerRow) map[place]*ran {
	places := make(map[place]*ran, len(rows))
	for _, row := range rows {
		key := place{row.Path, row.Input}
		r, ok := places[key]
		if !ok {
			r = &ran{startedUs: row.StartedUs, requests: make(map[string]bool, 1)}
			places[key] = r
		}
		r.count++
		r.startedUs = min(r.startedUs, row.StartedUs)
		r.requests[row.Request] = true
	}
	return places
}

// compareExecutions compares what callers were told with the ledgers of the run.
func compareExecutions(schedule []*load.Request, outcomes []load.Outcome, l Ledgers) Executions {
	e := Executions{Dropped: l.Ledger.Dropped, Unreadable: l.Unreadable}
	for _, t := range l.Ledger.Totals {
		e.Ran += t.Executions
		e.Calls += t.Executions + t.Refusals
	}
	places := byPlace(l.Ledger.Rows)
	rows := 0
	for i, req := range schedule {
		for j, stage := range req.Pipeline.Stages {
			r, ok := places[place{stage.Path, req.InputDigests[j]}]
			if !ok {
				continue
			}
			e.First++
			rows += r.count
			if !stage.Idempotent {
				e.countKey(r.count)
			}
		}
		for _, refusal := range outcomes[i].Refusals {
			e.countRefusal(req, refusal, places)
		}
	}
	e.Amplification = ratio(float64(rows), float64(e.First))
	return e
}

func (e *Executions) countKey(executions int) {
	e.Keys++
	e.MaxPerKey = max(e.MaxPerKey, executions)
	if executions > 1 {
		e.DoubledKeys++
	}
}

// countRefusal looks for work of the refused request that had started when the refusal was read.
func (e *Executions) countRefusal(req *load.Request, refusal load.Refusal, places map[place]*ran) {
	ranItself, other := false, false
	for j, stage := range req.Pipeline.Stages {
		r, ok := places[place{stage.Path, req.InputDigests[j]}]
		if !ok || time.UnixMicro(int64(r.startedUs)).After(refusal.At) {
			continue
		}
		if refusal.Request != "" && !r.requests[refusal.Request] {
			other = true
			continue
		}
		ranItself = true
	}
	switch {
	case ranItself:
		e.FalseNotRun++
	case other:
		e.NotRunBesideOther++
	}
}
