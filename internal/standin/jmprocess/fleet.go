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
	httpTimeout  = 2 * time.Second // of a call to a process's HTTP endpoint
	dirMode      = 0o700
	fileMode     = 0o600
)

// Fleet runs the fleet of a layout, with its stand-ins, as separate processes. The
// exported fields are set before Start.
type Fleet struct {
	Layout *jmlab.Layout
	// Binary is the path of the jasminemoor command.
	Binary string
	// Dir is the directory for the settings tree, the root certificate and the logs.
	Dir string

	processes map[string]*Process       // by name
	endpoints map[string]netip.AddrPort // HTTP endpoints, by the name of the process
	logs      []*os.File
}

// Start writes the settings and starts every process. After an error, Close ends the
// processes that were started.
func (f *Fleet) Start() (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start fleet")
		}
	}()
	f.processes = make(map[string]*Process)
	f.endpoints = make(map[string]netip.AddrPort)
	if err = f.writeSettings(); err != nil {
		return err
	}
	if err = f.startProcess("platform", "standin", "platform", "-listen", f.Layout.PlatformAddress().String(), "-settings", f.SettingsDir()); err != nil {
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

// SettingsDir returns the directory of the settings tree that the fleet starts with.
func (f *Fleet) SettingsDir() string { return filepath.Join(f.Dir, "settings") }

// RootFile returns the path of the root certificate that callers trust.
func (f *Fleet) RootFile() string { return filepath.Join(f.Dir, "root.pem") }

// writeSettings writes the settings tree and the root certificate.
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

// startService starts the fabric, the upstreams and the agents of a service.
func (f *Fleet) startService(s *jmtree.Service) error {
	balancers := make([]string, 0, len(f.Layout.Fleet.Balancers))
	for _, b := range f.Layout.Fleet.Balancers {
		balancers = append(balancers, f.Layout.BalancerServiceAddress(b, s).String())
	}
	name := "fabric-" + s.Name
	err := f.startProcess(name, "standin", "fabric", "-listen", s.Address.String(),
		"-balancers", strings.Join(balancers, ","), "-control", f.EndpointAddress(name))
	if err != nil {
		return err
	}
	for _, u := range s.Upstreams {
		name = "upstream-" + u.Name
		err = f.startProcess(name, "standin", "upstream", "-listen", u.Address.String(), "-name", u.Name, "-control", f.EndpointAddress(name))
		if err != nil {
			return err
		}
		if err = f.StartAgent(u); err != nil {
			return err
		}
	}
	return nil
}

// EndpointAddress returns the address of a process's HTTP endpoint: the control
// endpoint of a stand-in, or the operator endpoint of a balancer or agent. The first
// call with a name assigns the address.
func (f *Fleet) EndpointAddress(name string) string {
	if _, found := f.endpoints[name]; !found {
		f.endpoints[name] = f.Layout.ControlAddress(len(f.endpoints))
	}
	return f.endpoints[name].String()
}

// StartAgent starts the agent of an upstream, or restarts it after it has ended. The
// name of the process is "agent-" and the name of the upstream.
func (f *Fleet) StartAgent(u jmtree.Upstream) error {
	name := "agent-" + u.Name
	return f.startProcess(name, "agent", "-address", u.Agent.String(), "-data-centre", u.DataCentre,
		"-platform", f.platformURL(), "-operator", f.EndpointAddress(name), "-log-level", "debug", "-trial-cut", f.cutFile(u.DataCentre))
}

// cutFile returns the path of the file with the addresses that the processes of a
// data centre cannot reach.
func (f *Fleet) cutFile(dataCentre string) string { return filepath.Join(f.Dir, "cut-"+dataCentre) }

// CutOff partitions a data centre from the others, or heals the partition if the name
// is empty. Both sides still reach the platform and the fabric.
func (f *Fleet) CutOff(name string) error {
	blocked := make(map[string]*strings.Builder)
	for _, dc := range f.Layout.DataCentres {
		blocked[dc] = &strings.Builder{}
	}
	block := func(address netip.AddrPort, dataCentre string) {
		for _, dc := range f.Layout.DataCentres {
			if name != "" && (dc == name) != (dataCentre == name) {
				fmt.Fprintf(blocked[dc], "%s/32\n", address.Addr())
			}
		}
	}
	for _, b := range f.Layout.Fleet.Balancers {
		block(b.Address, b.DataCentre)
	}
	for _, s := range f.Layout.Services {
		for _, u := range s.Upstreams {
			block(u.Agent, u.DataCentre)
		}
	}
	for dc, text := range blocked {
		if err := os.WriteFile(f.cutFile(dc), []byte(text.String()), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// StartBalancer starts a balancer, or restarts it after it has ended. The process has
// the name of the balancer.
func (f *Fleet) StartBalancer(b jmtree.Balancer) error {
	return f.startProcess(b.Name, "balancer", "-address", b.Address.String(), "-data-centre", b.DataCentre,
		"-service-ip", b.ServiceIP.String(), "-platform", f.platformURL(), "-operator", f.EndpointAddress(b.Name),
		"-log-level", "debug", "-trial-cut", f.cutFile(b.DataCentre))
}

func (f *Fleet) platformURL() string { return "http://" + f.Layout.PlatformAddress().String() }

// startProcess starts a process that appends to the log file of its name.
func (f *Fleet) startProcess(name string, args ...string) error {
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

// Process returns the process of a name, or nil if none was started.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// Close kills every process, paused ones as well, and closes the logs.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, log := range f.logs {
		_ = log.Close()
	}
}

// Log returns the log of a process, or "" if it cannot be read.
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

// Runs returns the number of runs of each booking, summed over the upstreams.
func (f *Fleet) Runs(ctx context.Context) (runs map[string]int, err error) {
	runs = make(map[string]int)
	for name := range f.endpoints {
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

// get decodes the JSON that a process's HTTP endpoint returns. It does not check the
// status code.
func (f *Fleet) get(ctx context.Context, name, path string, target any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.endpoints[name].String()+path, nil)
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

// post sends the body as JSON to an HTTP endpoint. It returns an error if the status
// code is not 200.
func (f *Fleet) post(ctx context.Context, address, path string, body any) (err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
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

// SetFabric changes the settings of a service's fabric. It replaces
// settings.Balancers with all balancers except those named in without.
func (f *Fleet) SetFabric(ctx context.Context, s *jmtree.Service, settings jmfabric.Settings, without ...string) error {
	settings.Balancers = nil
	for _, b := range f.Layout.Fleet.Balancers {
		if !slices.Contains(without, b.Name) {
			settings.Balancers = append(settings.Balancers, f.Layout.BalancerServiceAddress(b, s))
		}
	}
	return f.post(ctx, f.endpoints["fabric-"+s.Name].String(), "/", settings)
}

// ControlPlatform changes the state of the platform's stand-in.
func (f *Fleet) ControlPlatform(ctx context.Context, c jmplatform.Control) error {
	return f.post(ctx, f.Layout.PlatformAddress().String(), "/control", c)
}

// AwaitReady waits until every balancer and agent has all subtrees of the settings in
// force.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for name := range f.endpoints {
		if strings.HasPrefix(name, "fabric-") || strings.HasPrefix(name, "upstream-") {
			continue
		}
		if err := f.awaitSettings(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// awaitSettings waits until the named process has a revision of every subtree.
func (f *Fleet) awaitSettings(ctx context.Context, name string) error {
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
