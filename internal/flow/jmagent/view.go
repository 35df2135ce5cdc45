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

// view is the state of settings and members that the agent's traffic goroutines
// read. It is immutable.
type view struct {
	node     *jmcontrol.View
	codec    *jmconnid.Codec
	keys     []jmdatagram.Key
	service  *jmtree.Service
	upstream jmtree.Upstream
	// isConfigured is true if the newest settings name this agent for the service
	// that its flows belong to. If not, service and upstream are those of the last
	// settings that did.
	isConfigured bool
	// relativeWeight is the upstream's weight divided by the largest weight of the
	// service's upstreams.
	relativeWeight float64
	balancers      []netip.AddrPort  // usable balancers for answers to callers, sorted
	certificate    *tls.Certificate  // nil if there is none
	peers          []jmtree.Upstream // the service's other upstreams
}

// waitForService waits for settings that name this agent, and that are known to be recent, and
// applies the first view. By older ones the address may be that of another service's upstream.
func (a *Agent) waitForService(ctx context.Context) error {
	cause := ""
	for {
		v, err := a.buildView(nil)
		if err == nil {
			a.applyView(v)
			return nil
		}
		if err.Error() != cause {
			cause = err.Error()
			a.Log.WithError(err).Info("agent: waiting for settings")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.Node.Changed():
		}
	}
}

// viewRetryInterval is the time after which a view is built again if that panicked.
const viewRetryInterval = 2 * time.Second

// updateViews rebuilds the view after each change of settings or members, until
// ctx ends.
func (a *Agent) updateViews(ctx context.Context) {
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.Node.Changed():
		case <-retry:
		}
		retry = nil
		if !a.Guard.Try(goroutineViews, a.updateView) {
			retry = time.After(viewRetryInterval)
		}
	}
}

func (a *Agent) updateView() {
	v, err := a.buildView(a.view.Load())
	if err != nil {
		a.Log.WithError(err).Error("agent: new settings are unusable; the previous ones stay in force")
		return
	}
	wasLeaving := a.isLeaving()
	a.applyView(v)
	if a.isLeaving() && !wasLeaving {
		a.Log.Info("agent: upstream is leaving")
		a.Node.Leave()
		a.flows.announceLeaving()
	}
}

// applyView publishes a view and sets its service's limits.
func (a *Agent) applyView(v *view) {
	limits := v.service.Limits.WithDefaults()
	a.gate.SetLimits(jmgate.Limits{
		Slots:     limits.Slots,
		Streams:   limits.Connections,
		Queue:     limits.Queue,
		QueueWait: time.Duration(limits.QueueWait),
	})
	a.view.Store(v)
}

// buildView returns a view of the newest settings and members. The last view is
// nil when the first one is built.
func (a *Agent) buildView(last *view) (v *view, err error) {
	node := a.Node.View()
	if node.Config == nil {
		return nil, eris.New("no settings received yet")
	}
	if last == nil && a.Service == "" && !node.IsConfirmed {
		return nil, eris.New("settings may be old: neither the platform nor enough peers have confirmed them")
	}
	v = &view{node: node, keys: node.Config.Fleet.DatagramKeys()}
	if v.codec, err = node.Config.Fleet.Codec(); err != nil {
		return nil, err
	}
	v.service, v.upstream, v.isConfigured = node.Config.ServiceOf(a.Identity.Agent)
	isMoved := v.isConfigured && last != nil && v.service.Number != last.service.Number
	if isMoved {
		// The connection IDs of open flows contain the old service's number.
		v.isConfigured = false
	}
	if v.isConfigured && a.Service != "" && a.Service != nameOf(v.service) {
		if last == nil {
			return nil, eris.Errorf("settings name the agent %s for %s, not for its own service %s", a.Identity.Agent, nameOf(v.service), a.Service)
		}
		v.isConfigured = false
	}
	if !v.isConfigured {
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

// nameOf returns a service's name as in Agent.Service.
func nameOf(s *jmtree.Service) string { return s.Team + "/" + s.Name }

// chooseCertificate returns the certificate in the settings or, without one, that
// of the command line. If the certificate in the settings has expired, the
// certificate of the last view is returned, if it has one.
func (a *Agent) chooseCertificate(v, last *view) *tls.Certificate {
	c := &v.service.Certificate
	switch {
	case c.Parsed() == nil:
		return a.Certificate
	case c.HasExpired(time.Now()) && last != nil && last.certificate != nil:
		a.Log.Error("agent: certificate in the settings has expired; the previous one stays in use")
		return last.certificate
	}
	return c.Parsed()
}

// addPeers sets the view's peers and relativeWeight.
func (v *view) addPeers(own netip.AddrPort) {
	largest := v.upstream.Weight
	for _, u := range v.service.Upstreams {
		largest = max(largest, u.Weight)
		if u.Agent != own {
			v.peers = append(v.peers, u)
		}
	}
	v.relativeWeight = float64(v.upstream.Weight) / float64(largest)
}

// addBalancers sets the view's balancers.
func (v *view) addBalancers() {
	for _, b := range v.node.Config.Fleet.Balancers {
		if !b.Leaving && v.node.IsUsable(b.Address) {
			v.balancers = append(v.balancers, b.Address)
		}
	}
	slices.SortFunc(v.balancers, netip.AddrPort.Compare)
}

// peer returns the known state and load of another agent of the service.
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

// tlsConfig returns a TLS configuration that rejects handshakes for any server
// name but the service's own, so that a caller that uses an address which has
// moved to another service doesn't reach the wrong service.
func (a *Agent) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{jasminemoor.Protocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return a.configFor(hello.ServerName)
		},
	}
}

// configFor returns the TLS configuration for a handshake with a server name.
func (a *Agent) configFor(serverName string) (*tls.Config, error) {
	v := a.view.Load()
	if !strings.EqualFold(serverName, v.service.ServerName) {
		a.Counters.WrongName.Add(1)
		return nil, eris.Errorf("server name %q is not the service's server name", serverName)
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

// resetKey returns the key of stateless resets. It is the same after a restart, so
// that a restarted agent can reset the flows of its earlier run at once.
func resetKey(config *jmtree.Config) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(config.Fleet.Keys.Reset)
	return &key
}

// tokenKey returns the key of QUIC's address validation tokens. It is derived from
// the reset key and the same on all agents.
func tokenKey(config *jmtree.Config) *quic.TokenGeneratorKey {
	key := quic.TokenGeneratorKey(sha256.Sum256(append([]byte("token"), config.Fleet.Keys.Reset...)))
	return &key
}
