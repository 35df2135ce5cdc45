package jmfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmfleet"
)

const (
	// inForceLimit and byteLimit are the users' targets.
	inForceLimit = 5 * time.Second
	byteLimit    = 3000 // a second, for each process
	step         = 100 * time.Millisecond
)

func startFleet(processes int, loss float64) *jmfleet.Fleet {
	f := &jmfleet.Fleet{
		Processes:   processes,
		DataCentres: 5,
		Seed:        1,
		LossShare:   loss,
		RemoteDelay: 10 * time.Millisecond,
	}
	f.Start()
	f.Run(5 * time.Second)
	return f
}

// awaitInForce makes a change and returns the time until it is in force in all
// processes. The test fails if that takes longer than limit.
func awaitInForce(t *testing.T, f *jmfleet.Fleet, limit time.Duration) time.Duration {
	t.Helper()
	path, revision := f.Change()
	for waited := step; waited <= limit; waited += step {
		f.Run(step)
		if inForce, live := f.InForce(path, revision); inForce == live {
			return waited
		}
	}
	inForce, live := f.InForce(path, revision)
	require.Equal(t, live, inForce, "processes in which the change is in force")
	return limit
}

func TestChangesInForce(t *testing.T) {
	f := startFleet(300, 0.05)
	slowest := time.Duration(0)
	for range 10 {
		slowest = max(slowest, awaitInForce(t, f, inForceLimit))
		f.Run(3 * time.Second)
	}
	t.Logf("slowest of 10 changes, 300 processes, 5%% loss: %s", slowest)
}

func TestCostAtRest(t *testing.T) {
	f := startFleet(300, 0.01)
	before := f.Counts()
	const length = time.Minute
	f.Run(length)
	after := f.Counts()
	perProcess := float64(after.Bytes-before.Bytes) / 300 / length.Seconds()
	calls := float64(after.PlatformCalls-before.PlatformCalls) / length.Seconds()
	t.Logf("%.0f bytes/s a process, %.2f platform calls/s, %d false suspicions", perProcess, calls, f.FalseSuspicions())
	require.Less(t, perProcess, float64(byteLimit))
	require.Zero(t, after.Errors)
}

func TestDeathIsNoticed(t *testing.T) {
	f := startFleet(200, 0.05)
	f.Kill(17)
	for waited := step; ; waited += step {
		f.Run(step)
		if f.CountState(17, jmmember.Alive) == 0 {
			t.Logf("no process had it in the state alive after %s", waited)
			return
		}
		require.Less(t, waited, 15*time.Second)
	}
}

// TestPausedProcessRecovers pauses a process for 20 seconds, after which no other
// process may have it in the state alive. After it resumes, all others must have it
// in that state again.
func TestPausedProcessRecovers(t *testing.T) {
	f := startFleet(200, 0.05)
	f.SetPaused(17, true)
	f.Run(20 * time.Second)
	require.Zero(t, f.CountState(17, jmmember.Alive))
	f.SetPaused(17, false)
	for waited := step; f.CountState(17, jmmember.Alive) < 199; waited += step {
		f.Run(step)
		require.Less(t, waited, 20*time.Second)
	}
}

// TestPartitionHeals separates two of five data centres for 20 seconds, and further
// until a change is in force. Both sides reach the platform, so a change must come
// into force during the partition.
func TestPartitionHeals(t *testing.T) {
	f := startFleet(200, 0.01)
	f.CutDataCentres(2)
	f.Run(20 * time.Second)
	awaitInForce(t, f, inForceLimit)
	require.Positive(t, f.FalseSuspicions())
	f.CutDataCentres(0)
	for waited := step; f.FalseSuspicions() > 0; waited += step {
		f.Run(step)
		require.Less(t, waited, 90*time.Second)
	}
	awaitInForce(t, f, inForceLimit)
}
