package jmprocess_test

import (
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

const testTimeout = 60 * time.Second

// binary is the path of the jasminemoor command that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jasminemoor")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binary, err = jmprocess.Build(context.Background(), dir, false); err != nil {
		panic(err)
	}
	return m.Run()
}

// startFleet starts a fleet with three balancers in two data centres, and waits
// until it is ready. It has two services unless services are given.
func startFleet(t *testing.T, net byte, services ...jmlab.ServiceSpec) *jmprocess.Fleet {
	t.Helper()
	if len(services) == 0 {
		services = []jmlab.ServiceSpec{
			{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 1}},
			{Team: "rangla", Name: "catalogue", Weights: []uint32{1}},
		}
	}
	layout, err := jmlab.NewLayout(net, []string{"lahore", "karachi"}, 3, services...)
	require.NoError(t, err)
	fleet := &jmprocess.Fleet{Layout: layout, Binary: binary, Dir: t.TempDir()}
	t.Cleanup(fleet.Close)
	require.NoError(t, fleet.Start())
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, fleet.AwaitReady(ctx))
	return fleet
}

// ticks reads the ticks of a feed and fails the test on an error.
type ticks struct {
	t    *testing.T
	feed *jmupstream.Ticks
}

func openTicks(t *testing.T, feed io.ReadWriter, interval time.Duration) *ticks {
	t.Helper()
	opened, err := jmupstream.OpenTicks(feed, interval)
	require.NoError(t, err)
	return &ticks{t: t, feed: opened}
}

// next reads count ticks.
func (k *ticks) next(count int) {
	k.t.Helper()
	for range count {
		require.NoError(k.t, k.feed.Next())
	}
}

// TestFeedOutlivesBalancer kills a balancer while a feed is open: the feed goes on
// through the other balancers.
func TestFeedOutlivesBalancer(t *testing.T) {
	fleet := startFleet(t, 20)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	shop := fleet.Layout.Services[0]
	caller := fleet.NewCaller(shop)
	defer caller.Close()

	answer, err := caller.Do(ctx, client.Request{Body: []byte("BOOK order-1")})
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(answer.Body), "BOOKED order-1 shop-floor-"), string(answer.Body))
	feed, err := caller.OpenFeed(ctx)
	require.NoError(t, err)
	defer feed.Close()
	ticks := openTicks(t, feed, 20*time.Millisecond)
	ticks.next(20)

	fleet.Process("b2").Kill()
	ticks.next(50)
	require.NoError(t, fleet.SetFabric(ctx, shop, jmfabric.Settings{}, "b2"))
	ticks.next(50)
	answer, err = caller.Do(ctx, client.Request{Body: []byte("BOOK order-2")})
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(answer.Body), "BOOKED order-2 "), string(answer.Body))
}

// TestCallCommand checks the answers and the exit codes of the call command.
func TestCallCommand(t *testing.T) {
	fleet := startFleet(t, 21)
	shop := fleet.Layout.Services[0]
	call := func(input string, args ...string) (output string, code int) {
		args = append([]string{"call", "-address", shop.Address.String(), "-ca", fleet.RootFile()}, args...)
		cmd := exec.Command(binary, args...)
		cmd.Stdin = strings.NewReader(input)
		out, err := cmd.Output()
		if err != nil {
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
			return string(out), exit.ExitCode()
		}
		return string(out), 0
	}

	output, code := call("BOOK order-1", "-server-name", shop.ServerName)
	require.Equal(t, 0, code)
	require.True(t, strings.HasPrefix(output, "BOOKED order-1 shop-floor-"), output)

	output, code = call("SHEET 2000000", "-server-name", shop.ServerName, "-idempotent")
	require.Equal(t, 0, code)
	require.Len(t, output, 2_000_000)

	_, code = call("BOOK order-2 5s", "-server-name", shop.ServerName, "-timeout", "500ms")
	require.Equal(t, 4, code, "a request that times out while it runs has the outcome unknown")

	_, code = call("BOOK order-3", "-server-name", "catalogue.rangla.example", "-timeout", "500ms")
	require.Equal(t, 3, code, "an address serves only the names of its own service")

	_, code = call("BOOK order-4")
	require.Equal(t, 2, code, "the server name is missing")
}
