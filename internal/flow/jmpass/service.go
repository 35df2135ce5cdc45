package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
)

// The settings name the service of the upstream. Where an upstream has ended, the next one at
// its address may be of another service, and listen before the new settings are read and before
// the directory lists it. Until one of the two names its service, it gets no new flow.

// serviceState is what an agent knows of the service of its upstream.
type serviceState struct {
	// former are the services that the settings named before Agent.Service.
	former []string
	// doubtedAt is when another process may have taken the upstream's address since the
	// settings were read, zero if none has. listed is the run that the directory listed then.
	doubtedAt time.Time
	listed    upstreamRun
	// isPortUnknown is set if no process is known to listen since then. The settings are
	// read once one does, as they may change until it starts.
	isPortUnknown bool
	// ended is the last run that the directory listed when it had ended.
	ended upstreamRun
}

// SetService replaces the service of the agent's upstream. Open flows of the former one go on.
func (a *Agent) SetService(service string) {
	if service != a.Service {
		a.service.former = append(a.service.former, a.Service)
		a.Service = service
	}
}

// HandleSettings sets the service that the settings name, which were read after the given time.
func (a *Agent) HandleSettings(service string, readAfter time.Time) {
	a.SetService(service)
	if !a.service.isPortUnknown && readAfter.After(a.service.doubtedAt) {
		a.service.doubtedAt = time.Time{}
	}
}

// NeedsSettings reports whether the settings are to be read again and passed to
// HandleSettings, as another process may have taken the upstream's address.
func (a *Agent) NeedsSettings() bool {
	return !a.service.doubtedAt.IsZero() && !a.service.isPortUnknown
}

// doubtService records that another process may have taken the upstream's address, and whether
// one listens there.
func (a *Agent) doubtService(now time.Time, isListening bool) {
	if !a.CanReadSettings {
		return
	}
	a.service.doubtedAt, a.service.isPortUnknown = now, !isListening
	if a.snapshot.View != nil {
		a.service.listed = runOf(a.snapshot.Upstreams[a.Upstream])
	}
}

// isServiceKnown reports whether the upstream that runs now is of Service.
func (a *Agent) isServiceKnown() bool {
	if a.service.doubtedAt.IsZero() {
		return true
	}
	own := a.snapshot.Upstreams[a.Upstream]
	return own != nil && !own.IsRemoved && runOf(own) != a.service.listed && own.Service == a.Service
}

// hasLeft reports whether the directory lists the upstream as leaving. An entry that was removed
// meanwhile counts as well, unless the upstream's process has ended since.
func (a *Agent) hasLeft(own *jmdirectory.Upstream) bool {
	if own == nil || own.State != jasminemoor.UpstreamLeaving {
		return false
	}
	return !own.IsRemoved || runOf(own) != a.service.ended
}
