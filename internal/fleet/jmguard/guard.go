// Package jmguard keeps panics from being hidden: a goroutine that panics ends the
// process, and an input whose handler panics is dropped, counted and logged.
package jmguard

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// logTimeout bounds the wait for the last log line, whose reader may be stalled.
const logTimeout = 500 * time.Millisecond

// Guard ends a process when one of its goroutines panics or fails. The exported fields are set before
// use. The methods of a nil Guard recover from nothing, so that the runtime ends the process.
type Guard struct {
	// Log logs the inputs that are dropped.
	Log logrus.FieldLogger
	// Last logs the line before the end of the process. Its output may block.
	Last logrus.FieldLogger
	// Exit ends the process with a code other than 0.
	Exit func()
	// Dropped counts the inputs whose handlers panicked.
	Dropped atomic.Uint64

	mu        sync.Mutex // guards drops
	drops     drops
	hasFailed atomic.Bool
	endOnce   sync.Once
}

// HasFailed reports whether the process is about to end because of a panic.
func (g *Guard) HasFailed() bool { return g != nil && g.hasFailed.Load() }

// Do calls f, the body of the goroutine of that name. If f panics, the process ends.
func (g *Guard) Do(name string, f func()) {
	if g != nil {
		defer g.recoverGoroutine(name)
	}
	f()
}

func (g *Guard) recoverGoroutine(name string) {
	if value := recover(); value != nil {
		g.end("process: a goroutine panicked, ending", panicFields(name, value))
	}
}

// Fail ends the process because the goroutine of that name can't go on.
func (g *Guard) Fail(name string, err error) {
	if g != nil {
		g.end("process: a goroutine failed, ending", logrus.Fields{"Goroutine": name, logrus.ErrorKey: err})
	}
}

// Try calls f, which handles one input, and reports whether it returned. If f panics, the
// input is dropped; after more than MaxDrops within DropWindow the process ends.
func (g *Guard) Try(name string, f func()) (ok bool) {
	if g != nil {
		defer g.recoverInput(name)
	}
	f()
	return true
}

func (g *Guard) recoverInput(name string) {
	value := recover()
	if value == nil {
		return
	}
	g.Dropped.Add(1)
	fields := panicFields(name, value)
	g.mu.Lock()
	isAdmitted := g.drops.admit(time.Now())
	g.mu.Unlock()
	if !isAdmitted {
		g.end("process: too many inputs caused panics, ending", fields)
		return
	}
	g.Log.WithFields(fields).Error("process: input dropped, as its handler panicked")
}

// Each calls f with 0 to n-1, as Try does for each of them.
func (g *Guard) Each(name string, n int, f func(i int)) {
	next := 0
	for next < n {
		g.Try(name, func() {
			for next < n {
				next++
				f(next - 1)
			}
		})
	}
}

// Handler returns a handler of HTTP requests for which h is called as by Try. Without it, the
// server of net/http would hide a panic.
func (g *Guard) Handler(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.Try(name, func() { h.ServeHTTP(w, r) }) {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

// end logs a line and ends the process.
func (g *Guard) end(text string, fields logrus.Fields) {
	g.hasFailed.Store(true)
	g.endOnce.Do(func() {
		logged := make(chan struct{})
		go func() {
			defer close(logged)
			g.Last.WithFields(fields).Error(text)
		}()
		select {
		case <-logged:
		case <-time.After(logTimeout):
		}
		g.Exit()
	})
}

func panicFields(name string, value any) logrus.Fields {
	return logrus.Fields{"Goroutine": name, "Panic": fmt.Sprint(value), "Stack": string(debug.Stack())}
}

// Group runs goroutines under a Guard. The exported field is set before use.
type Group struct {
	Guard *Guard

	wg sync.WaitGroup
}

// Go calls f in a new goroutine, as Guard.Do does.
func (g *Group) Go(name string, f func()) {
	g.wg.Go(func() { g.Guard.Do(name, f) })
}

// Wait waits until all goroutines have ended.
func (g *Group) Wait() { g.wg.Wait() }
