package loopback

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Only IP numbers of the loopback interface with a port pass, so that fakes and generated load can't reach other hosts.
// A name fails because it can resolve to any address.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		address string
		want    error
	}{
		"IPv4":     {"127.0.0.1:80", nil},
		"IPv6":     {"[::1]:80", nil},
		"other":    {"192.0.2.1:80", ErrNotLoopback},
		"any":      {"0.0.0.0:80", ErrNotLoopback},
		"name":     {"localhost:80", ErrNotLoopback},
		"no port":  {"127.0.0.1", ErrNotLoopback},
		"no value": {"", ErrNotLoopback},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(Check(tt.address), tt.want))
		})
	}
}
