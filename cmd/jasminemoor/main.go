// Command jasminemoor runs the processes of the load balancer, checks its
// settings, calls services, and runs a demo of a whole fleet.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/tailscale/hujson"
)

// Exit codes. Those of call are listed in its help.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
	exitFeedCut = 5
)

// exitError ends the command with an exit code. Its text, if any, goes to
// standard error.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// terminal holds the standard streams of a command.
type terminal struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	t := &terminal{in: os.Stdin, out: os.Stdout, err: os.Stderr}
	os.Exit(run(context.Background(), t, os.Args[1:]))
}

// run runs the command line and returns the exit code.
func run(ctx context.Context, t *terminal, args []string) int {
	root := &ffcli.Command{
		Name:       "jasminemoor",
		ShortUsage: "jasminemoor <command> [flags]",
		ShortHelp:  "A layer-4 load balancer for unequal instances.",
		FlagSet:    newFlagSet(t, "jasminemoor"),
		Subcommands: []*ffcli.Command{
			balancerCommand(t),
			agentCommand(t),
			checkCommand(t),
			callCommand(t),
			explainCommand(t),
			statusCommand(t),
			demoCommand(t),
			keyCommand(t),
			measureCommand(t),
			passthroughCommand(t),
			standinCommand(t),
			versionCommand(t),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		_, _ = fmt.Fprintln(t.err, "jasminemoor:", err)
		return exitUsage
	}
	return exitCode(t, root.Run(ctx))
}

// exitCode returns the exit code for a command's error, and prints the error.
func exitCode(t *terminal, err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	var exit *exitError
	if errors.As(err, &exit) {
		if exit.text != "" {
			_, _ = fmt.Fprintln(t.err, "jasminemoor:", exit.text)
		}
		return exit.code
	}
	_, _ = fmt.Fprintln(t.err, "jasminemoor:", err)
	return exitFailed
}

func newFlagSet(t *terminal, name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(t.err)
	return flags
}

// parseOptions returns the options that read each flag from the command line, the
// environment (JASMINEMOOR_<FLAG>) or a file of JSON with comments. The first of
// these that sets a flag wins.
func parseOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("JASMINEMOOR"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(parseCommentedJSON),
	}
}

func parseCommentedJSON(r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return err
	}
	return ff.JSONParser(bytes.NewReader(plain), set)
}

func versionCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:      "version",
		ShortHelp: "Print the version.",
		FlagSet:   newFlagSet(t, "version"),
		Exec: func(context.Context, []string) error {
			_, _ = fmt.Fprintln(t.out, versionText())
			return nil
		},
	}
}

func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "jasminemoor (devel)"
	}
	return "jasminemoor " + info.Main.Version + " " + info.GoVersion
}
