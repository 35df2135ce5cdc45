package jmexplore

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// StepKind says what happens in a step.
type StepKind string

// The kinds of step. At is the index of a datagram on its way, a process, a flow or a node.
const (
	Send    StepKind = "send"    // caller At sends its packet to balancer To
	Deliver StepKind = "deliver" // datagram At arrives
	Lose    StepKind = "lose"    // datagram At is lost
	Double  StepKind = "double"  // datagram At arrives, and its copy is still on its way
	Settle  StepKind = "settle"  // all datagrams arrive, in order
	Wait    StepKind = "wait"    // At milliseconds pass, while datagrams stay on their way
	Pass    StepKind = "pass"    // At milliseconds pass, while datagrams arrive
	Restart StepKind = "restart" // process At crashes and starts again
	Stop    StepKind = "stop"    // process At crashes
	Start   StepKind = "start"   // process At starts, without a copy of the directory
	Copy    StepKind = "copy"    // process At gets the newest copy of the directory
	OldCopy StepKind = "oldcopy" // process At, which has none, gets the copy before the newest
	Kill    StepKind = "kill"    // the upstream of process At crashes
	Revive  StepKind = "revive"  // the upstream of process At starts again
	Reuse   StepKind = "reuse"   // process At and its upstream end, and run service To instead
	Join    StepKind = "join"    // process At starts with its upstream, for the first time
	Leave   StepKind = "leave"   // the upstream of process At is listed as leaving
	Close   StepKind = "close"   // the upstream of process At, which is leaving, closes its port
	Lapse   StepKind = "lapse"   // the entry of the upstream of process At is removed
	Move    StepKind = "move"    // the route of flow At moves to service To
)

// Step is one step of a fleet.
type Step struct {
	Kind   StepKind
	At, To int
}

func (s Step) String() string {
	switch s.Kind {
	case Settle:
		return string(s.Kind)
	case Send, Reuse, Move:
		return fmt.Sprintf("%s %d %d", s.Kind, s.At, s.To)
	}
	return fmt.Sprintf("%s %d", s.Kind, s.At)
}

// FormatSteps returns steps as text, which ParseSteps reads.
func FormatSteps(steps []Step) string {
	texts := make([]string, 0, len(steps))
	for _, s := range steps {
		texts = append(texts, s.String())
	}
	return strings.Join(texts, "; ")
}

