// Package jmfleet simulates the control side of a fleet of hundreds of processes on
// a virtual clock: the real code for membership and settings, over a simulated
// network that loses and delays messages. It measures how long changes and failure
// detection take, and the traffic and memory that control needs.
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
	// notifyDelay is how long a platform watch takes to report a change.
	notifyDelay = 100 * time.Millisecond
	// exchangeOverhead is the size of the TLS handshake and of the TCP headers of
	// an exchange in bytes.
	exchangeOverhead = 3000
	datagramOverhead = 28 // IPv4 and UDP headers
	exchangeTrips    = 4  // one-way delays before a request arrives, with the handshakes
	maxLocalDelay    = time.Millisecond
	watchLimit       = 30 * time.Second
)

// Fleet is a fleet on a simulated network. The exported fields are set before Start.
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
	platform  map[string]jasminemoor.Subtree // settings on the platform, by path
	revision  uint64                         // of the platform
	isCut     func(a, b *node) bool          // nil without a partition
	counts    Counts
}

// node is a process, which is a balancer or an agent.
type node struct {
	index        int
	address      netip.AddrPort
	dataCentre   string
	machine      jmcontrol.Machine
	loads        jmload.Reports
	readRevision uint64 // revision of the platform when this process last read it
	lastRead     time.Duration
	isDead       bool
	isPaused     bool
}

// Counts has the totals of the control traffic of all processes.
type Counts struct {
	Datagrams     uint64
	Bytes         uint64
	BytesCrossing uint64
	Exchanges     uint64
	PlatformCalls uint64
	Errors        uint64
}

// Start starts all processes, with all settings in force in each.
func (f *Fleet) Start() {
	f.start = time.Unix(1_000_000_000, 0)
	f.rng = rand.New(rand.NewPCG(f.Seed, 5))
	f.documents = newDocuments(f.Processes, f.DataCentres)
	f.byAddress = make(map[netip.AddrPort]*node)
	f.platform = make(map[string]jasminemoor.Subtree)
	f.revision = 1
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

// add adds a process and schedules its ticks from a random time on.
func (f *Fleet) add(address netip.AddrPort, dataCentre string) {
	n := &node{index: len(f.nodes), address: address, dataCentre: dataCentre, readRevision: 1}
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

// Run runs the simulation for a time d.
func (f *Fleet) Run(d time.Duration) { f.clock.RunUntil(f.clock.Now() + d) }

// Counts returns the totals of the control traffic since the start.
func (f *Fleet) Counts() Counts { return f.counts }

// tick runs the timers of a process, and checks the platform at each readInterval.
func (f *Fleet) tick(n *node) {
	if n.isDead || n.isPaused {
		return
	}
	f.perform(n, n.machine.Tick(f.now()))
	if f.clock.Now()-n.lastRead >= readInterval {
		n.lastRead = f.clock.Now()
		f.watch(n)
	}
}

// watch simulates a reader's watch on the platform, and reads what has changed. A
// watch is one call that stays open for watchLimit, so calls are counted with the
// probability that one begins within a readInterval.
func (f *Fleet) watch(n *node) {
	if !n.machine.ShouldRead(f.now()) {
		return
	}
	if f.rng.Float64() < readInterval.Seconds()/watchLimit.Seconds() {
		f.counts.PlatformCalls++
	}
	if n.readRevision >= f.revision {
		// An open watch confirms that nothing has changed.
		n.machine.Needs(f.now(), jasminemoor.Revisions{})
		return
	}
	f.read(n)
}

// read reads the subtrees that the process needs from the platform.
func (f *Fleet) read(n *node) {
	revisions := jasminemoor.Revisions{At: f.revision, Subtrees: make(map[string]uint64)}
	for path, s := range f.platform {
		revisions.Subtrees[path] = s.Revision
	}
	n.readRevision = f.revision
	f.counts.PlatformCalls++
	for _, path := range n.machine.Needs(f.now(), revisions) {
		f.counts.PlatformCalls++
		f.perform(n, n.machine.Put([]jasminemoor.Subtree{f.platform[path]}))
	}
}

// Change changes a random service on the platform, which notifies its readers. It
// returns the path of the team's subtree and its new revision.
func (f *Fleet) Change() (path string, revision uint64) {
	s := f.documents.services[f.rng.IntN(len(f.documents.services))]
	s.Upstreams[f.rng.IntN(len(s.Upstreams))].Weight = uint32(1 + f.rng.IntN(8))
	f.revision++
	subtree := f.documents.teamSubtree(s.Team, f.revision)
	f.platform[subtree.Path] = subtree
	f.clock.After(notifyDelay, func() {
		for _, n := range f.nodes {
			if !n.isDead && !n.isPaused && n.machine.View().IsReader {
				f.read(n)
			}
		}
	})
	return subtree.Path, f.revision
}

// perform sends the messages of an output and starts its exchanges.
func (f *Fleet) perform(n *node, out jmcontrol.Output) {
	for _, s := range out.Sends {
		f.send(n, s.To, s.Message)
	}
	for _, peer := range out.Pulls {
		f.exchange(n, peer)
	}
}

// send sends a datagram to another process.
func (f *Fleet) send(from *node, to netip.AddrPort, message *jmcontrol.Message) {
	// The message is encoded and authenticated for real, so that the measured
	// processor time and size include that.
	datagram, err := jmdatagram.MarshalControl(jmdatagram.ControlKey{}, message)
	if err != nil {
		f.counts.Errors++
		return
	}
	target := f.byAddress[to]
	f.countBytes(from, target, len(datagram)+datagramOverhead)
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
		f.perform(target, target.machine.Handle(f.now(), received))
	})
}

