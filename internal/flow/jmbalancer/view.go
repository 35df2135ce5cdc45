package jmbalancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// view is what the balancer's traffic goroutines work by. It is immutable.
type view struct {
	codec    *jmconnid.Codec
	keys     []jmdatagram.Key
	services map[netip.AddrPort]*placement // by the service's address
}

// placement is where a service's new flows may go.
type placement struct {
	number jasminemoor.ServiceNumber
	table  *jmplacer.Table
}

// newSealer returns a sealer for one goroutine.
func (v *view) newSealer() *jmdatagram.Sealer {
	// The view was only published after a sealer for its keys could be made.
	sealer, _ := jmdatagram.NewSealer(v.keys)
	return sealer
}

// viewInterval is how often silent agents are looked for.
const viewInterval = 250 * time.Millisecond

// followViews rebuilds the view with each change of settings, members or
// silent agents, until ctx ends.
func (b *Balancer) followViews(ctx context.Context, wg *conc.WaitGroup) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.Node.Changed():
		case now := <-ticker.C:
			if !b.silence.judge(now) {
				continue
			}
		}
		if err := b.rebuild(ctx, wg); err != nil {
			b.Log.WithError(err).Error("balancer: new settings can't be used, the last ones stay in force")
		}
	}
}

func (b *Balancer) rebuild(ctx context.Context, wg *conc.WaitGroup) (err error) {
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
			b.Log.WithError(err).Error("balancer: service address can't be opened")
			continue
		}
		if isNew {
			b.Log.WithField("Address", local).Info("balancer: serving")
			wg.Go(func() { b.callerLoop(ctx, conn, local) })
		}
	}
	return nil
}

// newTable ranks the upstreams of a service that new flows may go to.
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

// ConditionOf returns what this balancer believes of an upstream.
func (b *Balancer) ConditionOf(node *jmcontrol.View, u *jmtree.Upstream) jmplacer.Condition {
	condition := node.ConditionOf(u)
	if condition == jmplacer.Working && b.silence.isSilent(u.Agent) {
		return jmplacer.Suspect
	}
	return condition
}
