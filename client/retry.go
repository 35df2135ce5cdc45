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
	// maxDeclared is how many earlier attempts a request header can name.
	maxDeclared = 16
)

// Do sends a request and returns its answer. Until ctx ends, it retries a request
// whose attempt broke off, and, within the retry budget, one that an agent did not
// run, or an idempotent one that may have run. A retry of a non-idempotent request
// names the agents of all attempts that broke off; these are asked to fence them
// first, so that the request never runs twice. It is not retried once a retry would
// have to name more than 16 agents. An error is an *Error, or ErrTooLarge for an
// answer beyond MaxAnswer.
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

// path is a connection to an agent: a flow, or a fake in tests.
type path interface {
	// agent names the agent at the other end.
	agent() jasminemoor.Identity
	// request makes one attempt of a request. An error other than ErrTooLarge means
	// that the outcome is unknown, unless wasSent is false: the attempt did not run
	// then, as nothing was sent.
	request(ctx context.Context, header *jasminemoor.RequestHeader, body []byte, limit int64) (status jasminemoor.Status, answer []byte, wasSent bool, err error)
}

// attempts is the state of one request across its attempts.
type attempts struct {
	pick      func(ctx context.Context) (path, error)
	budget    *budget
	maxAnswer int64
	request   Request

	count int
	// declared are the agents that may have received a non-idempotent request. The
	// headers of later attempts name them.
	declared []jasminemoor.Identity
	// mayHaveRun says that the outcome of some attempt is unknown.
	mayHaveRun bool
	retryAfter time.Duration // delay that the last refusal asked for, 0 if none
	backoff    time.Duration
	reason     string
}

// run makes attempts until one returns an answer or a final error, or ctx ends.
func (a *attempts) run(ctx context.Context) (answer *Answer, err error) {
	a.backoff = minBackoff
	for {
		answer, err = a.attemptOnce(ctx)
		if answer != nil || err != nil {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, a.finalError(ctx.Err().Error())
		case <-time.After(a.nextDelay()):
		}
	}
}

// attemptOnce makes one attempt. It returns neither an answer nor an error if the
// request is to be retried.
func (a *attempts) attemptOnce(ctx context.Context) (answer *Answer, err error) {
	p, err := a.pick(ctx)
	if err != nil {
		a.reason = err.Error()
		if ctx.Err() != nil {
			return nil, a.finalError(a.reason)
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
		return nil, a.handleBroken(ctx, p.agent(), wasSent, err)
	}
	switch status.Outcome {
	case jasminemoor.OutcomeAccepted:
		return &Answer{Body: body, RanAt: status.RanAt, Attempts: a.count}, nil
	case jasminemoor.OutcomeNotRun:
		return nil, a.handleNotRun(status)
	}
	return nil, a.handleUnknown(status)
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

// handleBroken handles an attempt that ended with an error before the whole answer
// arrived.
func (a *attempts) handleBroken(ctx context.Context, at jasminemoor.Identity, wasSent bool, err error) error {
	a.reason = err.Error()
	a.mayHaveRun = a.mayHaveRun || wasSent
	if wasSent && !a.request.Idempotent && !slices.Contains(a.declared, at) {
		a.declared = append(a.declared, at)
	}
	if ctx.Err() != nil || len(a.declared) > maxDeclared {
		return a.finalError(a.reason)
	}
	return nil
}

// handleNotRun handles an attempt that did not run, according to the agent.
func (a *attempts) handleNotRun(status jasminemoor.Status) error {
	a.reason = status.Reason
	a.retryAfter = status.RetryAfter
	if !a.budget.spend() {
		return &Error{Outcome: a.outcome(), Reason: status.Reason, RetryAfter: status.RetryAfter}
	}
	return nil
}

// handleUnknown handles an attempt that may have run, according to the agent.
func (a *attempts) handleUnknown(status jasminemoor.Status) error {
	a.reason = status.Reason
	a.mayHaveRun = true
	if a.request.Idempotent && a.budget.spend() {
		return nil
	}
	return &Error{Outcome: jasminemoor.OutcomeUnknown, Reason: status.Reason}
}

// finalError returns the error of a request that is not retried again.
func (a *attempts) finalError(reason string) error {
	return &Error{Outcome: a.outcome(), Reason: reason}
}

// outcome returns the outcome of a request without an answer: unknown if an attempt
// may have run, and not run otherwise.
func (a *attempts) outcome() jasminemoor.Outcome {
	if a.mayHaveRun {
		return jasminemoor.OutcomeUnknown
	}
	return jasminemoor.OutcomeNotRun
}

// nextDelay returns the delay before the next attempt: the exponential backoff, with a
// jitter of half of it either way, or retryAfter if that is longer. The agent gives each
// refused request a time of its own, so that has no jitter.
func (a *attempts) nextDelay() time.Duration {
	delay := max(a.backoff/2+rand.N(a.backoff), a.retryAfter)
	a.retryAfter = 0
	a.backoff = min(a.backoff*2, maxBackoff)
	return delay
}

// budget is a token bucket that limits the retries of refused requests to a share of
// the requests, so that retries never multiply an overload.
type budget struct {
	mu       sync.Mutex
	tokens   float64
	isFilled bool
}

const (
	budgetPerRequest = 0.1 // tokens, and so retries, that each request adds
	budgetBurst      = 10  // capacity of the bucket, which is full at first
)

// earn adds the tokens of a new request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.tokens+budgetPerRequest, budgetBurst)
}

// spend removes a token for a retry, and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill fills the bucket before its first use.
func (b *budget) fill() {
	if !b.isFilled {
		b.isFilled = true
		b.tokens = budgetBurst
	}
}
