package exchange

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// silentAddress returns an address that doesn't answer new connections: the queue of its listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	is.NoErr(err)
	bound, ok := name.(*unix.SockaddrInet4)
	is.True(ok)
	address := fmt.Sprint("127.0.0.1:", bound.Port)
	for range 10 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue of the listener isn't full")
	return ""
}

// TestProcessIsTakenForGone guards against a process that is taken for gone though it listens or may be behind a link that is cut, and
// against one that is gone and isn't taken for it.
func TestProcessIsTakenForGone(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	is.True(!IsRefused(ctx, address))
	l.Close()
	is.True(IsRefused(ctx, address))
	is.True(!IsRefused(ctx, silentAddress(t)))
	<-ctx.Done()
	is.True(!IsRefused(ctx, address)) // not asked
}
