package fake

import (
	"context"
)

// Stop takes no further connection and finishes calls in flight, until the context ends; what is
// still running then is cut off.
func (f *Fake) Stop(ctx context.Context) error {
	err := f.server.Shutdown(ctx)
	close(f.closing)
	if err != nil {
		return f.server.Close()
	}
	return nil
}
