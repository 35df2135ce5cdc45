// Package jmcontrol is the control logic of one process, without sockets and
// goroutines: settings, members and the peers' loads. Its inputs are messages
// and the time; its outputs are messages to send and peers to pull from.
package jmcontrol

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmgossip"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	loadInterval = time.Second
	// loadReceivers is how many peers each load report is sent to.
	loadReceivers = 8
	// Every loadsPerRemoteLoad-th load report also goes to peers in other data
	// centres. The time between two of these must stay within jmload.MaxReportAge.
	loadsPerRemoteLoad = 2
	// leaveReceivers is how many members are notified at once that this one leaves.
	leaveReceivers = 12
	// PageSize bounds the settings in one SyncReply in bytes.
	PageSize = 1 << 20
)

// View is an immutable snapshot of a Machine's state.
type View struct {
	Config *jmtree.Config // nil before the first settings
	States map[netip.AddrPort]jmmember.State
	// IsStale is set from a pause of the process until a peer answers.
	IsStale bool
	// IsReader says that this process watches the platform.
	IsReader bool
	// IsConfirmed is Machine.IsConfirmed.
	IsConfirmed bool
}

// StateOf returns the known state of a member; an unknown one counts as alive.
func (v *View) StateOf(addr netip.AddrPort) jmmember.State { return v.States[addr] }

// IsUsable reports whether a member may get new work.
func (v *View) IsUsable(addr netip.AddrPort) bool {
	s := v.States[addr]
	return s.Liveness == jmmember.Alive && !s.IsLeaving
}

// ConditionOf returns the condition of an upstream by the state of its agent.
func (v *View) ConditionOf(u *jmtree.Upstream) jmplacer.Condition {
	state := v.States[u.Agent]
	switch {
	case u.Leaving || state.IsLeaving:
		return jmplacer.Leaving
	case state.Liveness == jmmember.Alive:
		return jmplacer.Working
	case state.Liveness == jmmember.Suspect:
		return jmplacer.Suspect
	}
	return jmplacer.Dead
}

// Send is a message to send.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// Output is the actions that an input leads to.
type Output struct {
	Sends []Send
	// Pulls are the peers to send a SyncRequest to.
	Pulls []netip.AddrPort
	// HasNewConfig says that new settings are in force.
	HasNewConfig bool
}

// Machine is the control state of one process. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Identity   jasminemoor.Identity
	DataCentre string
	Rand       *rand.Rand
	// NeedsConfirmation has the machine find out whether its first settings are recent.
	NeedsConfirmation bool
	// OwnLoad returns the process's load, and nil where it has none to report.
	OwnLoad func() *jasminemoor.LoadReport
	// Loads holds the recent loads of the peers. Other goroutines may read it.
	Loads *jmload.Reports

	members       jmmember.Machine
	gossip        jmgossip.Machine
	config        *jmtree.Config
	isInitialized bool
	isLeaving     bool
	lastLoad      time.Time
	loadSequence  uint64
	confirmation  confirmation

	// isReader is cached as of readerGeneration, a generation of the members.
	isReader         bool
	readerGeneration uint64
}

func (m *Machine) init() {
	if m.isInitialized {
		return
	}
	m.isInitialized = true
	self := jmmember.Member{Address: m.Identity.Agent, DataCentre: m.DataCentre}
	m.members.Self, m.members.Incarnation, m.members.Rand = self, m.Identity.Incarnation, m.Rand
	m.gossip.Self, m.gossip.Rand = self, m.Rand
}

// Tick sends the probes and load reports that are due. It is called several times
// a second.
func (m *Machine) Tick(now time.Time) (out Output) {
	m.init()
	m.sendProbes(&out, m.members.Tick(now))
	if now.Sub(m.lastLoad) >= loadInterval {
		m.sendLoad(&out, now)
	}
	m.tickConfirmation(&out, now)
	return out
}

// Leave announces that the process takes no new work.
func (m *Machine) Leave(now time.Time) (out Output) {
	m.init()
	if m.isLeaving {
		return out
	}
	m.isLeaving = true
	m.members.Leave()
	for _, peer := range m.members.Pick(leaveReceivers) {
		m.sendProbes(&out, m.members.Announce(peer))
	}
	m.sendLoad(&out, now)
	return out
}

// Handle handles a message of a peer.
func (m *Machine) Handle(now time.Time, message *Message) (out Output) {
	m.init()
	if message.Probe != nil {
		m.sendProbes(&out, m.members.Handle(now, message.From, message.Probe))
	}
	if message.Load != nil {
		m.Loads.Put(message.Load.report(message.From), now)
	}
	m.confirmByPeer(message.From, message.Digest)
	shouldPull := m.gossip.HandleDigest(now, message.Digest)
	for _, rumor := range message.Rumors {
		shouldPull = m.gossip.HandleRumor(now, rumor) || shouldPull
	}
	if shouldPull {
		out.Pulls = append(out.Pulls, message.From)
	}
	return out
}

