package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"plantainlane/standin/admin"
	"plantainlane/standin/load"
	"plantainlane/standin/loopback"
	"plantainlane/standin/report"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// Names of policies in flags and reports.
const (
	policySystem   = "plantainlane"
	policyBaseline = "baseline"
)

// Exit codes other than 0 for success and 1 for any other error.
const (
	exitMissed = 2  // a target was missed
	exitUsage  = 64 // wrong arguments
)

// settleTime is the wait between the end of a run and the reading of cost totals and ledgers, in which fakes and
// instances finish work that callers no longer wait for.
const settleTime = 2 * time.Second

// driveFlags returns the flags of the commands that run a scenario.
func driveFlags() []cli.Flag {
	d := load.DefaultLimits()
	return []cli.Flag{
		&cli.StringFlag{Name: "policy", Value: policySystem, Usage: "plantainlane, or baseline: direct calls to upstreams, round robin, no limits, immediate retries"},
		&cli.BoolFlag{Name: "compare", Usage: "run both policies one after the other, with the same arrivals"},
		&cli.BoolFlag{Name: "json", Usage: "print the reports as JSON"},
		&cli.StringFlag{Name: "svg", Usage: "file to write a plot to, as SVG"},
		&cli.IntFlag{Name: "seed", Usage: "seed, instead of the one in the scenario"},
		&cli.StringSliceFlag{Name: "entry", Usage: "address of a caller listener, instead of those in the scenario; can be repeated"},
		&cli.IntFlag{Name: "max-requests", Value: d.Requests, Usage: "maximum number of requests of a run"},
		&cli.IntFlag{Name: "max-in-flight", Value: d.InFlight, Usage: "maximum number of requests in flight; more are counted as unsent"},
		&cli.DurationFlag{Name: "max-duration", Value: d.Duration, Usage: "maximum duration of a run; requests that arrive later are counted as unsent"},
	}
}

// drive runs a scenario under the chosen policies, prints the reports and returns them.
func drive(ctx context.Context, c *cli.Command, s *scenario.Scenario) ([]report.Report, error) {
	if err := loopback.Check(s.Entries...); err != nil {
		return nil, err
	}
	names := []string{c.String("policy")}
	if c.Bool("compare") {
		names = []string{policySystem, policyBaseline}
	}
	d := &driver{
		scenario: s, client: &http.Client{Timeout: time.Minute}, nonce: strconv.FormatInt(time.Now().UnixNano(), 36),
		limits: load.Limits{
			Requests: c.Int("max-requests"), InFlight: c.Int("max-in-flight"), Duration: c.Duration("max-duration"),
		},
	}
	var reports []report.Report
	for _, name := range names {
		r, err := d.run(ctx, name)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, writeReports(c, reports)
}

// driver runs one scenario.
type driver struct {
	scenario *scenario.Scenario
	client   *http.Client
	// nonce makes the request IDs differ from those of other processes.
	nonce  string
	limits load.Limits
}

// policy returns a new policy for the run, by its name. It returns errInvalidFlag for an unknown name.
func (d *driver) policy(ctx context.Context, name string) (load.Policy, error) {
	switch name {
	case policySystem:
		return load.NewCaller(ctx, d.scenario)
	case policyBaseline:
		return load.NewBaseline(ctx, d.scenario)
	}
	return nil, errors.Wrapf(errInvalidFlag, "--policy %q is neither %s nor %s", name, policySystem, policyBaseline)
}

// run runs the scenario under one policy and returns its report.
func (d *driver) run(ctx context.Context, name string) (report.Report, error) {
	p, err := d.policy(ctx, name)
	if err != nil {
		return report.Report{}, err
	}
	defer p.Close()
	schedule, err := load.Schedule(d.scenario, d.nonce+"-"+name, d.limits.Requests)
	if err != nil {
		return report.Report{}, err
	}
	r := report.Run{
		Policy: name, Scenario: d.scenario, Schedule: schedule,
		CostRead: name == policySystem && d.scenario.Operator != "", Faults: []report.FaultLine{},
	}
	if r.CostBefore, err = d.readCost(ctx, r.CostRead); err != nil {
		return report.Report{}, err
	}
	r.Before = report.ReadLedgers(ctx, d.client, d.scenario.Fakes, time.Now())
	var start time.Time
	start, r.Outcomes = load.Run(ctx, p, schedule, d.steps(name, &r), d.limits)
	d.clearFaults(ctx)
	time.Sleep(settleTime)
	if r.CostAfter, err = d.readCost(ctx, r.CostRead); err != nil {
		klog.ErrorS(err, "cost after the run not read", "operator", d.scenario.Operator)
		r.CostRead = false
	}
	r.After = report.ReadLedgers(ctx, d.client, d.scenario.Fakes, start)
	return report.Build(r), ctx.Err()
}

// readCost returns the system's cost totals, nil if they are not wanted.
func (d *driver) readCost(ctx context.Context, wanted bool) ([]wire.CostRow, error) {
	if !wanted {
		return nil, nil
	}
	return report.ReadCost(ctx, d.client, d.scenario)
}

// steps returns the faults and marks of the scenario as steps of a run. Each step adds a line to the faults of the run,
// also if the fault could not be set.
func (d *driver) steps(name string, r *report.Run) []load.Step {
	addFault := func(atMs int, what string) {
		r.Faults = append(r.Faults, report.FaultLine{AtMs: atMs, What: what})
	}
	setFault := func(ctx context.Context, f scenario.Fault) {
		what, err := json.Marshal(f.Order.Fault)
		if err == nil {
			err = admin.PostFault(ctx, d.client, f.Fakes, f.Order)
		}
		if err != nil {
			klog.ErrorS(err, "fault not set", "fakes", f.Fakes)
			what = []byte("fault not set: " + err.Error())
		}
		addFault(f.AtMs, string(what))
	}
	printMark := func(m scenario.Mark) {
		fmt.Fprintf(os.Stderr, "mark %s %s\n", name, m.Name)
		addFault(m.AtMs, m.Name)
	}
	return load.Steps(d.scenario, setFault, printMark)
}

// clearFaults clears the faults of all fakes of each process to which the scenario posts a fault.
func (d *driver) clearFaults(ctx context.Context) {
	for _, f := range d.scenario.Faults {
		if err := admin.PostFault(ctx, d.client, f.Fakes, wire.FaultOrder{}); err != nil {
			klog.ErrorS(err, "fault not cleared", "fakes", f.Fakes)
		}
	}
}

// writeReports writes the plot to the file of --svg, if the flag is set, and prints the reports as text or JSON.
func writeReports(c *cli.Command, reports []report.Report) error {
	if name := c.String("svg"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		defer f.Close()
		if err := report.WriteSVG(f, reports); err != nil {
			return errors.Wrap(err, "plot")
		}
	}
	if c.Bool("json") {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(reports)
	}
	for _, r := range reports {
		if err := report.WriteText(os.Stdout, r); err != nil {
			return err
		}
	}
	return nil
}
