package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/client"
)

const defaultCallTimeout = 30 * time.Second

const callHelp = `A request is read from standard input to its end, and its answer is printed.
With -feed, standard input is sent as it arrives, and the feed is printed until
the service ends it or the command is interrupted.

With -listen, connections of other programs are accepted until SIGINT or
SIGTERM; the command then waits for the open ones to end.

Exit codes: 0 answered, or the feed ended; 1 other failure; 2 wrong usage;
3 not run, and won't run later; 4 unknown, may have run; 5 the feed was cut.`

// callFlags are the flags of call.
type callFlags struct {
	address    *netip.AddrPort
	serverName string
	caFile     string
	timeout    time.Duration
	idempotent bool
	feed       bool
	listen     string
	log        logFlags
}

func (f *callFlags) add(flags *flag.FlagSet) {
	f.address = addrPortFlag(flags, "address", "address of the service")
	flags.StringVar(&f.serverName, "server-name", "", "name of the service, as in its certificate")
	flags.StringVar(&f.caFile, "ca", "", "file with the root certificates to trust, in PEM, instead of the system's")
	flags.DurationVar(&f.timeout, "timeout", defaultCallTimeout, "timeout of a request's answer, or of opening a feed")
	flags.BoolVar(&f.idempotent, "idempotent", false, "the request may run more than once")
	flags.BoolVar(&f.feed, "feed", false, "open a feed")
	flags.StringVar(&f.listen, "listen", "", "TCP address to accept connections on; each connection is one request or, with -feed, one feed")
	f.log.add(flags, "info")
}

// caller returns the caller that the flags describe.
func (f *callFlags) caller() (c *client.Caller, err error) {
	if !f.address.IsValid() || f.serverName == "" {
		return nil, &exitError{code: exitUsage, text: "-address and -server-name are needed"}
	}
	c = &client.Caller{Address: *f.address, ServerName: f.serverName, TLS: &tls.Config{MinVersion: tls.VersionTLS13}}
	if f.caFile == "" {
		return c, nil
	}
	text, err := os.ReadFile(f.caFile)
	if err != nil {
		return nil, err
	}
	c.TLS.RootCAs = x509.NewCertPool()
	if !c.TLS.RootCAs.AppendCertsFromPEM(text) {
		return nil, &exitError{code: exitUsage, text: f.caFile + " contains no certificate"}
	}
	return c, nil
}

func callCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "call")
	var f callFlags
	f.add(flags)
	configFlag(flags)
	return &ffcli.Command{
		Name:       "call",
		ShortUsage: "jasminemoor call -address <ip:port> -server-name <name> [flags]",
		ShortHelp:  "Send a request to a service, or open a feed.",
		LongHelp:   callHelp,
		FlagSet:    flags,
		Options:    parseOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			caller, err := f.caller()
			if err != nil {
				return err
			}
			defer caller.Close()
			if f.listen != "" {
				return f.forward(ctx, t, caller)
			}
			if f.feed {
				return f.openFeed(ctx, t, caller)
			}
			return f.request(ctx, t, caller)
		},
	}
}

// request sends one request, with standard input as its body.
func (f *callFlags) request(ctx context.Context, t *terminal, caller *client.Caller) error {
	body, err := io.ReadAll(t.in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := caller.Do(ctx, client.Request{Body: body, Idempotent: f.idempotent})
	if err != nil {
		return callError(err)
	}
	_, err = t.out.Write(answer.Body)
	return err
}

// callError gives a failed call the exit code of its outcome.
func callError(err error) error {
	var failure *client.Error
	if !errors.As(err, &failure) {
		return err
	}
	code := exitUnknown
	if failure.Outcome == jasminemoor.OutcomeNotRun {
		code = exitNotRun
	}
	return &exitError{code: code, text: failure.Error()}
}

// openFeed opens a feed and copies it to standard output, and standard input to it.
func (f *callFlags) openFeed(ctx context.Context, t *terminal, caller *client.Caller) error {
	openCtx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	feed, err := caller.OpenFeed(openCtx)
	if err != nil {
		return callError(err)
	}
	defer feed.Close()
	stop := context.AfterFunc(ctx, func() { _ = feed.Close() })
	defer stop()
	go func() { _, _ = io.Copy(feed, t.in) }()
	if _, err = io.Copy(t.out, feed); err != nil && ctx.Err() == nil {
		return &exitError{code: exitFeedCut, text: fmt.Sprintf("feed was cut: %s", err)}
	}
	return nil
}

// forward accepts connections of other programs, and forwards each as a request or,
// with -feed, as a feed. When ctx ends, it waits for the open ones to end.
func (f *callFlags) forward(ctx context.Context, t *terminal, caller *client.Caller) error {
	log, err := f.log.logger(t.err)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.listen)
	if err != nil {
		return err
	}
	forwarder := &client.Forwarder{
		Caller:     caller,
		Kind:       jasminemoor.KindRequest,
		Idempotent: f.idempotent,
		Timeout:    f.timeout,
		Log:        log,
	}
	if f.feed {
		forwarder.Kind = jasminemoor.KindFeed
	}
	log.WithField("Address", listener.Addr()).Info("forwarder: accepting")
	forwarder.Run(ctx, listener)
	return nil
}
