package route

import (
	"testing"
	"unsafe"

	"github.com/matryer/is"
)

// A field that is moved or added can make Pick read two cache lines of each candidate, which slows it down.
func TestFieldsReadByPickFillOneCacheLine(t *testing.T) {
	is := is.New(t)
	const cacheLine = 64
	is.Equal(unsafe.Offsetof(upstream{}.info), uintptr(cacheLine))
	is.Equal(unsafe.Sizeof(upstream{})%cacheLine, uintptr(0))
}
