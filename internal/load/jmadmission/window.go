// Package jmadmission limits how many new flows an upstream gets.
package jmadmission

import "time"

// Window admits at most Limit in any span of Span, whatever its beginning. A Window
// without a Limit admits everything and records nothing. It stores at most Limit times.
//
// Times passed to a Window must not go back. It is not safe for concurrent use.
type Window struct {
	// Limit is the most admissions in a span, 0 for no limit. A lower one set later counts
	// what was admitted before.
	Limit int
	// Span is one second if it is not set.
	Span time.Duration

	admitted []time.Time // the admissions of the last span, the oldest first
}

// Allow admits one if there is room, and reports whether it did.
func (w *Window) Allow(now time.Time) bool {
	w.advance(now)
	if w.Limit > 0 && len(w.admitted) >= w.Limit {
		return false
	}
	w.record(now)
	return true
}

// Record counts an admission that was not asked for, whether there is room or not.
func (w *Window) Record(now time.Time) {
	w.advance(now)
	w.record(now)
}

func (w *Window) record(now time.Time) {
	if w.Limit <= 0 {
		return
	}
	if n := len(w.admitted) - w.Limit; n >= 0 {
		// The newest count for the longest time.
		w.admitted = append(w.admitted[:0], w.admitted[n+1:]...)
	}
	w.admitted = append(w.admitted, now)
}

// Count returns the number of admissions in the span that ends now.
func (w *Window) Count(now time.Time) int {
	w.advance(now)
	return len(w.admitted)
}

// Room returns how many more could be admitted now. It is 0 or more, and meaningless
// without a limit.
func (w *Window) Room(now time.Time) int {
	return max(w.Limit-w.Count(now), 0)
}

// advance drops the admissions that are older than the span.
func (w *Window) advance(now time.Time) {
	n := 0
	for n < len(w.admitted) && now.Sub(w.admitted[n]) > w.span() {
		n++
	}
	if n > 0 {
		w.admitted = append(w.admitted[:0], w.admitted[n:]...)
	}
}

func (w *Window) span() time.Duration {
	if w.Span > 0 {
		return w.Span
	}
	return time.Second
}
