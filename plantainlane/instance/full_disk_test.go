package instance

import (
	"context"
	"io/fs"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestFullDiskAtStartEndsProcess guards against an instance that ends because the disk of its data folder is full when it starts,
// and against one that tries again for another reason, or for good.
func TestFullDiskAtStartEndsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := errors.Wrap(&fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}, "open journal")
		calls := 0
		is.NoErr(onceThereIsRoom(t.Context(), func() error {
			if calls++; calls < 9 {
				return full
			}
			return nil
		}))
		is.Equal(calls, 9)
		damaged := errors.New("damaged")
		is.Equal(onceThereIsRoom(t.Context(), func() error { return damaged }), damaged)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.True(errors.Is(onceThereIsRoom(ctx, func() error { return full }), syscall.ENOSPC))
	})
}
