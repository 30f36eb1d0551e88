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

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "print")
}

// table prints rows in columns under a heading.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, heading ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.row(heading...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) end() error {
	return errors.Wrap(t.w.Flush(), "print")
}

func number(v float64) string { return fmt.Sprintf("%g", v) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// findings is what validate and apply print as JSON of declarations with problems.
type findings struct {
	Problems []jsonc.Problem `json:"problems"`
}

// report prints the problems in err as JSON if the command asks for it, and returns err.
func report(c *cli.Command, err error) error {
	var found *jsonc.Error
	if !c.Bool("json") || !errors.As(err, &found) {
		return err
	}
	return errors.CombineErrors(err, printJSON(c.Root().Writer, findings{found.Problems}))
}
