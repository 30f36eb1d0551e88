package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"plantainlane/wire"
)

func init() { register(newCost) }

func newCost() *cli.Command {
	return &cli.Command{
		Name:      "cost",
		Usage:     "show cost units by workspace, pipeline and stage",
		ArgsUsage: "no arguments",
		Description: withExamples(
			"UNITS are the cost units of attempts whose answer was used, WASTED those of attempts that were retried,\n"+
				"hedged, cancelled or late. The totals include all requests since the first one.",
			"plantainctl -i 127.0.0.1:7003 cost --workspace hostel",
			"plantainctl -i 127.0.0.1:7003 cost --json",
		),
		Flags:  []cli.Flag{&cli.StringFlag{Name: "workspace", Usage: "only this `WORKSPACE`"}},
		Action: runCost,
	}
}

func runCost(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	answer, err := client.Cost(ctx, c.String("workspace"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, answer)
	}
	t := newTable(c.Root().Writer, "WORKSPACE", "PIPELINE", "STAGE", "REQUESTS", "ATTEMPTS", "UNITS", "WASTED")
	total := wire.CostRow{}
	for _, r := range answer.Rows {
		t.addRow(r.Workspace, r.Pipeline, r.Stage, strconv.Itoa(r.Requests), strconv.Itoa(r.Attempts), formatNumber(r.Units), formatNumber(r.WastedUnits))
		total.Units += r.Units
		total.WastedUnits += r.WastedUnits
	}
	t.addRow("all", "", "", "", "", formatNumber(total.Units), formatNumber(total.WastedUnits))
	if err := t.flush(); err != nil {
		return err
	}
	if len(answer.PendingInstances) > 0 {
		fmt.Fprintf(c.Root().ErrWriter, "newest totals missing of: %s\n", strings.Join(answer.PendingInstances, ", "))
	}
	return nil
}
