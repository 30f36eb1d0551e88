package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/wire/jsonc"
)

// printJSON prints v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "print")
}

// table prints aligned columns under a heading. Nothing is written before flush.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, heading ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.addRow(heading...)
	return t
}

func (t *table) addRow(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error {
	return errors.Wrap(t.w.Flush(), "print")
}

// formatNumber formats v without trailing zeros.
func formatNumber(v float64) string { return fmt.Sprintf("%g", v) }

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// problemList is the JSON output for declarations with problems.
type problemList struct {
	Problems []jsonc.Problem `json:"problems"`
}

// reportProblems returns err. With --json, and if err wraps a *jsonc.Error, it first prints the problems of that error.
func reportProblems(c *cli.Command, err error) error {
	var found *jsonc.Error
	if !c.Bool("json") || !errors.As(err, &found) {
		return err
	}
	return errors.CombineErrors(err, printJSON(c.Root().Writer, problemList{found.Problems}))
}
