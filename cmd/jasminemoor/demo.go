package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmdemo"
)

func demoCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "demo")
	var log logFlags
	log.add(flags, "error")
	configFlag(flags)
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "jasminemoor demo [flags]",
		ShortHelp:  "Run a whole fleet on loopback, stop parts of it, and check that no request or feed fails.",
		FlagSet:    flags,
		Options:    parseOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			logger, err := log.logger(t.err)
			if err != nil {
				return err
			}
			d := &jmdemo.Demo{Out: t.out, Log: logger}
			return d.Run(ctx)
		},
	}
}
