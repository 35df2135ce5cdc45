package jmpassnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that a suspensionDetector reports.
const minSuspension = 300 * time.Millisecond

// suspensionDetector detects suspensions of the instance. The runtime's monotonic
// clock does not advance while the instance is suspended, but the kernel's clock
// since boot does.
type suspensionDetector struct {
	monotonic time.Time
	boot      time.Duration
}

func newSuspensionDetector() *suspensionDetector {
	return &suspensionDetector{monotonic: time.Now(), boot: sinceBoot()}
}

// check returns how long the instance was suspended since the last call, or 0.
func (d *suspensionDetector) check(now time.Time) (suspended time.Duration) {
	boot := sinceBoot()
	if d.boot > 0 && boot > 0 {
		suspended = boot - d.boot - now.Sub(d.monotonic)
	}
	d.monotonic, d.boot = now, boot
	if suspended < minSuspension {
		return 0
	}
	return suspended
}

// sinceBoot returns the time since boot, suspensions included, or 0 if the kernel
// has no such clock, in which case suspensions are not detected.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
