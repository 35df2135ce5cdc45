package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmexplore"
)

// exploration are the bounds of measure explore.
type exploration struct {
	fleet         string
	depth, states int
	seed          uint64
	walks, length int
	workers       int
}

func measureExploreCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "explore")
	x := &exploration{}
	flags.StringVar(&x.fleet, "fleet", "", "fleet to explore: "+strings.Join(fleetNames(), ", ")+"; all if empty")
	flags.IntVar(&x.depth, "depth", 6, "number of steps up to which all orders are explored")
	flags.IntVar(&x.states, "states", 100_000, "number of states of a fleet up to which all orders are explored")
	flags.Uint64Var(&x.seed, "seed", 1, "seed of the first random walk")
	flags.IntVar(&x.walks, "walks", 10_000, "number of random walks in a fleet")
	flags.IntVar(&x.length, "length", 40, "number of steps of a random walk")
	flags.IntVar(&x.workers, "workers", 2, "number of states that are explored at once")
	steps := flags.String("replay", "", "steps to replay in the fleet, as printed, instead of exploring")
	return &ffcli.Command{
		Name:       "explore",
		ShortUsage: "jasminemoor measure explore [flags]",
		ShortHelp:  "Check every order of steps in small fleets of pass-through balancers and agents, and long random ones.",
		LongHelp:   "The steps of a violation are printed, the shortest list that was found, and what happened.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			return x.run(t, *steps)
		},
	}
}

func fleetNames() (names []string) {
	for _, f := range jmexplore.Fleets() {
		names = append(names, f.Name)
	}
	return names
}

// run explores the fleets, or replays steps in them.
func (x *exploration) run(t *terminal, steps string) error {
	if x.fleet != "" && !slices.Contains(fleetNames(), x.fleet) {
		return &exitError{code: exitUsage, text: "measure explore knows no fleet " + x.fleet}
	}
	parsed, err := jmexplore.ParseSteps(steps)
	if err != nil {
		return err
	}
	for _, f := range jmexplore.Fleets() {
		if x.fleet != "" && x.fleet != f.Name {
			continue
		}
		if steps != "" {
			err = x.replay(t, f, parsed)
		} else {
			err = x.explore(t, f)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// explore explores a fleet, and fails if it finds a violation.
func (x *exploration) explore(t *terminal, f *jmexplore.Fleet) error {
	start := time.Now()
	elapsed := func() time.Duration { return time.Since(start).Round(100 * time.Millisecond) }
	e := jmexplore.Explorer{Fleet: f, MaxDepth: x.depth, MaxStates: x.states, Workers: x.workers}
	e.OnLevel = func(depth, states int) {
		_, _ = fmt.Fprintf(t.err, "%s: depth %d, %d states, %s\n", f.Name, depth, states, elapsed())
	}
	r := e.Explore()
	_, _ = fmt.Fprintf(t.out, "%s: %d states, all orders of %d steps, %d runs, recovery within %s, %s\n",
		f.Name, r.States, r.Depth, r.Replays, r.Recovery, elapsed())
	if r.Found != nil {
		return x.replay(t, f, r.Found.Steps)
	}
	start = time.Now()
	e.MaxDepth = x.length
	r = e.Walk(x.seed, x.walks)
	_, _ = fmt.Fprintf(t.out, "%s: %d walks of %d steps from seed %d, recovery within %s, %s\n",
		f.Name, r.Replays, r.Depth, x.seed, r.Recovery, elapsed())
	if r.Found != nil {
		return x.replay(t, f, r.Found.Steps)
	}
	return nil
}

// replay prints what happens in a list of steps, and fails if they violate a property.
func (x *exploration) replay(t *terminal, f *jmexplore.Fleet, steps []jmexplore.Step) error {
	violation, trace := jmexplore.Replay(f, steps)
	_, _ = fmt.Fprintf(t.out, "%s: %s\n%s\n", f.Name, jmexplore.FormatSteps(steps), strings.Join(trace, "\n"))
	if violation == "" {
		return nil
	}
	return eris.Errorf("fleet %s: %s", f.Name, violation)
}
