package jmprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmplatform"
)

const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = 2 * time.Second
	dirMode      = 0o700
	fileMode     = 0o600
)

// Fleet is a laid-out fleet as processes. The exported fields are set before Start.
type Fleet struct {
	Layout *jmlab.Layout
	// Binary is the path of the built command.
	Binary string
	// Dir is for the settings tree, the root certificate and the logs.
	Dir string

	processes map[string]*Process
	control   map[string]netip.AddrPort
	logs      []*os.File
}

// Start writes the settings and starts every process.
func (f *Fleet) Start() (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start fleet")
		}
	}()
	f.processes = make(map[string]*Process)
	f.control = make(map[string]netip.AddrPort)
	if err = f.writeSettings(); err != nil {
		return err
	}
	if err = f.run("platform", "standin", "platform", "-listen", f.Layout.PlatformAddress().String(), "-settings", f.SettingsDir()); err != nil {
		return err
	}
	for _, s := range f.Layout.Services {
		if err = f.startService(s); err != nil {
			return err
		}
	}
	for _, b := range f.Layout.Fleet.Balancers {
		if err = f.StartBalancer(b); err != nil {
			return err
		}
	}
	return nil
}

// SettingsDir is the directory of the settings tree that the fleet began with.
func (f *Fleet) SettingsDir() string { return filepath.Join(f.Dir, "settings") }

// RootFile is the path of the root certificate that callers trust.
func (f *Fleet) RootFile() string { return filepath.Join(f.Dir, "root.pem") }

func (f *Fleet) writeSettings() error {
	documents, err := f.Layout.Documents()
	if err != nil {
		return err
	}
	for path, values := range documents {
		dir := filepath.Join(f.SettingsDir(), filepath.FromSlash(path))
		if err = os.MkdirAll(dir, dirMode); err != nil {
			return err
		}
		for name, text := range values {
			if err = os.WriteFile(filepath.Join(dir, name+".json"), []byte(text), fileMode); err != nil {
				return err
			}
		}
	}
	return os.WriteFile(f.RootFile(), []byte(f.Layout.RootPEM), fileMode)
}

func (f *Fleet) startService(s *jmtree.Service) error {
	balancers := make([]string, 0, len(f.Layout.Fleet.Balancers))
	for _, b := range f.Layout.Fleet.Balancers {
		balancers = append(balancers, f.Layout.BalancerServiceAddress(b, s).String())
	}
	name := "fabric-" + s.Name
	err := f.run(name, "standin", "fabric", "-listen", s.Address.String(),
		"-balancers", strings.Join(balancers, ","), "-control", f.ControlOf(name))
	if err != nil {
		return err
	}
	for _, u := range s.Upstreams {
		name = "upstream-" + u.Name
		err = f.run(name, "standin", "upstream", "-listen", u.Address.String(), "-name", u.Name, "-control", f.ControlOf(name))
		if err != nil {
			return err
		}
		if err = f.StartAgent(u); err != nil {
			return err
		}
	}
	return nil
}

// ControlOf returns the address of a process's HTTP endpoint.
func (f *Fleet) ControlOf(name string) string {
	if _, found := f.control[name]; !found {
		f.control[name] = f.Layout.ControlAddress(len(f.control))
	}
	return f.control[name].String()
}

// StartAgent starts the agent of an upstream, again if it has ended. The
// process is named "agent-" and the upstream's name.
func (f *Fleet) StartAgent(u jmtree.Upstream) error {
	name := "agent-" + u.Name
	return f.run(name, "agent", "-address", u.Agent.String(), "-data-centre", u.DataCentre,
		"-platform", f.platformURL(), "-operator", f.ControlOf(name), "-log-level", "debug", "-trial-cut", f.cutFile(u.DataCentre))
}

func (f *Fleet) cutFile(dataCentre string) string { return filepath.Join(f.Dir, "cut-"+dataCentre) }