// canReach reports whether a message from a can reach b now.
func (f *Fleet) canReach(a, b *node) bool {
	return !b.isDead && !b.isPaused && (f.isCut == nil || !f.isCut(a, b))
}

// countBytes counts the bytes sent from one process to another.
func (f *Fleet) countBytes(from, to *node, size int) {
	f.counts.Bytes += uint64(size)
	if to != nil && from.dataCentre != to.dataCentre {
		f.counts.BytesCrossing += uint64(size)
	}
}

// delay draws the one-way delay between two processes.
func (f *Fleet) delay(a, b *node) time.Duration {
	if a.dataCentre == b.dataCentre || f.RemoteDelay == 0 {
		return time.Duration(f.rng.Int64N(int64(maxLocalDelay)))
	}
	return f.RemoteDelay/2 + time.Duration(f.rng.Int64N(int64(f.RemoteDelay/2)))
}

// exchange simulates a sync request and its reply over a stream, which fails with a
// timeout if the other process can't be reached.
func (f *Fleet) exchange(n *node, to netip.AddrPort) {
	target := f.byAddress[to]
	f.counts.Exchanges++
	if target == nil || !f.canReach(n, target) {
		f.clock.After(time.Second, func() { f.perform(n, n.machine.HandleSyncReply(f.now(), to, nil)) })
		return
	}
	request := n.machine.SyncRequest()
	f.clock.After(f.delay(n, target)*exchangeTrips, func() {
		reply, out := target.machine.HandleSyncRequest(f.now(), request)
		f.perform(target, out)
		f.countBytes(n, target, exchangeOverhead+sizeOf(request)+sizeOf(reply))
		f.clock.After(f.delay(n, target), func() {
			if !n.isDead && !n.isPaused {
				f.perform(n, n.machine.HandleSyncReply(f.now(), to, reply))
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

// InForce counts the processes that are not dead, and those of them in which a
// subtree has at least the given revision.
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

// CountState counts the other live processes whose failure detector has a process in
// the given state.
func (f *Fleet) CountState(index int, l jmmember.Liveness) (count int) {
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

// FalseSuspicions counts the false positives of the failure detectors: the pairs of
// live processes of which one has the other in the state suspect or dead.
func (f *Fleet) FalseSuspicions() (count int) {
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

// Kill stops a process for good.
func (f *Fleet) Kill(index int) { f.nodes[index].isDead = true }

// SetPaused pauses or resumes a process.
func (f *Fleet) SetPaused(index int, isPaused bool) { f.nodes[index].isPaused = isPaused }

// CutDataCentres partitions the network between the given number of data centres
// and the others. Zero ends the partition.
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
