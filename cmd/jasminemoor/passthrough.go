package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmgateway"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
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
			out := jmdecision.NewQueue(t.out)
			defer out.Close()
			log, err := logs.logger(out)
			if err != nil {
				return err
			}
			settings, err := jmlocal.Load(*path, name)
			if err != nil {
				return err
			}
			return runPassthrough(ctx, *path, name, settings, log.WithField("Instance", settings.Name))
		},
	}
}

func runPassthrough(ctx context.Context, path string, name jmlocal.Role, s *jmlocal.Settings, log *logrus.Entry) error {
	store := &jmadapter.Store{Log: log}
	store.SetAddress(s.Platform.Address.String())
	log.WithField("Role", name).Info("process: started")
	decisions := &jmdecision.Log{Log: log.Logger}
	var r role
	operator := &jmoperator.Server{Address: s.Operator.String()}
	if name == jmlocal.RoleBalancer {
		b := &jmgateway.Balancer{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log, Decisions: decisions}
		r, operator.Metrics = b, jmoperator.PassBalancerMetrics(b)
	} else {
		a := &jmgateway.Agent{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log, Decisions: decisions}
		r, operator.Metrics = a, jmoperator.PassAgentMetrics(a)
	}
	others := []func(context.Context) error{func(ctx context.Context) error {
		followSettings(ctx, path, name, s, store, log)
		return nil
	}}
	if s.Operator.IsValid() {
		others = append(others, operator.Run)
	}
	err := runUntilStopped(ctx, log, r, others...)
	log.WithField("Role", name).Info("process: stopped")
	return err
}

// settingsInterval is how often the settings file is looked at, since it may
// change without a signal.
const settingsInterval = 3 * time.Second

// followSettings reads the settings file again after a SIGHUP, and from time
// to time. A file with faults changes nothing.
func followSettings(ctx context.Context, path string, name jmlocal.Role, s *jmlocal.Settings, store *jmadapter.Store, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		next, err := jmlocal.Load(path, name)
		if err != nil {
			log.WithError(err).Warn("settings: file has faults, the last ones stay in force")
			continue
		}
		if reflect.DeepEqual(next, s) {
			continue
		}
		log.WithField("Platform", next.Platform.Address).Info("settings: reloaded")
		if changed := s.NeedsRestart(next); len(changed) > 0 {
			log.WithField("Fields", changed).Warn("settings: changes that wait for a restart")
		}
		store.SetAddress(next.Platform.Address.String())
		s = next
	}
}
