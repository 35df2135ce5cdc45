package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runMainVariable makes the test binary run the command.
const runMainVariable = "TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// startCommand starts the command as a process of its own, and returns the path of its output.
func startCommand(t *testing.T, args ...string) (c *exec.Cmd, log string) {
	binary, err := os.Executable()
	require.NoError(t, err)
	log = filepath.Join(t.TempDir(), "output")
	out, err := os.Create(log)
	require.NoError(t, err)
	c = exec.CommandContext(t.Context(), binary, args...)
	c.Env = append(os.Environ(), runMainVariable+"=1")
	c.Stdout, c.Stderr = out, out
	require.NoError(t, c.Start())
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		_ = out.Close()
		if t.Failed() {
			t.Log(readOutput(log))
		}
	})
	return c, log
}

func readOutput(path string) string {
	text, _ := os.ReadFile(path)
	return string(text)
}

const signalDelivery = 100 * time.Millisecond

// balancerSettings are the settings of a balancer without a platform.
const balancerSettings = `{
	"Name": "front-1", "Address": "127.77.9.1", "DataCentre": "here", "FirstPort": 17720, "LastPort": 17735,
	"Packets": "127.77.9.1:18172", "Ready": "127.77.9.1:18167", "Platform": {"Address": "127.77.9.1:18169"},
}`

// TestSignalAtStart sends signals to processes while they read their settings for the first
// time.
func TestSignalAtStart(t *testing.T) {
	for role, settings := range map[string]string{"agent": fmt.Sprintf(agentSettings, "shop", 4), "balancer": balancerSettings} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			t.Run(fmt.Sprint(role, " ", s), func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "settings.json")
				require.NoError(t, syscall.Mkfifo(path, 0o600))
				c, log := startCommand(t, "passthrough", role, "-settings", path)
				pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
				require.NoError(t, err)
				require.NoError(t, c.Process.Signal(s))
				time.Sleep(signalDelivery)

				require.NoError(t, os.Remove(path))
				require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
				_, err = pipe.WriteString(settings)
				require.NoError(t, err)
				require.NoError(t, pipe.Close())
				if s == syscall.SIGHUP {
					require.Eventually(t, func() bool { return strings.Contains(readOutput(log), "process: started") }, 5*time.Second, 10*time.Millisecond)
					require.NoError(t, c.Process.Signal(syscall.SIGTERM))
				}
				require.NoError(t, c.Wait())
				require.Contains(t, readOutput(log), "process: leaving")
			})
		}
	}
}

// TestHangupOfRole sends SIGHUP to processes that don't read settings from a file.
func TestHangupOfRole(t *testing.T) {
	for _, role := range []string{"agent", "balancer"} {
		t.Run(role, func(t *testing.T) {
			c, log := startCommand(t, role, "-address", "127.77.9.1:17720", "-data-centre", "here", "-platform", "http://127.77.9.1:1", "-operator", "none")
			require.Eventually(t, func() bool { return readOutput(log) != "" }, 5*time.Second, 10*time.Millisecond)
			require.NoError(t, c.Process.Signal(syscall.SIGHUP))
			time.Sleep(signalDelivery)
			require.NoError(t, c.Process.Signal(syscall.SIGTERM))
			require.NoError(t, c.Wait())
			require.Contains(t, readOutput(log), role+": drained")
		})
	}
}
