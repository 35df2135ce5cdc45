package jmguard

import "time"

// A process ends after more than MaxDrops inputs dropped within DropWindow. A packet that a
// caller repeats, and an answer of the platform that is read again, stay below that.
const (
	MaxDrops   = 16
	DropWindow = 10 * time.Second
)

// drops holds the times of the last inputs that were dropped.
type drops struct {
	times [MaxDrops]time.Time
	next  int
}

// admit records an input dropped now and reports whether the process may go on.
func (d *drops) admit(now time.Time) bool {
	first := d.times[d.next]
	d.times[d.next] = now
	d.next = (d.next + 1) % len(d.times)
	return first.IsZero() || now.Sub(first) > DropWindow
}
