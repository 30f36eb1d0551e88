package report

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes a report as plain text with aligned columns.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %s, seed %d, arrivals from %d to %d ms\n", r.Policy, r.Scenario, r.Seed, r.Measured.FromMs, r.Measured.ToMs)
	writeGroups(t, r)
	writeLatency(t, r)
	writeExecutions(t, r.Executions)
	writeCost(t, r.Cost)
	for _, f := range r.Faults {
		fmt.Fprintf(t, "at %d ms: %s\n", f.AtMs, f.What)
	}
	fmt.Fprint(t, "attainment by second:")
	for _, s := range r.Seconds {
		fmt.Fprintf(t, " %.3f", ratio(float64(s.Whole), float64(s.Offered)))
	}
	fmt.Fprintln(t)
	fmt.Fprint(t, "median ms by second:")
	for _, s := range r.Seconds {
		fmt.Fprintf(t, " %.0f", s.P50Ms)
	}
	fmt.Fprintln(t)
	writeVerdicts(t, r.Verdicts)
	return t.Flush()
}

func writeGroups(t io.Writer, r Report) {
	fmt.Fprintln(t, "workspace\toffered\twhole\tlate\twrong\trefused\tfailed\tlost\tunsent\tsends\tattainment\tgoodput/s")
	for _, g := range append([]Group{r.Overall}, r.Workspaces...) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\n", displayName(g), g.Offered, g.Whole, g.Late,
			g.Wrong, g.Refused, g.Failed, g.Lost, g.Unsent, g.Sends, g.Attainment, g.GoodputPerSecond)
	}
	for _, p := range r.Overall.Problems {
		fmt.Fprintf(t, "not whole: %d with status %d %s\n", p.Count, p.Status, p.Type)
	}
}

// displayName returns the name of a group's row.
func displayName(g Group) string {
	if g.Workspace == "" {
		return "(all)"
	}
	return g.Workspace
}

func writeLatency(t io.Writer, r Report) {
	fmt.Fprintln(t, "ms\tcount\tp50\tp90\tp99\tp99.9\tmax")
	writeRow := func(name string, q Quantiles) {
		if q.Count > 0 {
			fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
		}
	}
	for _, g := range append([]Group{r.Overall}, r.Workspaces...) {
		writeRow(displayName(g)+" latency", g.LatencyMs)
	}
	writeRow("first token", r.Overall.FirstTokenMs)
	writeRow("token gap", r.Overall.TokenGapMs)
}

func writeExecutions(t io.Writer, e Executions) {
	fmt.Fprintf(t, "calls at fakes %d, ran %d, stages of requests that ran %d, amplification %.3f\n", e.Calls, e.Ran, e.First, e.Amplification)
	fmt.Fprintf(t, "non-idempotent stages of requests that ran %d, most executions of one %d, ran more than once %d\n",
		e.Keys, e.MaxPerKey, e.DoubledKeys)
	fmt.Fprintf(t, "false notRun %d, notRun beside another send that ran %d\n", e.FalseNotRun, e.NotRunBesideOther)
	if e.Dropped > 0 || len(e.Unreadable) > 0 {
		fmt.Fprintf(t, "partial: %d rows dropped, unreadable ledgers %v\n", e.Dropped, e.Unreadable)
	}
}

func writeCost(t io.Writer, lines []CostLine) {
	fmt.Fprintln(t, "workspace\tservice\tpath\tledger\tcharged\tuseful\twasted\tdifference")
	for _, c := range lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%g\t%g\t%g\t%g\t%g\n", c.Workspace, c.Service, c.Path, c.Ledger, c.Charged,
			c.Useful, c.Wasted, c.Difference)
	}
}

func writeVerdicts(t io.Writer, verdicts []Verdict) {
	for _, v := range verdicts {
		state := "MISSED"
		if v.Met {
			state = "met"
		}
		bound := ""
		if v.Target.AtLeast != nil {
			bound += fmt.Sprintf(" at least %g", *v.Target.AtLeast)
		}
		if v.Target.AtMost != nil {
			bound += fmt.Sprintf(" at most %g", *v.Target.AtMost)
		}
		if v.Partial != "" {
			state = "NOT SHOWN: " + v.Partial
		}
		fmt.Fprintf(t, "target %s %v%s: %.4g %s\n", v.Target.Metric, v.Target.Workspaces, bound, v.Value, state)
	}
}
