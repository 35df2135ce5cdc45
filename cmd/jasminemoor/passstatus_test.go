package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// agentSettings are the settings of an agent without a platform, with a limit.
const agentSettings = `{
	"Name": "side-1", "Address": "127.77.9.1", "DataCentre": "here", "FirstPort": 17720, "LastPort": 17735,
	"Packets": "127.77.9.1:18172", "Outbound": "127.77.9.1:18162", "Ready": "127.77.9.1:18167",
	"Upstream": "127.77.9.1:18165", "Service": "%s", "Operator": "127.77.9.1:19464",
	"Platform": {"Address": "127.77.9.1:18169"},
	"Shares": {"Accounts": [{"Name": "guests", "Networks": ["127.77.3.0/24"], "MaxWaiting": %d}]},
}`

// testAgent is a running agent with agentSettings.
type testAgent struct {
	t    *testing.T
	path string // of its settings
	hook *logtest.Hook
}

func startAgent(t *testing.T) *testAgent {
	t.Helper()
	a := &testAgent{t: t, path: filepath.Join(t.TempDir(), "agent.json")}
	a.setSettings("shop", 4)
	settings, err := jmlocal.Load(a.path, jmlocal.RoleAgent)
	require.NoError(t, err)
	log, hook := logtest.NewNullLogger()
	a.hook = hook
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = runPassthrough(ctx, &roleSignals{}, a.path, jmlocal.RoleAgent, settings, log.WithField("Instance", settings.Name), nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	a.awaitStatus("shop", 4)
	return a
}

func (a *testAgent) setSettings(service string, limit int) {
	require.NoError(a.t, os.WriteFile(a.path, fmt.Appendf(nil, agentSettings, service, limit), 0o600))
}

// awaitStatus waits until the agent's status has a service and a limit.
func (a *testAgent) awaitStatus(service string, limit int) {
	a.t.Helper()
	require.Eventually(a.t, func() bool {
		out, _, code := runCommand(a.t, "", "status", "-operator", "http://127.77.9.1:19464", "-json")
		var s jmoperator.Status
		isKnown := code == exitOK && json.Unmarshal([]byte(out), &s) == nil && s.Pass != nil && len(s.Pass.Accounts) > 0
		return isKnown && s.Pass.Service == service && s.Pass.Accounts[0].MaxWaiting == limit
	}, settingsInterval+2*time.Second, 50*time.Millisecond)
}

// TestServiceInSettingsChanges changes the service of an agent's upstream in its settings file,
// and then makes the file unreadable before an upstream begins to listen: the agent reads the
// file for its service.
func TestServiceInSettingsChanges(t *testing.T) {
	a := startAgent(t)
	a.setSettings("desk", 4)
	a.awaitStatus("desk", 4)
	require.NoError(t, os.WriteFile(a.path, []byte("{"), 0o600))
	upstream, err := net.Listen("tcp", "127.77.9.1:18165")
	require.NoError(t, err)
	defer upstream.Close()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(a.hook.AllEntries(), func(e *logrus.Entry) bool {
			return e.Message == "settings: service of the upstream can't be read"
		})
	}, 5*time.Second, 20*time.Millisecond)
}

// TestStatusOfPassthrough asks a running agent for its status, and changes a limit in its
// settings file meanwhile.
func TestStatusOfPassthrough(t *testing.T) {
	a := startAgent(t)
	a.setSettings("shop", 9)
	a.awaitStatus("shop", 9)
	out, errOut, code := runCommand(t, "", "status", "-operator", "http://127.77.9.1:19464")
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "passthrough agent side-1 in here, service shop\ndirectory: not known yet\n")
	require.Contains(t, out, "refusals, over_limit: 0\n")
	require.Contains(t, out, "guests   1       9      127.77.3.0/24\n")
}

// TestExplainFlow explains a flow that was refused at its opening.
func TestExplainFlow(t *testing.T) {
	const log = "../../internal/operate/jmtrace/testdata/refusal.log"
	out, errOut, code := runCommand(t, "", "explain", "-flow", "100.64.0.6:1031", log)
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "Account=guests")
	require.Contains(t, out, "MaxWaiting=4")
	_, errOut, code = runCommand(t, "", "explain", "-flow", "100.64.0.6:1", log)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "no line names flow 100.64.0.6:1:")
}
