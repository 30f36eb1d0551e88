package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as text, such as "500ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration. The text of its error says what is expected, as package jsonc
// requires.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(`a duration such as "500ms" or "10s"`)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration in the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Secret is a text that formatting and encoding hide; convert it to a string to use it.
type Secret string

// String returns a placeholder for the secret.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder for the secret.
func (Secret) GoString() string { return "[secret]" }

// MarshalText returns a placeholder for the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }
