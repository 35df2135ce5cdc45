package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
)

func balancerCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "balancer")
	var f roleFlags
	f.add(flags)
	serviceIP := ipFlag(flags, "service-ip", "IP address to use instead of each service's own, if the fabric translates addresses")
	return &ffcli.Command{
		Name:       "balancer",
		ShortUsage: "jasminemoor balancer -address <ip:port> -data-centre <name> -platform <url> [flags]",
		ShortHelp:  "Run a balancer, the process that receives datagrams of callers.",
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
			b := &jmbalancer.Balancer{
				Identity:   node.Identity,
				DataCentre: f.dataCentre,
				ServiceIP:  *serviceIP,
				Node:       node,
				Log:        log,
				Guard:      guard,
			}
			return f.runRole(ctx, signals, log, guard, b, &jmoperator.Server{
				Metrics:   jmoperator.BalancerMetrics(b),
				Status:    func() *jmoperator.Status { return jmoperator.BalancerStatus(b) },
				Explainer: func() *jmoperator.Explainer { return jmoperator.BalancerExplainer(b) },
			})
		},
	}
}
