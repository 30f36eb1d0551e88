package route

import (
	"testing"
	"unsafe"

	"github.com/matryer/is"
)

func TestCandidateFillsOneCacheLine(t *testing.T) {
	is := is.New(t)
	const cacheLine = 64
	is.Equal(unsafe.Offsetof(upstream{}.info), uintptr(cacheLine))
	is.Equal(unsafe.Sizeof(upstream{})%cacheLine, uintptr(0))
}
