// Package jmledger makes sure that a non-idempotent request runs at most once
// at one agent, and tells other agents what became of it.
//
// An entry goes from pending to running to done. Only Start, under the
// ledger's lock, takes a request to running, and a fence that comes first
// stops it for good: whoever is told "fenced" may run the request elsewhere.
package jmledger

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Defaults of the ledger's bounds.
const (
	DefaultKeep           = 10 * time.Minute
	DefaultMaxEntries     = 100_000
	DefaultMaxAnswerBytes = 16 << 20
	// MaxAnswer is the largest single answer that is kept, in bytes.
	MaxAnswer = 256 << 10
)

// ErrTooMany reports that the ledger can't remember one more request.
var ErrTooMany = errors.New("ledger holds too many requests")

type state uint8

const (
	statePending  state = iota // seen, not a byte given away
	stateRunning               // bytes may have reached the upstream
	stateDone                  // ran to its end, the answer is kept
	stateLost                  // ran or may have run, no answer is kept
	stateFenced                // will never run here
	statePassedOn              // relayed to another agent
)

// Ledger remembers requests. The zero value is ready; it is safe for
// concurrent use.
type Ledger struct {
	// Keep is how long a request is remembered after its last change. It must
	// be longer than any late packet or retry can take.
	Keep           time.Duration
	MaxEntries     int
	MaxAnswerBytes int

	mu          sync.Mutex
	entries     map[jasminemoor.RequestID]*entry
	byAge       list.List // of *entry, the oldest change first
	answered    list.List // of *entry, those with a kept answer, the oldest first
	answerBytes int
}

type entry struct {
	id       jasminemoor.RequestID
	state    state
	to       jasminemoor.Identity
	isClosed bool // a fence was answered, so no further pass-on may follow
	fences   int  // answers of "fenced" that were given out
	answer   []byte
	changed  time.Time
	ended    chan struct{} // closed when the state is final
	place    *list.Element
	// answerPlace is in Ledger.answered, nil if no answer is kept.
	answerPlace *list.Element
}

// Verdict is what Begin says of a request.
type Verdict uint8

// The verdicts of Begin.
const (
	VerdictNew    Verdict = iota // go on, the entry is pending
	VerdictKnown                 // seen before: Fence tells what became of it
	VerdictFenced                // never run it
)

// Begin records a request that has arrived.
func (l *Ledger) Begin(id jasminemoor.RequestID) (v Verdict, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if e := l.entries[id]; e != nil {
		if e.state == stateFenced {
			return VerdictFenced, nil
		}
		return VerdictKnown, nil
	}
	if _, err = l.addLocked(id, statePending); err != nil {
		return VerdictFenced, err
	}
	return VerdictNew, nil
}

// Fences returns how often a request has been fenced here.
func (l *Ledger) Fences(id jasminemoor.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.fences
	}
	return 0
}

// BeginAgain is as Begin, but lifts a fence if the request has been fenced
// just fences times. It is for a retry that names this agent as an earlier
// attempt: the count is taken before the other attempts are fenced, so that a
// fence which comes while they are asked stays in force.
func (l *Ledger) BeginAgain(id jasminemoor.RequestID, fences int) (v Verdict, err error) {
	l.mu.Lock()
	e := l.entries[id]
	if e != nil && e.state == stateFenced && e.fences == fences {
		l.change(e, statePending)
		l.mu.Unlock()
		return VerdictNew, nil
	}
	l.mu.Unlock()
	return l.Begin(id)
}

// Start takes a pending request to running. It must be called before the
// first byte is given to the upstream, and only if it returns true may one be.
func (l *Ledger) Start(id jasminemoor.RequestID) bool {
	return l.leavePending(id, stateRunning, jasminemoor.Identity{})
}

// PassOn records, before anything is sent, that a pending request is relayed
// to another agent. Only if it returns true may it be.
func (l *Ledger) PassOn(id jasminemoor.RequestID, to jasminemoor.Identity) bool {
	return l.leavePending(id, statePassedOn, to)
}

func (l *Ledger) leavePending(id jasminemoor.RequestID, next state, to jasminemoor.Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != statePending {
		return false
	}
	e.to = to
	l.change(e, next)
	return true
}

// TakeBack makes a passed-on request pending again after the other agent
// refused it as not run. It returns false if somebody was told in the
// meantime that the request was passed on.
func (l *Ledger) TakeBack(id jasminemoor.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != statePassedOn || e.isClosed {
		return false
	}
	l.change(e, statePending)
	return true
}

