package jmguard_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
)

// newGuard returns a guard whose Exit counts its calls.
func newGuard() (g *jmguard.Guard, dropped, last *logtest.Hook, exits *int) {
	g, exits = &jmguard.Guard{}, new(int)
	g.Exit = func() { *exits++ }
	g.Log, dropped = logtest.NewNullLogger()
	g.Last, last = logtest.NewNullLogger()
	return g, dropped, last, exits
}

func TestPanicEndsProcess(t *testing.T) {
	g, _, last, exits := newGuard()
	wg := jmguard.Group{Guard: g}
	wg.Go("calm", func() {})
	wg.Wait()
	require.Zero(t, *exits)
	require.False(t, g.HasFailed())
	wg.Go("reader", func() { panic("index out of range") })
	wg.Wait()
	require.Equal(t, 1, *exits)
	require.True(t, g.HasFailed())
	require.Len(t, last.AllEntries(), 1)
	line := last.LastEntry()
	require.Equal(t, logrus.ErrorLevel, line.Level)
	require.Equal(t, "reader", line.Data["Goroutine"])
	require.Equal(t, "index out of range", line.Data["Panic"])
	require.Contains(t, line.Data["Stack"], "TestPanicEndsProcess")
}

// TestEndsThoughLogIsStalled has the output of the last line block.
func TestEndsThoughLogIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, _, exits := newGuard()
		resume := make(chan struct{})
		log := logrus.New()
		log.SetOutput(writerFunc(func(p []byte) (int, error) {
			<-resume
			return len(p), nil
		}))
		g.Last = log
		start := time.Now()
		g.Do("reader", func() { panic("index out of range") })
		require.Equal(t, 1, *exits)
		require.LessOrEqual(t, time.Since(start), time.Second)
		close(resume)
	})
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestPanickingInputIsDropped(t *testing.T) {
	g, dropped, _, exits := newGuard()
	var handled []int
	g.Each("packets", 5, func(i int) {
		if i%2 == 0 {
			panic(i)
		}
		handled = append(handled, i)
	})
	require.Equal(t, []int{1, 3}, handled)
	require.EqualValues(t, 3, g.Dropped.Load())
	require.Len(t, dropped.AllEntries(), 3)
	require.Equal(t, "packets", dropped.LastEntry().Data["Goroutine"])
	require.True(t, g.Try("packets", func() {}))
	require.False(t, g.Try("packets", func() { panic("again") }))
	require.Zero(t, *exits)
}

func TestTooManyDropsEndProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, last, exits := newGuard()
		fail := func() { panic("again") }
		for range 4 * jmguard.MaxDrops {
			g.Try("packets", fail)
			time.Sleep(jmguard.DropWindow/jmguard.MaxDrops + time.Millisecond)
		}
		require.Zero(t, *exits)
		time.Sleep(jmguard.DropWindow)
		for range jmguard.MaxDrops {
			g.Try("packets", fail)
		}
		require.Zero(t, *exits)
		g.Try("packets", fail)
		require.Equal(t, 1, *exits)
		require.Equal(t, "packets", last.LastEntry().Data["Goroutine"])
	})
}

// TestHandlerPanicIsCounted checks that the server of net/http does not hide a panic.
func TestHandlerPanicIsCounted(t *testing.T) {
	g, dropped, _, _ := newGuard()
	h := g.Handler("status", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("nil map") }))
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/status", nil))
	require.Equal(t, http.StatusInternalServerError, answer.Code)
	require.EqualValues(t, 1, g.Dropped.Load())
	require.Equal(t, "status", dropped.LastEntry().Data["Goroutine"])
}

// TestNilGuardRecoversNothing checks that a panic is not hidden where no guard is set.
func TestNilGuardRecoversNothing(t *testing.T) {
	var g *jmguard.Guard
	fail := func() { panic("index out of range") }
	require.Panics(t, func() { g.Do("reader", fail) })
	require.Panics(t, func() { g.Try("packets", fail) })
	require.Panics(t, func() { g.Each("packets", 1, func(int) { fail() }) })
	require.False(t, g.HasFailed())
}

func TestEachAllocatesNothing(t *testing.T) {
	g, _, _, _ := newGuard()
	sum := 0
	require.Zero(t, testing.AllocsPerRun(100, func() {
		g.Each("packets", 32, func(i int) { sum += i })
	}))
}
