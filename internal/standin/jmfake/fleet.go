package jmfake

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/request/jmserver"
)

// Fleet is a set of agents of one service. Limits, MaxDelay and Seed are set before
// Add.
type Fleet struct {
	Limits jmgate.Limits
	// MaxDelay bounds the random delay of each message.
	MaxDelay time.Duration
	Seed     uint64

	// Messages counts the messages between agents, except answers.
	Messages atomic.Uint64

	mu     sync.Mutex
	rng    *rand.Rand
	agents map[netip.AddrPort]*Agent  // the current incarnations
	order  []netip.AddrPort           // addresses in the order of Add
	cuts   map[[2]netip.AddrPort]bool // links that are cut, in each direction
}

// Agent is one incarnation of an agent.
type Agent struct {
	Server   jmserver.Server
	Gate     jmgate.Gate
	Ledger   jmledger.Ledger
	Meter    jmload.Meter
	Upstream *Upstream
	Leaving  atomic.Bool

	fleet  *Fleet
	ctx    context.Context
	kill   context.CancelFunc
	mu     sync.Mutex
	resume chan struct{} // closed while the agent is not paused
}

// Add starts an incarnation of an agent, with its upstream. It takes the place of
// an earlier one at the address.
func (f *Fleet) Add(address netip.AddrPort, upstream *Upstream) *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng == nil {
		f.rng = rand.New(rand.NewPCG(f.Seed, 1))
		f.agents = make(map[netip.AddrPort]*Agent)
		f.cuts = make(map[[2]netip.AddrPort]bool)
	}
	a := &Agent{fleet: f, Upstream: upstream, resume: make(chan struct{})}
	close(a.resume)
	a.ctx, a.kill = context.WithCancel(context.Background())
	a.Gate.SetLimits(f.Limits)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a.Server.Identity = jasminemoor.Identity{Agent: address, Incarnation: jasminemoor.NewIncarnation(time.Now())}
	a.Server.Gate, a.Server.Ledger, a.Server.Meter = &a.Gate, &a.Ledger, &a.Meter
	a.Server.Upstream = &dialer{agent: a}
	a.Server.Peers = &peers{agent: a}
	a.Server.IsClosed = a.Leaving.Load
	a.Server.Log = log
	if f.agents[address] == nil {
		f.order = append(f.order, address)
	}
	f.agents[address] = a
	return a
}

// Agent returns the current incarnation of an agent, nil if there is none.
func (f *Fleet) Agent(address netip.AddrPort) *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[address]
}

// RandomAgent returns the current incarnation of a random agent.
func (f *Fleet) RandomAgent() *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[f.order[f.rng.IntN(len(f.order))]]
}

// SetCut sets whether the link between two agents is cut, in both directions.
func (f *Fleet) SetCut(a, b netip.AddrPort, isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]netip.AddrPort{a, b}] = isCut
	f.cuts[[2]netip.AddrPort{b, a}] = isCut
}

func (f *Fleet) isCut(a, b netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]netip.AddrPort{a, b}]
}

// Delay sleeps for the random delay of one message.
func (f *Fleet) Delay() {
	f.mu.Lock()
	delay := time.Duration(0)
	if f.MaxDelay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.MaxDelay)))
	}
	f.mu.Unlock()
	time.Sleep(delay)
}

// Identity returns the identity of this incarnation.
func (a *Agent) Identity() jasminemoor.Identity { return a.Server.Identity }

// Kill ends this incarnation at once. Add starts the next one.
func (a *Agent) Kill() { a.kill() }

// IsDead reports whether this incarnation was killed.
func (a *Agent) IsDead() bool { return a.ctx.Err() != nil }

// Pause holds back everything that enters or leaves the agent until Resume.
func (a *Agent) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.resume:
		a.resume = make(chan struct{})
	default:
	}
}

// Resume ends a pause.
func (a *Agent) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.resume:
	default:
		close(a.resume)
	}
}

// waitResumed waits until the agent is not paused. It returns false if the agent
// was killed.
func (a *Agent) waitResumed() bool {
	a.mu.Lock()
	resume := a.resume
	a.mu.Unlock()
	select {
	case <-resume:
	case <-a.ctx.Done():
	}
	return a.ctx.Err() == nil
}

// Serve serves a caller's stream on the agent. It first waits, without a timeout,
// until the agent is not paused. When the agent is killed, the stream is aborted.
// onAdmitted becomes the OnAdmitted function of the server's stream.
func (a *Agent) Serve(header jasminemoor.RequestHeader, in jasminemoor.CallerStream, onAdmitted func() error) {
	if !a.waitResumed() {
		in.Abort()
		return
	}
	stop := context.AfterFunc(a.ctx, in.Abort)
	defer stop()
	a.Server.Serve(a.ctx, &jmserver.Stream{Header: header, In: in, OnAdmitted: onAdmitted})
}

// dialer connects to the agent's own upstream. It waits while the agent is paused,
// and aborts the connections of an agent that is killed.
type dialer struct {
	agent *Agent
}

// DialUpstream implements jasminemoor.UpstreamDialer.
func (d *dialer) DialUpstream(ctx context.Context, caller netip.AddrPort) (jasminemoor.ByteStream, error) {
	if !d.agent.waitResumed() {
		return nil, ErrLost
	}
	stream, err := d.agent.Upstream.DialUpstream(ctx, caller)
	if err == nil {
		context.AfterFunc(d.agent.ctx, stream.Abort)
	}
	return stream, err
}
