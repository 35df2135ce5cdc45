package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmfleet"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmmodel"
)

// tablePadding is the space between the columns of printed tables.
const tablePadding = 2

func measureCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:        "measure",
		ShortUsage:  "jasminemoor measure <placement|control|flows|bound|explore> [flags]",
		ShortHelp:   "Compare the load balancer's decisions with naive ones, in a model of the systems that it serves.",
		FlagSet:     newFlagSet(t, "measure"),
		Subcommands: []*ffcli.Command{measurePlacementCommand(t), measureControlCommand(t), measureFlowsCommand(t), measureBoundCommand(t), measureExploreCommand(t)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func measurePlacementCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "placement")
	load := jmmodel.Load{}
	flags.Uint64Var(&load.Seed, "seed", 1, "seed of the load")
	flags.DurationVar(&load.Duration, "duration", 20*time.Minute, "length of the run in simulated time")
	flags.IntVar(&load.Flows, "flows", 400, "number of open flows")
	flags.DurationVar(&load.FlowLife, "flow-life", 2*time.Minute, "mean lifetime of a flow")
	flags.Float64Var(&load.Utilisation, "utilisation", 0.7, "load offered, as a share of the capacity")
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

func measureControlCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "control")
	sizes := []int{300, 600, 1200}
	flags.Func("processes", "sizes of the fleets in processes, comma-separated (default 300,600,1200)", func(text string) (err error) {
		sizes, err = parseInts(text)
		return err
	})
	dataCentres := flags.Int("data-centres", 5, "number of data centres")
	seed := flags.Uint64("seed", 1, "seed of the run")
	loss := flags.Float64("loss", 0.01, "share of datagrams that are lost")
	delay := flags.Duration("remote-delay", 10*time.Millisecond, "largest one-way delay between data centres")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:      "control",
		ShortHelp: "Measure the cost of control and how fast changes spread, in fleets of several sizes.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			results := make([]jmfleet.Result, 0, len(sizes))
			for _, size := range sizes {
				results = append(results, jmfleet.Measure(size, *dataCentres, *seed, *loss, *delay))
			}
			if *asJSON {
				return json.NewEncoder(t.out).Encode(results)
			}
			return printControl(t, results)
		},
	}
}

func parseInts(text string) (values []int, err error) {
	for _, each := range strings.Split(text, ",") {
		value, err := strconv.Atoi(strings.TrimSpace(each))
		if err != nil || value < 1 {
			return nil, eris.Errorf("%q is not a positive number", each)
		}
		values = append(values, value)
	}
	return values, nil
}

func printControl(t *terminal, results []jmfleet.Result) error {
	w := tabwriter.NewWriter(t.out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "processes\tin force\tdeath noticed\track noticed\tbytes/s\tcrossing\tbytes/s, rack lost\tcore\theap\tplatform calls/s")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.0f\t%.0f%%\t%.0f\t%.3f%%\t%.2f MB\t%.2f\n", r.Processes, r.InForce,
			r.DeathNoticed, r.RackNoticed, r.BytesPerSecond, r.CrossingShare*100, r.RackBytesPerSecond, r.CorePercent, r.HeapBytes/1e6, r.PlatformCalls)
	}
	return w.Flush()
}
