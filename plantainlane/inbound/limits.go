// Package inbound bounds what the connections that others open cost an instance: their number, the memory for heads of requests, and
// the memory for parts of streams that callers haven't read. At a bound, it closes the connections that have been idle, or have been
// sending a head, for the longest time.
package inbound

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bytesPerConn is the memory of one connection, in the process and its kernel buffers, without large heads and bodies.
	bytesPerConn = 32 << 10
	// minConns is the least number of connections, whatever the limits of the process.
	minConns = 64
	// The process's memory is divided by these for connections, for heads, and for unread parts of streams.
	connMemoryParts, headMemoryParts, streamMemoryParts = 1, 12, 16
	// unstatedMemoryParts divides the machine's memory: one part is the memory for connections if the process's memory isn't stated.
	unstatedMemoryParts = 4
	// unknownMemory is the machine's memory if that isn't known either.
	unknownMemory = 1 << 30
	// The memory for heads and unread parts of streams if the process's memory isn't known.
	defaultHeadBytes, defaultStreamBytes = 64 << 20, 64 << 20
	// operatorParts divides the connections: one part is for listeners for operators, upstreams and instances only, so that
	// callers can't keep these out.
	operatorParts = 16
	// unknownFDs is the number of descriptors if the process's limit isn't known.
	unknownFDs = 1024
	// reservedParts divides the connections: each listener has one part for itself, minReserved at least.
	reservedParts, minReserved = 64, 2
)

// Limits are the bounds of all listeners of a process together.
type Limits struct {
	// Conns is the number of connections, OperatorConns the number of further ones that only listeners that aren't for callers accept.
	Conns, OperatorConns int
	// ReservedConns is the number of connections of each listener that others can't take, however many come to those.
	ReservedConns int
	// HeadBytes is the memory for the heads of requests, StreamBytes that for parts of streams that callers haven't read.
	HeadBytes, StreamBytes int64
}

// LimitsOf returns the limits of a process with the given memory in bytes, and maxFDs descriptors; 0 where that isn't stated. Half of the
// descriptors are left for upstreams, connections to other instances and files.
func LimitsOf(memory int64, maxFDs int) Limits {
	conns := Descriptors(maxFDs) / 2
	l := Limits{HeadBytes: defaultHeadBytes, StreamBytes: defaultStreamBytes}
	if memory > 0 {
		l.HeadBytes, l.StreamBytes = memory/headMemoryParts, memory/streamMemoryParts
	} else {
		memory = machineMemory() / unstatedMemoryParts
	}
	conns = min(conns, int(memory/connMemoryParts/bytesPerConn))
	conns = max(conns, minConns)
	l.ReservedConns = max(conns/reservedParts, minReserved)
	l.OperatorConns = conns / operatorParts
	l.Conns = conns - l.OperatorConns
	return l
}

// Descriptors returns the number of descriptors that the process may open, at most maxFDs unless that is 0.
func Descriptors(maxFDs int) int {
	if maxFDs > 0 {
		return min(processFDs(), maxFDs)
	}
	return processFDs()
}

// machineMemory returns the memory of the machine, in bytes.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMemory
	}
	return int64(info.Totalram) * int64(info.Unit) //nolint:gosec // less than an exbibyte
}

// processFDs returns the number of descriptors that the process may open.
func processFDs() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return unknownFDs
	}
	return int(r.Cur) //nolint:gosec // bounded above
}

// Options are the properties of one listener.
type Options struct {
	// Name of the listener, for logs.
	Name string
	// ForCallers is set if the listener may not use Limits.OperatorConns.
	ForCallers bool
	// HeadLimit returns the largest size of a head in bytes, at least 4,096; 0 for no limit but that of the HTTP server. It may be nil.
	HeadLimit func() int
	// ExtraTimeouts returns by how much longer than the HTTP server's limits a head may take, and a connection may be idle. It may be nil.
	ExtraTimeouts func() (head, idle time.Duration)
}

func (o *Options) headLimit() int {
	if o.HeadLimit == nil {
		return 0
	}
	return o.HeadLimit()
}
