// Command typedoc generates the reference page of the types that callers, upstreams and operators use, from the schema
// of package wire.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// roots are the types that the pages about the interfaces refer to. The page lists them and all types that they
// contain.
var roots = []string{
	"EntryAnswer", "PipelineRequest", "PipelineAnswer", "Problem",
	"Announcement", "AnnounceAnswer",
	"ChangeSet", "ChangeOutcome", "DeclarationsAnswer", "StatusAnswer", "CostAnswer", "TimelineAnswer",
	"QuarantineRequest", "QuarantineUpdate",
	"Token", "StreamEnd", "Continuation", "KVHandle", "KVExportRequest", "CacheEvents", "CacheEventsAnswer",
	"CacheBlocks", "Order", "OrderAnswer", "EngineState", "WeightRequest",
}

func main() {
	in := flag.String("schema", "schema/wire.json", "schema to read")
	out := flag.String("out", "../docs/types.md", "page to write")
	flag.Parse()
	if err := run(*in, *out); err != nil {
		fmt.Fprintln(os.Stderr, "typedoc:", err)
		os.Exit(1)
	}
}

// run reads the schema file in and writes the page to the file out.
func run(in, out string) error {
	text, err := os.ReadFile(in)
	if err != nil {
		return errors.Wrap(err, "read schema")
	}
	var s schema
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Wrap(err, "parse schema")
	}
	page, err := render(s)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(out, []byte(page), 0o644), "write page")
}

// render returns the page in Markdown. It returns an error if the schema lacks a type that the page refers to.
func render(s schema) (string, error) {
	var b strings.Builder
	b.WriteString("# Types\n\nGenerated from `wire/schema/wire.json` by `go generate` in `wire`. Bodies are JSON in UTF-8. " +
		"A field named\n`...Ms` counts milliseconds, one named `...Bytes` bytes. Optional fields may be left out.\n")
	names, err := reachable(s)
	if err != nil {
		return "", err
	}
	for _, name := range names {
		d := s.Defs[name]
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| field | type | | meaning |\n|---|---|---|---|\n", name, d.Description)
		for _, f := range d.order {
			p, presence := d.Properties[f], "optional"
			if slices.Contains(d.Required, f) {
				presence = "required"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f, p.typeName(), presence, p.Description)
		}
	}
	return b.String(), nil
}

// reachable returns the names of the roots and of all types that they refer to directly or indirectly, sorted and
// without duplicates. It returns an error if one of them isn't in the schema.
func reachable(s schema) ([]string, error) {
	var names []string
	queue := slices.Clone(roots)
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if slices.Contains(names, name) {
			continue
		}
		d, known := s.Defs[name]
		if !known {
			return nil, errors.Newf("type %s is not defined in the schema", name)
		}
		names = append(names, name)
		queue = append(queue, d.references()...)
	}
	slices.Sort(names)
	return names, nil
}
