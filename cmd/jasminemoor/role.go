package main

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmwatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const defaultOperator = "127.0.0.1:9464"

// roleFlags are the flags that balancers and agents share.
type roleFlags struct {
	address    *netip.AddrPort
	peers      *[]netip.AddrPort
	controlKey **jmdatagram.ControlKey
	dataCentre string
	platform   string
	operator   string
	partition  partitionFile
	log        logFlags
}

func (f *roleFlags) add(flags *flag.FlagSet) {
	f.address = addrPortFlag(flags, "address", "address of this process for the rest of the fleet, as in the settings")
	f.peers = addrPortsFlag(flags, "peers", "comma-separated addresses of processes to ask for settings")
	f.controlKey = controlKeyFlag(flags)
	flags.StringVar(&f.dataCentre, "data-centre", "", "data centre of this process")
	flags.StringVar(&f.platform, "platform", "", "base URL of the platform's configuration service")
	flags.StringVar(&f.operator, "operator", defaultOperator, "address of the HTTP endpoint for metrics and status, or none")
	flags.StringVar(&f.partition.path, "trial-cut", "", "file with address ranges that this process treats as unreachable, to simulate a network partition")
	configFlag(flags)
	f.log.add(flags, "info")
}

func (f *roleFlags) check() error {
	switch {
	case !f.address.IsValid():
		return &exitError{code: exitUsage, text: "-address is missing"}
	case f.dataCentre == "":
		return &exitError{code: exitUsage, text: "-data-centre is missing"}
	case f.platform == "" && len(*f.peers) == 0:
		return &exitError{code: exitUsage, text: "-platform or -peers is needed"}
	case len(*f.peers) > 0 && *f.controlKey == nil && f.platform == "":
		return &exitError{code: exitUsage, text: "-peers without -platform needs -control-key"}
	}
	return nil
}

// loggers returns the log of the process and the guard of its goroutines.
func (f *roleFlags) loggers(t *terminal) (log *logrus.Logger, guard *jmguard.Guard, err error) {
	if log, err = f.log.logger(t.err); err != nil {
		return nil, nil, err
	}
	// The output of log may block while its mutex is held.
	last, err := f.log.logger(t.err)
	return log, newGuard(log, last, func() {}), err
}

func (f *roleFlags) node(log logrus.FieldLogger, guard *jmguard.Guard) *jmnode.Node {
	n := &jmnode.Node{
		Identity: jasminemoor.Identity{
			Agent:       *f.address,
			Incarnation: jasminemoor.NewIncarnation(time.Now()),
		},
		DataCentre: f.dataCentre,
		Seeds:      *f.peers,
		SeedKey:    *f.controlKey,
		Log:        log,
		Guard:      guard,
	}
	if f.platform != "" {
		n.Platform = &jmwatch.Client{URL: f.platform}
	}
	if f.partition.path != "" {
		n.Reach = f.partition.canReach
	}
	return n
}

// newGuard returns a guard that flushes the log and ends the process with exitFailed.
func newGuard(log, last logrus.FieldLogger, flush func()) *jmguard.Guard {
	return &jmguard.Guard{Log: log, Last: last, Exit: func() {
		flush()
		os.Exit(exitFailed)
	}}
}

// role is a balancer or an agent.
type role interface {
	Run(ctx context.Context) error
	Leave()
	Drained() <-chan struct{}
}

// roleSignals are the signals that a role has received.
type roleSignals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// catchSignals is called before anything else, as uncaught signals end the process.
func catchSignals() *roleSignals {
	s := &roleSignals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s *roleSignals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// runRole runs a role with its operator endpoint until it is stopped. SIGHUP has no effect, as
// the settings come from the platform.
func (f *roleFlags) runRole(ctx context.Context, signals *roleSignals, log logrus.FieldLogger, guard *jmguard.Guard, r role, operator *jmoperator.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.partition.path != "" {
		go guard.Do("partition file", func() { f.partition.watch(ctx.Done()) })
	}
	var tasks []func(context.Context) error
	if f.operator != "" && f.operator != "none" {
		operator.Address, operator.Guard = f.operator, guard
		tasks = append(tasks, operator.Run)
	}
	return runUntilStopped(ctx, signals.stop, log, guard, r, tasks...)
}

// runUntilStopped runs a role and further tasks beside it. On the first signal the role
// leaves gracefully, and on the second it ends at once.
func runUntilStopped(ctx context.Context, signals <-chan os.Signal, log logrus.FieldLogger, guard *jmguard.Guard, r role, tasks ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	isForced := false
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	start := func(name string, task func(context.Context) error) {
		p.Go(func(ctx context.Context) (err error) {
			guard.Do(name, func() { err = task(ctx) })
			return err
		})
	}
	start("role", func(ctx context.Context) error {
		defer cancel()
		return r.Run(ctx)
	})
	for _, task := range tasks {
		start("task", task)
	}
	start("signals", func(ctx context.Context) error {
		defer cancel()
		isForced = awaitStop(ctx, log, r, signals)
		return nil
	})
	if err := p.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	if isForced {
		return &exitError{code: exitFailed, text: "ended before it had drained"}
	}
	return nil
}

// awaitStop makes the role leave at the first signal. It returns when the role has
// drained, when ctx ends, or, with isForced set, at the second signal.
func awaitStop(ctx context.Context, log logrus.FieldLogger, r role, signals <-chan os.Signal) (isForced bool) {
	select {
	case <-ctx.Done():
		return false
	case <-signals:
	}
	r.Leave()
	select {
	case <-ctx.Done():
		return false
	case <-r.Drained():
		return false
	case <-signals:
		log.Warn("process: second signal, ending at once")
		return true
	}
}
