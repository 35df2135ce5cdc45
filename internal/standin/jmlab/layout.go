// Package jmlab lays out a small fleet on loopback addresses with its settings and
// certificates, and runs it in one process, for tests and the demo.
package jmlab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Ports that the processes and stand-ins listen on. Most have an IP address of their
// own, so that all of a kind use the same port.
const (
	platformPort = 8500
	balancerPort = 7000
	agentPort    = 7100
	upstreamPort = 8000
	servicePort  = 4433
	controlPort  = 9000
)

const certificateLife = 24 * time.Hour

// Layout describes a fleet on the loopback addresses 127.<Net>.x.y.
type Layout struct {
	Net         byte
	DataCentres []string
	Fleet       FleetSpec
	Services    []*jmtree.Service
	// Roots holds the root certificate that signs the services' certificates.
	Roots *x509.CertPool
	// RootPEM is the same root certificate in PEM.
	RootPEM string
}

// FleetSpec holds the documents of the subtree Fleet.
type FleetSpec struct {
	Network   jmtree.Network
	Keys      jmtree.Keys
	Balancers []jmtree.Balancer
}

// ServiceSpec describes one service for NewLayout.
type ServiceSpec struct {
	Team, Name string
	// Weights has one weight for each upstream. The upstreams are assigned to the
	// data centres in turn.
	Weights []uint32
	Limits  jmtree.Limits
}

// NewLayout returns a layout with the given number of balancers, and with new keys and
// certificates.
func NewLayout(net byte, dataCentres []string, balancers int, services ...ServiceSpec) (l *Layout, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "lay out fleet")
		}
	}()
	l = &Layout{Net: net, DataCentres: dataCentres}
	l.addFleet(balancers)
	authority, err := newAuthority()
	if err != nil {
		return nil, err
	}
	l.Roots, l.RootPEM = authority.pool, authority.rootPEM
	upstreams := 0
	for i, spec := range services {
		s := &jmtree.Service{
			Number:     jasminemoor.ServiceNumber(i + 1),
			Address:    netip.AddrPortFrom(l.ip(9, i+1), uint16(servicePort+i)),
			ServerName: spec.Name + "." + spec.Team + ".example",
			Limits:     spec.Limits,
			Team:       spec.Team,
			Name:       spec.Name,
		}
		if s.Certificate, err = authority.issue(s.ServerName); err != nil {
			return nil, err
		}
		for j, weight := range spec.Weights {
			upstreams++
			s.Upstreams = append(s.Upstreams, l.newUpstream(upstreams, j, spec.Name, weight))
		}
		l.Services = append(l.Services, s)
	}
	return l, nil
}

// ip returns the address of a host in a group. The groups are 0 for the platform and
// the control addresses, 1 for balancers, 2 for agents, 3 for upstreams and 9 for
// services.
func (l *Layout) ip(group, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.Net, byte(group), byte(host)})
}

// addFleet adds the data centres, the agents' prefix, the keys and the balancers.
func (l *Layout) addFleet(balancers int) {
	for _, name := range l.DataCentres {
		l.Fleet.Network.DataCentres = append(l.Fleet.Network.DataCentres, jmtree.DataCentre{Name: name, Region: "r1"})
	}
	prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{127, l.Net, 2, 0}), 24)
	l.Fleet.Network.Prefixes = []jmtree.Prefix{{Number: 1, Prefix: prefix}}
	l.Fleet.Keys = jmtree.Keys{
		ConnectionID: []jmtree.ConnectionIDKey{{Number: 1, Secret: NewSecret(16), Sealing: true}},
		Datagram:     []jmtree.Secret{NewSecret(16)},
		Control:      []jmtree.Secret{NewSecret(32)},
		Reset:        NewSecret(32),
	}
	for i := range balancers {
		l.Fleet.Balancers = append(l.Fleet.Balancers, jmtree.Balancer{
			Name:       fmt.Sprintf("b%d", i+1),
			DataCentre: l.DataCentres[i%len(l.DataCentres)],
			Address:    netip.AddrPortFrom(l.ip(1, i+1), balancerPort),
			ServiceIP:  l.ip(1, i+1),
		})
	}
}

