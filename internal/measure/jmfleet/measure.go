package jmfleet

import (
	"runtime"
	"syscall"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
)

const (
	settleTime  = 3 * time.Second
	restTime    = 20 * time.Second
	changeCount = 5
	changePause = 2 * time.Second
	step        = 100 * time.Millisecond
	waitLimit   = 60 * time.Second
	// One in rackDivisor processes belongs to the rack that fails.
	rackDivisor = 40
)

// Result has the measurements of a fleet of one size.
type Result struct {
	Processes int
	// InForce is the longest time that a change took until it was in force in all
	// processes.
	InForce time.Duration
	// DeathNoticed is the time from the death of a process until no other process
	// had it in the state alive. RackNoticed is the same for all processes of a rack.
	DeathNoticed, RackNoticed time.Duration
	// BytesPerSecond is the control traffic of a process without changes or
	// failures, and CrossingShare the share of it that goes to another data centre.
	BytesPerSecond float64
	CrossingShare  float64
	// RackBytesPerSecond is the control traffic of a process until the loss of a
	// rack is detected.
	RackBytesPerSecond float64
	// CorePercent is the processor time of a process as a percentage of a core,
	// with its part of the simulated network, without changes or failures.
	CorePercent float64
	// HeapBytes is the size of the control state of a process after the start.
	HeapBytes float64
	// PlatformCalls is the number of calls a second from all processes together.
	PlatformCalls float64
}

// Measure simulates a fleet at rest, with changes, with the death of a process and
// with the loss of a rack.
func Measure(processes, dataCentres int, seed uint64, loss float64, remoteDelay time.Duration) (r Result) {
	before := heapInUse()
	f := &Fleet{Processes: processes, DataCentres: dataCentres, Seed: seed, LossShare: loss, RemoteDelay: remoteDelay}
	f.Start()
	f.Run(settleTime)
	r.Processes = processes
	r.HeapBytes = float64(heapInUse()-before) / float64(processes)
	r.measureRest(f)
	for range changeCount {
		path, revision := f.Change()
		r.InForce = max(r.InForce, f.runUntil(func() bool {
			inForce, live := f.InForce(path, revision)
			return inForce == live
		}))
		f.Run(changePause)
	}
	f.Kill(processes / 2)
	r.DeathNoticed = f.runUntil(func() bool { return f.CountState(processes/2, jmmember.Alive) == 0 })
	r.measureRack(f)
	runtime.KeepAlive(f)
	return r
}

// measureRest measures the cost of control without changes or failures.
func (r *Result) measureRest(f *Fleet) {
	counts, cpu := f.Counts(), processorTime()
	f.Run(restTime)
	r.CorePercent = (processorTime() - cpu).Seconds() / restTime.Seconds() / float64(f.Processes) * 100
	after := f.Counts()
	bytes := float64(after.Bytes - counts.Bytes)
	r.BytesPerSecond = bytes / restTime.Seconds() / float64(f.Processes)
	r.CrossingShare = float64(after.BytesCrossing-counts.BytesCrossing) / bytes
	r.PlatformCalls = float64(after.PlatformCalls-counts.PlatformCalls) / restTime.Seconds()
}

// measureRack kills processes of one data centre at the same time and measures how
// long their detection takes.
func (r *Result) measureRack(f *Fleet) {
	var rack []int
	for i := f.DataCentres; len(rack) < max(f.Processes/rackDivisor, 1); i += f.DataCentres {
		rack = append(rack, i)
		f.Kill(i)
	}
	counts, start := f.Counts(), f.clock.Now()
	r.RackNoticed = f.runUntil(func() bool {
		for _, i := range rack {
			if f.CountState(i, jmmember.Alive) > 0 {
				return false
			}
		}
		return true
	})
	length := f.clock.Now() - start
	r.RackBytesPerSecond = float64(f.Counts().Bytes-counts.Bytes) / length.Seconds() / float64(f.Processes)
}

// runUntil runs the fleet until a condition holds or waitLimit has passed, and
// returns the time that took.
func (f *Fleet) runUntil(condition func() bool) (waited time.Duration) {
	for waited = 0; waited < waitLimit && !condition(); waited += step {
		f.Run(step)
	}
	return waited
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
