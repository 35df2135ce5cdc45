// Package jmgossip replicates the settings to the fleet's processes by gossip: a
// few readers in each data centre watch the platform, new revisions are pushed
// to a few peers, and a digest in each control message reveals missed ones.
//
// The machine has no sockets and no goroutines. Revisions only grow: neither a
// stale platform nor a stale peer can replace a newer revision.
package jmgossip

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	// ReadersPerDataCentre is how many processes of a data centre watch the platform.
	ReadersPerDataCentre = 3
	// Fanout is how many peers a new revision is pushed to.
	Fanout = 4
	// FallbackReadAfter is how long a process goes without a rumor, a matching
	// digest or an exchange with a peer before it reads the platform itself.
	FallbackReadAfter = 20 * time.Second
	// fallbackReadJitter bounds the random delay added to FallbackReadAfter, so that
	// the processes do not all read at once.
	fallbackReadJitter = 20 * time.Second
	// pullInterval is the least time from the start of an exchange to one that a
	// digest or a peer's revisions trigger. A rumor triggers one without this delay.
	pullInterval = 500 * time.Millisecond
	// pullTimeout bounds how long an exchange in flight blocks the next one.
	pullTimeout = 5 * time.Second
)

// Rumor announces a new revision of a subtree to a peer.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Path     string
	Revision jmtree.Revision
}

// Machine replicates the settings in one process. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Self jmmember.Member
	Rand *rand.Rand

	tree           jmtree.Tree
	digest         uint64
	lastContact    time.Time
	fallbackReadAt time.Time
	lastPull       time.Time
	isPulling      bool
}

// Digest returns a hash of all known revisions, 0 if there are none.
func (m *Machine) Digest() uint64 { return m.digest }

// Revisions returns the known revisions.
func (m *Machine) Revisions() map[string]jmtree.Revision { return m.tree.Revisions() }

// Config returns the settings in force, or nil.
func (m *Machine) Config() *jmtree.Config { return m.tree.Config() }

// Put applies subtrees from the platform or a peer, and returns the rumors to
// push to Fanout peers. It returns none if nothing was new.
func (m *Machine) Put(subtrees []jasminemoor.Subtree) (rumors []Rumor) {
	changed := make(map[string]bool)
	for _, s := range subtrees {
		if m.tree.Put(s) {
			changed[s.Path] = true
		}
	}
	if len(changed) == 0 {
		return nil
	}
	revisions := m.tree.Revisions()
	for path := range changed {
		rumors = append(rumors, Rumor{Path: path, Revision: revisions[path]})
	}
	m.digest = hashRevisions(revisions)
	return rumors
}

// HandleRumor handles a peer's rumor and reports whether to pull from the peer.
func (m *Machine) HandleRumor(now time.Time, rumor Rumor) (shouldPull bool) {
	m.recordContact(now)
	known := m.tree.Revisions()[rumor.Path]
	isNewer := rumor.Revision.Newest > known.Newest || rumor.Revision.Good > known.Good
	return isNewer && m.beginPull(now, 0)
}

// HandleDigest handles a peer's digest and reports whether to pull from the peer.
func (m *Machine) HandleDigest(now time.Time, digest uint64) (shouldPull bool) {
	if digest == m.digest {
		m.recordContact(now)
		return false
	}
	if digest == 0 {
		return false
	}
	return m.beginPull(now, pullInterval)
}

func (m *Machine) beginPull(now time.Time, interval time.Duration) bool {
	sincePull := now.Sub(m.lastPull)
	if m.isPulling && sincePull < pullTimeout || !m.lastPull.IsZero() && sincePull < interval {
		return false
	}
	m.isPulling = true
	m.lastPull = now
	return true
}

// EndPull records the end of an exchange with a peer, and whether it succeeded.
func (m *Machine) EndPull(now time.Time, isOK bool) {
	m.isPulling = false
	if isOK {
		m.recordContact(now)
	}
}

func (m *Machine) recordContact(now time.Time) {
	m.lastContact = now
	m.fallbackReadAt = now.Add(FallbackReadAfter + time.Duration(m.Rand.Int64N(int64(fallbackReadJitter))))
}

// Missing returns the subtrees that a peer with the given revisions lacks, up
// to about limit bytes.
func (m *Machine) Missing(peer map[string]jmtree.Revision, limit int) (subtrees []jasminemoor.Subtree) {
	size := 0
	for path := range m.tree.Revisions() {
		for _, s := range m.tree.Subtrees(path, peer[path]) {
			size += sizeOf(s)
			if size > limit && len(subtrees) > 0 {
				return subtrees
			}
			subtrees = append(subtrees, s)
		}
	}
	return subtrees
}

// HandleRevisions reports whether to pull from a peer with the given revisions.
func (m *Machine) HandleRevisions(now time.Time, peer map[string]jmtree.Revision) (shouldPull bool) {
	known := m.tree.Revisions()
	for path, r := range peer {
		if r.Newest > known[path].Newest || r.Good > known[path].Good {
			return m.beginPull(now, pullInterval)
		}
	}
	return false
}

// Needs returns the paths of the subtrees of which the platform has a newer
// revision.
func (m *Machine) Needs(r jasminemoor.Revisions) (paths []string) {
	known := m.tree.Revisions()
	for path, revision := range r.Subtrees {
		if jmtree.IsSubtreePath(path) && revision > known[path].Newest {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// IsReader reports whether this process is one of its data centre's readers: those
// with the ReadersPerDataCentre highest scores among itself and the data centre's
// other members that are alive and not leaving.
func (m *Machine) IsReader(states map[netip.AddrPort]jmmember.State) bool {
	ownScore := readerScore(m.Self.Address)
	rank := 0
	for addr, s := range states {
		isCandidate := s.DataCentre == m.Self.DataCentre && s.Liveness == jmmember.Alive && !s.IsLeaving
		if isCandidate && readerScore(addr) > ownScore {
			rank++
		}
	}
	return rank < ReadersPerDataCentre
}

// NeedsFallbackRead reports whether this process has to read the platform itself:
// it has no settings, or FallbackReadAfter and the jitter have passed without
// contact.
func (m *Machine) NeedsFallbackRead(now time.Time) bool {
	return m.digest == 0 || now.After(m.fallbackReadAt)
}

// RecordPlatformRead records that the platform was read, which defers the next
// fallback read.
func (m *Machine) RecordPlatformRead(now time.Time) { m.recordContact(now) }

// readerScore orders the processes for the role of a reader, alike in every process.
func readerScore(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}

func hashRevisions(revisions map[string]jmtree.Revision) uint64 {
	paths := make([]string, 0, len(revisions))
	for path := range revisions {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	hash := xxhash.New()
	for _, path := range paths {
		r := revisions[path]
		_, _ = hash.WriteString(path)
		_, _ = hash.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.Newest), r.Good))
	}
	return hash.Sum64()
}

func sizeOf(s jasminemoor.Subtree) int {
	size := len(s.Path)
	for name, text := range s.Values {
		size += len(name) + len(text)
	}
	return size
}
