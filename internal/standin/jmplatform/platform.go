// Package jmplatform is a stand-in for the platform's configuration service,
// for tests and the demo. It keeps the settings tree in memory, counts the calls,
// and can be made slow, stale or unavailable, and be restored from a copy.
package jmplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// DefaultWatchLimit is the default of Platform.WatchLimit.
const DefaultWatchLimit = 30 * time.Second

// Platform is the stand-in. The exported fields are set before use.
type Platform struct {
	// WatchLimit is how long a watch waits for a change; 0 means DefaultWatchLimit.
	WatchLimit time.Duration

	calls atomic.Uint64

	mu sync.Mutex
	content
	stale   *content // what reads return, nil if the platform is not stale
	isDown  bool
	delay   time.Duration
	changed chan struct{} // closed at the next change, nil before the first
}

// content is a state of the tree.
type content struct {
	era      uint64 // how many times the platform has been restored
	revision uint64 // of the latest change
	subtrees map[string]subtree
}

// subtree is a subtree with the era of its last change, as it is on the wire.
type subtree struct {
	jasminemoor.Subtree
	Era uint64 `json:",omitempty"`
}

// revisions is the revisions of all subtrees, as they are on the wire.
type revisions struct {
	jasminemoor.Revisions
	Era  uint64            `json:",omitempty"`
	Eras map[string]uint64 `json:",omitempty"` // of the last changes of subtrees, without 0
}

// Backup is a copy of the tree.
type Backup struct{ content }

// Backup returns a copy of the present tree.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{content{revision: p.revision, subtrees: maps.Clone(p.subtrees)}}
}

// Restore returns the platform to a copy and begins a new era. Later changes are lost, and
// their revisions are given out again.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.content = content{era: p.era + 1, revision: b.revision, subtrees: maps.Clone(b.subtrees)}
	p.wakeLocked()
}

// Put sets one document, as an operator would, and returns the subtree's new
// revision.
func (p *Platform) Put(path, name, text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.putLocked(path, map[string]string{name: text})
}

// PutAll replaces a whole subtree and returns its new revision.
func (p *Platform) PutAll(path string, values map[string]string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subtrees, path)
	return p.putLocked(path, values)
}

// putLocked merges documents into a subtree under a new revision. p.mu must be
// held.
func (p *Platform) putLocked(path string, values map[string]string) uint64 {
	if p.subtrees == nil {
		p.subtrees = make(map[string]subtree)
	}
	next := maps.Clone(p.subtrees[path].Values)
	if next == nil {
		next = make(map[string]string)
	}
	maps.Copy(next, values)
	p.revision++
	p.subtrees[path] = subtree{jasminemoor.Subtree{Path: path, Revision: p.revision, Values: next}, p.era}
	p.wakeLocked()
	return p.revision
}

// wakeLocked wakes the waiting watches. p.mu must be held.
func (p *Platform) wakeLocked() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// SetDown sets whether every call fails with status 503, except those of /control.
func (p *Platform) SetDown(isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = isDown
	p.wakeLocked()
}

// SetStale sets whether reads keep returning the tree as it is now, without later
// changes.
func (p *Platform) SetStale(isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if isStale {
		p.stale = &content{era: p.era, revision: p.revision, subtrees: maps.Clone(p.subtrees)}
	}
	p.wakeLocked()
}

// Rewind sets the revision of a subtree to an older one, as a replica that lags
// behind would return it. The documents stay as they are.
func (p *Platform) Rewind(path string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subtrees[path]
	s.Revision = revision
	p.subtrees[path] = s
	p.wakeLocked()
}

// SetDelay sets how long each call waits before it is served.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns the number of calls received. A watch counts as one, and calls of
// /control don't count.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

// ServeHTTP implements http.Handler. It serves the read API and /control.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control" {
		p.serveControl(w, r)
		return
	}
	p.calls.Add(1)
	p.mu.Lock()
	isDown, delay := p.isDown, p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	if isDown {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/revisions":
		writeJSON(w, p.revisions())
	case "/v1/subtree":
		p.serveSubtree(w, r)
	case "/v1/watch":
		p.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) serveSubtree(w http.ResponseWriter, r *http.Request) {
	s, found := p.tree().subtrees[r.URL.Query().Get("path")]
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, s)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	era := uint64(0)
	if text := r.URL.Query().Get("era"); text != "" {
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "era is not a number", http.StatusBadRequest)
			return
		}
	}
	limit := time.After(p.watchLimit())
	for {
		p.mu.Lock()
		changed := p.changed
		isDown := p.isDown
		p.mu.Unlock()
		if isDown {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if revisions := p.revisions(); revisions.At > since || revisions.Era != era {
			writeJSON(w, revisions)
			return
		}
		select {
		case <-changed:
		case <-limit:
			writeJSON(w, p.revisions())
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) watchLimit() time.Duration {
	if p.WatchLimit == 0 {
		return DefaultWatchLimit
	}
	return p.WatchLimit
}

// tree returns the content that reads return.
func (p *Platform) tree() content {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return *p.stale
	}
	return content{era: p.era, revision: p.revision, subtrees: maps.Clone(p.subtrees)}
}

func (p *Platform) revisions() revisions {
	c := p.tree()
	r := revisions{
		Revisions: jasminemoor.Revisions{At: c.revision, Subtrees: make(map[string]uint64, len(c.subtrees))},
		Era:       c.era, Eras: make(map[string]uint64),
	}
	for path, s := range c.subtrees {
		r.Subtrees[path] = s.Revision
		if s.Era > 0 {
			r.Eras[path] = s.Era
		}
	}
	return r
}

// Control is the body of a POST to /control, with which tests and operators change
// the platform. Fields that are nil change nothing.
type Control struct {
	Put     map[string]map[string]string // text of documents, by subtree and name
	IsDown  *bool
	IsStale *bool
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for path, values := range c.Put {
		for name, text := range values {
			p.Put(path, name, text)
		}
	}
	if c.IsDown != nil {
		p.SetDown(*c.IsDown)
	}
	if c.IsStale != nil {
		p.SetStale(*c.IsStale)
	}
	writeJSON(w, struct{ Calls uint64 }{p.Calls()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
