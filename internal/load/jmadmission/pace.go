package jmadmission

import "time"

// Pace admits at most Burst + Rate, rounded down, in any second. It is a token bucket that
// is empty at first, so the bound also holds for processes that follow one another within
// a second and know nothing of their predecessors' admissions. A Pace without a Rate
// admits everything.
//
// Times passed to a Pace must not go back. It is not safe for concurrent use.
type Pace struct {
	// Rate is in admissions a second.
	Rate float64
	// Burst is at least 1 if Rate is set. With a lower one, nothing is admitted.
	Burst float64

	tokens  float64
	updated time.Time
}

// Advance adds the tokens of the time since the last call. Of a time without a call, only
// maxPause counts: the process may have been paused between its last admissions and what
// they led to. The owner calls it more often than that.
func (p *Pace) Advance(now time.Time) {
	if !p.updated.IsZero() {
		gained := min(now.Sub(p.updated), maxPause).Seconds() * p.Rate
		p.tokens = min(p.tokens+gained, p.Burst)
	}
	p.updated = now
}

// Allow admits one if there is a token for it, and reports whether it did.
func (p *Pace) Allow(now time.Time) bool {
	if p.Rate <= 0 {
		return true
	}
	p.Advance(now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Charge counts an admission that was not asked for. The debt is at most that of a second.
func (p *Pace) Charge(now time.Time) {
	p.Advance(now)
	p.tokens = max(p.tokens-1, -p.Rate)
}

// Remit remits the debt, for an owner that knows that what was admitted before does not
// count.
func (p *Pace) Remit() { p.tokens = max(p.tokens, 0) }

// maxPause is the longest time between two calls that counts in full.
const maxPause = 100 * time.Millisecond
