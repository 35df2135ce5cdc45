// Package jmstore is a stand-in for the metadata store of the users' platform,
// for tests. It keeps items in memory with their history, and can be slow, down
// for some, lose answers, forget its history or refuse for its rate.
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
	pageSize = 50
	maxWait  = 30 * time.Second
)

// Fault is how the store treats a call.
type Fault int

// The faults.
const (
	FaultNone   Fault = iota
	FaultBusy         // 503
	FaultMany         // 429
	FaultSilent       // no answer at all
	FaultReset        // the connection breaks
)

// Store is the stand-in. The zero value is an empty store; it is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	floor   uint64 // history up to here is gone
	items   map[string]item
	history []item
	changed chan struct{}
	calls   int
	delay   time.Duration
	faults  map[netip.Addr]Fault
	fault   Fault
}

type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// answer is the body of an answer. Each call fills its own part.
type answer struct {
	*item
	Items      []item `json:"items,omitempty"`
	Events     []item `json:"events,omitempty"`
	HasMore    bool   `json:"has_more,omitempty"`
	CurrentRev uint64 `json:"current_rev"`
}

// Put writes a value, as the operator or an upstream would.
func (s *Store) Put(key string, value any) {
	text, isText := value.(string)
	if !isText {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // a test's own value
		}
		text = string(raw)
	}
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(text))})
}

// Remove removes a key.
func (s *Store) Remove(key string) { s.write(item{Key: key, Removed: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	if s.items == nil {
		s.items = make(map[string]item)
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.rev, nil
}

// SetFault has the store treat the calls of an instance so, or all calls if the
// address is not valid.
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

// SetDelay has each answer take longer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, delay := s.admit(r)
	time.Sleep(delay)
	switch fault {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultMany:
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

func (s *Store) admit(r *http.Request) (f Fault, delay time.Duration) {
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

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, answer{item: &i, CurrentRev: s.rev})
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
	reply(w, answer{Items: items, HasMore: hasMore, CurrentRev: s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.floor {
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
			reply(w, answer{Events: events, CurrentRev: rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, answer{Events: events, CurrentRev: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
