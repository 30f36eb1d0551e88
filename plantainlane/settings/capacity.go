package settings

// Limits are resources of an instance beside its processor cores. A value of 0 isn't known and limits nothing.
type Limits struct {
	// MemoryMB is the memory of the process, in MiB.
	MemoryMB int `json:"memoryMB"`
	// Descriptors is the number of files and sockets that the process may have open.
	Descriptors int `json:"descriptors"`
	// LinkMbps is the rate of the machine's link, in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// MemoryShare is the part of MemoryMB that the instance may use for what it holds for others, if another process uses the
	// rest; 0 counts as 1.
	MemoryShare float64 `json:"memoryShare"`
}

// What a processor core of work needs of the other resources. Machines with these proportions have no scarce resource, as
// the deployments in docs/design/README.md. A process without callers takes baseMemoryMB.
const (
	baseMemoryMB       = 24
	memoryMBPerCore    = 833
	descriptorsPerCore = 21_354
	linkMbpsPerCore    = 52
	// minCapacity is the capacity of an instance that has next to nothing of a resource.
	minCapacity = 0.001
)

// Memory returns the memory that the instance may use for what it holds for others, in bytes; 0 if it isn't known.
func (l *Limits) Memory() int64 {
	share := l.MemoryShare
	if share == 0 {
		share = 1
	}
	return int64(share * float64(int64(l.MemoryMB)<<20))
}

// Capacity returns the work that an instance can do compared with others, as allowed by the scarcest of its resources. The
// unit is the work of one processor core. It returns 0 if only the cores are known: they have a default.
func (s *Settings) Capacity() float64 {
	l := s.Limits
	if l == (Limits{}) {
		return 0
	}
	capacity := s.Instance.Cores
	for _, r := range []struct{ has, base, perCore float64 }{
		{float64(l.MemoryMB), baseMemoryMB, memoryMBPerCore},
		{float64(l.Descriptors), 0, descriptorsPerCore},
		{l.LinkMbps, 0, linkMbpsPerCore},
	} {
		if r.has > 0 {
			capacity = min(capacity, (r.has-r.base)/r.perCore)
		}
	}
	return max(capacity, minCapacity)
}
