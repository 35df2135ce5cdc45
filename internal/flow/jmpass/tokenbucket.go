package jmpass

import "time"

// tokenBucket is a token bucket. It is full at its first use.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// allow reports whether the bucket has count tokens, and removes them if so. The
// bucket gains rate tokens per second, up to burst.
func (b *tokenBucket) allow(now time.Time, count int, rate, burst float64) bool {
	if b.updated.IsZero() {
		b.updated, b.tokens = now, burst
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*rate, burst)
	b.updated = now
	if b.tokens < float64(count) {
		return false
	}
	b.tokens -= float64(count)
	return true
}
