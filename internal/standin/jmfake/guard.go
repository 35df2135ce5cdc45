package jmfake

import (
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
)

// Guard is a guard that does not end the process.
type Guard struct {
	jmguard.Guard
	// Exited is closed where the process would end.
	Exited chan struct{}
	// LastLines has the line before that.
	LastLines *logtest.Hook
}

// NewGuard returns a guard.
func NewGuard() *Guard {
	g := &Guard{Exited: make(chan struct{})}
	g.Log, _ = logtest.NewNullLogger()
	g.Last, g.LastLines = logtest.NewNullLogger()
	g.Exit = func() { close(g.Exited) }
	return g
}

// HasExited reports whether the process would have ended.
func (g *Guard) HasExited() bool {
	select {
	case <-g.Exited:
		return true
	default:
		return false
	}
}
