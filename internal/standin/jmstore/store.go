// Package jmstore is a stand-in for the metadata store of the users' platform,
// for tests. It keeps items and the history of their changes in memory. It can
// delay its answers, fail the calls of one instance or of all, drop its history, and
// be restored from a copy.
package jmstore

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize bounds the items in one answer of /v1/kv-range.
	pageSize = 50
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// maxWait bounds how long a watch waits for a change.
	maxWait = 30 * time.Second
)

// Fault is a failure that the store injects into calls.
type Fault int

// Faults of a call.
const (
	FaultNone        Fault = iota // the call is served
	FaultUnavailable              // status 503
	FaultRateLimited              // status 429
	FaultSilent                   // no answer until the client cancels the call
	FaultReset                    // the connection is closed without an answer
)

// Store is the stand-in. The zero value is an empty store; it is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	era     uint64          // how often it was restored
	written map[string]bool // keys that were written or removed since it was restored
	floor   uint64          // the history up to this revision was dropped
	items   map[string]item
	history []item
	changed chan struct{} // closed at the next change; nil if no watch waits
	calls   int
	delay   time.Duration
	faults  map[netip.Addr]Fault // of the calls of one instance
	fault   Fault                // of all other calls
}

type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// response is the body of every answer with status 200. A call sets only the fields
// that it returns.
type response struct {
	*item
	Items      []item `json:"items,omitempty"`
	Events     []item `json:"events,omitempty"`
	HasMore    bool   `json:"has_more,omitempty"`
	CurrentRev uint64 `json:"current_rev"`
}

// Put writes a value, as the operator or an upstream would. A string is stored
// as it is, any other value as JSON.
func (s *Store) Put(key string, value any) {
	text, isText := value.(string)
	if !isText {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // tests pass only values that JSON can represent
		}
		text = string(raw)
	}
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(text))})
}

// Remove removes a key.
func (s *Store) Remove(key string) { s.write(item{Key: key, Removed: true}) }

// write applies a change under a new revision and wakes the waiting watches.
func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	if s.written != nil {
		s.written[i.Key] = true
	}
	if s.items == nil {
		s.items = make(map[string]item)
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		if i.Created = s.items[i.Key].Created; i.Created == 0 {
			i.Created = s.rev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// DropHistory drops the history. A watch for the changes after an older revision than
// the present one then fails with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.rev, nil
}

// Revision returns the change counter of the store.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// Backup is a copy of a store's content.
type Backup struct {
	rev     uint64
	items   map[string]item
	history []item
}

// Backup returns a copy of the present content.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{rev: s.rev, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// Restore returns the store to the content of a copy and begins a new era. Later changes
// are lost, and their revisions are given out again. Waiting watches fail with status 410.
// Restore returns the content that was lost.
func (s *Store) Restore(b Backup) (lost Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = Backup{rev: s.rev, items: s.items, history: s.history}
	s.era++
	s.written = make(map[string]bool)
	s.rev, s.items, s.history = b.rev, maps.Clone(b.items), slices.Clone(b.history)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
	return lost
}

// Rewrite writes what was lost since a copy again, as its owners would, except for keys that
// have been written or removed since the restore.
func (s *Store) Rewrite(b, lost Backup) {
	for key, i := range lost.items {
		if i.Value != b.items[key].Value && !s.isWritten(key) {
			s.write(item{Key: key, Value: i.Value})
		}
	}
	for key := range b.items {
		if _, found := lost.items[key]; !found && !s.isWritten(key) {
			s.Remove(key)
		}
	}
}

// isWritten reports whether a key has been written or removed since the store was restored.
func (s *Store) isWritten(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written[key]
}

// SetFault sets the fault of the calls of one instance or, if the address is not
// valid, of all calls without a fault of their own.
func (s *Store) SetFault(from netip.Addr, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !from.IsValid() {
		s.fault = f
		return
	}
	if s.faults == nil {
		s.faults = make(map[netip.Addr]Fault)
	}
	s.faults[from] = f
}

// SetDelay sets how long each call waits before it is served.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, delay := s.beginCall(r)
	time.Sleep(delay)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(firstEra+s.era, 10))
	s.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultRateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultSilent:
		<-r.Context().Done()
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/v1/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, waitErr := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, query.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, maxWait))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// beginCall counts a call and returns the fault and the delay to inject into it.
func (s *Store) beginCall(r *http.Request) (f Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil {
		if from, err := netip.ParseAddr(host); err == nil && s.faults[from] != FaultNone {
			return s.faults[from], s.delay
		}
	}
	return s.fault, s.delay
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, response{item: &i, CurrentRev: s.rev})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, hasMore := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == pageSize {
			hasMore = true
			break
		}
		items = append(items, s.items[key])
	}
	writeJSON(w, response{Items: items, HasMore: hasMore, CurrentRev: s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after < s.floor || after > s.rev || s.era != era {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev := s.rev
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, response{Events: events, CurrentRev: rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, response{Events: events, CurrentRev: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
