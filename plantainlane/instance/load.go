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

// reportLoad tells the control goroutine the share of the processors that this process uses, until ctx ends.
func (x *Instance) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	before, at := processorTime(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			used := processorTime()
			share := float64(used-before) / float64(now.Sub(at)) / float64(runtime.GOMAXPROCS(0))
			before, at = used, now
			x.loop.Deliver(ctx, control.LoadMeasured{Share: min(max(share, 0), 1)})
		}
	}
}

// processorTime is the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		klog.ErrorS(err, "processor time not read")
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
