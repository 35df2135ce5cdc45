// Package jmnode is the control side of every process of the fleet: one
// goroutine that owns the settings, the members and the peers' loads, and that
// publishes an immutable view for the goroutines that carry traffic.
package jmnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmspread"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	tickInterval  = 100 * time.Millisecond
	inboxSize     = 1024
	loadInterval  = time.Second
	loadReceivers = 8 // peers that are told the load in each interval
)

// Node is the control side of one process. The exported fields are set before Run.
type Node struct {
	Identity   jasminemoor.Identity
	DataCentre string
	Platform   jasminemoor.Platform
	// Seeds are asked for the settings while none are known.
	Seeds []netip.AddrPort
	// SeedKey authenticates control traffic until the settings name a key.
	// Without one, the first settings can come from the platform only.
	SeedKey *jmdatagram.ControlKey
	// Send sends a datagram from the process's fleet socket.
	Send func(to netip.AddrPort, datagram []byte)
	// OwnLoad returns the process's load, and nil where it has none to report.
	OwnLoad func() *jasminemoor.LoadReport
	Log     logrus.FieldLogger

	// Loads holds the recent loads of the peers.
	Loads jmload.Board
	// Counters counts control traffic.
	Counters Counters

	view    atomic.Pointer[View]
	changed chan struct{}
	inbox   chan event
	start   sync.Once

	members      jmmember.Machine
	spread       jmspread.Machine
	loadSent     time.Time
	rng          *rand.Rand
	isLeaving    atomic.Bool
	hasAnnounced bool
}

// Counters counts control traffic since the process started.
type Counters struct {
	BytesSent      atomic.Uint64
	BytesCrossing  atomic.Uint64 // of BytesSent, to other data centres
	Dropped        atomic.Uint64 // datagrams that failed a check or found the inbox full
	PlatformCalls  atomic.Uint64
	PlatformErrors atomic.Uint64
	Exchanges      atomic.Uint64
}

// View is what the control goroutine publishes. It is immutable.
type View struct {
	Config *jmtree.Config // nil before the first settings
	States map[netip.AddrPort]jmmember.State
	// IsStale is set after a pause until a peer has answered.
	IsStale bool
	// IsReader says that this process watches the platform.
	IsReader bool
}

// StateOf returns what is believed of a member; an unknown one is taken to be alive.
func (v *View) StateOf(addr netip.AddrPort) jmmember.State { return v.States[addr] }

// IsUsable reports whether a member may get new work.
func (v *View) IsUsable(addr netip.AddrPort) bool {
	s := v.States[addr]
	return s.Liveness == jmmember.Alive && !s.IsLeaving
}

// event is an input of the control goroutine.
type event func(now time.Time)

func (n *Node) init() {
	n.start.Do(func() {
		seed := uint64(n.Identity.Incarnation)
		n.rng = rand.New(rand.NewPCG(seed, uint64(n.Identity.Agent.Port())))
		self := jmmember.Member{Address: n.Identity.Agent, DataCentre: n.DataCentre}
		n.members = jmmember.Machine{Self: self, Incarnation: n.Identity.Incarnation, Rand: n.rng}
		n.spread = jmspread.Machine{Self: self, Rand: n.rng}
		n.changed = make(chan struct{}, 1)
		n.inbox = make(chan event, inboxSize)
		n.view.Store(&View{})
	})
}

// View returns the newest view.
func (n *Node) View() *View {
	n.init()
	return n.view.Load()
}

// Changed receives a value after the view has changed. It is for one reader.
func (n *Node) Changed() <-chan struct{} {
	n.init()
	return n.changed
}

// Leave announces that the process takes no new work.
func (n *Node) Leave() {
	n.isLeaving.Store(true)
}

// Run drives the node until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.init()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { n.followPlatform(ctx) })
	wg.Go(func() { n.askSeeds(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.tick(now)
		case e := <-n.inbox:
			e(time.Now())
		}
		n.publishIfChanged()
	}
}

// do hands an event to the control goroutine, or drops it if the inbox is full.
func (n *Node) do(e event) {
	n.init()
	select {
	case n.inbox <- e:
	default:
		n.Counters.Dropped.Add(1)
	}
}

func (n *Node) tick(now time.Time) {
	// The ticker's time is when the tick was due; after a pause that is long ago.
	now = latest(now, time.Now())
	if n.isLeaving.Load() && !n.hasAnnounced {
		n.hasAnnounced = true
		n.members.Leave()
		n.announceLeave()
		n.sendLoad(now)
	}
	n.sendProbes(n.members.Tick(now))
	if now.Sub(n.loadSent) >= loadInterval {
		n.sendLoad(now)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (n *Node) publishIfChanged() {
	old := n.view.Load()
	membersChanged := n.members.TakeChanged()
	if !membersChanged && old.IsStale == n.members.IsStale() {
		return
	}
	states := n.members.States()
	n.publish(&View{
		Config:   old.Config,
		States:   states,
		IsStale:  n.members.IsStale(),
		IsReader: n.spread.IsReader(states),
	})
}

func (n *Node) publish(v *View) {
	n.view.Store(v)
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// putSubtrees takes settings in and, if they are new, puts them in force and
// tells a few peers.
func (n *Node) putSubtrees(subtrees []jasminemoor.Subtree) {
	news := n.spread.Put(subtrees)
	if len(news) == 0 {
		return
	}
	config := n.spread.Config()
	if config == nil {
		return
	}
	n.logSettings(n.view.Load().Config, config)
	n.members.SetMembers(membersOf(config))
	n.Loads.Retain(func(a netip.AddrPort) bool { _, _, found := config.ServiceOf(a); return found })
	states := n.members.States()
	n.publish(&View{
		Config:   config,
		States:   states,
		IsStale:  n.members.IsStale(),
		IsReader: n.spread.IsReader(states),
	})
	n.pushRumors(news)
}

func (n *Node) logSettings(old, config *jmtree.Config) {
	log := n.Log.WithField("Revisions", config.Revisions)
	if old == nil || !maps.Equal(old.Revisions, config.Revisions) {
		log.Info("settings: new revision in force")
	}
	for _, fault := range config.Faults {
		n.Log.WithField("Fault", fault.Error()).Error("settings: revision refused")
	}
}

// membersOf lists every process that the settings name.
func membersOf(config *jmtree.Config) (members []jmmember.Member) {
	for _, b := range config.Fleet.Balancers {
		members = append(members, jmmember.Member{Address: b.Address, DataCentre: b.DataCentre})
	}
	for _, s := range config.Services {
		for _, u := range s.Upstreams {
			members = append(members, jmmember.Member{Address: u.Agent, DataCentre: u.DataCentre})
		}
	}
	return members
}
