package jmbalancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// view is the state of settings and members that the balancer's traffic goroutines
// read. It is immutable.
type view struct {
	codec    *jmconnid.Codec
	keys     []jmdatagram.Key
	services map[netip.AddrPort]*placement // by the service's address
}

// placement holds the candidates for new flows of one service.
type placement struct {
	number jasminemoor.ServiceNumber
	table  *jmplacer.Table
}

// newSealer returns a sealer for the view's keys, for use by one goroutine.
func (v *view) newSealer() *jmdatagram.Sealer {
	// NewSealer can't fail: rebuild has checked the keys before it published the
	// view.
	sealer, _ := jmdatagram.NewSealer(v.keys)
	return sealer
}

// viewRetryInterval is the time after which a view is built again if that panicked.
const viewRetryInterval = 2 * time.Second

// silenceCheckInterval is how often the balancer checks for silent agents.
const silenceCheckInterval = 250 * time.Millisecond

// updateViews rebuilds the view after each change of settings, members or silent
// agents, until ctx ends.
func (b *Balancer) updateViews(ctx context.Context, wg *jmguard.Group) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.Node.Changed():
		case <-retry:
		case now := <-ticker.C:
			if !b.silence.update(now) {
				continue
			}
		}
		retry = nil
		ok := b.Guard.Try(goroutineViews, func() {
			if err := b.rebuild(ctx, wg); err != nil {
				b.Log.WithError(err).Error("balancer: new settings are unusable; the previous ones stay in force")
			}
		})
		if !ok {
			retry = time.After(viewRetryInterval)
		}
	}
}

// rebuild publishes a view of the newest settings and members, and begins to serve
// new service addresses.
func (b *Balancer) rebuild(ctx context.Context, wg *jmguard.Group) (err error) {
	node := b.Node.View()
	if node.Config == nil {
		return nil
	}
	v := &view{keys: node.Config.Fleet.DatagramKeys()}
	if v.codec, err = node.Config.Fleet.Codec(); err != nil {
		return err
	}
	if _, err = jmdatagram.NewSealer(v.keys); err != nil {
		return err
	}
	b.silence.setAgents(node.Config.Agents)
	v.services = make(map[netip.AddrPort]*placement, len(node.Config.Services))
	for _, s := range node.Config.Services {
		v.services[s.Address] = &placement{number: s.Number, table: b.newTable(node, s)}
	}
	b.view.Store(v)
	for local := range v.services {
		conn, isNew, err := b.sockets.open(local, b.ServiceIP)
		if err != nil {
			b.Log.WithError(err).Error("balancer: can't open the socket of a service address")
			continue
		}
		if isNew {
			wg.Go(goroutineCallers, func() { b.callerLoop(ctx, conn, local) })
			b.Log.WithField("Address", local).Info("balancer: serving")
		}
	}
	return nil
}

// newTable returns a table of the upstreams of a service that may get new flows.
func (b *Balancer) newTable(node *jmcontrol.View, s *jmtree.Service) *jmplacer.Table {
	upstreams := make([]jmplacer.Upstream, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		upstreams = append(upstreams, jmplacer.Upstream{
			Candidate: jmplacer.Candidate{Agent: u.Agent, Weight: u.Weight},
			Condition: b.ConditionOf(node, u),
		})
	}
	candidates, _ := jmplacer.Select(upstreams)
	return jmplacer.NewTable(candidates)
}

// ConditionOf returns the condition of an upstream by the members' states. A working
// upstream whose agent is silent towards this balancer is suspect.
func (b *Balancer) ConditionOf(node *jmcontrol.View, u *jmtree.Upstream) jmplacer.Condition {
	condition := node.ConditionOf(u)
	if condition == jmplacer.Working && b.silence.isSilent(u.Agent) {
		return jmplacer.Suspect
	}
	return condition
}
