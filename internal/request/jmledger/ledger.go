// Package jmledger records the non-idempotent requests of one agent, so that
// each runs at most once there, and answers the fences of other agents.
//
// An entry goes from pending to running to done. Only Start moves a request to
// running, under the ledger's lock. Once a pending request is fenced, Start
// fails, so the agent that set the fence may run the request instead.
package jmledger

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// The defaults of the fields of Ledger.
const (
	DefaultKeep           = 10 * time.Minute
	DefaultMaxEntries     = 100_000
	DefaultMaxAnswerBytes = 16 << 20
	// MaxAnswer is the largest single answer that is stored, in bytes.
	MaxAnswer = 256 << 10
)

// ErrTooMany reports that the ledger is full and records no further request.
var ErrTooMany = errors.New("ledger holds too many requests")

type state uint8

const (
	statePending state = iota // received, but no byte was sent to an upstream or agent
	stateRunning              // bytes may have reached the upstream
	stateDone                 // ended, and the answer is stored
	stateLost                 // ran or may have run, and no answer is stored
	stateFenced               // must not run here
	stateRelayed              // relayed to another agent
)

// Ledger records requests and their answers. The zero value is ready to use
// with the default bounds. It is safe for concurrent use.
type Ledger struct {
	// Keep is how long a request stays recorded after its last change of state.
	// It must be longer than the delay of any late packet or retry.
	Keep           time.Duration
	MaxEntries     int
	MaxAnswerBytes int // all stored answers together

	mu          sync.Mutex
	entries     map[jasminemoor.RequestID]*entry
	byAge       list.List // of *entry, the least recently changed first
	answered    list.List // of *entry, those with a stored answer, the oldest first
	answerBytes int
}

type entry struct {
	id        jasminemoor.RequestID
	state     state
	relayedTo jasminemoor.Identity
	// isRelayFinal says that a fence got the answer FenceRelayed, after which the
	// relay can't be reverted.
	isRelayFinal bool
	fences       int // fences that were answered with "fenced"
	answer       []byte
	changed      time.Time
	ended        chan struct{} // closed when the request stops running
	ageElement   *list.Element // in Ledger.byAge
	// answerElement is in Ledger.answered, nil if no answer is stored.
	answerElement *list.Element
}

// Verdict tells whether a request that has arrived may run.
type Verdict uint8

// The verdicts of Begin and BeginRetry.
const (
	VerdictNew    Verdict = iota // it may run, and its entry is pending
	VerdictKnown                 // it arrived before, and Fence returns its state
	VerdictFenced                // it must not run
)

// Begin records a request that has arrived, unless it is recorded already. It
// returns ErrTooMany if the ledger is full.
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
	if _, err = l.add(id, statePending); err != nil {
		return VerdictFenced, err
	}
	return VerdictNew, nil
}

// Fences returns the number of times that a request has been fenced here.
func (l *Ledger) Fences(id jasminemoor.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.fences
	}
	return 0
}

// BeginRetry is like Begin, but lifts the fence of a request that has been
// fenced exactly as often as fences says. It is for a retry that names this
// agent as an earlier attempt. The caller reads the count with Fences before it
// fences the other attempts, so that a fence which arrives in the meantime stays
// in force.
func (l *Ledger) BeginRetry(id jasminemoor.RequestID, fences int) (v Verdict, err error) {
	if l.liftFence(id, fences) {
		return VerdictNew, nil
	}
	return l.Begin(id)
}

// liftFence makes a request pending that has been fenced exactly as often as fences says.
func (l *Ledger) liftFence(id jasminemoor.RequestID, fences int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != stateFenced || e.fences != fences {
		return false
	}
	l.setState(e, statePending)
	return true
}

// Start moves a pending request to running and reports whether it could. The
// first byte may be sent to the upstream only after Start has returned true.
func (l *Ledger) Start(id jasminemoor.RequestID) bool {
	return l.leavePending(id, stateRunning, jasminemoor.Identity{})
}

// MarkRelayed moves a pending request to relayed and reports whether it could. The
// request may be sent to the other agent only after MarkRelayed has returned true.
func (l *Ledger) MarkRelayed(id jasminemoor.RequestID, to jasminemoor.Identity) bool {
	return l.leavePending(id, stateRelayed, to)
}

// leavePending moves a request to the state next if it is pending.
func (l *Ledger) leavePending(id jasminemoor.RequestID, next state, to jasminemoor.Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != statePending {
		return false
	}
	e.relayedTo = to
	l.setState(e, next)
	return true
}

