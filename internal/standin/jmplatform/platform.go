// Package jmplatform is a stand-in for the platform's configuration service,
// for tests and the demo. It keeps a tree in memory, counts each call, and can
// be slow, stale or down.
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

// DefaultWatchLimit is how long a watch waits for a change.
const DefaultWatchLimit = 30 * time.Second

// Platform is the stand-in. The exported fields are set before use.
type Platform struct {
	WatchLimit time.Duration

	calls atomic.Uint64

	mu       sync.Mutex
	at       uint64
	subtrees map[string]jasminemoor.Subtree
	stale    *snapshot
	isDown   bool
	delay    time.Duration
	changed  chan struct{}
}

// snapshot is what a stale platform still says.
type snapshot struct {
	at       uint64
	subtrees map[string]jasminemoor.Subtree
}

// Put sets one document, as an operator would, and returns the subtree's new revision.
func (p *Platform) Put(path, name, text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.putLocked(path, map[string]string{name: text})
}

// PutAll replaces a whole subtree.
func (p *Platform) PutAll(path string, values map[string]string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subtrees, path)
	return p.putLocked(path, values)
}

func (p *Platform) putLocked(path string, values map[string]string) uint64 {
	if p.subtrees == nil {
		p.subtrees = make(map[string]jasminemoor.Subtree)
	}
	next := maps.Clone(p.subtrees[path].Values)
	if next == nil {
		next = make(map[string]string)
	}
	maps.Copy(next, values)
	p.at++
	p.subtrees[path] = jasminemoor.Subtree{Path: path, Revision: p.at, Values: next}
	p.wakeLocked()
	return p.at
}

func (p *Platform) wakeLocked() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = isDown
	p.wakeLocked()
}

// SetStale freezes what readers are told, or ends that.
func (p *Platform) SetStale(isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if isStale {
		p.stale = &snapshot{at: p.at, subtrees: maps.Clone(p.subtrees)}
	}
	p.wakeLocked()
}

// Rewind has the platform tell an old revision of a subtree, as a replica that
// has fallen behind.
func (p *Platform) Rewind(path string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.subtrees[path]
	s.Revision = revision
	p.subtrees[path] = s
	p.wakeLocked()
}

// SetDelay delays every call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns how many calls were made, a watch counting as one.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

// ServeHTTP implements http.Handler: the read API, and /control/ for tests.
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
		reply(w, p.revisions())
	case "/v1/subtree":
		p.serveSubtree(w, r)
	case "/v1/watch":
		p.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) serveSubtree(w http.ResponseWriter, r *http.Request) {
	_, subtrees := p.told()
	s, found := subtrees[r.URL.Query().Get("path")]
	if !found {
		http.NotFound(w, r)
		return
	}
	reply(w, s)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
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
		if revisions := p.revisions(); revisions.At > since {
			reply(w, revisions)
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, p.revisions())
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

// told returns what readers are told now.
func (p *Platform) told() (at uint64, subtrees map[string]jasminemoor.Subtree) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return p.stale.at, p.stale.subtrees
	}
	return p.at, maps.Clone(p.subtrees)
}

func (p *Platform) revisions() jasminemoor.Revisions {
	at, subtrees := p.told()
	r := jasminemoor.Revisions{At: at, Subtrees: make(map[string]uint64, len(subtrees))}
	for path, s := range subtrees {
		r.Subtrees[path] = s.Revision
	}
	return r
}

// Control is the body of a POST to /control: what tests and operators do.
type Control struct {
	Put     map[string]map[string]string // documents by subtree and name
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
	reply(w, struct{ Calls uint64 }{p.Calls()})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
