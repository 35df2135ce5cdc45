// Package client is the callers' side of the load balancer: it opens flows to
// a service, sends requests and opens feeds over them, retries what is safe to
// retry, and moves to new paths when old ones go silent.
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// DefaultMaxAnswer bounds an answer in bytes unless Caller.MaxAnswer is set.
const DefaultMaxAnswer = 64 << 20

// ErrTooLarge reports an answer beyond Caller.MaxAnswer.
var ErrTooLarge = errors.New("answer is too large")

// Error reports a request without an answer. Outcome is OutcomeNotRun if the
// request did not run and never will, and OutcomeUnknown if it may have run.
type Error struct {
	Outcome    jasminemoor.Outcome
	Reason     string
	RetryAfter time.Duration
}

// Error returns the outcome and its reason.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Outcome, e.Reason) }

// Request is one request to a service.
type Request struct {
	// ID identifies the request over all its attempts, also those of a later
	// Do with the same ID. A zero ID is replaced by a random one.
	ID jasminemoor.RequestID
	// Idempotent requests may run more than once.
	Idempotent bool
	Body       []byte
}

// Answer is the answer to a request.
type Answer struct {
	Body []byte
	// RanAt names the agent whose upstream ran the request.
	RanAt jasminemoor.Identity
	// Attempts is how often the request was sent.
	Attempts int
}

// Caller calls one service. The exported fields are set before the first call;
// the methods are safe for concurrent use.
type Caller struct {
	// Address is the service's address.
	Address netip.AddrPort
	// ServerName is the service's name, which its certificate must have.
	ServerName string
	// TLS gives the trusted roots. It may be nil.
	TLS *tls.Config
	// MaxAnswer bounds an answer in bytes.
	MaxAnswer int64

	mu       sync.Mutex
	flows    map[*flow]struct{}
	current  *flow
	budget   budget
	isClosed bool
	dialing  chan struct{} // closed when the dial under way has ended
}

// Stats tells what a caller did so far.
type Stats struct {
	OpenFlows int
	Moves     uint64 // moves of open flows to a new local port
}

// Stats returns what the caller did so far.
func (c *Caller) Stats() (s Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f := range c.flows {
		s.OpenFlows++
		s.Moves += f.moves.Load()
	}
	return s
}

// Close ends all flows, and with them what is open on them.
func (c *Caller) Close() error {
	c.mu.Lock()
	c.isClosed = true
	flows := c.flows
	c.flows = nil
	c.mu.Unlock()
	for f := range flows {
		f.close()
		<-f.ended
	}
	return nil
}

// usableFlow returns the current flow, or opens one. Concurrent callers share one dial.
func (c *Caller) usableFlow(ctx context.Context) (f *flow, err error) {
	for {
		c.mu.Lock()
		if c.isClosed {
			c.mu.Unlock()
			return nil, errors.New("caller is closed")
		}
		if c.current != nil && c.current.isUsable() {
			f = c.current
			c.mu.Unlock()
			return f, nil
		}
		if wait := c.dialing; wait != nil {
			c.mu.Unlock()
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		done := make(chan struct{})
		c.dialing = done
		c.mu.Unlock()
		f, err = c.dialFlow(ctx)
		c.adopt(f)
		close(done)
		return f, err
	}
}

// adopt makes a new flow the current one and retires the last. A nil flow only
// ends the dial.
func (c *Caller) adopt(f *flow) {
	c.mu.Lock()
	c.dialing = nil
	if f == nil {
		c.mu.Unlock()
		return
	}
	last := c.current
	c.current = f
	if c.flows == nil {
		c.flows = make(map[*flow]struct{})
	}
	c.flows[f] = struct{}{}
	isClosed := c.isClosed
	c.mu.Unlock()
	if last != nil {
		last.retire()
	}
	if isClosed {
		f.close()
		return
	}
	go func() {
		<-f.ended
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, f)
	}()
}

func (c *Caller) maxAnswer() int64 {
	if c.MaxAnswer == 0 {
		return DefaultMaxAnswer
	}
	return c.MaxAnswer
}
