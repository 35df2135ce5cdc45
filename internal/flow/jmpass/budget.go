package jmpass

import "time"

// budget is a token bucket. It is full at its first use.
type budget struct {
	tokens float64
	at     time.Time
}

// take takes tokens out, and reports whether there were enough. The bucket gains
// rate tokens in a second and holds burst at most.
func (b *budget) take(now time.Time, count int, rate, burst float64) bool {
	if b.at.IsZero() {
		b.at, b.tokens = now, burst
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, burst)
	b.at = now
	if b.tokens < float64(count) {
		return false
	}
	b.tokens -= float64(count)
	return true
}
