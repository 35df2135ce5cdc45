package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmmodel"
)

// Columns of the tables that measure prints.
const tablePadding = 2

func measureCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:        "measure",
		ShortUsage:  "jasminemoor measure <placement> [flags]",
		ShortHelp:   "Measure the decisions against naive ones, in a model of the systems served.",
		FlagSet:     newFlagSet(t, "measure"),
		Subcommands: []*ffcli.Command{measurePlacementCommand(t)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func measurePlacementCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "placement")
	load := jmmodel.Load{}
	flags.Uint64Var(&load.Seed, "seed", 1, "seed of the load")
	flags.DurationVar(&load.Duration, "duration", 20*time.Minute, "length of the run in the model's time")
	flags.IntVar(&load.Flows, "flows", 400, "open flows")
	flags.DurationVar(&load.FlowLife, "flow-life", 2*time.Minute, "mean life of a flow")
	flags.Float64Var(&load.Utilisation, "utilisation", 0.7, "share of the capacity that is asked for")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:      "placement",
		ShortHelp: "Measure imbalance and waiting times of placement policies.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			results := make(map[string][]jmmodel.Result)
			for _, site := range []jmmodel.Site{jmmodel.Rangla, jmmodel.Halloran} {
				for _, policy := range jmmodel.Policies() {
					results[site.Name] = append(results[site.Name], jmmodel.Run(site, load, policy))
				}
			}
			if *asJSON {
				return json.NewEncoder(t.out).Encode(results)
			}
			return printPlacement(t, results)
		},
	}
}

func printPlacement(t *terminal, results map[string][]jmmodel.Result) error {
	w := tabwriter.NewWriter(t.out, 0, 0, tablePadding, ' ', 0)
	for _, site := range []jmmodel.Site{jmmodel.Rangla, jmmodel.Halloran} {
		_, _ = fmt.Fprintf(w, "%s\twork peak/mean\tflows peak/mean\twait p50\twait p99\trefused\tcrossing\n", site.Name)
		for _, r := range results[site.Name] {
			_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t%s\t%d of %d\t%.1f%%\n", r.Policy, r.PeakOverMean, r.FlowsPeakOverMean,
				r.WaitP50.Round(time.Millisecond), r.WaitP99.Round(time.Millisecond), r.Refused, r.Requests+r.Refused, r.Crossing*100)
		}
	}
	return w.Flush()
}
