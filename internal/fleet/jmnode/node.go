// Package jmnode runs the control logic of a process of the fleet: one goroutine
// owns the control state, and publishes an immutable view of it for the
// goroutines that handle traffic.
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

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 1024
)

// Names of the goroutines, in the log lines on panics.
const (
	goroutineControl  = "control"
	goroutinePlatform = "platform reader"
	goroutineSeeds    = "requests to seeds"
	goroutinePull     = "pull"
	goroutineLink     = "link"
)

// Node is the control side of one process. The exported fields are set before Run.
type Node struct {
	Identity   jasminemoor.Identity
	DataCentre string
	Platform   jasminemoor.Platform
	// Seeds are the peers to request the settings from while there are none.
	Seeds []netip.AddrPort
	// SeedKey authenticates control traffic until the settings name a key.
	// Without it, the first settings can only come from the platform.
	SeedKey *jmdatagram.ControlKey
	// Send sends a datagram from the process's fleet socket.
	Send func(to netip.AddrPort, datagram []byte)
	// OwnLoad returns the process's load, and nil where it has none to report.
	OwnLoad func() *jasminemoor.LoadReport
	// NeedsConfirmation has the node find out whether its first settings are recent, see
	// View.IsConfirmed.
	NeedsConfirmation bool
	Log               logrus.FieldLogger
	// Guard ends the process if one of its goroutines panics.
	Guard *jmguard.Guard
	// Reach, where set, reports whether an address can be reached in both
	// directions. Tests use it to simulate a network partition.
	Reach func(to netip.AddrPort) bool

	// Loads holds the recent loads of the peers.
	Loads jmload.Reports
	// Counters counts control traffic.
	Counters Counters

	view      atomic.Pointer[jmcontrol.View]
	changed   chan struct{}
	inbox     chan event
	initOnce  sync.Once
	machine   jmcontrol.Machine
	isLeaving atomic.Bool
	pulls     jmguard.Group
}

// Counters counts control traffic since the process started.
type Counters struct {
	BytesSent     atomic.Uint64 // in datagrams, with their IP and UDP headers
	BytesCrossing atomic.Uint64 // of BytesSent, to other data centres
	// Dropped counts inputs that failed a check or found the inbox full, and messages
	// that could not be encoded.
	Dropped        atomic.Uint64
	PlatformCalls  atomic.Uint64
	PlatformErrors atomic.Uint64
	Exchanges      atomic.Uint64
}

// event is an input of the control goroutine.
type event func(now time.Time)

func (n *Node) init() {
	n.initOnce.Do(func() {
		n.machine.Identity = n.Identity
		n.machine.DataCentre = n.DataCentre
		n.machine.Rand = rand.New(rand.NewPCG(uint64(n.Identity.Incarnation), uint64(n.Identity.Agent.Port())))
		// View may be called before OwnLoad is set.
		n.machine.OwnLoad = n.ownLoad
		n.machine.Loads = &n.Loads
		n.changed = make(chan struct{}, 1)
		n.inbox = make(chan event, inboxSize)
		n.view.Store(&jmcontrol.View{})
	})
}

func (n *Node) ownLoad() *jasminemoor.LoadReport {
	if n.OwnLoad == nil {
		return nil
	}
	return n.OwnLoad()
}

// View returns the newest view.
func (n *Node) View() *jmcontrol.View {
	n.init()
	return n.view.Load()
}

// Changed returns a channel that receives a value after the view has changed. It
// is for one receiver.
func (n *Node) Changed() <-chan struct{} {
	n.init()
	return n.changed
}

// CanReach reports whether an address can be reached, as far as Reach tells.
func (n *Node) CanReach(to netip.AddrPort) bool { return n.Reach == nil || n.Reach(to) }

// Leave announces that the process takes no new work.
func (n *Node) Leave() { n.isLeaving.Store(true) }

// Run drives the node until ctx ends, and returns after its goroutines have ended.
func (n *Node) Run(ctx context.Context) {
	n.init()
	n.machine.NeedsConfirmation = n.NeedsConfirmation
	if n.Platform == nil {
		n.machine.RecordPlatformLoss()
	}
	wg := jmguard.Group{Guard: n.Guard}
	n.pulls.Guard = n.Guard
	defer n.pulls.Wait()
	defer wg.Wait()
	wg.Go(goroutinePlatform, func() { n.followPlatform(ctx) })
	wg.Go(goroutineSeeds, func() { n.requestFromSeeds(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// The ticker's own time is when the tick was due; after a pause
			// that is long ago.
			n.Guard.Try(goroutineControl, func() { n.tick(ctx, time.Now()) })
		case e := <-n.inbox:
			n.Guard.Try(goroutineControl, func() { e(time.Now()) })
		}
	}
}

// enqueue queues an event for the control goroutine, or drops it if the inbox is
// full.
func (n *Node) enqueue(e event) {
	n.init()
	select {
	case n.inbox <- e:
	default:
		n.Counters.Dropped.Add(1)
	}
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	if n.isLeaving.Load() {
		n.perform(ctx, n.machine.Leave(now))
	}
	n.perform(ctx, n.machine.Tick(now))
	view := n.view.Load()
	if n.machine.TakeChanged() || view.IsStale != n.machine.IsStale() || view.IsConfirmed != n.machine.IsConfirmed() {
		n.publish()
	}
}

// perform executes an output of the machine: it publishes new settings, sends the
// messages and starts the pulls.
func (n *Node) perform(ctx context.Context, out jmcontrol.Output) {
	if out.HasNewConfig {
		old := n.view.Load().Config
		n.publish()
		n.logSettings(old, n.view.Load().Config)
	}
	for _, s := range out.Sends {
		n.sendControl(s.To, s.Message)
	}
	for _, peer := range out.Pulls {
		n.pull(ctx, peer)
	}
}

func (n *Node) publish() {
	n.view.Store(n.machine.View())
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func (n *Node) logSettings(old, config *jmtree.Config) {
	if old == nil || !maps.Equal(old.Revisions, config.Revisions) {
		n.Log.WithField("Revisions", config.Revisions).Info("settings: new revision in force")
	}
	for _, fault := range config.Faults {
		n.Log.WithField("Fault", fault.Error()).Error("settings: revision refused")
	}
}