// Put applies subtrees from the platform or a peer. Once settings are in force, it
// also updates the members and pushes new revisions to a few peers.
func (m *Machine) Put(subtrees []jasminemoor.Subtree) (out Output) {
	m.init()
	rumors := m.gossip.Put(subtrees)
	if len(rumors) == 0 {
		return out
	}
	config := m.gossip.Config()
	if config == nil {
		return out
	}
	m.config = config
	m.members.SetMembers(membersOf(config))
	m.Loads.Retain(func(a netip.AddrPort) bool { _, found := config.Agents[a]; return found })
	out.HasNewConfig = true
	for _, peer := range m.members.Pick(jmgossip.Fanout) {
		m.send(&out, peer, &Message{Rumors: rumors})
	}
	return out
}

// SyncRequest returns the request for an exchange with a peer.
func (m *Machine) SyncRequest() *SyncRequest {
	m.init()
	return &SyncRequest{From: m.Identity.Agent, Revisions: m.gossip.Revisions(), Members: m.members.Snapshot()}
}

// HandleSyncRequest answers a peer's request, and pulls from the peer if it has
// newer settings.
func (m *Machine) HandleSyncRequest(now time.Time, request *SyncRequest) (reply *SyncReply, out Output) {
	m.init()
	m.members.Apply(now, request.Members)
	if m.gossip.HandleRevisions(now, request.Revisions) {
		out.Pulls = append(out.Pulls, request.From)
	}
	reply = &SyncReply{
		Subtrees: m.gossip.Missing(request.Revisions, PageSize),
		Members:  m.members.Snapshot(),
		Digest:   m.gossip.Digest(),
	}
	return reply, out
}

// HandleSyncReply handles a peer's reply, or nil if the exchange failed.
func (m *Machine) HandleSyncReply(now time.Time, peer netip.AddrPort, reply *SyncReply) (out Output) {
	m.init()
	m.gossip.EndPull(now, reply != nil)
	if reply == nil {
		return out
	}
	out = m.Put(reply.Subtrees)
	m.members.Apply(now, reply.Members)
	m.confirmByPeer(peer, reply.Digest)
	return out
}

// Needs returns the paths of the subtrees to read from the platform, given the
// revisions that it has.
func (m *Machine) Needs(now time.Time, r jasminemoor.Revisions) (paths []string) {
	m.gossip.RecordPlatformRead(now)
	return m.gossip.Needs(r)
}

// ShouldRead reports whether this process reads the platform now: as a reader
// of its data centre, because no peer keeps its settings up to date, or to confirm its first
// settings.
func (m *Machine) ShouldRead(now time.Time) bool {
	m.init()
	if m.gossip.NeedsFallbackRead(now) || m.awaitsConfirmation() {
		return true
	}
	if generation := m.members.Generation(); generation != m.readerGeneration {
		m.readerGeneration = generation
		m.isReader = m.gossip.IsReader(m.members.States())
	}
	return m.isReader
}

// TakeChanged reports whether the view has changed since the last call.
func (m *Machine) TakeChanged() bool { return m.members.TakeChanged() }

// View returns a view of the present state.
func (m *Machine) View() *View {
	m.init()
	states := m.members.States()
	return &View{
		Config:      m.config,
		States:      states,
		IsStale:     m.members.IsStale(),
		IsReader:    m.gossip.IsReader(states),
		IsConfirmed: m.confirmation.isDone,
	}
}

// Config returns the settings in force, or nil.
func (m *Machine) Config() *jmtree.Config { return m.config }

// LivenessOf returns the known liveness of a member; an unknown one counts as
// alive.
func (m *Machine) LivenessOf(addr netip.AddrPort) jmmember.Liveness {
	return m.members.LivenessOf(addr)
}

// IsStale reports whether the process was paused and no peer has answered since.
func (m *Machine) IsStale() bool { return m.members.IsStale() }

func (m *Machine) sendProbes(out *Output, packets []jmmember.Packet) {
	for i := range packets {
		m.send(out, packets[i].To, &Message{Probe: &packets[i].Message})
	}
}

func (m *Machine) send(out *Output, to netip.AddrPort, message *Message) {
	message.From = m.Identity.Agent
	message.Digest = m.gossip.Digest()
	out.Sends = append(out.Sends, Send{To: to, Message: message})
}

// sendLoad sends the load to a few random peers of the same service.
func (m *Machine) sendLoad(out *Output, now time.Time) {
	m.lastLoad = now
	if m.OwnLoad == nil || m.config == nil {
		return
	}
	load := m.OwnLoad()
	service, _, found := m.config.ServiceOf(m.Identity.Agent)
	if load == nil || !found {
		return
	}
	m.loadSequence++
	load.Incarnation, load.Sequence = m.Identity.Incarnation, m.loadSequence
	load.Leaving = load.Leaving || m.isLeaving
	order := m.Rand.Perm(len(service.Upstreams))
	sent := 0
	for _, at := range order {
		peer := &service.Upstreams[at]
		isSkipped := peer.DataCentre != m.DataCentre && m.loadSequence%loadsPerRemoteLoad != 0 && !load.Leaving
		if peer.Agent == m.Identity.Agent || isSkipped || sent == loadReceivers {
			continue
		}
		sent++
		m.send(out, peer.Agent, &Message{Load: newLoadMessage(load)})
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
