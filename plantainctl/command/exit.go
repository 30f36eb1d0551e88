package command

import (
	"github.com/cockroachdb/errors"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// Errors that set the exit code of a command.
var (
	// ErrUsage reports invalid flags or arguments.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict reports that the current revision isn't the change's base revision.
	ErrConflict = errors.New("revision conflict")
	// ErrInvalid reports declarations in which an instance found problems.
	ErrInvalid = errors.New("invalid declarations")
	// ErrPending reports a change or drain whose outcome wasn't known within the maximum wait.
	ErrPending = errors.New("outcome not known")
	// ErrDiffers reports that diff found differences.
	ErrDiffers = errors.New("differences found")
	// ErrWarnings reports that lint found warnings and no errors.
	ErrWarnings = errors.New("warnings found")
)

const (
	exitFailed  = 1
	exitInvalid = 4
)

// exitCodes holds the exit code of each error; all other errors exit with exitFailed. The help text in description
// lists the same codes.
var exitCodes = []struct {
	err  error
	code int
}{
	{ErrUsage, 2},
	{ErrConflict, 3},
	{ErrInvalid, exitInvalid},
	{jsonc.ErrInvalid, exitInvalid},
	{jsonc.ErrMalformed, exitInvalid},
	{declaration.ErrNoFile, exitInvalid},
	{ErrPending, 5},
	{operator.ErrCredential, 6},
	{operator.ErrNotFound, 7},
	{ErrDiffers, 8},
	{ErrWarnings, 9},
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return exitFailed
}
