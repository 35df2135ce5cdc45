package jmtree

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// Sizes of keys in bytes.
const (
	controlKeySize = 32
	resetKeySize   = 32
)

// Fleet is the checked content of the fleet's subtree.
type Fleet struct {
	Network   Network
	Keys      Keys
	Balancers []Balancer
}

// Codec returns the connection ID codec of the fleet's keys and prefixes.
func (f *Fleet) Codec() (c *jmconnid.Codec, err error) {
	keys := make([]jmconnid.Key, 0, len(f.Keys.ConnectionID))
	for _, k := range f.Keys.ConnectionID {
		key := jmconnid.Key{Number: k.Number, IsSealing: k.Sealing}
		copy(key.Secret[:], k.Secret)
		keys = append(keys, key)
	}
	prefixes := make([]jmconnid.Prefix, 0, len(f.Network.Prefixes))
	for _, p := range f.Network.Prefixes {
		prefixes = append(prefixes, jmconnid.Prefix{Number: p.Number, Prefix: p.Prefix})
	}
	return jmconnid.New(keys, prefixes)
}

// DatagramKeys returns the keys for caller datagrams between balancers and agents,
// the one for sending first.
func (f *Fleet) DatagramKeys() (keys []jmdatagram.Key) {
	for _, s := range f.Keys.Datagram {
		keys = append(keys, jmdatagram.Key(s))
	}
	return keys
}

// ControlKeys returns the keys for control messages and links, the one for
// sending first.
func (f *Fleet) ControlKeys() (keys []jmdatagram.ControlKey) {
	for _, s := range f.Keys.Control {
		keys = append(keys, jmdatagram.ControlKey(s))
	}
	return keys
}

// ParseFleet parses and checks the fleet's subtree.
func ParseFleet(s jasminemoor.Subtree) (f *Fleet, faults []Fault) {
	f = &Fleet{}
	var balancers Balancers
	targets := map[string]any{NetworkName: &f.Network, KeysName: &f.Keys, BalancersName: &balancers}
	documents := make(map[string]*document)
	for _, name := range []string{NetworkName, KeysName, BalancersName} {
		path := s.Path + "/" + name
		text, found := s.Values[name]
		if !found {
			faults = append(faults, Fault{Path: path, Cause: "document is missing"})
			continue
		}
		documents[name] = parseDocument(path, text, targets[name])
	}
	for name := range s.Values {
		if targets[name] == nil {
			faults = append(faults, Fault{Path: s.Path + "/" + name, Cause: "document is unknown"})
		}
	}
	f.Balancers = balancers.Balancers
	if d := documents[NetworkName]; d.isDecoded() {
		checkNetwork(d, &f.Network)
	}
	if d := documents[KeysName]; d.isDecoded() {
		checkKeys(d, &f.Keys)
	}
	if d := documents[BalancersName]; d.isDecoded() {
		checkBalancers(d, f.Balancers)
	}
	for _, d := range documents {
		faults = append(faults, d.faults...)
	}
	if len(faults) == 0 {
		if _, err := f.Codec(); err != nil {
			faults = append(faults, Fault{Path: s.Path + "/" + KeysName, Cause: err.Error()})
		}
	}
	sortFaults(faults)
	return f, faults
}

// isDecoded reports whether a document exists and has no fault so far.
func (d *document) isDecoded() bool { return d != nil && len(d.faults) == 0 }

func checkNetwork(d *document, n *Network) {
	if len(n.Prefixes) == 0 {
		d.add("/Prefixes", "at least one prefix is needed")
	}
	numbers := make(map[uint8]bool)
	for i, p := range n.Prefixes {
		pointer := fmt.Sprintf("/Prefixes/%d", i)
		if !p.Prefix.IsValid() {
			d.add(pointer, "prefix is missing")
		}
		if numbers[p.Number] {
			d.add(pointer+"/Number", "prefix number %d is used twice", p.Number)
		}
		numbers[p.Number] = true
	}
	names := make(map[string]bool)
	for i, dc := range n.DataCentres {
		if dc.Name == "" || names[dc.Name] {
			d.add(fmt.Sprintf("/DataCentres/%d/Name", i), "name %q is empty or used twice", dc.Name)
		}
		names[dc.Name] = true
	}
}

func checkKeys(d *document, k *Keys) {
	checkSecrets(d, "/Datagram", k.Datagram, jmdatagram.KeySize)
	checkSecrets(d, "/Control", k.Control, controlKeySize)
	checkSecret(d, "/Reset", k.Reset, resetKeySize)
	if len(k.ConnectionID) == 0 {
		d.add("/ConnectionID", "at least one key is needed")
	}
	for i, key := range k.ConnectionID {
		checkSecret(d, fmt.Sprintf("/ConnectionID/%d/Secret", i), key.Secret, jmconnid.KeySize)
	}
}

