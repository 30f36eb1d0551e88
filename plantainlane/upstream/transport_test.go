package upstream

import (
	"io"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// TestFailedWriteBeforeRetryCutsAnswer guards against a whole answer without a length that counts as cut: the transport reports
// the failed write on a connection that was closed while idle before it writes the call on another one.
func TestFailedWriteBeforeRetryCutsAnswer(t *testing.T) {
	is := is.New(t)
	tracker := &writeTracker{check: func() error { return nil }, written: make(chan error, 1)}
	trace := tracker.trace()
	trace.GotConn(httptrace.GotConnInfo{Conn: &countingConn{}})
	trace.WroteRequest(httptrace.WroteRequestInfo{Err: io.ErrClosedPipe})
	trace.GotConn(httptrace.GotConnInfo{Conn: &countingConn{}})
	trace.WroteRequest(httptrace.WroteRequestInfo{})
	is.True(tracker.isWhole())
}
