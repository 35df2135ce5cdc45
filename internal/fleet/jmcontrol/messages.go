package jmcontrol

import (
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmspread"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Message is what a control datagram carries. Parts that are not used are nil.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     netip.AddrPort
	// Digest is the sender's digest of the settings.
	Digest uint64
	Probe  *jmmember.Message
	Rumors []jmspread.Rumor
	Load   *jasminemoor.LoadReport
}

// SyncRequest asks a peer for the settings and the members that it knows
// better. It is answered by a SyncReply.
type SyncRequest struct {
	From      netip.AddrPort
	Revisions map[string]jmtree.Revision
	Members   []jmmember.Update
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Subtrees []jasminemoor.Subtree
	Members  []jmmember.Update
}
