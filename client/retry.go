package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxDeclared is how many earlier attempts a request can name.
	maxDeclared = 16
)

// Do sends a request and returns its answer. It retries for as long as ctx
// lasts: a request that did not run within the retry budget, and one whose
// attempt broke off by asking the agents of all earlier attempts first, so
// that a non-idempotent request never runs twice. Errors other than *Error
// come from ctx and from answers beyond MaxAnswer.
func (c *Caller) Do(ctx context.Context, r Request) (answer *Answer, err error) {
	if r.ID == (jasminemoor.RequestID{}) {
		r.ID = jasminemoor.NewRequestID()
	}
	c.budget.earn()
	a := &attempts{
		pick:      func(ctx context.Context) (path, error) { return c.usableFlow(ctx) },
		budget:    &c.budget,
		maxAnswer: c.maxAnswer(),
		request:   r,
	}
	return a.run(ctx)
}

// path is one way to an agent: a flow, or a fake in tests.
type path interface {
	// agent names the agent at the other end.
	agent() jasminemoor.Identity
	// request does one attempt of a request. An error means that the attempt's
	// fate is not known, save that wasSent tells whether anything was sent.
	request(ctx context.Context, header *jasminemoor.RequestHeader, body []byte, limit int64) (status jasminemoor.Status, answer []byte, wasSent bool, err error)
}

// attempts is the state of one request over its attempts.
type attempts struct {
	pick      func(ctx context.Context) (path, error)
	budget    *budget
	maxAnswer int64
	request   Request

	count int
	// declared are the agents that may have got the request.
	declared []jasminemoor.Identity
	// isUnaccounted says that an attempt may have run.
	isUnaccounted bool
	retryAfter    time.Duration
	backoff       time.Duration
	reason        string
}

// run does attempts until one settles the request or ctx ends.
func (a *attempts) run(ctx context.Context) (answer *Answer, err error) {
	a.backoff = minBackoff
	for {
		answer, err = a.once(ctx)
		if answer != nil || err != nil {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, a.verdict(ctx.Err().Error())
		case <-time.After(a.wait()):
		}
	}
}

// once does one attempt. It returns neither an answer nor an error if another
// attempt should follow.
func (a *attempts) once(ctx context.Context) (answer *Answer, err error) {
	p, err := a.pick(ctx)
	if err != nil {
		a.reason = err.Error()
		if ctx.Err() != nil {
			return nil, a.verdict(a.reason)
		}
		return nil, nil
	}
	status, body, wasSent, err := p.request(ctx, a.header(ctx), a.request.Body, a.maxAnswer)
	if wasSent {
		a.count++
	}
	if errors.Is(err, ErrTooLarge) {
		return nil, err
	}
	if err != nil {
		return nil, a.broken(ctx, p.agent(), wasSent, err)
	}
	switch status.Outcome {
	case jasminemoor.OutcomeAccepted:
		return &Answer{Body: body, RanAt: status.RanAt, Attempts: a.count}, nil
	case jasminemoor.OutcomeNotRun:
		return nil, a.notRun(status)
	}
	return nil, a.unknown(status)
}

func (a *attempts) header(ctx context.Context) *jasminemoor.RequestHeader {
	header := &jasminemoor.RequestHeader{
		ID:         a.request.ID,
		Kind:       jasminemoor.KindRequest,
		Idempotent: a.request.Idempotent,
		Attempts:   a.declared,
	}
	if deadline, found := ctx.Deadline(); found {
		header.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	return header
}

// broken handles an attempt whose fate is not known.
func (a *attempts) broken(ctx context.Context, at jasminemoor.Identity, wasSent bool, err error) error {
	a.reason = err.Error()
	a.isUnaccounted = a.isUnaccounted || wasSent
	if wasSent && !a.request.Idempotent && !slices.Contains(a.declared, at) {
		a.declared = append(a.declared, at)
	}
	if ctx.Err() != nil || len(a.declared) > maxDeclared {
		return a.verdict(a.reason)
	}
	return nil
}

func (a *attempts) notRun(status jasminemoor.Status) error {
	a.reason = status.Reason
	a.retryAfter = status.RetryAfter
	if !a.budget.spend() {
		return &Error{Outcome: a.outcome(), Reason: status.Reason, RetryAfter: status.RetryAfter}
	}
	return nil
}

// unknown handles an attempt of which an agent says that it may have run.
func (a *attempts) unknown(status jasminemoor.Status) error {
	a.reason = status.Reason
	a.isUnaccounted = true
	if a.request.Idempotent && a.budget.spend() {
		return nil
	}
	return &Error{Outcome: jasminemoor.OutcomeUnknown, Reason: status.Reason}
}

// verdict is the error of a request that is given up.
func (a *attempts) verdict(reason string) error {
	return &Error{Outcome: a.outcome(), Reason: reason}
}

// outcome is what is known of a request without an answer: it did not run if
// no attempt is unaccounted for.
func (a *attempts) outcome() jasminemoor.Outcome {
	if a.isUnaccounted {
		return jasminemoor.OutcomeUnknown
	}
	return jasminemoor.OutcomeNotRun
}

// wait returns how long to wait before the next attempt, with jitter.
func (a *attempts) wait() time.Duration {
	wait := max(a.backoff, a.retryAfter)
	a.retryAfter = 0
	a.backoff = min(a.backoff*2, maxBackoff)
	return wait/2 + rand.N(wait)
}

// budget bounds the retries of refused requests to a share of the requests, so
// that retries never multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
	isUsed bool
}

const (
	budgetShare   = 0.1 // retries for each request
	budgetReserve = 10  // retries that are allowed at first, and saved up at most
)

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.tokens = min(b.tokens+budgetShare, budgetReserve)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) begin() {
	if !b.isUsed {
		b.isUsed = true
		b.tokens = budgetReserve
	}
}
