package fake

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"plantainlane/wire"

	"k8s.io/klog/v2"
)

// relistenInterval is the pause between two attempts to listen again.
const relistenInterval = 50 * time.Millisecond

// isCrashedBy reports whether a call ends the process.
func isCrashedBy(fault wire.Fault, input []byte) bool {
	return fault.CrashInput != "" && bytes.Contains(input, []byte(fault.CrashInput))
}

// crash ends the process: it closes the listener and all connections. A new one starts at the same address after a time.
func (f *Fake) crash(downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return
	}
	f.isDown = true
	_ = f.server.Close()
	time.AfterFunc(downtime, f.restart)
}

// restart starts a new process, unless Stop was called.
func (f *Fake) restart() {
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		klog.ErrorS(err, "not started again", "upstream", f.id)
		time.AfterFunc(relistenInterval, f.restart)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closing:
		_ = l.Close()
		return
	default:
	}
	f.listener, f.server = l, f.newServer()
	f.isDown = false
	f.crashes++
	f.restarted <- struct{}{}
}

// current returns the server and the listener of the running process.
func (f *Fake) current() (*http.Server, net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server, f.listener
}

// Crashes returns the number of processes that have ended.
func (f *Fake) Crashes() int {
	_, crashes := f.lifetime()
	return crashes
}

// lifetime returns whether the process is down, and the number of those that have ended before.
func (f *Fake) lifetime() (isDown bool, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDown, f.crashes
}
