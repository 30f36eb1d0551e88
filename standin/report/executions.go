package report

import (
	"time"

	"plantainlane/standin/load"
	"plantainlane/wire"
)

// workKey identifies the work of one stage on one input, which is different for each request.
type workKey struct {
	path  string
	input string
}

// workRecord summarizes the executions of one workKey in the ledgers.
type workRecord struct {
	count int
	// startedUs is the start of the first execution, in microseconds since the Unix epoch.
	startedUs int
	// requests are the request IDs of the sends that caused executions. The system gives each send its own ID.
	requests map[string]bool
}

// groupByWork returns the executions in the rows of ledgers, by workKey.
func groupByWork(rows []wire.LedgerRow) map[workKey]*workRecord {
	executed := make(map[workKey]*workRecord, len(rows))
	for _, row := range rows {
		key := workKey{row.Path, row.Input}
		r, ok := executed[key]
		if !ok {
			r = &workRecord{startedUs: row.StartedUs, requests: make(map[string]bool, 1)}
			executed[key] = r
		}
		r.count++
		r.startedUs = min(r.startedUs, row.StartedUs)
		r.requests[row.Request] = true
	}
	return executed
}

// compareExecutions compares the answers that callers received with the executions in the ledgers of the run. It counts
// how often each request ran at non-idempotent stages, and the refused requests that ran.
func compareExecutions(schedule []*load.Request, outcomes []load.Outcome, l Ledgers) Executions {
	e := Executions{Dropped: l.Ledger.Dropped, Unreadable: l.Unreadable}
	for _, t := range l.Ledger.Totals {
		e.Ran += t.Executions
		e.Calls += t.Executions + t.Refusals
	}
	executed := groupByWork(l.Ledger.Rows)
	rows := 0
	for i, req := range schedule {
		for j, stage := range req.Pipeline.Stages {
			r, ok := executed[workKey{stage.Path, req.InputDigests[j]}]
			if !ok {
				continue
			}
			e.First++
			rows += r.count
			if !stage.Idempotent {
				e.countNonIdempotent(r.count)
			}
		}
		for _, refusal := range outcomes[i].Refusals {
			e.countRefusal(req, refusal, executed)
		}
	}
	e.Amplification = ratio(float64(rows), float64(e.First))
	return e
}

// countNonIdempotent counts the executions of one request at a stage that is not idempotent.
func (e *Executions) countNonIdempotent(count int) {
	e.Keys++
	e.MaxPerKey = max(e.MaxPerKey, count)
	if count > 1 {
		e.DoubledKeys++
	}
}

// countRefusal counts a refusal as false if work of the refused send had started when the refusal was read. Work of
// another send of the same request is counted apart, since the refusal is true of its own send. A refusal without a
// request ID is false if any work of the request had started.
func (e *Executions) countRefusal(req *load.Request, refusal load.Refusal, executed map[workKey]*workRecord) {
	ranRefusedSend, ranOtherSend := false, false
	for j, stage := range req.Pipeline.Stages {
		r, ok := executed[workKey{stage.Path, req.InputDigests[j]}]
		if !ok || time.UnixMicro(int64(r.startedUs)).After(refusal.At) {
			continue
		}
		if refusal.Request != "" && !r.requests[refusal.Request] {
			ranOtherSend = true
			continue
		}
		ranRefusedSend = true
	}
	switch {
	case ranRefusedSend:
		e.FalseNotRun++
	case ranOtherSend:
		e.NotRunBesideOther++
	}
}
