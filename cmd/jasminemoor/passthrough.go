package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

func passthroughCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "passthrough",
		ShortUsage: "jasminemoor passthrough <balancer|agent> -settings <file>",
		ShortHelp:  "Run a process for pass-through flows, whose bytes are forwarded unchanged.",
		FlagSet:    newFlagSet(t, "passthrough"),
		Subcommands: []*ffcli.Command{
			passthroughRoleCommand(t, jmlocal.RoleBalancer, "Run a balancer, the process that receives packets of callers."),
			passthroughRoleCommand(t, jmlocal.RoleAgent, "Run an agent, the process beside an upstream."),
		},
		Exec: func(context.Context, []string) error {
			return &exitError{code: exitUsage, text: "passthrough needs balancer or agent"}
		},
	}
}

func passthroughRoleCommand(t *terminal, name jmlocal.Role, help string) *ffcli.Command {
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
			signals := catchSignals()
			defer signals.release()
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
			last, err := logs.logger(out.Urgent(t.err))
			if err != nil {
				return err
			}
			entry := log.WithField("Instance", settings.Name)
			guard := newGuard(entry, last.WithField("Instance", settings.Name), func() { _ = out.Close() })
			return runPassthrough(ctx, signals, *path, name, settings, entry, guard)
		},
	}
}

// runPassthrough runs a balancer or an agent of pass-through flows until it is
// stopped.
func runPassthrough(ctx context.Context, signals *roleSignals, path string, name jmlocal.Role, s *jmlocal.Settings, log *logrus.Entry, guard *jmguard.Guard) error {
	store := &jmadapter.Store{Log: log}
	store.SetAddress(s.Platform.Address.String())
	log.WithFields(startFields(name, s)).Info("process: started")
	decisions := &jmdecision.Log{Log: log.Logger}
	var r role
	onReload := func(next *jmlocal.Settings) { store.SetAddress(next.Platform.Address.String()) }
	operator := &jmoperator.Server{Address: s.Operator.String(), Guard: guard}
	if name == jmlocal.RoleBalancer {
		b := &jmpassnode.Balancer{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log, Decisions: decisions, Guard: guard}
		r, operator.Metrics = b, jmoperator.PassBalancerMetrics(b)
		operator.Status = func() *jmoperator.Status { return jmoperator.PassBalancerStatus(b) }
	} else {
		a := &jmpassnode.Agent{Settings: s, Codec: jmadapter.Codec{}, Directory: store, Log: log, Decisions: decisions, Guard: guard}
		a.ReadSettings = func() (*jmlocal.Settings, error) { return jmlocal.Load(path, name) }
		r, operator.Metrics = a, jmoperator.PassAgentMetrics(a)
		operator.Status = func() *jmoperator.Status { return jmoperator.PassAgentStatus(a) }
		setAddress := onReload
		onReload = func(next *jmlocal.Settings) {
			setAddress(next)
			a.SetShares(next.Shares)
			a.SetService(next)
		}
		operator.Status = func() *jmoperator.Status { return jmoperator.PassAgentStatus(a) }
	}
	tasks := []func(context.Context) error{func(ctx context.Context) error {
		reloadSettings(ctx, signals.reload, path, name, s, onReload, log)
		return nil
	}}
	if s.Operator.IsValid() {
		tasks = append(tasks, operator.Run)
	}
	err := runUntilStopped(ctx, signals.stop, log, guard, r, tasks...)
	log.WithField("Role", name).Info("process: stopped")
	return err
}

// startFields returns the fields of the line that a process logs when it starts.
func startFields(name jmlocal.Role, s *jmlocal.Settings) (fields logrus.Fields) {
	fields = logrus.Fields{"Role": name, "Address": s.Address, "DataCentre": s.DataCentre, "IsFirstStart": s.IsFirstStart}
	if name == jmlocal.RoleAgent {
		fields["Service"], fields["Upstream"] = s.Service, s.Upstream
	}
	return fields
}

// settingsInterval is how often the settings file is read again, since it may
// change without a signal.
const settingsInterval = 3 * time.Second

// reloadSettings reads the settings file again after a signal and at each
// settingsInterval, and calls onReload with those that have changed. A file with faults is
// logged and otherwise ignored.
func reloadSettings(ctx context.Context, signals <-chan os.Signal, path string, name jmlocal.Role, s *jmlocal.Settings, onReload func(next *jmlocal.Settings), log logrus.FieldLogger) {
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
			log.WithError(err).Warn("settings: new settings can't be used, the previous ones stay in force")
			continue
		}
		if reflect.DeepEqual(next, s) {
			continue
		}
		log.WithField("Platform", next.Platform.Address).Info("settings: reloaded")
		if changed := s.FieldsNeedingRestart(next); len(changed) > 0 {
			log.WithField("Fields", changed).Warn("settings: these fields take effect only after a restart")
		}
		onReload(next)
		s = next
	}
}
