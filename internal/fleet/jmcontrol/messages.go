package jmcontrol

import (
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmgossip"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Message is the content of a control datagram. Probe, Rumors and Load are nil
// if the message has none.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     netip.AddrPort
	// Digest is the sender's digest of the settings.
	Digest uint64
	Probe  *jmmember.Message
	Rumors []jmgossip.Rumor
	Load   *LoadMessage
}

// LoadMessage is the compact form of a jasminemoor.LoadReport of the sender.
type LoadMessage struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Incarnation jasminemoor.Incarnation
	Sequence    uint64
	Now         uint32
	Mean        uint32
	Density     uint32
	IsLeaving   bool
}

func newLoadMessage(r *jasminemoor.LoadReport) *LoadMessage {
	return &LoadMessage{
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Now:         r.Load.Now,
		Mean:        r.Load.Mean,
		Density:     r.Load.Density,
		IsLeaving:   r.Leaving,
	}
}

func (m *LoadMessage) report(from netip.AddrPort) jasminemoor.LoadReport {
	return jasminemoor.LoadReport{
		Agent:       from,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Load:        jasminemoor.Load{Now: m.Now, Mean: m.Mean, Density: m.Density},
		Leaving:     m.IsLeaving,
	}
}

// SyncRequest asks a peer for its newer settings and its updates of members. The
// answer is a SyncReply.
type SyncRequest struct {
	From      netip.AddrPort
	Revisions map[string]jmtree.Revision
	Members   []jmmember.Update
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Subtrees []jasminemoor.Subtree
	Members  []jmmember.Update
	// Digest is the peer's digest of the settings, 0 if it has none or is of an earlier release.
	Digest uint64
}