// RevertRelay moves a relayed request back to pending after the other agent has
// answered that it did not run it. It returns false if a fence got the answer
// FenceRelayed in the meantime, as the request may then run elsewhere, and if the
// request is not relayed.
func (l *Ledger) RevertRelay(id jasminemoor.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != stateRelayed || e.isRelayFinal {
		return false
	}
	l.setState(e, statePending)
	return true
}

// Abandon removes a pending request that is refused, so that a retry may run
// here. It leaves a request in any other state as it is.
func (l *Ledger) Abandon(id jasminemoor.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.state == statePending {
		l.remove(e)
	}
}

// Finish records the end of a running request. It stores the answer unless that
// is cut short or larger than MaxAnswer.
func (l *Ledger) Finish(id jasminemoor.RequestID, answer []byte, isWhole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.state != stateRunning {
		return
	}
	if !isWhole || len(answer) > MaxAnswer {
		l.setState(e, stateLost)
		return
	}
	e.answer = answer
	e.answerElement = l.answered.PushBack(e)
	l.answerBytes += len(answer)
	l.setState(e, stateDone)
	l.evictAnswers()
}

// Fence returns the state of a request, and keeps it from starting here if it
// has not started yet. It waits up to wait, or until ctx ends, for a running request
// to end. The only error is ErrTooMany: the request is not recorded, and the ledger
// is full.
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

// fenceNow is Fence without the wait. The channel ended is closed when a running
// request ends.
func (l *Ledger) fenceNow(id jasminemoor.RequestID) (f jasminemoor.Fence, ended <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	e := l.entries[id]
	if e == nil {
		if e, err = l.add(id, stateFenced); err != nil {
			return f, nil, err
		}
	}
	switch e.state {
	case statePending, stateFenced:
		l.setState(e, stateFenced)
		e.fences++
		f.State = jasminemoor.FenceFenced
	case stateRunning:
		f.State = jasminemoor.FenceRunning
	case stateDone:
		f.State, f.Answer = jasminemoor.FenceDone, e.answer
	case stateLost:
		f.State = jasminemoor.FenceLost
	case stateRelayed:
		e.isRelayFinal = true
		f.State, f.To = jasminemoor.FenceRelayed, e.relayedTo
	}
	return f, e.ended, nil
}

// Len returns the number of recorded requests and the size of all stored
// answers in bytes.
func (l *Ledger) Len() (entries, answerBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.answerBytes
}

// add adds an entry in the given state.
func (l *Ledger) add(id jasminemoor.RequestID, s state) (*entry, error) {
	if len(l.entries) >= orDefault(l.MaxEntries, DefaultMaxEntries) {
		return nil, ErrTooMany
	}
	if l.entries == nil {
		l.entries = make(map[jasminemoor.RequestID]*entry)
	}
	e := &entry{id: id, state: s, ended: make(chan struct{}), changed: time.Now()}
	e.ageElement = l.byAge.PushBack(e)
	l.entries[id] = e
	return e, nil
}

func (l *Ledger) setState(e *entry, next state) {
	wasRunning := e.state == stateRunning
	e.state = next
	e.changed = time.Now()
	l.byAge.MoveToBack(e.ageElement)
	if wasRunning {
		close(e.ended)
	}
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.id)
	l.byAge.Remove(e.ageElement)
	l.dropAnswer(e)
}

func (l *Ledger) dropAnswer(e *entry) {
	if e.answerElement == nil {
		return
	}
	l.answered.Remove(e.answerElement)
	l.answerBytes -= len(e.answer)
	e.answer, e.answerElement = nil, nil
}

// expire removes the requests that have not changed for Keep. Pending and
// running requests stay, however old.
func (l *Ledger) expire() {
	cutoff := time.Now().Add(-orDefault(l.Keep, DefaultKeep))
	var next *list.Element
	for element := l.byAge.Front(); element != nil; element = next {
		next = element.Next()
		e := element.Value.(*entry)
		if e.changed.After(cutoff) {
			return
		}
		if e.state != stateRunning && e.state != statePending {
			l.remove(e)
		}
	}
}

// evictAnswers drops the oldest answers until the rest are within
// MaxAnswerBytes. The entries stay in the state lost, as the request has run but
// its answer can't be repeated.
func (l *Ledger) evictAnswers() {
	bound := orDefault(l.MaxAnswerBytes, DefaultMaxAnswerBytes)
	for l.answerBytes > bound {
		e := l.answered.Front().Value.(*entry)
		l.dropAnswer(e)
		e.state = stateLost
	}
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T ~int | ~int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
