package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCommand runs a command line with in as its standard input.
func runCommand(t *testing.T, in string, args ...string) (out, errOut string, code int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), &terminal{in: strings.NewReader(in), out: &stdout, err: &stderr}, args)
	return stdout.String(), stderr.String(), code
}

func TestCheckPassthrough(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		text string // in the output
	}{
		"routes":                     {[]string{"-routes", "../../examples/passthrough/routes.json"}, exitOK, "version 7 with 2 routes"},
		"agent":                      {[]string{"-process", "agent", "../../examples/passthrough/agent.json"}, exitOK, "no fault"},
		"not routes":                 {[]string{"-routes", "../../examples/passthrough/agent.json"}, exitFailed, ""},
		"no such file":               {[]string{"-process", "agent", "../../none.json"}, exitFailed, "none.json"},
		"no such role":               {[]string{"-process", "router", "../../examples/passthrough/agent.json"}, exitUsage, "balancer or agent"},
		"template with placeholders": {[]string{"-process", "agent", "../../deploy/settings.json"}, exitFailed, "deploy/settings.json"},
		"no argument":                {nil, exitUsage, "one directory or file"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out, errOut, code := runCommand(t, "", append([]string{"check"}, tc.args...)...)
			require.Equal(t, tc.code, code, errOut)
			require.Contains(t, out+errOut, tc.text)
		})
	}
}

func TestPassthroughNeedsSettings(t *testing.T) {
	_, errOut, code := runCommand(t, "", "passthrough", "agent")
	require.Equal(t, exitUsage, code)
	require.Contains(t, errOut, "-settings is missing")
	_, errOut, code = runCommand(t, "", "passthrough", "agent", "-settings", "../../examples/passthrough/routes.json")
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "Address is missing")
}

func TestExplainRequest(t *testing.T) {
	const log = "../../internal/operate/jmtrace/testdata/recovery.log"
	text, err := os.ReadFile(log)
	require.NoError(t, err)
	fromFile, _, code := runCommand(t, "", "explain", "-request", "9640eed95529aa9b", log)
	require.Equal(t, exitOK, code)
	require.Contains(t, fromFile, "flow: other agents asked for the holder")
	fromInput, _, code := runCommand(t, string(text), "explain", "-request", "9640eed95529aa9b")
	require.Equal(t, exitOK, code)
	require.Equal(t, fromFile, fromInput)
	_, errOut, code := runCommand(t, "", "explain", "-request", "1")
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "no line names request 1")
}

func TestMeasureFlows(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "plot.svg")
	scenario := filepath.Join(t.TempDir(), "short.json")
	text, err := os.ReadFile("../../examples/load/calm.json")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(scenario, bytes.Replace(text, []byte(`"24s"`), []byte(`"8s"`), 1), 0o600))
	out, errOut, code := runCommand(t, "", "measure", "flows", "-plot", plot, scenario)
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "calm")
	require.FileExists(t, plot)
	out, errOut, code = runCommand(t, "", "measure", "bound", "-scale", "0.5", scenario)
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "alone")
	require.Contains(t, out, "central")
	_, _, code = runCommand(t, "", "measure", "bound")
	require.Equal(t, exitUsage, code)
	_, _, code = runCommand(t, "", "measure", "flows")
	require.Equal(t, exitUsage, code)
}
