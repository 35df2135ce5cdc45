package jmgateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseLimit is the least difference between two clocks that counts as a pause.
const pauseLimit = 300 * time.Millisecond

// pauseClock finds out how long the instance was suspended. The steady clock of
// the runtime does not count that time, and the one since boot does.
type pauseClock struct {
	steady time.Time
	boot   time.Duration
}

func newPauseClock() *pauseClock {
	return &pauseClock{steady: time.Now(), boot: sinceBoot()}
}

// since returns how long the instance was suspended since the last call, or 0.
func (c *pauseClock) since(now time.Time) (paused time.Duration) {
	boot := sinceBoot()
	if c.boot > 0 && boot > 0 {
		paused = boot - c.boot - now.Sub(c.steady)
	}
	c.steady, c.boot = now, boot
	if paused < pauseLimit {
		return 0
	}
	return paused
}

// sinceBoot returns the time since boot, suspensions included, or 0 if the
// system doesn't tell; then pauses of that kind go unnoticed.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
