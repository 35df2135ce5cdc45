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
	// rackShare of the processes fail together, one in so many.
	rackShare = 40
)

// Result is what one size of fleet was measured to need.
type Result struct {
	Processes int
	// InForce is the slowest of some changes until it was in force everywhere.
	InForce time.Duration
	// DeathNoticed is how long until no process held a dead one to be alive,
	// and RackNoticed the same for a rack of them.
	DeathNoticed, RackNoticed time.Duration
	// BytesPerSecond and the rest are means for each process, at rest.
	BytesPerSecond float64
	CrossingShare  float64
	// RackBytesPerSecond is the mean while a rack is lost.
	RackBytesPerSecond float64
	// CorePercent is the processor time of one process in per cent of a core,
	// the fake network included.
	CorePercent float64
	// HeapBytes is the control state of one process.
	HeapBytes float64
	// PlatformCalls is the calls a second of all processes together.
	PlatformCalls float64
}

// Measure runs a fleet of a given size through rest, changes, a death and the
// loss of a rack.
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
		r.InForce = max(r.InForce, f.await(func() bool {
			inForce, live := f.InForce(path, revision)
			return inForce == live
		}))
		f.Run(changePause)
	}
	f.Kill(processes / 2)
	r.DeathNoticed = f.await(func() bool { return f.Believed(processes/2, jmmember.Alive) == 0 })
	r.measureRack(f)
	runtime.KeepAlive(f)
	return r
}

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

// measureRack kills neighbouring processes of one data centre together.
func (r *Result) measureRack(f *Fleet) {
	var rack []int
	for i := f.DataCentres; len(rack) < max(f.Processes/rackShare, 1); i += f.DataCentres {
		rack = append(rack, i)
		f.Kill(i)
	}
	counts, start := f.Counts(), f.clock.Now()
	r.RackNoticed = f.await(func() bool {
		for _, i := range rack {
			if f.Believed(i, jmmember.Alive) > 0 {
				return false
			}
		}
		return true
	})
	length := f.clock.Now() - start
	r.RackBytesPerSecond = float64(f.Counts().Bytes-counts.Bytes) / length.Seconds() / float64(f.Processes)
}

// await runs the fleet until a condition holds, and returns how long that took.
func (f *Fleet) await(isDone func() bool) (waited time.Duration) {
	for waited = 0; waited < waitLimit && !isDone(); waited += step {
		f.Run(step)
	}
	return waited
}

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
