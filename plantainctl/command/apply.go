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

// pollInterval is the pause before an outcome is asked for again.
const pollInterval = 200 * time.Millisecond

// States of a change's outcome.
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
		Usage:     "apply declarations and wait until they are in force everywhere",
		ArgsUsage: "PATH",
		Description: examples(
			"Adds or replaces the declarations of a file or a folder in one change, which is taken whole or not at all.\n"+
				"It is refused with exit code 3 if the configuration has moved on from the base revision. A change that is\n"+
				"sent again with its --change-id gets the outcome of the first; do that after exit code 1 or 5.",
			"plantainctl -i 127.0.0.1:7003 -i 127.0.0.1:7013 apply declarations/",
			"plantainctl -i 127.0.0.1:7003 apply --prune --base 12 --change-id release-41 declarations/",
			"plantainctl -i 127.0.0.1:7003 apply --dry-run contracts/hostel.json",
		),
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Usage: "`REVISION` the change was made against; default: the one in force", Value: -1},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; default: a new one"},
			&cli.BoolFlag{Name: "prune", Usage: "remove declarations that PATH lacks"},
			&cli.BoolFlag{Name: "dry-run", Usage: "let the instance check the change without taking it"},
			&cli.DurationFlag{Name: "wait", Usage: "longest `DURATION` to wait for the outcome", Value: time.Minute},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	source, err := read(args[0], declaration.CheckValues)
	if err != nil {
		return report(c, err)
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	set, err := changeSet(ctx, c, client, source.Set)
	if err != nil {
		return err
	}
	if !c.Bool("json") {
		fmt.Fprintf(c.Root().ErrWriter, "change %s against revision %d\n", set.ChangeID, set.BaseRevision)
	}
	out, err := settle(ctx, client, set, c.Duration("wait"))
	if err != nil {
		return err
	}
	return printOutcome(c, out)
}

func changeSet(ctx context.Context, c *cli.Command, client *operator.Client, set wire.Declarations) (wire.ChangeSet, error) {
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
		change.Remove = removed(current.Set, set)
	}
	return change, nil
}

// settle sends the change until an instance answers with its outcome, and then asks for the outcome
// until it is not pending any more.
func settle(ctx context.Context, client *operator.Client, set wire.ChangeSet, wait time.Duration) (wire.ChangeOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out, err := client.Change(ctx, set)
	for {
		switch {
		case err == nil && out.State != statePending:
			return out, nil
		case err != nil && !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrNotFound):
			return out, err
		}
		if !pause(ctx, pollInterval) {
			return out, errors.CombineErrors(errors.Wrapf(ErrPending, "change %s after %v", set.ChangeID, wait), err)
		}
		if err == nil {
			out, err = client.Outcome(ctx, set.ChangeID)
		} else {
			out, err = client.Change(ctx, set)
		}
	}
}

// pause waits for d and reports whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

func printOutcome(c *cli.Command, out wire.ChangeOutcome) error {
	var printed error
	if c.Bool("json") {
		printed = printJSON(c.Root().Writer, out)
	}
	var err error
	switch out.State {
	case stateAccepted, stateValid:
		if !c.Bool("json") {
			_, printed = fmt.Fprintf(c.Root().Writer, "%s: revision %d\n", out.State, max(out.Revision, out.CurrentRevision))
		}
	case stateConflict:
		err = errors.Wrapf(ErrConflict, "revision is %d", out.CurrentRevision)
	case stateInvalid:
		err = errors.Wrap(ErrInvalid, strings.Join(out.Problems, "\n"))
	default:
		err = errors.Wrapf(ErrPending, "change %s is %s", out.ChangeID, out.State)
	}
	return errors.CombineErrors(err, printed)
}
