package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

func checkCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "check")
	process := flags.String("process", "", "check the settings file of one pass-through process: balancer or agent")
	routes := flags.Bool("routes", false, "check a configuration of routes in the form of the platform's store")
	return &ffcli.Command{
		Name: "check",
		ShortUsage: "jasminemoor check <directory>\n" +
			"  jasminemoor check -process <balancer|agent> <file>\n" +
			"  jasminemoor check -routes <file>",
		ShortHelp: "Check settings and print each fault with its location and cause.",
		LongHelp: "The directory contains Fleet/<name>.json and Teams/<team>/<service>.json, JSON with comments.\n" +
			"Exit codes: 0 no fault, 1 faults, 2 wrong usage.",
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			switch {
			case len(args) != 1:
				return &exitError{code: exitUsage, text: "check takes one directory or file"}
			case *process != "":
				return checkProcess(t, jmlocal.Role(*process), args[0])
			case *routes:
				return checkRoutes(t, args[0])
			}
			subtrees, err := jmtree.ReadDir(args[0], 1)
			if err != nil {
				return err
			}
			faults := jmtree.Check(subtrees)
			for _, fault := range faults {
				_, _ = fmt.Fprintln(t.err, fault.Error())
			}
			if len(faults) > 0 {
				return &exitError{code: exitFailed}
			}
			_, _ = fmt.Fprintf(t.out, "%d subtrees, no fault\n", len(subtrees))
			return nil
		},
	}
}

// checkProcess checks the settings file of one process of pass-through flows.
func checkProcess(t *terminal, role jmlocal.Role, path string) error {
	if role != jmlocal.RoleBalancer && role != jmlocal.RoleAgent {
		return &exitError{code: exitUsage, text: "-process is balancer or agent"}
	}
	s, err := jmlocal.Load(path, role)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.out, "%s %s at %s, no fault\n", role, s.Name, s.Address)
	return nil
}

// checkRoutes checks a file with a configuration of routes.
func checkRoutes(t *terminal, path string) error {
	text, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return err
	}
	routing, err := jmadapter.ParseRouting(text)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.out, "version %d with %d routes, no fault\n", routing.Version, len(routing.Routes))
	return nil
}
