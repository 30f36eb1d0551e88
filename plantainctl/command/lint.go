package command

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

func init() { register(newLint) }

func newLint() *cli.Command {
	return &cli.Command{
		Name:      "lint",
		Usage:     "find errors, entries without effect and contradictory limits in declarations",
		ArgsUsage: "PATH...",
		Description: withExamples(
			"Checks files or folders of declarations more strictly than validate. If an instance is given, they are checked\n"+
				"together with the declarations in force that they don't replace, and what applying them would change is\n"+
				"shown; --prune counts declarations that they lack as removed. Without an instance, or with --offline, they\n"+
				"are checked as a complete configuration.\n"+
				"Exits with code 4 if there are errors, with code 9 if there are only warnings.",
			"plantainctl lint declarations/",
			"plantainctl -i 127.0.0.1:7003 lint contracts/hostel.json",
			"plantainctl lint --json declarations/ | jq '.findings[]'",
		),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "offline", Usage: "call no instance"},
			&cli.BoolFlag{Name: "prune", Usage: "count declarations that no PATH holds as removed"},
		},
		Action: runLint,
	}
}

// lintFinding is one finding in the JSON output of lint.
type lintFinding struct {
	Severity declaration.Severity `json:"severity"`
	Rule     string               `json:"rule"`
	// Kind and Name identify the declaration; empty if the file couldn't be read as declarations.
	Kind string `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Problem has no file if the declaration is in force and no PATH holds it.
	jsonc.Problem
}

// lintResult is the JSON output of lint.
type lintResult struct {
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []lintFinding `json:"findings"`
	// Revision is the revision of the configuration in force; 0 if no instance was called.
	Revision int `json:"revision"`
	// Changes is what applying the declarations would change; empty if no instance was called.
	Changes []declaration.Change `json:"changes"`
}

func runLint(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.Wrapf(ErrUsage, "%s takes %s, got no argument", c.Name, c.ArgsUsage)
	}
	result := &lintResult{Findings: []lintFinding{}, Changes: []declaration.Change{}}
	source, err := declaration.Read(c.Args().Slice()...)
	var unreadable *jsonc.Error
	switch {
	case errors.As(err, &unreadable):
		result.addUnreadable(unreadable)
	case err != nil:
		return err
	case !c.Bool("offline") && len(c.StringSlice("instance")) > 0:
		if err := result.compare(ctx, c, source); err != nil {
			return err
		}
	default:
		result.addFindings(source, declaration.Lint(source.Set))
	}
	if err := result.print(c); err != nil {
		return err
	}
	switch {
	case result.Errors > 0:
		return errors.Wrapf(ErrInvalid, "%d errors, %d warnings", result.Errors, result.Warnings)
	case result.Warnings > 0:
		return ErrWarnings
	}
	return nil
}

// compare adds the findings about the declarations together with those in force, and the changes between both.
func (r *lintResult) compare(ctx context.Context, c *cli.Command, source *declaration.Source) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	current, err := client.Declarations(ctx)
	if err != nil {
		return err
	}
	base, remove := current.Set, []wire.DeclarationName(nil)
	if c.Bool("prune") {
		base, remove = declaration.Empty(), missingNames(current.Set, source.Set)
	}
	r.addFindings(source, declaration.LintChange(base, source.Set))
	r.Revision = current.Revision
	r.Changes = append(r.Changes, declaration.Diff(current.Set, declaration.Apply(current.Set, source.Set, remove))...)
	return nil
}

// addUnreadable adds the problems of files that can't be read as declarations.
func (r *lintResult) addUnreadable(err *jsonc.Error) {
	rule := declaration.RuleInvalid
	if errors.Is(err, jsonc.ErrMalformed) {
		rule = declaration.RuleSyntax
	}
	for _, p := range err.Problems {
		r.add(lintFinding{Severity: declaration.SeverityError, Rule: rule, Problem: p})
	}
}

func (r *lintResult) addFindings(source *declaration.Source, findings []declaration.Finding) {
	for _, f := range findings {
		r.add(lintFinding{f.Severity, f.Rule, f.Kind, f.Name, source.LocateFinding(f)})
	}
}

func (r *lintResult) add(f lintFinding) {
	r.Findings = append(r.Findings, f)
	if f.Severity == declaration.SeverityError {
		r.Errors++
	} else {
		r.Warnings++
	}
}

// print prints the result as JSON or as one line for each finding, followed by the changes.
func (r *lintResult) print(c *cli.Command) error {
	w := c.Root().Writer
	if c.Bool("json") {
		return printJSON(w, r)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(w, f.text())
	}
	printChanges(w, r.Changes)
	text := fmt.Sprintf("%d errors, %d warnings", r.Errors, r.Warnings)
	if r.Revision > 0 {
		text += fmt.Sprintf(", %d differences from revision %d", len(r.Changes), r.Revision)
	}
	_, err := fmt.Fprintln(w, text)
	return errors.Wrap(err, "print")
}

// text formats the finding as "FILE:LINE: SEVERITY: FIELD: expected EXPECTED, found FOUND [RULE]".
func (f *lintFinding) text() string {
	place, p := fmt.Sprintf("%s:%d", f.File, f.Line), f.Problem
	if f.File == "" {
		place = fmt.Sprintf("in force, %s %q", f.Kind, f.Name)
	}
	p.File = ""
	return fmt.Sprintf("%s: %s: %s [%s]", place, f.Severity, p, f.Rule)
}
