package instance

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// busyShare and longRunnableWait are the share of the available processor time and the wait for it from which a
	// process logs its use of the processor.
	busyShare        = 0.1
	longRunnableWait = 20 * time.Millisecond
	// runnableQuantile is the quantile of the waits for the processor that is logged.
	runnableQuantile = 0.99
)

// Names of the runtime's metrics.
const (
	metricRunnable  = "/sched/latencies:seconds"
	metricCollector = "/cpu/classes/gc/total:cpu-seconds"
	metricCycles    = "/gc/cycles/total:gc-cycles"
	metricHeap      = "/gc/heap/live:bytes"
)

// processorUse is how a process used the processor since the last look: what took it, and how long goroutines that could
// run waited for it. It tells a process with too much work from one whose machine does other work.
type processorUse struct {
	samples []metrics.Sample
	waits   []uint64
	cycles  uint64
	// collected is the time of the garbage collector, as of the last cycle.
	collected float64
}

func newProcessorUse() *processorUse {
	u := &processorUse{}
	for _, name := range []string{metricRunnable, metricCollector, metricCycles, metricHeap} {
		u.samples = append(u.samples, metrics.Sample{Name: name})
	}
	return u
}

// log logs the use of the processor since the last call if it was high. used is the process's time on the processor in a
// period, share its share of what was available.
func (u *processorUse) log(used, period time.Duration, share float64) {
	metrics.Read(u.samples)
	waits := u.samples[0].Value.Float64Histogram()
	wait := u.newWaits(waits)
	collected, cycles := u.samples[1].Value.Float64(), u.samples[2].Value.Uint64()
	if share >= busyShare || wait >= longRunnableWait {
		klog.InfoS("processor", "usedMs", used.Milliseconds(), "periodMs", period.Milliseconds(), "waitMs", wait.Milliseconds(),
			"collectorMs", int((collected-u.collected)*1000), "collections", cycles-u.cycles,
			"heapBytes", u.samples[3].Value.Uint64())
	}
	u.waits = slices.Clone(waits.Counts)
	u.collected, u.cycles = collected, cycles
}

// newWaits returns the quantile runnableQuantile of the waits that were added to a histogram since the last look.
func (u *processorUse) newWaits(h *metrics.Float64Histogram) time.Duration {
	counts := slices.Clone(h.Counts)
	total := uint64(0)
	for i := range counts {
		if i < len(u.waits) {
			counts[i] -= u.waits[i]
		}
		total += counts[i]
	}
	above := uint64(float64(total) * (1 - runnableQuantile))
	for i := len(counts) - 1; i >= 0; i-- {
		if counts[i] > above {
			return seconds(h.Buckets[i])
		}
		above -= counts[i]
	}
	return 0
}

// seconds returns the duration of a number of seconds, 0 for one that isn't finite.
func seconds(s float64) time.Duration {
	if math.IsInf(s, 0) || math.IsNaN(s) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
