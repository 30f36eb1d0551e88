package instance

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/control"
)

// loadInterval is the period at which the instance's load is measured.
const loadInterval = time.Second

// reportLoad reports the load to the control goroutine once per loadInterval until ctx ends. The load is the fraction,
// from 0 to 1, of the available processor time that this process used since the previous report.
func (x *Instance) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	lastUsed, lastAt := processorTime(), time.Now()
	use := newProcessorUse()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			used := processorTime()
			fraction := float64(used-lastUsed) / float64(now.Sub(lastAt)) / float64(runtime.GOMAXPROCS(0))
			use.log(used-lastUsed, now.Sub(lastAt), fraction)
			lastUsed, lastAt = used, now
			x.loop.Deliver(ctx, control.LoadMeasured{Share: min(max(fraction, 0), 1)})
		}
	}
}

// processorTime returns the processor time that the process has used since its start, 0 if it can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		klog.ErrorS(err, "processor time not read")
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
