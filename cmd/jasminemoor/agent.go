package main

import (
	"context"
	"crypto/tls"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
)

func agentCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "agent")
	var f roleFlags
	f.add(flags)
	certificate := flags.String("certificate", "", "file with the service's certificate in PEM, used if the settings have none")
	key := flags.String("key", "", "file with the certificate's key in PEM")
	service := flags.String("service", "", "service of the upstream, as <team>/<service>; the agent then serves no other one, whatever the settings say")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "jasminemoor agent -address <ip:port> -data-centre <name> -platform <url> [flags]",
		ShortHelp:  "Run an agent, the process beside an upstream.",
		FlagSet:    flags,
		Options:    parseOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			signals := catchSignals()
			defer signals.release()
			if err := f.check(); err != nil {
				return err
			}
			log, guard, err := f.loggers(t)
			if err != nil {
				return err
			}
			node := f.node(log, guard)
			a := &jmagent.Agent{
				Identity: node.Identity, DataCentre: f.dataCentre, Service: *service, Node: node, Log: log, Decisions: &jmdecision.Log{Log: log}, Guard: guard,
			}
			if *certificate != "" {
				pair, err := tls.LoadX509KeyPair(*certificate, *key)
				if err != nil {
					return err
				}
				a.Certificate = &pair
			}
			return f.runRole(ctx, signals, log, guard, a, &jmoperator.Server{
				Metrics:   jmoperator.AgentMetrics(a),
				Status:    func() *jmoperator.Status { return jmoperator.AgentStatus(a) },
				Explainer: func() *jmoperator.Explainer { return jmoperator.AgentExplainer(a) },
			})
		},
	}
}
