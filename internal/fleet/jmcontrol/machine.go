// Package jmcontrol is the control logic of one process, without sockets and
// goroutines: settings, members and the peers' loads. Its inputs are messages
// and the time; its outputs are messages to send and peers to ask.
package jmcontrol

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmspread"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	loadInterval = time.Second
	// loadReceivers is how many peers are told the load in each interval.
	loadReceivers = 8
	// remoteLoadInterval is how many loads there are to one that peers in other
	// data centres are told of. It must stay within jmload.MaxReportAge.
	remoteLoadInterval = 2
	// leaveReceivers is how many members hear at once that this one leaves.
	leaveReceivers = 12
	// PageSize bounds the settings in one reply in bytes.
	PageSize = 1 << 20
)

// View is what the machine knows at one time. It is immutable.
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

// ConditionOf returns what the members' states say of an upstream.
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

// Output is what follows from an input.
type Output struct {
	Sends []Send
	// Pulls names peers to send a SyncRequest to.
	Pulls []netip.AddrPort
	// HasNews says that new settings are in force.
	HasNews bool
}

// Machine is the control state of one process. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Identity   jasminemoor.Identity
	DataCentre string
	Rand       *rand.Rand
	// OwnLoad returns the process's load, and nil where it has none to report.
	OwnLoad func() *jasminemoor.LoadReport
	// Loads holds the recent loads of the peers. Other goroutines may read it.
	Loads *jmload.Board

	members   jmmember.Machine
	spread    jmspread.Machine
	config    *jmtree.Config
	hasBegun  bool
	isLeaving bool
	loadSent  time.Time
	loadCount uint64

	// isReader is kept from when the members last changed.
	isReader   bool
	readerAsOf uint64
}

func (m *Machine) begin() {
	if m.hasBegun {
		return
	}
	m.hasBegun = true
	self := jmmember.Member{Address: m.Identity.Agent, DataCentre: m.DataCentre}
	m.members.Self, m.members.Incarnation, m.members.Rand = self, m.Identity.Incarnation, m.Rand
	m.spread.Self, m.spread.Rand = self, m.Rand
}

// Tick drives the machine. It is called several times a second.
func (m *Machine) Tick(now time.Time) (out Output) {
	m.begin()
	m.sendProbes(&out, m.members.Tick(now))
	if now.Sub(m.loadSent) >= loadInterval {
		m.sendLoad(&out, now)
	}
	return out
}