// ParseSteps reads steps as in "send 0 1; lose 0; settle".
func ParseSteps(text string) (steps []Step, err error) {
	for _, each := range strings.Split(text, ";") {
		words := strings.Fields(each)
		if len(words) == 0 {
			continue
		}
		s := Step{Kind: StepKind(words[0])}
		for i, number := range []*int{&s.At, &s.To} {
			if i+1 < len(words) {
				if *number, err = strconv.Atoi(words[i+1]); err != nil {
					return nil, eris.Wrapf(err, "step %q", strings.TrimSpace(each))
				}
			}
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// isFault reports whether a step counts against Fleet.MaxFaults.
func (s Step) isFault() bool {
	switch s.Kind {
	case Lose, Double, Restart, Stop, Kill, Reuse, Join, Leave, Lapse, Move:
		return true
	}
	return false
}

// waits are the times in ms that may pass while datagrams are late: more than an upstream may
// take to refuse a packet, and more than a probe of its port takes.
var waits = []int{50, 225}

// passes are the times in ms that may pass while datagrams arrive. The longer one is more than
// it takes for a search to time out, or for a first copy to count as whole.
var passes = []int{500, 2100}

// steps returns the steps that are possible.
func (w *world) steps() (steps []Step) {
	for _, s := range w.candidates() {
		if w.isPossible(s) {
			steps = append(steps, s)
		}
	}
	return steps
}

func (w *world) candidates() (steps []Step) {
	add := func(s ...Step) { steps = append(steps, s...) }
	for i := range w.callers {
		for b := range w.fleet.Balancers {
			add(Step{Send, i, b})
		}
	}
	add(Step{Kind: Settle})
	for i := range w.wire {
		add(Step{Kind: Deliver, At: i}, Step{Kind: Lose, At: i}, Step{Kind: Double, At: i})
	}
	for _, ms := range waits {
		add(Step{Kind: Wait, At: ms})
	}
	for _, ms := range passes {
		add(Step{Kind: Pass, At: ms})
	}
	for i := range w.processes {
		add(Step{Kind: Copy, At: i}, Step{Kind: OldCopy, At: i}, Step{Kind: Restart, At: i}, Step{Kind: Stop, At: i}, Step{Kind: Start, At: i})
		add(Step{Kind: Kill, At: i}, Step{Kind: Revive, At: i}, Step{Kind: Join, At: i}, Step{Kind: Lapse, At: i})
		add(Step{Kind: Leave, At: i}, Step{Kind: Close, At: i})
		for s := range w.fleet.Services {
			add(Step{Reuse, i, s})
		}
	}
	for i := range w.callers {
		for s := range w.fleet.Services {
			add(Step{Move, i, s})
		}
	}
	return steps
}

// isPossible reports whether a step is possible and within the fleet's bounds.
func (w *world) isPossible(s Step) bool {
	if s.isFault() && w.faults >= w.maxFaults || slices.Contains(w.fleet.Without, s.Kind) {
		return false
	}
	switch s.Kind {
	case Send:
		c := w.callers[s.At]
		return w.sends < w.maxSends && !c.isEnded && w.processes[s.To].isUp
	case Settle:
		return len(w.wire) > 0
	case Deliver, Lose, Double:
		return w.isDeliverable(s)
	case Wait, Pass:
		return w.now.Sub(startTime)+time.Duration(s.At)*time.Millisecond < maxTime
	case Move:
		routes := w.directory.routes[s.At]
		return routes[len(routes)-1] != w.fleet.Services[s.To]
	}
	return w.isProcessStepPossible(s)
}

func (w *world) isDeliverable(s Step) bool {
	if s.At >= len(w.wire) {
		return false
	}
	d := &w.wire[s.At]
	if !d.isLocal() {
		return true
	}
	isFirst := !slices.ContainsFunc(w.wire[:s.At], func(o datagram) bool { return o.kind == d.kind && o.from == d.from })
	return isFirst && s.Kind == Deliver
}

func (w *world) isProcessStepPossible(s Step) bool {
	p, last := w.processes[s.At], len(w.directory.history)-1
	hasStarted := p.starts > 0
	switch s.Kind {
	case Restart, Stop:
		return p.isUp
	case Start:
		return !p.isUp && hasStarted
	case Copy:
		return p.isUp && (!p.copy.isPresent || p.copy.revision < last)
	case OldCopy:
		return p.isUp && !p.copy.isPresent && last > 0 && !w.fleet.IsInStep && w.now.Sub(w.directory.history[last].at) < maxLag
	case Join:
		return !hasStarted
	}
	return p.upstream != nil && hasStarted && w.isUpstreamStepPossible(s, p)
}

func (w *world) isUpstreamStepPossible(s Step, p *process) bool {
	switch s.Kind {
	case Kill:
		return p.upstream.isUp
	case Revive:
		return !p.upstream.isUp
	case Reuse:
		return p.service != w.fleet.Services[s.To]
	case Leave:
		return w.fleet.CanLeave && p.upstream.isUp && p.upstream.left.IsZero()
	case Close:
		u := p.upstream
		return u.isUp && !u.left.IsZero() && !u.isClosed && w.now.Sub(u.left) >= drainTime
	case Lapse:
		e := w.directory.newest().entries[s.At-w.fleet.Balancers]
		return e.isListed && !p.upstream.isUp && (e.isLeaving || w.now.Sub(p.upstream.ended) >= entryLapse)
	}
	return false
}

// step takes a step, which must be possible.
func (w *world) step(s Step) {
	w.note("step %s", s)
	if s.isFault() {
		w.faults++
	}
	switch s.Kind {
	case Send:
		w.sends++
		w.callerSend(w.callers[s.At], s.To)
	case Deliver, Lose, Double:
		d := w.wire[s.At]
		if s.Kind != Double {
			w.wire = slices.Delete(w.wire, s.At, s.At+1)
		}
		if s.Kind == Lose {
			return
		}
		w.deliver(d)
	case Settle:
		w.settle()
	case Wait, Pass:
		for range s.At / int(tickInterval/time.Millisecond) {
			if s.Kind == Pass {
				w.settle()
			}
			if w.violation == "" {
				w.tick()
			}
		}
	case Move:
		w.directory.routes[s.At] = append(w.directory.routes[s.At], w.fleet.Services[s.To])
		w.publish()
	default:
		w.processStep(s)
	}
}

func (w *world) processStep(s Step) {
	p := w.processes[s.At]
	switch s.Kind {
	case Stop:
		w.stopProcess(p)
	case Start:
		w.startProcess(p, false)
	case Restart:
		w.stopProcess(p)
		w.startProcess(p, false)
	case Copy:
		w.giveCopy(p, len(w.directory.history)-1, false)
	case OldCopy:
		w.giveCopy(p, len(w.directory.history)-2, false)
	case Kill:
		w.killUpstream(p)
	case Revive:
		p.upstream.start(p.service)
		w.publish()
	case Reuse:
		w.stopProcess(p)
		w.killUpstream(p)
		p.service = w.fleet.Services[s.To]
		p.upstream.start(p.service)
		w.startProcess(p, false)
		w.publish()
	case Join:
		p.upstream.start(p.service)
		w.startProcess(p, false)
		w.publish()
	case Leave:
		p.upstream.left = w.now
		w.publish()
	case Close:
		p.upstream.isClosed = true
	case Lapse:
		w.publish(s.At - w.fleet.Balancers)
	}
}
