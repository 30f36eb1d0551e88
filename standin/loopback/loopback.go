// Package loopback restricts the addresses of fakes and of generated load to the loopback interface.
package loopback

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// ErrNotLoopback is returned for an address that isn't on the loopback interface.
var ErrNotLoopback = errors.New("address is not on the loopback interface")

// Check returns ErrNotLoopback unless each address consists of an IP number of the loopback interface and a port.
func Check(addresses ...string) error {
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "address %q is not an IP number with a port", a), ErrNotLoopback)
		}
		if !ap.Addr().IsLoopback() {
			return errors.Wrapf(ErrNotLoopback, "%s", a)
		}
	}
	return nil
}

// Listen opens a TCP listener on a loopback address. It returns ErrNotLoopback for any other address.
func Listen(address string) (net.Listener, error) {
	if err := Check(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}