// Abandon forgets a pending request that is refused as not run, so that a
// retry here may run. A fenced or started one stays.
func (l *Ledger) Abandon(id jasminemoor.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == statePending {
		l.remove(e)
	}
}

// Finish records the end of a running request. A nil answer, one that is too
// large, or one cut short is not kept.
func (l *Ledger) Finish(id jasminemoor.RequestID, answer []byte, isWhole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != stateRunning {
		return
	}
	if !isWhole || len(answer) > MaxAnswer {
		l.change(e, stateLost)
		return
	}
	e.answer = answer
	e.answerPlace = l.answered.PushBack(e)
	l.answerBytes += len(answer)
	l.change(e, stateDone)
	l.dropOldAnswers()
}

// Fence answers for a request and makes sure that it never starts here if it
// has not started yet. It waits up to wait for a running one to end.
func (l *Ledger) Fence(ctx context.Context, id jasminemoor.RequestID, wait time.Duration) (f jasminemoor.Fence, err error) {
	f, ended, err := l.fenceNow(id)
	if err != nil || f.State != jasminemoor.FenceRunning || wait <= 0 {
		return f, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	f, _, err = l.fenceNow(id)
	return f, err
}

func (l *Ledger) fenceNow(id jasminemoor.RequestID) (f jasminemoor.Fence, ended <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	e := l.entries[id]
	if e == nil {
		if e, err = l.addLocked(id, stateFenced); err != nil {
			return f, nil, err
		}
	}
	switch e.state {
	case statePending, stateFenced:
		l.change(e, stateFenced)
		e.fences++
		f.State = jasminemoor.FenceFenced
	case stateRunning:
		f.State = jasminemoor.FenceRunning
	case stateDone:
		f.State, f.Answer = jasminemoor.FenceDone, e.answer
	case stateLost:
		f.State = jasminemoor.FenceLost
	case statePassedOn:
		e.isClosed = true
		f.State, f.To = jasminemoor.FencePassedOn, e.to
	}
	return f, e.ended, nil
}

// Len returns the number of remembered requests and the bytes of kept answers.
func (l *Ledger) Len() (entries, answerBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.answerBytes
}

func (l *Ledger) addLocked(id jasminemoor.RequestID, s state) (*entry, error) {
	if len(l.entries) >= orDefault(l.MaxEntries, DefaultMaxEntries) {
		return nil, ErrTooMany
	}
	if l.entries == nil {
		l.entries = make(map[jasminemoor.RequestID]*entry)
	}
	e := &entry{id: id, state: s, ended: make(chan struct{}), changed: time.Now()}
	e.place = l.byAge.PushBack(e)
	l.entries[id] = e
	return e, nil
}

func (l *Ledger) change(e *entry, next state) {
	wasRunning := e.state == stateRunning
	e.state = next
	e.changed = time.Now()
	l.byAge.MoveToBack(e.place)
	if wasRunning {
		close(e.ended)
	}
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.id)
	l.byAge.Remove(e.place)
	l.dropAnswer(e)
}

func (l *Ledger) dropAnswer(e *entry) {
	if e.answerPlace == nil {
		return
	}
	l.answered.Remove(e.answerPlace)
	l.answerBytes -= len(e.answer)
	e.answer, e.answerPlace = nil, nil
}

// expire forgets old requests. One that runs stays, however old.
func (l *Ledger) expire() {
	limit := time.Now().Add(-orDefault(l.Keep, DefaultKeep))
	var next *list.Element
	for place := l.byAge.Front(); place != nil; place = next {
		next = place.Next()
		e := place.Value.(*entry)
		if e.changed.After(limit) {
			return
		}
		if e.state != stateRunning && e.state != statePending {
			l.remove(e)
		}
	}
}

// dropOldAnswers keeps the kept answers within their bound. The entries stay,
// as lost: the request ran, but nobody can have its answer again.
func (l *Ledger) dropOldAnswers() {
	bound := orDefault(l.MaxAnswerBytes, DefaultMaxAnswerBytes)
	for l.answerBytes > bound {
		e := l.answered.Front().Value.(*entry)
		l.dropAnswer(e)
		e.state = stateLost
	}
}

func orDefault[T ~int | ~int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
