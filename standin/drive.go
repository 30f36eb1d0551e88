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

// Names of policies.
const (
	policySystem   = "plantainlane"
	policyBaseline = "baseline"
)

// Exit codes beside 1.
const (
	exitMissed = 2
	exitUsage  = 64
)

// settle is how long fakes and instances may finish abandoned work before ledgers are read.
const settle = 2 * time.Second

func driveFlags() []cli.Flag {
	d := load.DefaultLimits()
	return []cli.Flag{
		&cli.StringFlag{Name: "policy", Value: policySystem, Usage: "plantainlane, or baseline: round robin, no limits, plain retries"},
		&cli.BoolFlag{Name: "compare", Usage: "run both policies on the same arrivals"},
		&cli.BoolFlag{Name: "json", Usage: "print the reports as JSON"},
		&cli.StringFlag{Name: "svg", Usage: "file to draw a plot to"},
		&cli.IntFlag{Name: "seed", Usage: "seed in place of the scenario's"},
		&cli.StringSliceFlag{Name: "entry", Usage: "caller listeners in place of the scenario's"},
		&cli.IntFlag{Name: "max-requests", Value: d.Requests, Usage: "most requests a run sends"},
		&cli.IntFlag{Name: "max-in-flight", Value: d.InFlight, Usage: "most requests in flight"},
		&cli.DurationFlag{Name: "max-duration", Value: d.Duration, Usage: "longest run"},
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
	return reports, show(c, reports)
}

type driver struct {
	scenario *scenario.Scenario
	client   *http.Client
	nonce    string
	limits   load.Limits
}

func (d *driver) policy(ctx context.Context, name string) (load.Policy, error) {
	switch name {
	case policySystem:
		return load.NewCaller(ctx, d.scenario)
	case policyBaseline:
		return load.NewBaseline(ctx, d.scenario)
	}
	return nil, errors.Wrapf(errBadFlag, "policy %q", name)
}

// run drives one policy and builds its report.
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
	if r.CostBefore, err = d.cost(ctx, r.CostRead); err != nil {
		return report.Report{}, err
	}
	r.Before = report.ReadLedgers(ctx, d.client, d.scenario.Fakes, time.Now())
	var start time.Time
	start, r.Outcomes = load.Run(ctx, p, schedule, d.steps(name, &r), d.limits)
	d.heal(ctx)
	time.Sleep(settle)
	if r.CostAfter, err = d.cost(ctx, r.CostRead); err != nil {
		klog.ErrorS(err, "cost not read")
		r.CostRead = false
	}
	r.After = report.ReadLedgers(ctx, d.client, d.scenario.Fakes, start)
	return report.Build(r), ctx.Err()
}

func (d *driver) cost(ctx context.Context, charges bool) ([]wire.CostRow, error) {
	if !charges {
		return nil, nil
	}
	return report.ReadCost(ctx, d.client, d.scenario)
}

// steps notes the faults and marks of the scenario in the run as they happen.
func (d *driver) steps(name string, r *report.Run) []load.Step {
	note := func(atMs int, what string) {
		r.Faults = append(r.Faults, report.FaultLine{AtMs: atMs, What: what})
	}
	order := func(ctx context.Context, f scenario.Fault) {
		what, err := json.Marshal(f.Order.Fault)
		if err == nil {
			err = admin.PostFault(ctx, d.client, f.Fakes, f.Order)
		}
		if err != nil {
			klog.ErrorS(err, "fault not set", "fakes", f.Fakes)
			what = []byte("fault not set: " + err.Error())
		}
		note(f.AtMs, string(what))
	}
	mark := func(m scenario.Mark) {
		fmt.Fprintf(os.Stderr, "mark %s %s\n", name, m.Name)
		note(m.AtMs, m.Name)
	}
	return load.Steps(d.scenario, order, mark)
}

// heal clears the faults that the scenario set.
func (d *driver) heal(ctx context.Context) {
	for _, f := range d.scenario.Faults {
		if err := admin.PostFault(ctx, d.client, f.Fakes, wire.FaultOrder{}); err != nil {
			klog.ErrorS(err, "fault not cleared", "fakes", f.Fakes)
		}
	}
}

// show prints reports and draws the plot.
func show(c *cli.Command, reports []report.Report) error {
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