// Leave announces that the process takes no new work.
func (m *Machine) Leave(now time.Time) (out Output) {
	m.begin()
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

// Handle takes a message in.
func (m *Machine) Handle(now time.Time, message *Message) (out Output) {
	m.begin()
	if message.Probe != nil {
		m.sendProbes(&out, m.members.Handle(now, message.From, message.Probe))
	}
	if message.Load != nil {
		m.Loads.Put(message.Load.report(message.From), now)
	}
	shouldPull := m.spread.HandleDigest(now, message.Digest)
	for _, rumor := range message.Rumors {
		shouldPull = m.spread.HandleRumor(now, rumor) || shouldPull
	}
	if shouldPull {
		out.Pulls = append(out.Pulls, message.From)
	}
	return out
}

// Put takes subtrees in. News goes to a few peers.
func (m *Machine) Put(subtrees []jasminemoor.Subtree) (out Output) {
	m.begin()
	news := m.spread.Put(subtrees)
	if len(news) == 0 {
		return out
	}
	config := m.spread.Config()
	if config == nil {
		return out
	}
	m.config = config
	m.members.SetMembers(membersOf(config))
	m.Loads.Retain(func(a netip.AddrPort) bool { _, found := config.Agents[a]; return found })
	out.HasNews = true
	for _, peer := range m.members.Pick(jmspread.Fanout) {
		m.send(&out, peer, &Message{Rumors: news})
	}
	return out
}

// SyncRequest returns what a peer is asked with.
func (m *Machine) SyncRequest() *SyncRequest {
	m.begin()
	return &SyncRequest{From: m.Identity.Agent, Revisions: m.spread.Revisions(), Members: m.members.Snapshot()}
}

// HandleSyncRequest answers a peer that asks.
func (m *Machine) HandleSyncRequest(now time.Time, request *SyncRequest) (reply *SyncReply, out Output) {
	m.begin()
	m.members.Apply(now, request.Members)
	if m.spread.HandleRevisions(now, request.Revisions) {
		out.Pulls = append(out.Pulls, request.From)
	}
	reply = &SyncReply{
		Subtrees: m.spread.Missing(request.Revisions, PageSize),
		Members:  m.members.Snapshot(),
	}
	return reply, out
}

// HandleSyncReply takes a peer's answer in, or a nil one if none came.
func (m *Machine) HandleSyncReply(now time.Time, reply *SyncReply) (out Output) {
	m.spread.EndPull(now, reply != nil)
	if reply == nil {
		return out
	}
	out = m.Put(reply.Subtrees)
	m.members.Apply(now, reply.Members)
	return out
}

// Needs returns the subtrees to read from the platform, given what it has.
func (m *Machine) Needs(now time.Time, r jasminemoor.Revisions) (paths []string) {
	m.spread.HeardPlatform(now)
	return m.spread.Needs(r)
}

// ShouldRead reports whether this process reads the platform now: as a reader
// of its data centre, or because it hears of the settings from nobody else.
func (m *Machine) ShouldRead(now time.Time) bool {
	m.begin()
	if m.spread.IsQuiet(now) {
		return true
	}
	if generation := m.members.Generation(); generation != m.readerAsOf {
		m.readerAsOf = generation
		m.isReader = m.spread.IsReader(m.members.States())
	}
	return m.isReader
}

// TakeChanged reports whether the view has changed since the last call.
func (m *Machine) TakeChanged() bool { return m.members.TakeChanged() }

// View returns what is known now.
func (m *Machine) View() *View {
	m.begin()
	states := m.members.States()
	return &View{
		Config:   m.config,
		States:   states,
		IsStale:  m.members.IsStale(),
		IsReader: m.spread.IsReader(states),
	}
}

// Config returns the settings in force, or nil.
func (m *Machine) Config() *jmtree.Config { return m.config }

// LivenessOf returns what is believed of a member.
func (m *Machine) LivenessOf(addr netip.AddrPort) jmmember.Liveness {
	return m.members.LivenessOf(addr)
}

// IsStale reports whether the process woke after a pause and has not heard
// from a peer since.
func (m *Machine) IsStale() bool { return m.members.IsStale() }

func (m *Machine) sendProbes(out *Output, packets []jmmember.Packet) {
	for i := range packets {
		m.send(out, packets[i].To, &Message{Probe: &packets[i].Message})
	}
}

func (m *Machine) send(out *Output, to netip.AddrPort, message *Message) {
	message.From = m.Identity.Agent
	message.Digest = m.spread.Digest()
	out.Sends = append(out.Sends, Send{To: to, Message: message})
}

// sendLoad tells the load to a few peers of the same service, at random.
func (m *Machine) sendLoad(out *Output, now time.Time) {
	m.loadSent = now
	if m.OwnLoad == nil || m.config == nil {
		return
	}
	load := m.OwnLoad()
	service, _, found := m.config.ServiceOf(m.Identity.Agent)
	if load == nil || !found {
		return
	}
	m.loadCount++
	load.Incarnation, load.Sequence = m.Identity.Incarnation, m.loadCount
	load.Leaving = load.Leaving || m.isLeaving
	order := m.Rand.Perm(len(service.Upstreams))
	sent := 0
	for _, at := range order {
		peer := &service.Upstreams[at]
		isSkipped := peer.DataCentre != m.DataCentre && m.loadCount%remoteLoadInterval != 0 && !load.Leaving
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