func checkSecrets(d *document, pointer string, secrets []Secret, size int) {
	if len(secrets) == 0 {
		d.add(pointer, "at least one key is needed")
	}
	for i, s := range secrets {
		checkSecret(d, fmt.Sprintf("%s/%d", pointer, i), s, size)
	}
}

func checkSecret(d *document, pointer string, s Secret, size int) {
	if len(s) != size {
		d.add(pointer, "secret has %d bytes, not %d", len(s), size)
	}
}

func checkBalancers(d *document, balancers []Balancer) {
	names := make(map[string]bool)
	addrs := make(map[netip.AddrPort]bool)
	for i, b := range balancers {
		pointer := fmt.Sprintf("/Balancers/%d", i)
		if b.Name == "" || names[b.Name] {
			d.add(pointer+"/Name", "name %q is empty or used twice", b.Name)
		}
		names[b.Name] = true
		if !isUsable(b.Address) || addrs[b.Address] {
			d.add(pointer+"/Address", "address %q is unusable or used twice", b.Address)
		}
		addrs[b.Address] = true
	}
}

// ParseTeam parses and checks a team's subtree, without regard to other teams.
func ParseTeam(s jasminemoor.Subtree) (services []*Service, faults []Fault) {
	team := strings.TrimPrefix(s.Path, TeamPrefix)
	names := make([]string, 0, len(s.Values))
	for name := range s.Values {
		names = append(names, name)
	}
	sort.Strings(names)
	claims := newClaims()
	for _, name := range names {
		service := &Service{Team: team, Name: name}
		d := parseDocument(s.Path+"/"+name, s.Values[name], service)
		if d.isDecoded() {
			checkService(d, service)
			for _, cause := range claims.add(service) {
				d.add("", "%s", cause)
			}
		}
		faults = append(faults, d.faults...)
		services = append(services, service)
	}
	sortFaults(faults)
	return services, faults
}

func checkService(d *document, s *Service) {
	if s.Number == 0 {
		d.add("/Number", "service number is missing")
	}
	if !isUsable(s.Address) {
		d.add("/Address", "address %q is unusable", s.Address)
	}
	if s.ServerName == "" {
		d.add("/ServerName", "server name is missing")
	}
	names := make(map[string]bool)
	for i, u := range s.Upstreams {
		pointer := fmt.Sprintf("/Upstreams/%d", i)
		if u.Name == "" || names[u.Name] {
			d.add(pointer+"/Name", "name %q is empty or used twice", u.Name)
		}
		names[u.Name] = true
		if !isUsable(u.Agent) {
			d.add(pointer+"/Agent", "address %q is unusable", u.Agent)
		}
		if !isUsable(u.Address) {
			d.add(pointer+"/Address", "address %q is unusable", u.Address)
		}
		if u.Weight < 1 || u.Weight > maxWeight {
			d.add(pointer+"/Weight", "weight %d is not between 1 and %d", u.Weight, maxWeight)
		}
	}
	checkCertificate(d, s)
	checkRange(d, "/Limits/Slots", int64(s.Limits.Slots), maxSlots)
	checkRange(d, "/Limits/Connections", int64(s.Limits.Connections), maxConnections)
	checkRange(d, "/Limits/Queue", int64(s.Limits.Queue), maxQueue)
	checkRange(d, "/Limits/QueueWait", int64(s.Limits.QueueWait), int64(maxQueueWait))
}

// checkCertificate stores the parsed certificate, or adds a fault if it does not
// match its key or the server name. An expired certificate is not a fault of the
// revision, as all processes must find the same faults in a revision at any time.
// Config.Faults lists it instead.
func checkCertificate(d *document, s *Service) {
	c := &s.Certificate
	if !c.IsSet() {
		return
	}
	parsed, err := tls.X509KeyPair([]byte(c.Chain), []byte(c.Key))
	if err != nil {
		d.add("/Certificate", "certificate can't be used: %s", err)
		return
	}
	if err = parsed.Leaf.VerifyHostname(s.ServerName); err != nil {
		d.add("/Certificate/Chain", "%s", err)
		return
	}
	c.parsed = &parsed
}

func checkRange(d *document, pointer string, value, limit int64) {
	if value < 0 || value > limit {
		d.add(pointer, "value %d is not between 0 and %d", value, limit)
	}
}

func isUsable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Path != faults[j].Path {
			return faults[i].Path < faults[j].Path
		}
		return faults[i].Line < faults[j].Line
	})
}
