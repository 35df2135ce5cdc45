package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
)

// writeTree writes a settings tree without faults and returns its directory.
func writeTree(t *testing.T) string {
	t.Helper()
	layout, err := jmlab.NewLayout(30, []string{"lahore"}, 1, jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1}})
	require.NoError(t, err)
	documents, err := layout.Documents()
	require.NoError(t, err)
	dir := t.TempDir()
	for path, values := range documents {
		sub := filepath.Join(dir, path)
		require.NoError(t, os.MkdirAll(sub, 0o700))
		for name, text := range values {
			require.NoError(t, os.WriteFile(filepath.Join(sub, name+".json"), []byte(text), 0o600))
		}
	}
	return dir
}

func TestCommandLine(t *testing.T) {
	good := writeTree(t)
	bad := writeTree(t)
	badFile := filepath.Join(bad, "Teams", "rangla", "shop-floor.json")
	require.NoError(t, os.WriteFile(badFile, []byte("{\n\t// a comment\n\t\"Number\": 0,\n}"), 0o600))
	stray := writeTree(t)
	require.NoError(t, os.WriteFile(filepath.Join(stray, "Notes.json"), []byte("{}"), 0o600))
	config := filepath.Join(t.TempDir(), "flags.json")
	require.NoError(t, os.WriteFile(config, []byte(`{"log-format": "xml" /* no such format */}`), 0o600))

	cases := map[string]struct {
		args   string
		code   int
		out    string
		errOut string
	}{
		"help":                 {"-h", 0, "", "USAGE"},
		"no command":           {"", 2, "", "USAGE"},
		"unknown flag":         {"check -x", 2, "", "flag provided but not defined"},
		"version":              {"version", 0, "jasminemoor", ""},
		"check, good tree":     {"check " + good, 0, "2 subtrees, no fault\n", ""},
		"check, bad tree":      {"check " + bad, 1, "", "Teams/rangla/shop-floor:3 /Number: service number is missing\n"},
		"check, stray file":    {"check " + stray, 1, "", "Notes.json is neither below Fleet nor below Teams/<team>"},
		"check, no directory":  {"check", 2, "", "check takes one directory"},
		"check, missing":       {"check " + good + "/nowhere", 1, "", "no such file or directory"},
		"balancer, no address": {"balancer", 2, "", "-address is missing"},
		"agent, no source":     {"agent -address 127.0.0.1:1 -data-centre lahore", 2, "", "-platform or -peers is needed"},
		"agent, no key":        {"agent -address 127.0.0.1:1 -data-centre lahore -peers 127.0.0.1:2", 2, "", "-peers without -platform needs -control-key"},
		"agent, short key":     {"agent -control-key abcd", 2, "", "a control key is 32 bytes in hexadecimal"},
		"bad log level":        {"demo -log-level loud", 2, "", "not a valid logrus Level"},
		"flag from file":       {"demo -config " + config, 2, "", "log-format is neither text nor json"},
		"call, no name":        {"call -address 127.0.0.1:1", 2, "", "-address and -server-name are needed"},
		"call, bad address":    {"call -address localhost", 2, "", "not an ip:port"},
		"explore, no fleet":    {"measure explore -fleet none", 2, "", "measure explore knows no fleet none"},
		"explore":              {"measure explore -fleet opening -states 100 -walks 5", 0, "opening: 5 walks", "depth 1"},
		"explore, replay":      {"measure explore -fleet opening -replay send", 0, "step send 0 0", ""},
		"call, no listener":    {"call -address 127.30.9.9:1 -server-name x -timeout 300ms", 3, "", "not run"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(t.Context(), &terminal{in: strings.NewReader(""), out: &out, err: &errOut}, strings.Fields(tc.args))
			require.Equal(t, tc.code, code, errOut.String())
			require.Contains(t, out.String(), tc.out)
			require.Contains(t, errOut.String(), tc.errOut)
		})
	}
}

func TestFlagFromEnvironment(t *testing.T) {
	t.Setenv("JASMINEMOOR_LOG_FORMAT", "xml")
	var out, errOut bytes.Buffer
	code := run(t.Context(), &terminal{in: strings.NewReader(""), out: &out, err: &errOut}, []string{"demo"})
	require.Equal(t, exitUsage, code)
	require.Contains(t, errOut.String(), "log-format is neither text nor json")
}
