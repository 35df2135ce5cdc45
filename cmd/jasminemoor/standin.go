package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmplatform"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

const standinHeaderTimeout = 5 * time.Second

// standinCommand returns the command that runs a stand-in for another system as a
// process of its own, for tests.
func standinCommand(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "jasminemoor standin <platform|fabric|upstream|certificate> [flags]",
		ShortHelp:  "Run a stand-in for another system, for tests and trials.",
		FlagSet:    newFlagSet(t, "standin"),
		Subcommands: []*ffcli.Command{
			platformCommand(t),
			fabricCommand(t),
			upstreamCommand(t),
			certificateCommand(t),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func platformCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "platform")
	listen := flags.String("listen", "127.0.0.1:8500", "address to listen on")
	dir := flags.String("settings", "", "directory with the initial settings tree")
	return &ffcli.Command{
		Name:      "platform",
		ShortHelp: "Run a configuration service that keeps settings in memory.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			p := &jmplatform.Platform{}
			if *dir != "" {
				subtrees, err := jmtree.ReadDir(*dir, 1)
				if err != nil {
					return err
				}
				for _, s := range subtrees {
					p.PutAll(s.Path, s.Values)
				}
			}
			return serveHTTP(ctx, *listen, p)
		},
	}
}

func fabricCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "fabric")
	listen := addrPortFlag(flags, "listen", "address of the service")
	balancers := addrPortsFlag(flags, "balancers", "comma-separated addresses of the balancers that receive the datagrams")
	control := flags.String("control", "", "HTTP address that accepts new settings")
	seed := flags.Uint64("seed", 1, "seed of the random choices")
	return &ffcli.Command{
		Name:      "fabric",
		ShortHelp: "Distribute the datagrams of a service address over balancers at random.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			f := &jmfabric.Fabric{Listen: *listen, Seed: *seed}
			f.Set(jmfabric.Settings{Balancers: *balancers})
			if err := f.Open(); err != nil {
				return err
			}
			var wg conc.WaitGroup
			defer wg.Wait()
			wg.Go(func() { f.Run(ctx) })
			return serveHTTP(ctx, *control, f)
		},
	}
}

func upstreamCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "upstream")
	address := addrPortFlag(flags, "listen", "address to listen on")
	name := flags.String("name", "upstream", "name in the answers")
	control := flags.String("control", "", "HTTP address that reports which requests ran")
	return &ffcli.Command{
		Name:      "upstream",
		ShortHelp: "Run an upstream that accepts bookings, and sends sheets and feeds.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			u := &jmupstream.Upstream{Name: *name, Address: *address}
			if err := u.Listen(); err != nil {
				return err
			}
			var wg conc.WaitGroup
			defer wg.Wait()
			wg.Go(func() { u.Run(ctx) })
			return serveHTTP(ctx, *control, u)
		},
	}
}

func certificateCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "certificate")
	name := flags.String("name", "", "server name")
	dir := flags.String("dir", ".", "directory for "+jmlab.RootFile+", "+jmlab.CertificateFile+" and "+jmlab.KeyFile)
	return &ffcli.Command{
		Name:      "certificate",
		ShortHelp: "Write a certificate for a trial, valid for a day.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			if *name == "" {
				return &exitError{code: exitUsage, text: "-name is missing"}
			}
			return jmlab.WriteCertificate(*dir, *name)
		},
	}
}

// serveHTTP serves until ctx ends. If address is empty, it only waits for ctx to end.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
