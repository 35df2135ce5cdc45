package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
)

// panickingRole is a role that goes on while one of its goroutines panics.
type panickingRole struct{ guard *jmguard.Guard }

func (r *panickingRole) Run(ctx context.Context) error {
	wg := jmguard.Group{Guard: r.guard}
	wg.Go("packets", func() { panic("packet of no flow") })
	<-ctx.Done()
	wg.Wait()
	return nil
}

func (r *panickingRole) Leave() {}

func (r *panickingRole) Drained() <-chan struct{} { return nil }

// panicEnv names the mode in which TestPanicEndsProcess runs a role in a process of its own.
const panicEnv = "JASMINEMOOR_TEST_PANIC"

func runPanickingRole(mode string) {
	out := jmdecision.NewQueue(os.Stdout)
	logs := logFlags{format: "json", level: "info"}
	log, _ := logs.logger(out)
	last, _ := logs.logger(out.Urgent(os.Stderr))
	if mode == "stalled" {
		for range 10_000 {
			log.Info(strings.Repeat("x", 1000))
		}
	}
	guard := newGuard(log, last, func() { _ = out.Close() })
	_ = runUntilStopped(context.Background(), nil, log, guard, &panickingRole{guard: guard})
	os.Exit(exitOK)
}

// TestPanicEndsProcess checks that a process with a goroutine that panicked does not live on.
func TestPanicEndsProcess(t *testing.T) {
	if mode := os.Getenv(panicEnv); mode != "" {
		runPanickingRole(mode)
	}
	for _, mode := range []string{"read", "stalled"} {
		t.Run(mode, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestPanicEndsProcess$")
			cmd.Env = append(os.Environ(), panicEnv+"="+mode)
			var errOut bytes.Buffer
			cmd.Stderr = &errOut
			pipe, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())
			lines := errOut.String
			if mode == "read" {
				text, err := io.ReadAll(pipe)
				require.NoError(t, err)
				lines = func() string { return string(text) }
			}
			err = cmd.Wait()
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
			require.Equal(t, exitFailed, exit.ExitCode(), errOut.String())
			require.Equal(t, 1, strings.Count(lines(), "\n"), lines())
			for _, text := range []string{`"Goroutine":"packets"`, "packet of no flow", "panickingRole"} {
				require.Contains(t, lines(), text)
			}
		})
	}
}
