// Package jmspread spreads the settings between the fleet's processes: a few
// readers in each data centre watch the platform, news is pushed to a few
// peers, and a digest on each probe finds what a lost message left out.
//
// The machine has no sockets and no goroutines. Revisions only grow: neither a
// stale platform nor a stale peer can take a newer one back.
package jmspread

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
	// Fanout is how many peers are told of a new revision.
	Fanout = 4
	// QuietLimit is how long a process goes without hearing of the settings
	// from a peer before it reads the platform itself.
	QuietLimit = 20 * time.Second
	// quietJitter spreads those reads over time.
	quietJitter = 20 * time.Second
	// pullInterval is the least time between two exchanges over a digest that differs.
	pullInterval = 500 * time.Millisecond
	// pullTimeout is when an exchange that has not ended no longer counts.
	pullTimeout = 5 * time.Second
)

// Rumor tells a peer that a revision exists.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Path     string
	Revision jmtree.Revision
}

// Machine is the state of the spreading in one process. One goroutine owns
// it; the exported fields are set before use.
type Machine struct {
	Self jmmember.Member
	Rand *rand.Rand

	tree       jmtree.Tree
	digest     uint64
	lastHeard  time.Time
	quietUntil time.Time
	lastPull   time.Time
	isPulling  bool
}

// Digest returns a hash over all known revisions. Zero means that nothing is known.
func (m *Machine) Digest() uint64 { return m.digest }

// Revisions returns the known revisions.
func (m *Machine) Revisions() map[string]jmtree.Revision { return m.tree.Revisions() }

// Config returns the settings in force, or nil.
func (m *Machine) Config() *jmtree.Config { return m.tree.Config() }

// Put takes subtrees from the platform or a peer in, and returns the rumors
// to push to Fanout peers. It returns none if nothing was new.
func (m *Machine) Put(subtrees []jasminemoor.Subtree) (news []Rumor) {
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
		news = append(news, Rumor{Path: path, Revision: revisions[path]})
	}
	m.digest = digestOf(revisions)
	return news
}

// HandleRumor reports whether the sender of a rumor should be asked for what it has.
func (m *Machine) HandleRumor(now time.Time, rumor Rumor) (shouldPull bool) {
	m.heard(now)
	known := m.tree.Revisions()[rumor.Path]
	isNews := rumor.Revision.Newest > known.Newest || rumor.Revision.Good > known.Good
	return isNews && m.beginPull(now, 0)
}

// HandleDigest reports whether the sender of a digest should be asked.
func (m *Machine) HandleDigest(now time.Time, digest uint64) (shouldPull bool) {
	if digest == m.digest {
		m.heard(now)
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

// EndPull records the end of an exchange with a peer.
func (m *Machine) EndPull(now time.Time, isOK bool) {
	m.isPulling = false
	if isOK {
		m.heard(now)
	}
}

func (m *Machine) heard(now time.Time) {
	m.lastHeard = now
	m.quietUntil = now.Add(QuietLimit + time.Duration(m.Rand.Int64N(int64(quietJitter))))
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

// HandleRevisions reports whether a peer with the given revisions should be
// asked for what it has.
func (m *Machine) HandleRevisions(now time.Time, peer map[string]jmtree.Revision) (shouldPull bool) {
	known := m.tree.Revisions()
	for path, r := range peer {
		if r.Newest > known[path].Newest || r.Good > known[path].Good {
			return m.beginPull(now, pullInterval)
		}
	}
	return false
}

// Needs returns the subtrees that the platform has in a newer revision.
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

// IsReader reports whether this process is one of its data centre's readers:
// those that come first in a rendezvous hash over the live members.
func (m *Machine) IsReader(states map[netip.AddrPort]jmmember.State) bool {
	own := readerScore(m.Self.Address)
	ahead := 0
	for addr, s := range states {
		isPeer := s.DataCentre == m.Self.DataCentre && s.Liveness == jmmember.Alive && !s.IsLeaving
		if isPeer && readerScore(addr) > own {
			ahead++
		}
	}
	return ahead < ReadersPerDataCentre
}

// IsQuiet reports whether this process has heard of the settings from nobody
// for so long that it should read the platform itself.
func (m *Machine) IsQuiet(now time.Time) bool {
	return m.digest == 0 || now.After(m.quietUntil)
}

// HeardPlatform records that the platform was read.
func (m *Machine) HeardPlatform(now time.Time) { m.heard(now) }

func readerScore(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}

func digestOf(revisions map[string]jmtree.Revision) uint64 {
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
