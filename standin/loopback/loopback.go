// Package loopback keeps the traffic of fakes and load on the loopback interface.
package loopback

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// ErrNotLoopback marks an address that is not on the loopback interface.
var ErrNotLoopback = errors.New("address is not on loopback")

// Check returns ErrNotLoopback unless each address is an IP number of the loopback interface with
// a port.
func Check(addresses ...string) error {
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "address %q", a), ErrNotLoopback)
		}
		if !ap.Addr().IsLoopback() {
			return errors.Wrapf(ErrNotLoopback, "%s", a)
		}
	}
	return nil
}

// Listen opens a TCP listener on a loopback address. It returns ErrNotLoopback for any other.
func Listen(address string) (net.Listener, error) {
	if err := Check(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}
