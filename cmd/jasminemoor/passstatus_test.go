package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// agentSettings are the settings of an agent without a platform, with a limit.
const agentSettings = `{
	"Name": "side-1", "Address": "127.77.9.1", "DataCentre": "here", "FirstPort": 17720, "LastPort": 17735,
	"Packets": "127.77.9.1:18172", "Outbound": "127.77.9.1:18162", "Ready": "127.77.9.1:18167",
	"Upstream": "127.77.9.1:18165", "Service": "shop", "Operator": "127.77.9.1:19464",
	"Platform": {"Address": "127.77.9.1:18169"},
	"Shares": {"Accounts": [{"Name": "guests", "Networks": ["127.77.3.0/24"], "MaxWaiting": %d}]},
}`

// TestStatusOfPassthrough asks a running agent for its status, and changes a limit in its
// settings file meanwhile.
func TestStatusOfPassthrough(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.json")
	setLimit := func(limit int) {
		require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, agentSettings, limit), 0o600))
	}
	setLimit(4)
	settings, err := jmlocal.Load(path, jmlocal.RoleAgent)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = runPassthrough(ctx, &roleSignals{}, path, jmlocal.RoleAgent, settings, log.WithField("Instance", settings.Name), nil)
	}()
	defer func() {
		cancel()
		<-done
	}()
	limit := func() int {
		out, _, code := runCommand(t, "", "status", "-operator", "http://127.77.9.1:19464", "-json")
		var s jmoperator.Status
		if code != exitOK || json.Unmarshal([]byte(out), &s) != nil || s.Pass == nil || len(s.Pass.Accounts) == 0 {
			return 0
		}
		return s.Pass.Accounts[0].MaxWaiting
	}
	require.Eventually(t, func() bool { return limit() == 4 }, 5*time.Second, 20*time.Millisecond)
	setLimit(9)
	require.Eventually(t, func() bool { return limit() == 9 }, settingsInterval+2*time.Second, 50*time.Millisecond)
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
