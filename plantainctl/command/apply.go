package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// pollInterval is the pause before a change is sent again, and before its outcome or the status of a drain is requested
// again.
const pollInterval = 200 * time.Millisecond

// States of wire.ChangeOutcome. An accepted change is in force everywhere: every instance has applied it or holds no
// lease. Pending means that this isn't known yet. Valid is the state of a dry run without problems.
const (
	stateAccepted = "accepted"
	stateConflict = "conflict"
	stateInvalid  = "invalid"
	statePending  = "pending"
	stateValid    = "valid"
)

func init() { register(newApply) }

func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply declarations and wait until they are in force at all instances",
		ArgsUsage: "PATH",
		Description: withExamples(
			"Adds or replaces the declarations of a file or a folder in one atomic change. The change is refused with\n"+
				"exit code 3 if the configuration's revision is no longer the base revision. Resending a change with the\n"+
				"same --change-id returns the outcome of the first one: do so after exit code 1 or 5.",
			"plantainctl -i 127.0.0.1:7003 -i 127.0.0.1:7013 apply declarations/",
			"plantainctl -i 127.0.0.1:7003 apply --prune --base 12 --change-id release-41 declarations/",
			"plantainctl -i 127.0.0.1:7003 apply --dry-run contracts/hostel.json",
		),
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Usage: "`REVISION` that the change is based on; default: the current revision", Value: -1},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; default: a random ID"},
			&cli.BoolFlag{Name: "prune", Usage: "remove declarations that PATH lacks"},
			&cli.BoolFlag{Name: "dry-run", Usage: "let the instance check the change without applying it"},
			&cli.DurationFlag{Name: "wait", Usage: "maximum `DURATION` to wait for the outcome", Value: time.Minute},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	source, err := readDeclarations(args[0], declaration.CheckValues)
	if err != nil {
		return reportProblems(c, err)
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	set, err := newChangeSet(ctx, c, client, source.Set)
	if err != nil {
		return err
	}
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().ErrWriter, "change %s against revision %d\n", set.ChangeID, set.BaseRevision)
	}
	out, err := submitChange(ctx, client, set, c.Duration("wait"))
	if err != nil {
		return err
	}
	return printOutcome(c, out)
}

// newChangeSet returns a change that adds or replaces the declarations in set, with the change ID and the options that
// the command's flags state. It requests the current configuration if the base revision or the declarations to remove
// depend on it.
func newChangeSet(ctx context.Context, c *cli.Command, client *operator.Client, set wire.Declarations) (wire.ChangeSet, error) {
	change := wire.ChangeSet{
		ChangeID:     c.String("change-id"),
		BaseRevision: c.Int("base"),
		Set:          set,
		Remove:       []wire.DeclarationName{},
		DryRun:       c.Bool("dry-run"),
	}
	if change.ChangeID == "" {
		change.ChangeID = uuid.NewString()
	}
	if c.IsSet("base") && !c.Bool("prune") {
		return change, nil
	}
	current, err := client.Declarations(ctx)
	if err != nil {
		return change, err
	}
	if !c.IsSet("base") {
		change.BaseRevision = current.Revision
	}
	if c.Bool("prune") {
		change.Remove = missingNames(current.Set, set)
	}
	return change, nil
}

// submitChange sends the change until an instance answers, and then polls the outcome until it is no longer pending. If
// a poll finds no instance that can answer, or none that knows the change, it sends the change again. This is safe,
// since a change with a known change ID isn't applied twice. submitChange returns ErrPending if wait is over first, and
// any error other than operator.ErrUnreachable and operator.ErrNotFound at once.
func submitChange(ctx context.Context, client *operator.Client, change wire.ChangeSet, wait time.Duration) (wire.ChangeOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out, err := client.Change(ctx, change)
	for {
		switch {
		case err == nil && out.State != statePending:
			return out, nil
		case err != nil && !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrNotFound):
			return out, err
		}
		if !sleep(ctx, pollInterval) {
			return out, errors.CombineErrors(errors.Wrapf(ErrPending, "change %s after %v", change.ChangeID, wait), err)
		}
		if err == nil {
			out, err = client.Outcome(ctx, change.ChangeID)
		} else {
			out, err = client.Change(ctx, change)
		}
	}
}

// sleep waits for d or until ctx is done, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

// printOutcome prints the outcome of a change and returns the error that belongs to its state: nil, ErrConflict,
// ErrInvalid, or ErrPending for any other state.
func printOutcome(c *cli.Command, out wire.ChangeOutcome) error {
	var printErr error
	if c.Bool("json") {
		printErr = printJSON(c.Root().Writer, out)
	}
	var err error
	switch out.State {
	case stateAccepted, stateValid:
		if !c.Bool("json") {
			// A valid dry run creates no revision; its outcome has only the current one.
			_, printErr = fmt.Fprintf(c.Root().Writer, "%s: revision %d\n", out.State, max(out.Revision, out.CurrentRevision))
		}
	case stateConflict:
		err = errors.Wrapf(ErrConflict, "revision is %d", out.CurrentRevision)
	case stateInvalid:
		err = errors.Wrap(ErrInvalid, strings.Join(out.Problems, "\n"))
	default:
		err = errors.Wrapf(ErrPending, "change %s is %s", out.ChangeID, out.State)
	}
	return errors.CombineErrors(err, printErr)
}
