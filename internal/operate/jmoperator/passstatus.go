package jmoperator

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// DirectoryStatus is a process's copy of the directory of pass-through flows.
type DirectoryStatus struct {
	Version  uint64 // of the routes in force
	Revision uint64
	// AgeMs is the time since the copy was last known to be complete, in milliseconds.
	AgeMs int64
	// Evacuated are the data centres that are being evacuated.
	Evacuated []string
}

// PassBalancerStatus returns the status of a balancer of pass-through flows.
func PassBalancerStatus(b *jmpassnode.Balancer) *Status {
	s := passStatus("balancer", b.Settings, b.Control())
	s.Flows = b.Flows()
	return s
}

// PassAgentStatus returns the status of an agent of pass-through flows.
func PassAgentStatus(a *jmpassnode.Agent) *Status {
	s := passStatus("agent", a.Settings, a.Control())
	s.Flows, s.Waiting = a.Flows()
	return s
}

// passStatus returns the fields that balancers and agents share. Control may be nil.
func passStatus(role string, settings *jmlocal.Settings, control *jmpassnode.Control) *Status {
	s := &Status{
		Role: role, DataCentre: settings.DataCentre,
		Identity: jasminemoor.Identity{Agent: netip.AddrPortFrom(settings.Address, settings.FirstPort)},
	}
	if control == nil {
		return s
	}
	if copied := control.Snapshot(); copied != nil {
		s.Directory = &DirectoryStatus{
			Version: copied.Version, Revision: copied.Revision, AgeMs: time.Since(copied.AsOf).Milliseconds(), Evacuated: copied.Evacuated,
		}
	}
	return s
}

// Print writes the copy's status for people.
func (d *DirectoryStatus) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "directory: revision %d, %d ms old, routes of version %d\n", d.Revision, d.AgeMs, d.Version)
	if len(d.Evacuated) > 0 {
		_, _ = fmt.Fprintf(out, "evacuated: %s\n", strings.Join(d.Evacuated, ", "))
	}
}