// newUpstream returns an upstream. Its number, from 1 on, is unique in the fleet; its
// index is its place in the service, from 0 on.
func (l *Layout) newUpstream(number, index int, service string, weight uint32) jmtree.Upstream {
	return jmtree.Upstream{
		Name:       fmt.Sprintf("%s-%d", service, index+1),
		DataCentre: l.DataCentres[index%len(l.DataCentres)],
		Agent:      netip.AddrPortFrom(l.ip(2, number), agentPort),
		Address:    netip.AddrPortFrom(l.ip(3, number), upstreamPort),
		Weight:     weight,
	}
}

// PlatformAddress returns the address that the platform's stand-in listens on.
func (l *Layout) PlatformAddress() netip.AddrPort {
	return netip.AddrPortFrom(l.ip(0, 1), platformPort)
}

// ControlAddress returns the HTTP address of the process with the given number, for
// its control endpoint or its operator endpoint.
func (l *Layout) ControlAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(l.ip(0, 2), uint16(controlPort+number))
}

// BalancerServiceAddress returns the address at which a balancer receives the datagrams
// of a service from the fabric.
func (l *Layout) BalancerServiceAddress(b jmtree.Balancer, s *jmtree.Service) netip.AddrPort {
	return netip.AddrPortFrom(b.ServiceIP, s.Address.Port())
}

// Documents returns the settings tree as JSON documents, by path of the subtree and
// name of the document.
func (l *Layout) Documents() (documents map[string]map[string]string, err error) {
	documents = make(map[string]map[string]string)
	put := func(path, name string, value any) {
		text, marshalErr := json.MarshalIndent(value, "", "\t")
		if marshalErr != nil && err == nil {
			err = marshalErr
		}
		if documents[path] == nil {
			documents[path] = make(map[string]string)
		}
		documents[path][name] = string(text)
	}
	put(jmtree.FleetPath, jmtree.NetworkName, l.Fleet.Network)
	put(jmtree.FleetPath, jmtree.KeysName, l.Fleet.Keys)
	put(jmtree.FleetPath, jmtree.BalancersName, jmtree.Balancers{Balancers: l.Fleet.Balancers})
	for _, s := range l.Services {
		put(jmtree.TeamPrefix+s.Team, s.Name, s)
	}
	return documents, err
}

// NewSecret returns random key material of the given size in bytes.
func NewSecret(size int) jmtree.Secret {
	secret := make([]byte, size)
	// crypto/rand.Read never returns an error on supported systems.
	_, _ = rand.Read(secret)
	return secret
}

// SecretText returns a secret in hexadecimal, the form used in settings and flags.
func SecretText(s jmtree.Secret) string { return hex.EncodeToString(s) }

// authority is a certificate authority that issues the services' certificates.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pool        *x509.CertPool
	rootPEM     string
}

// newAuthority returns an authority with a new self-signed root certificate.
func newAuthority() (a *authority, err error) {
	a = &authority{pool: x509.NewCertPool()}
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	template := certificateTemplate("jasminemoor stand-in root")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	a.pool.AddCert(a.certificate)
	a.rootPEM = pemText("CERTIFICATE", der)
	return a, nil
}

// issue returns a certificate for a server name, with its key.
func (a *authority) issue(serverName string) (c jmtree.Certificate, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return c, err
	}
	template := certificateTemplate(serverName)
	template.DNSNames = []string{serverName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return c, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return c, err
	}
	c.Chain = pemText("CERTIFICATE", der)
	c.Key = jmtree.PrivateKey(pemText("EC PRIVATE KEY", keyDER))
	return c, nil
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-certificateLife),
		NotAfter:     time.Now().Add(certificateLife),
	}
}

func pemText(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// ClientTLS returns the TLS settings of a caller that trusts the layout's root.
func (l *Layout) ClientTLS() *tls.Config {
	return &tls.Config{RootCAs: l.Roots, MinVersion: tls.VersionTLS13}
}
