package jmagent

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// view is what the agent's traffic goroutines work by. It is immutable.
type view struct {
	node     *jmcontrol.View
	codec    *jmconnid.Codec
	keys     []jmdatagram.Key
	service  *jmtree.Service
	upstream jmtree.Upstream
	// isDeclared says that the newest settings still name this agent. If not,
	// service and upstream are those of the last settings that did.
	isDeclared bool
	// weightShare is the upstream's weight over the largest of the service.
	weightShare float64
	balancers   []netip.AddrPort // those that answers may go through
	certificate *tls.Certificate // nil if there is none
	peers       []jmtree.Upstream
}

// awaitService waits for settings that name this agent.
func (a *Agent) awaitService(ctx context.Context) error {
	for {
		v, err := a.buildView(nil)
		if err == nil {
			a.putView(v)
			return nil
		}
		a.Log.WithError(err).Debug("agent: waiting for settings")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.Node.Changed():
		}
	}
}

// followViews rebuilds the view with each change of settings or members.
func (a *Agent) followViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.Node.Changed():
		}
		v, err := a.buildView(a.view.Load())
		if err != nil {
			a.Log.WithError(err).Error("agent: new settings can't be used, the last ones stay in force")
			continue
		}
		wasLeaving := a.isLeaving()
		a.putView(v)
		if a.isLeaving() && !wasLeaving {
			a.Log.Info("agent: upstream is leaving")
			a.Node.Leave()
			a.flows.announceLeaving()
		}
	}
}

func (a *Agent) putView(v *view) {
	limits := v.service.Limits.WithDefaults()
	a.gate.SetLimits(jmgate.Limits{
		Slots:     limits.Slots,
		Streams:   limits.Connections,
		Queue:     limits.Queue,
		QueueWait: time.Duration(limits.QueueWait),
	})
	a.view.Store(v)
}

func (a *Agent) buildView(last *view) (v *view, err error) {
	node := a.Node.View()
	if node.Config == nil {
		return nil, eris.New("no settings are known")
	}
	v = &view{node: node, keys: node.Config.Fleet.DatagramKeys()}
	if v.codec, err = node.Config.Fleet.Codec(); err != nil {
		return nil, err
	}
	v.service, v.upstream, v.isDeclared = node.Config.ServiceOf(a.Identity.Agent)
	isMoved := v.isDeclared && last != nil && v.service.Number != last.service.Number
	if isMoved {
		// The open flows carry the old service's number.
		v.isDeclared = false
	}
	if !v.isDeclared {
		if last == nil {
			return nil, eris.Errorf("no service names the agent %s", a.Identity.Agent)
		}
		v.service, v.upstream = last.service, last.upstream
	}
	v.certificate = a.chooseCertificate(v, last)
	v.addPeers(a.Identity.Agent)
	v.addBalancers()
	return v, nil
}

// chooseCertificate returns the settings' certificate, or the one before it if
// it has expired, or else that of the command line.
func (a *Agent) chooseCertificate(v, last *view) *tls.Certificate {
	c := &v.service.Certificate
	switch {
	case c.Parsed() == nil:
		return a.Certificate
	case c.HasExpired(time.Now()) && last != nil && last.certificate != nil:
		a.Log.Error("agent: the settings' certificate has expired, the last one stays in use")
		return last.certificate
	}
	return c.Parsed()
}

func (v *view) addPeers(own netip.AddrPort) {
	largest := v.upstream.Weight
	for _, u := range v.service.Upstreams {
		largest = max(largest, u.Weight)
		if u.Agent != own {
			v.peers = append(v.peers, u)
		}
	}
	v.weightShare = float64(v.upstream.Weight) / float64(largest)
}

func (v *view) addBalancers() {
	for _, b := range v.node.Config.Fleet.Balancers {
		if !b.Leaving && v.node.IsUsable(b.Address) {
			v.balancers = append(v.balancers, b.Address)
		}
	}
	slices.SortFunc(v.balancers, netip.AddrPort.Compare)
}

// peer returns another agent of the service as this one sees it now.
func (a *Agent) peer(v *view, u *jmtree.Upstream, now time.Time) jmplacer.Peer {
	report, hasLoad := a.Node.Loads.Recent(u.Agent, now)
	isLeaving := u.Leaving || hasLoad && report.Leaving
	return jmplacer.Peer{
		Agent:    u.Agent,
		IsUsable: !isLeaving && v.node.IsUsable(u.Agent),
		IsLocal:  u.DataCentre == v.upstream.DataCentre,
		HasLoad:  hasLoad,
		Load:     report.Load,
	}
}

// tlsConfig refuses handshakes for any server name but the service's own, so
// that an address which moved between services can't lead to a wrong one.
func (a *Agent) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{jasminemoor.Protocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return a.configFor(hello.ServerName)
		},
	}
}

func (a *Agent) configFor(serverName string) (*tls.Config, error) {
	v := a.view.Load()
	if !strings.EqualFold(serverName, v.service.ServerName) {
		a.Counters.WrongName.Add(1)
		return nil, eris.Errorf("server name %q is not that of the service", serverName)
	}
	certificate := v.certificate
	if certificate == nil {
		return nil, eris.New("the service has no certificate")
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{jasminemoor.Protocol},
		Certificates:           []tls.Certificate{*certificate},
		SessionTicketsDisabled: true,
	}, nil
}

// resetKey lets a restarted agent tell callers at once that a flow of its
// earlier run is gone.
func resetKey(config *jmtree.Config) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(config.Fleet.Keys.Reset)
	return &key
}

// tokenKey makes the address tokens of all agents alike.
func tokenKey(config *jmtree.Config) *quic.TokenGeneratorKey {
	key := quic.TokenGeneratorKey(sha256.Sum256(append([]byte("token"), config.Fleet.Keys.Reset...)))
	return &key
}
