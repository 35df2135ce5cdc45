package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

func checkCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "jasminemoor check <directory>",
		ShortHelp:  "Check a settings tree and print each fault with path, line and cause.",
		LongHelp: "The directory holds Fleet/<name>.json and Teams/<team>/<service>.json, JSON with comments.\n" +
			"Exit codes: 0 no fault, 1 faults, 2 wrong usage.",
		FlagSet: newFlagSet(t, "check"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{code: exitUsage, text: "check takes one directory"}
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
