package jmexplore

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Explorer explores the states of a fleet.
type Explorer struct {
	Fleet *Fleet
	// MaxDepth is the number of steps after the prefix, and MaxStates that of states, up to
	// which all orders of steps are explored.
	MaxDepth, MaxStates int
	// Workers is how many states are explored at once. 0 counts as 1. The result does not
	// depend on it.
	Workers int
	// OnLevel, if not nil, is called after each depth.
	OnLevel func(depth, states int)
}

// Result is what an exploration has found.
type Result struct {
	// Depth is the number of steps up to which every order was explored.
	Depth int
	// States is the number of states that differ.
	States int
	// Replays is the number of runs, each from the first state.
	Replays int
	// Recovery is the longest time after the last fault until each open flow was reset or
	// served, among the runs for which this was checked.
	Recovery time.Duration
	// Found is a counterexample, nil if there is none.
	Found *Counterexample
}

// Counterexample is a list of steps after which a property is violated.
type Counterexample struct {
	Steps     []Step
	Violation string
}

// Replay takes steps, and then checks that the fleet recovers. It returns the violation
// of a property, "" if there is none, and what happened, line by line. Steps that are not
// possible are left out.
func Replay(f *Fleet, steps []Step) (violation string, trace []string) {
	w := newWorld(f)
	w.isTraced = true
	w.run(steps)
	if w.violation == "" {
		w.recover()
	}
	return w.violation, w.trace
}

// run takes steps up to a violation, without a bound on faults and on packets of callers, and
// returns those that were possible.
func (w *world) run(steps []Step) (taken []Step) {
	w.maxFaults, w.maxSends = math.MaxInt, math.MaxInt
	for _, s := range steps {
		if w.violation != "" {
			break
		}
		if w.isKnown(s) && w.isPossible(s) {
			w.step(s)
			taken = append(taken, s)
		}
	}
	return taken
}

// isKnown reports whether the fleet has the processes and flows of a step.
func (w *world) isKnown(s Step) bool {
	return slices.Contains(w.candidates(), s) || s.Kind == Wait || s.Kind == Pass
}

// path is a list of steps, each with the one before it.
type path struct {
	last   Step
	before *path
}

func (p *path) steps() (steps []Step) {
	for ; p.before != nil; p = p.before {
		steps = append(steps, p.last)
	}
	slices.Reverse(steps)
	return steps
}

// child is a state that follows from one of the present level.
type child struct {
	path      *path
	hash      uint64
	violation string
	recovery  time.Duration
}

// Explore explores every order of steps, breadth first. The counterexample that it finds is
// one of the shortest.
func (e *Explorer) Explore() (r Result) {
	level := []*path{{}}
	seen := map[uint64]bool{newWorld(e.Fleet).hash(): true}
	r.States = 1
	for len(level) > 0 && r.Depth < e.MaxDepth {
		var next []*path
		for at := 0; at < len(level); at += batchSize {
			for _, c := range e.expand(level[at:min(at+batchSize, len(level))]) {
				r.Replays++
				r.Recovery = max(r.Recovery, c.recovery)
				if c.violation != "" {
					r.Found = Shorten(e.Fleet, c.path.steps())
					return r
				}
				if !seen[c.hash] {
					seen[c.hash] = true
					next = append(next, c.path)
				}
			}
			r.States = len(seen)
			if r.States >= e.MaxStates {
				return r
			}
		}
		level = next
		r.Depth++
		if e.OnLevel != nil {
			e.OnLevel(r.Depth, r.States)
		}
	}
	return r
}

// batchSize is the number of states that are expanded before the bound is checked.
const batchSize = 256

// expand returns the states that follow from others, in their order.
func (e *Explorer) expand(paths []*path) (children []child) {
	found := make([][]child, len(paths))
	turns := make(chan int)
	var wg sync.WaitGroup
	for range max(e.Workers, 1) {
		wg.Go(func() {
			for i := range turns {
				found[i] = e.children(paths[i])
			}
		})
	}
	for i := range paths {
		turns <- i
	}
	close(turns)
	wg.Wait()
	return slices.Concat(found...)
}

func (e *Explorer) children(p *path) (children []child) {
	steps := p.steps()
	replay := func() *world {
		w := newWorld(e.Fleet)
		for _, s := range steps {
			w.step(s)
		}
		return w
	}
	w := replay()
	for _, s := range w.steps() {
		next := replay()
		next.step(s)
		c := child{path: &path{last: s, before: p}, hash: next.hash(), violation: next.violation}
		if c.violation == "" && c.hash%recoveryShare == 0 {
			next.recover()
			c.violation, c.recovery = next.violation, next.recovery
		}
		children = append(children, c)
	}
	return children
}

// recoveryShare is the number of states among which one is checked to recover.
const recoveryShare = 16

// Walk takes random walks of MaxDepth steps, one for each seed from first, and checks that the
// fleet recovers after each. It ends with the first counterexample, shortened.
func (e *Explorer) Walk(first uint64, walks int) (r Result) {
	r.Depth = e.MaxDepth
	for seed := first; seed < first+uint64(walks); seed++ {
		r.Replays++
		random := rand.New(rand.NewPCG(seed, 0))
		w := newWorld(e.Fleet)
		w.maxFaults, w.maxSends = walkFactor*w.maxFaults, walkFactor*w.maxSends
		var steps []Step
		for len(steps) < e.MaxDepth && w.violation == "" {
			s, ok := w.randomStep(random)
			if !ok {
				break
			}
			w.step(s)
			steps = append(steps, s)
		}
		r.States += len(steps)
		if w.violation == "" {
			w.recover()
		}
		r.Recovery = max(r.Recovery, w.recovery)
		if w.violation != "" {
			r.Found = Shorten(e.Fleet, steps)
			return r
		}
	}
	return r
}

// walkFactor is by how much more a random walk may have of faults and of packets of callers.
const walkFactor = 4

// randomStep returns one of the possible steps. Their kinds are equally likely, and
// datagrams arrive more often than they are lost.
func (w *world) randomStep(random *rand.Rand) (s Step, ok bool) {
	byKind := make(map[StepKind][]Step)
	var kinds []StepKind
	for _, each := range w.steps() {
		if byKind[each.Kind] == nil {
			kinds = append(kinds, each.Kind)
		}
		byKind[each.Kind] = append(byKind[each.Kind], each)
	}
	for _, kind := range []StepKind{Send, Deliver, Settle, Settle, Copy} {
		if byKind[kind] != nil {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		return s, false
	}
	of := byKind[kinds[random.IntN(len(kinds))]]
	return of[random.IntN(len(of))], true
}

// Shorten leaves out steps of a counterexample as long as a property is violated. It returns
// nil if none is.
func Shorten(f *Fleet, steps []Step) *Counterexample {
	short := attempt(f, steps)
	for isShorter := short != nil; isShorter; {
		isShorter = false
		for at := len(short.Steps) - 1; at >= 0; at-- {
			if c := attempt(f, slices.Delete(slices.Clone(short.Steps), at, at+1)); c != nil {
				short, isShorter = c, true
				at = min(at, len(c.Steps))
			}
		}
	}
	return short
}

// attempt takes steps and returns those that were possible, nil if no property is violated.
func attempt(f *Fleet, steps []Step) *Counterexample {
	w := newWorld(f)
	taken := w.run(steps)
	if w.violation == "" {
		w.recover()
	}
	if w.violation == "" {
		return nil
	}
	return &Counterexample{Steps: taken, Violation: w.violation}
}