// CutOff cuts a data centre off from the others, or mends the cut for an empty
// name. The platform and the fabric are reached from both sides.
func (f *Fleet) CutOff(name string) error {
	ranges := make(map[string]*strings.Builder)
	for _, dc := range f.Layout.DataCentres {
		ranges[dc] = &strings.Builder{}
	}
	cut := func(address netip.AddrPort, dataCentre string) {
		for _, dc := range f.Layout.DataCentres {
			if name != "" && (dc == name) != (dataCentre == name) {
				fmt.Fprintf(ranges[dc], "%s/32\n", address.Addr())
			}
		}
	}
	for _, b := range f.Layout.Fleet.Balancers {
		cut(b.Address, b.DataCentre)
	}
	for _, s := range f.Layout.Services {
		for _, u := range s.Upstreams {
			cut(u.Agent, u.DataCentre)
		}
	}
	for dc, text := range ranges {
		if err := os.WriteFile(f.cutFile(dc), []byte(text.String()), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// StartBalancer starts a balancer, again if it has ended. The process has the
// balancer's name.
func (f *Fleet) StartBalancer(b jmtree.Balancer) error {
	return f.run(b.Name, "balancer", "-address", b.Address.String(), "-data-centre", b.DataCentre,
		"-service-ip", b.ServiceIP.String(), "-platform", f.platformURL(), "-operator", f.ControlOf(b.Name),
		"-log-level", "debug", "-trial-cut", f.cutFile(b.DataCentre))
}

func (f *Fleet) platformURL() string { return "http://" + f.Layout.PlatformAddress().String() }

func (f *Fleet) run(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	f.logs = append(f.logs, log)
	p := &Process{Name: name, Args: args}
	if err = p.Start(f.Binary, log); err != nil {
		return err
	}
	f.processes[name] = p
	return nil
}

// Process returns a process by its name.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// Close ends every process at once.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, log := range f.logs {
		_ = log.Close()
	}
}

// Log returns what a process has logged.
func (f *Fleet) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	return string(text)
}

// Status returns the status of a balancer or an agent.
func (f *Fleet) Status(ctx context.Context, name string) (s *jmoperator.Status, err error) {
	s = &jmoperator.Status{}
	err = f.get(ctx, name, "/status", s)
	return s, err
}

// Runs returns how often each booking ran, at all upstreams together.
func (f *Fleet) Runs(ctx context.Context) (runs map[string]int, err error) {
	runs = make(map[string]int)
	for name := range f.control {
		if !strings.HasPrefix(name, "upstream-") {
			continue
		}
		var part map[string]int
		if err = f.get(ctx, name, "/", &part); err != nil {
			return nil, err
		}
		for id, count := range part {
			runs[id] += count
		}
	}
	return runs, nil
}

func (f *Fleet) get(ctx context.Context, name, path string, target any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.control[name].String()+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

func (f *Fleet) post(ctx context.Context, address, path string, body any) (err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reply, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", response.Status, reply)
	}
	return nil
}

// SetFabric changes the settings of a service's fabric. Its balancers are all
// but the named ones, whatever the settings say.
func (f *Fleet) SetFabric(ctx context.Context, s *jmtree.Service, settings jmfabric.Settings, without ...string) error {
	settings.Balancers = nil
	for _, b := range f.Layout.Fleet.Balancers {
		if !slices.Contains(without, b.Name) {
			settings.Balancers = append(settings.Balancers, f.Layout.BalancerServiceAddress(b, s))
		}
	}
	return f.post(ctx, f.control["fabric-"+s.Name].String(), "/", settings)
}

// ControlPlatform gives the platform's stand-in an order.
func (f *Fleet) ControlPlatform(ctx context.Context, c jmplatform.Control) error {
	return f.post(ctx, f.Layout.PlatformAddress().String(), "/control", c)
}

// AwaitReady waits until every balancer and agent has all settings in force.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for name := range f.control {
		if strings.HasPrefix(name, "fabric-") || strings.HasPrefix(name, "upstream-") {
			continue
		}
		if err := f.awaitOne(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitOne(ctx context.Context, name string) error {
	documents, err := f.Layout.Documents()
	if err != nil {
		return err
	}
	for {
		status, err := f.Status(ctx, name)
		if err == nil && len(status.Revisions) == len(documents) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// NewCaller returns a caller of a service.
func (f *Fleet) NewCaller(s *jmtree.Service) *client.Caller {
	return &client.Caller{Address: s.Address, ServerName: s.ServerName, TLS: f.Layout.ClientTLS()}
}
