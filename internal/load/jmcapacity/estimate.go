// Package jmcapacity learns from an upstream's answers how long its work takes, and says
// how long a new request would take there. It needs no probes, and knows nothing of
// packets or reports.
package jmcapacity

import "time"

const (
	// newestWeight is the weight of the newest sample in the usual time.
	newestWeight = 1.0 / 16
	// TailFactor is the multiple of the usual time beyond which work belongs to the tail.
	TailFactor = 3
	// shareWeight is the weight of the newest sample in the tail's share, and tailWeight
	// that of the newest one of the tail in its time.
	shareWeight = 1.0 / 64
	tailWeight  = 1.0 / 8
	// minSamples is how many samples a key needs to have a time of its own.
	minSamples = 8
	// maxKeys bounds the keys. Any more count as the work of all keys together.
	maxKeys = 64
	// Memory is how long the samples count after the newest one. An upstream that gets
	// no requests, since it was slow, is then taken to be like any other again.
	Memory = 5 * time.Second
)

// work is what is known of the time of one kind of work. Times are in nanoseconds.
type work struct {
	samples   int
	newest    time.Time
	usual     float64 // EWMA of samples, of which none counts beyond TailFactor
	tailShare float64 // EWMA
	tailTime  float64 // EWMA of the samples beyond TailFactor
}

func (w *work) record(now time.Time, took time.Duration) {
	if now.Sub(w.newest) > Memory {
		w.samples = 0
	}
	w.newest = now
	w.samples++
	sample := float64(took)
	if w.samples == 1 {
		w.usual, w.tailShare, w.tailTime = sample, 0, 0
		return
	}
	limit, isTail := TailFactor*w.usual, 0.0
	if sample > limit {
		isTail = 1
		if w.tailTime == 0 {
			w.tailTime = sample
		}
		w.tailTime += tailWeight * (sample - w.tailTime)
	}
	w.tailShare += shareWeight * (isTail - w.tailShare)
	w.usual += max(newestWeight, 1/float64(w.samples)) * (min(sample, limit) - w.usual)
}

// isKnown reports whether the samples still count.
func (w *work) isKnown(now time.Time) bool { return w.samples > 0 && now.Sub(w.newest) <= Memory }

// mean returns the mean time, including the tail.
func (w *work) mean() float64 {
	return w.usual + w.tailShare*max(0, w.tailTime-TailFactor*w.usual)
}

// Estimate is what is known of the work of one upstream, by a key for each kind of
// work, such as the route. The zero value knows nothing. It is not safe for concurrent
// use.
type Estimate[K comparable] struct {
	all   work
	byKey map[K]*work
}

// Record adds a sample: the time from when an upstream began to work on a request until
// its answer began. The time that the request has waited for a slot is not part of it.
func (e *Estimate[K]) Record(now time.Time, key K, took time.Duration) {
	if took <= 0 {
		return
	}
	e.all.record(now, took)
	w := e.byKey[key]
	if w == nil {
		if len(e.byKey) >= maxKeys {
			return
		}
		if e.byKey == nil {
			e.byKey = make(map[K]*work)
		}
		w = &work{}
		e.byKey[key] = w
	}
	w.record(now, took)
}

// Usual returns how long the work of a request of any key takes, without the tail. It is
// 0 if that is not known.
func (e *Estimate[K]) Usual(now time.Time) time.Duration {
	if !e.all.isKnown(now) {
		return 0
	}
	return time.Duration(e.all.usual)
}

// Mean returns the mean time of the work of a request of any key, including the tail. It
// is 0 if that is not known.
func (e *Estimate[K]) Mean(now time.Time) time.Duration {
	if !e.all.isKnown(now) {
		return 0
	}
	return time.Duration(e.all.mean())
}

// TailShare returns the share of the requests whose work takes more than TailFactor
// times the usual time.
func (e *Estimate[K]) TailShare() float64 { return e.all.tailShare }

// UsualOf returns how long the work of a request with the key takes, without the tail.
// Where too few such requests were seen, it is that of any key.
func (e *Estimate[K]) UsualOf(now time.Time, key K) time.Duration {
	if w := e.byKey[key]; w != nil && w.samples >= minSamples && w.isKnown(now) {
		return time.Duration(w.usual)
	}
	return e.Usual(now)
}

// Load is the work that an upstream has in hand.
type Load struct {
	// InFlight is the number of requests at the upstream, also those that wait there.
	InFlight int
	// Overdue is the number of them that belong to the tail: each has been worked on for
	// more than TailFactor times the usual time, and holds its slot for longer.
	Overdue int
	// Queued is the number of requests that wait for the upstream elsewhere.
	Queued int
	// Slots is the number of requests that the upstream works on at a time.
	Slots int
	// FeedRate is how many requests a second the open long flows ask.
	FeedRate float64
}

// Rate returns how many requests a second the upstream answers while all its slots work,
// 0 if that is not known.
func (e *Estimate[K]) Rate(now time.Time, l Load) float64 {
	if !e.all.isKnown(now) || l.Slots < 1 {
		return 0
	}
	overdue := min(l.Overdue, l.Slots)
	rate := float64(l.Slots-overdue) / e.all.mean()
	if overdue > 0 {
		// How long work of the tail goes on is as little known as at its beginning.
		rate += float64(overdue) / max(e.all.tailTime, TailFactor*e.all.usual)
	}
	return rate * float64(time.Second)
}

// Wait returns how long a request that arrives now would take until its answer begins,
// with the time of its own work, 0 if that is not known. Requests in hand, and those that
// the long flows will have at the upstream on average, share its slots.
func (e *Estimate[K]) Wait(now time.Time, own time.Duration, l Load) time.Duration {
	rate := e.Rate(now, l)
	if rate == 0 {
		return 0
	}
	requests := float64(l.InFlight-min(l.Overdue, l.InFlight)+l.Queued) + l.FeedRate*e.all.mean()/float64(time.Second)
	return own + time.Duration(requests/rate*float64(time.Second))
}
