package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmgateway"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

func passthroughCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "passthrough",
		ShortUsage: "jasminemoor passthrough <balancer|agent> -settings <file>",
		ShortHelp:  "Run a process for flows whose bytes pass unchanged.",
		FlagSet:    newFlagSet(t, "passthrough"),
		Subcommands: []*ffcli.Command{
			passthroughRole(t, jmlocal.RoleBalancer, "Run an entry process."),
			passthroughRole(t, jmlocal.RoleAgent, "Run the process beside an upstream."),
		},
		Exec: func(context.Context, []string) error {
			return &exitError{code: exitUsage, text: "passthrough needs balancer or agent"}
		},
	}
}

func passthroughRole(t *terminal, name jmlocal.Role, help string) *ffcli.Command {
	flags := newFlagSet(t, string(name))
	path := flags.String("settings", "", "settings file of this process, JSON with comments")
	var logs logFlags
	logs.add(flags, "info")
	logs.format = "json"
	return &ffcli.Command{
		Name:       string(name),
		ShortUsage: "jasminemoor passthrough " + string(name) + " -settings <file>",
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    parseOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" {
				return &exitError{code: exitUsage, text: "-settings is missing"}
			}
			log, err := logs.logger(t.out)
			if err != nil {
				return err
			}
			settings, err := jmlocal.Load(*path, name)
			if err != nil {
				return err
			}
			return runPassthrough(ctx, name, settings, log.WithField("Instance", settings.Name))
		},
	}
}

func runPassthrough(ctx context.Context, name jmlocal.Role, s *jmlocal.Settings, log logrus.FieldLogger) error {
	store := &jmadapter.Store{Address: s.Platform.Address.String(), Log: log}
	log.WithField("Role", name).Info("process: started")
	var r role
	if name == jmlocal.RoleBalancer {
		r = &jmgateway.Balancer{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log}
	} else {
		r = &jmgateway.Agent{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log}
	}
	err := runUntilStopped(ctx, log, r)
	log.WithField("Role", name).Info("process: stopped")
	return err
}
