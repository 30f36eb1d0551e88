package fake

import (
	"context"
)

// Stop stops accepting connections and waits for the calls in flight. When ctx ends, it aborts the remaining
// calls, and returns an error only if the server can't be closed.
func (f *Fake) Stop(ctx context.Context) error {
	server, _ := f.current()
	err := server.Shutdown(ctx)
	close(f.closing)
	if err != nil {
		return server.Close()
	}
	return nil
}
