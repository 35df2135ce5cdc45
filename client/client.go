// Package client is the callers' library of the load balancer: it opens flows to a
// service, sends requests and opens feeds over them, and retries what is safe to
// retry. When no datagrams arrive, it first moves a flow to a new local port, and
// then opens a new flow.
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
	// Idempotent says that the request may run more than once.
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
	// TLS is the base of the TLS configuration, with the trusted roots. It may be nil.
	TLS *tls.Config
	// MaxAnswer bounds an answer in bytes. If it is zero, DefaultMaxAnswer does.
	MaxAnswer int64

	mu       sync.Mutex
	flows    map[*flow]struct{}
	current  *flow
	budget   budget
	isClosed bool
	dialDone chan struct{} // closed at the end of the dial in progress; nil without one
}

// Stats describes the open flows of a caller.
type Stats struct {
	OpenFlows int
	Moves     uint64 // how often the open flows moved to a new local port
}

// Stats returns the statistics of the open flows.
func (c *Caller) Stats() (s Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f := range c.flows {
		s.OpenFlows++
		s.Moves += f.moves.Load()
	}
	return s
}

// Close closes all flows, which breaks off their feeds and the attempts of their
// requests. A call of Do in progress still returns only when its ctx ends.
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

// usableFlow returns the current flow if it is usable, and else opens a new one.
// Concurrent calls share one dial.
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
		if wait := c.dialDone; wait != nil {
			c.mu.Unlock()
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		done := make(chan struct{})
		c.dialDone = done
		c.mu.Unlock()
		f, err = c.dialFlow(ctx)
		c.setCurrent(f)
		close(done)
		return f, err
	}
}

// setCurrent makes a new flow the current one and drains the last. After a failed
// dial, the flow is nil, and only dialDone is cleared.
func (c *Caller) setCurrent(f *flow) {
	c.mu.Lock()
	c.dialDone = nil
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
		last.drain()
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

// maxAnswer returns MaxAnswer or its default.
func (c *Caller) maxAnswer() int64 {
	if c.MaxAnswer == 0 {
		return DefaultMaxAnswer
	}
	return c.MaxAnswer
}
