// Package jmfleet drives the control logic of hundreds of processes in virtual
// time, over a fake network that loses and delays messages, and measures how
// long news takes and what control costs.
package jmfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmclock"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	tickInterval = 100 * time.Millisecond
	readInterval = time.Second
	// watchDelay is how long the platform takes to tell its readers of a change.
	watchDelay = 100 * time.Millisecond
	// exchangeOverhead is what TLS and TCP add to an exchange, in bytes.
	exchangeOverhead  = 3000
	datagramOverhead  = 28
	exchangeRounds    = 4 // one-way trips of an exchange, the handshakes included
	defaultLocalDelay = time.Millisecond
	watchLimit        = 30 * time.Second
)

// Fleet is a fleet on a fake network. The exported fields are set before Start.
type Fleet struct {
	Processes   int
	DataCentres int
	Seed        uint64
	LossShare   float64
	// RemoteDelay is the largest one-way delay between data centres.
	RemoteDelay time.Duration

	clock     jmclock.Clock
	start     time.Time
	rng       *rand.Rand
	documents *documents
	nodes     []*node
	byAddress map[netip.AddrPort]*node
	platform  map[string]jasminemoor.Subtree
	at        uint64
	isCut     func(a, b *node) bool
	counts    Counts
}

// node is one process.
type node struct {
	index      int
	address    netip.AddrPort
	dataCentre string
	machine    jmcontrol.Machine
	loads      jmload.Board
	since      uint64 // what the platform said last
	lastRead   time.Duration
	isDead     bool
	isPaused   bool
}

// Counts is what control cost so far, over all processes.
type Counts struct {
	Datagrams     uint64
	Bytes         uint64
	BytesCrossing uint64
	Exchanges     uint64
	PlatformCalls uint64
	Errors        uint64
}

// Start begins with all settings known everywhere.
func (f *Fleet) Start() {
	f.start = time.Unix(1_000_000_000, 0)
	f.rng = rand.New(rand.NewPCG(f.Seed, 5))
	f.documents = newDocuments(f.Processes, f.DataCentres)
	f.byAddress = make(map[netip.AddrPort]*node)
	f.platform = make(map[string]jasminemoor.Subtree)
	f.at = 1
	for _, s := range f.documents.all() {
		f.platform[s.Path] = s
	}
	for _, b := range f.documents.balancers {
		f.add(b.Address, b.DataCentre)
	}
	for _, s := range f.documents.services {
		for _, u := range s.Upstreams {
			f.add(u.Agent, u.DataCentre)
		}
	}
}

func (f *Fleet) add(address netip.AddrPort, dataCentre string) {
	n := &node{index: len(f.nodes), address: address, dataCentre: dataCentre, since: 1}
	n.machine.Identity = jasminemoor.Identity{Agent: address, Incarnation: jasminemoor.NewIncarnation(f.now())}
	n.machine.DataCentre = dataCentre
	n.machine.Rand = rand.New(rand.NewPCG(f.Seed, uint64(n.index)))
	n.machine.Loads = &n.loads
	n.machine.OwnLoad = func() *jasminemoor.LoadReport { return &jasminemoor.LoadReport{} }
	n.machine.Put(f.documents.all())
	f.nodes = append(f.nodes, n)
	f.byAddress[address] = n
	f.clock.After(time.Duration(f.rng.Int64N(int64(tickInterval))), func() {
		f.clock.Every(tickInterval, func() { f.tick(n) })
	})
}

func (f *Fleet) now() time.Time { return f.start.Add(f.clock.Now()) }

// Run lets a time pass.
func (f *Fleet) Run(d time.Duration) { f.clock.RunUntil(f.clock.Now() + d) }

// Counts returns what control cost so far.
func (f *Fleet) Counts() Counts { return f.counts }

func (f *Fleet) tick(n *node) {
	if n.isDead || n.isPaused {
		return
	}
	f.act(n, n.machine.Tick(f.now()))
	if f.clock.Now()-n.lastRead >= readInterval {
		n.lastRead = f.clock.Now()
		f.watch(n)
	}
}

// watch has a reader see what the platform has. A watch that is open for
// watchLimit is one call.
func (f *Fleet) watch(n *node) {
	if !n.machine.ShouldRead(f.now()) {
		return
	}
	if f.rng.Float64() < readInterval.Seconds()/watchLimit.Seconds() {
		f.counts.PlatformCalls++
	}
	if n.since >= f.at {
		// The watch stays open, which is as good as having heard.
		n.machine.Needs(f.now(), jasminemoor.Revisions{})
		return
	}
	f.read(n)
}

func (f *Fleet) read(n *node) {
	revisions := jasminemoor.Revisions{At: f.at, Subtrees: make(map[string]uint64)}
	for path, s := range f.platform {
		revisions.Subtrees[path] = s.Revision
	}
	n.since = f.at
	f.counts.PlatformCalls++
	for _, path := range n.machine.Needs(f.now(), revisions) {
		f.counts.PlatformCalls++
		f.act(n, n.machine.Put([]jasminemoor.Subtree{f.platform[path]}))
	}
}

