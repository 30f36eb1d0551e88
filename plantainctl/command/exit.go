package command

import (
	"github.com/cockroachdb/errors"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// Errors that commands end with.
var (
	// ErrUsage reports wrong flags or arguments.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict reports that the configuration has moved on from the change's base revision.
	ErrConflict = errors.New("revision conflict")
	// ErrInvalid reports declarations that an instance refused.
	ErrInvalid = errors.New("invalid declarations")
	// ErrPending reports a change or drain whose outcome isn't known yet.
	ErrPending = errors.New("outcome not known")
	// ErrDiffers reports that diff found differences.
	ErrDiffers = errors.New("differences found")
)

const (
	exitFailed  = 1
	exitInvalid = 4
)

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
