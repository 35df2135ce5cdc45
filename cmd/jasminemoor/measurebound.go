package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

func measureBoundCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "bound")
	seed := flags.Uint64("seed", 1, "seed of the run")
	scale := flags.Float64("scale", 1, "factor by which the installations and their load are multiplied")
	plot := flags.String("plot", "", "SVG file to write, with a plot of the requests without an answer over time")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "bound",
		ShortUsage: "jasminemoor measure bound [flags] <scenario>...",
		ShortHelp:  "Compare a run of each scenario with the most that any system could earn.",
		LongHelp: "The row alone counts each request as if it were the only one: no system earns more.\n" +
			"The row central has one queue for all that knows everything.",
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &exitError{code: exitUsage, text: "measure bound needs at least one scenario file"}
			}
			var results []*jmflows.Result
			for _, path := range args {
				s, err := readScenario(path, *scale)
				if err != nil {
					return err
				}
				product, alone, central, err := jmflows.Bounds(s, *seed)
				if err != nil {
					return eris.Wrapf(err, "scenario %s, seed %d", path, *seed)
				}
				results = append(results, product, alone, central)
			}
			if *plot != "" {
				if err := writePlot(*plot, results, jmflows.PlotDrain); err != nil {
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

// readScenario reads a scenario and multiplies its installation and load by a factor.
func readScenario(path string, scale float64) (s *jmflows.Scenario, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "scenario %s", path)
		}
	}()
	text, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, err
	}
	if s, err = jmflows.Parse(text); err != nil {
		return nil, err
	}
	return s.Scaled(scale)
}