// Change has a team change one of its services, at random, and returns the
// subtree's path and its new revision.
func (f *Fleet) Change() (path string, revision uint64) {
	s := f.documents.services[f.rng.IntN(len(f.documents.services))]
	s.Upstreams[f.rng.IntN(len(s.Upstreams))].Weight = uint32(1 + f.rng.IntN(8))
	f.at++
	subtree := f.documents.teamSubtree(s.Team, f.at)
	f.platform[subtree.Path] = subtree
	f.clock.After(watchDelay, func() {
		for _, n := range f.nodes {
			if !n.isDead && !n.isPaused && n.machine.View().IsReader {
				f.read(n)
			}
		}
	})
	return subtree.Path, f.at
}

func (f *Fleet) act(n *node, out jmcontrol.Output) {
	for _, s := range out.Sends {
		f.send(n, s.To, s.Message)
	}
	for _, peer := range out.Pulls {
		f.pull(n, peer)
	}
}

func (f *Fleet) send(from *node, to netip.AddrPort, message *jmcontrol.Message) {
	// The real encoding and tag are made and checked, so that their cost counts.
	datagram, err := jmdatagram.MarshalControl(jmdatagram.ControlKey{}, message)
	if err != nil {
		f.counts.Errors++
		return
	}
	target := f.byAddress[to]
	f.count(from, target, len(datagram)+datagramOverhead)
	f.counts.Datagrams++
	if target == nil || f.rng.Float64() < f.LossShare {
		return
	}
	f.clock.After(f.delay(from, target), func() {
		if !f.canReach(from, target) {
			return
		}
		received := &jmcontrol.Message{}
		if err := jmdatagram.UnmarshalControl([]jmdatagram.ControlKey{{}}, datagram, received); err != nil {
			f.counts.Errors++
			return
		}
		f.act(target, target.machine.Handle(f.now(), received))
	})
}

func (f *Fleet) canReach(a, b *node) bool {
	return !b.isDead && !b.isPaused && (f.isCut == nil || !f.isCut(a, b))
}

func (f *Fleet) count(from, to *node, size int) {
	f.counts.Bytes += uint64(size)
	if to != nil && from.dataCentre != to.dataCentre {
		f.counts.BytesCrossing += uint64(size)
	}
}

func (f *Fleet) delay(a, b *node) time.Duration {
	if a.dataCentre == b.dataCentre || f.RemoteDelay == 0 {
		return time.Duration(f.rng.Int64N(int64(defaultLocalDelay)))
	}
	return f.RemoteDelay/2 + time.Duration(f.rng.Int64N(int64(f.RemoteDelay/2)))
}

// pull does an exchange between two processes.
func (f *Fleet) pull(n *node, to netip.AddrPort) {
	target := f.byAddress[to]
	f.counts.Exchanges++
	if target == nil || !f.canReach(n, target) {
		f.clock.After(time.Second, func() { f.act(n, n.machine.HandleSyncReply(f.now(), nil)) })
		return
	}
	request := n.machine.SyncRequest()
	f.clock.After(f.delay(n, target)*exchangeRounds, func() {
		reply, out := target.machine.HandleSyncRequest(f.now(), request)
		f.act(target, out)
		f.count(n, target, exchangeOverhead+sizeOf(request)+sizeOf(reply))
		f.clock.After(f.delay(n, target), func() {
			if !n.isDead && !n.isPaused {
				f.act(n, n.machine.HandleSyncReply(f.now(), reply))
			}
		})
	})
}

func sizeOf(message any) int {
	b, err := msgpack.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", message, err))
	}
	return len(b)
}

// InForce counts the live processes in which a subtree has at least a revision.
func (f *Fleet) InForce(path string, revision uint64) (inForce, live int) {
	for _, n := range f.nodes {
		if n.isDead {
			continue
		}
		live++
		if n.machine.Config().Revisions[path] >= revision {
			inForce++
		}
	}
	return inForce, live
}

// Believed counts the live processes that hold a process to be in a state.
func (f *Fleet) Believed(index int, l jmmember.Liveness) (count int) {
	address := f.nodes[index].address
	for _, n := range f.nodes {
		if n.isDead || n.index == index {
			continue
		}
		if n.machine.LivenessOf(address) == l {
			count++
		}
	}
	return count
}

// Suspicions counts the beliefs, over all live processes, that a live process
// is suspect or dead.
func (f *Fleet) Suspicions() (count int) {
	for _, n := range f.nodes {
		if n.isDead {
			continue
		}
		for addr, s := range n.machine.View().States {
			if !f.byAddress[addr].isDead && s.Liveness != jmmember.Alive {
				count++
			}
		}
	}
	return count
}

// Kill ends a process.
func (f *Fleet) Kill(index int) { f.nodes[index].isDead = true }

// SetPaused pauses a process, or lets it go on.
func (f *Fleet) SetPaused(index int, isPaused bool) { f.nodes[index].isPaused = isPaused }

// CutDataCentres cuts the first data centres off from the others, or mends
// the cut for zero.
func (f *Fleet) CutDataCentres(first int) {
	if first == 0 {
		f.isCut = nil
		return
	}
	names := make(map[string]bool)
	for i := range first {
		names[f.documents.dataCentre(i)] = true
	}
	side := func(n *node) bool { return names[n.dataCentre] }
	f.isCut = func(a, b *node) bool { return side(a) != side(b) }
}
