package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

func measureFlowsCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "flows")
	seed := flags.Uint64("seed", 1, "seed of the run")
	plot := flags.String("plot", "", "SVG file to write, with a plot of the worth over time")
	scale := flags.Float64("scale", 1, "factor by which the installations and their load are multiplied")
	withNaive := flags.Bool("naive", true, "run the naive policy as well")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "flows",
		ShortUsage: "jasminemoor measure flows [flags] <scenario>...",
		ShortHelp:  "Run load patterns and faults on pass-through flows, and compare with a naive policy.",
		LongHelp:   "A scenario is a file of JSON with comments; there are some in examples/load.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &exitError{code: exitUsage, text: "measure flows needs at least one scenario file"}
			}
			var results []*jmflows.Result
			for _, path := range args {
				pair, err := compareFlows(path, *seed, *scale, *withNaive)
				if err != nil {
					return err
				}
				results = append(results, pair...)
			}
			if *plot != "" {
				if err := writePlot(*plot, results, jmflows.Plot); err != nil {
					return err
				}
			}
			if *asJSON {
				return json.NewEncoder(t.out).Encode(results)
			}
			return printFlows(t, results)
		},
	}
}

// compareFlows runs one scenario with the load balancer's policy and, if wanted, with the
// naive one.
func compareFlows(path string, seed uint64, scale float64, withNaive bool) (results []*jmflows.Result, err error) {
	s, err := readScenario(path, scale)
	if err != nil {
		return nil, err
	}
	policies := []jmflows.Policy{jmflows.Product}
	if withNaive {
		policies = append(policies, jmflows.Naive)
	}
	for _, policy := range policies {
		r, err := jmflows.Run(s, policy, seed)
		if err != nil {
			return nil, eris.Wrapf(err, "scenario %s: policy %s, seed %d", path, policy.Name, seed)
		}
		results = append(results, r)
	}
	return results, nil
}

func writePlot(path string, results []*jmflows.Result, plot func(io.Writer, []*jmflows.Result) error) (err error) {
	f, err := os.Create(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return plot(f, results)
}

func printFlows(t *terminal, results []*jmflows.Result) error {
	w := tabwriter.NewWriter(t.out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\tworth\tworst windows\tasked\tin time\tlate\tfailed\tp50 ms\tp99 ms\tlost flows\tquestions\treset p90 ms")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\n", r.Scenario, r.Policy, r.Worth, r.Worst,
			r.Asked, r.InTime, r.Late, r.Failed, r.P50, r.P99, r.LostFlows, r.Questions, r.ResetP90)
	}
	return w.Flush()
}
