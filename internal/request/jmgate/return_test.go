package jmgate_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
)

// TestRefusedCallersFindRoom has callers come at once who each return when the gate tells
// them to. None is refused twice, also if the gate has not served any request before.
func TestRefusedCallersFindRoom(t *testing.T) {
	const (
		callers = 150
		slots   = 5
		hold    = 50 * time.Millisecond
	)
	for name, served := range map[string]int{"after a start": 0, "after some requests": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &jmgate.Gate{}
				g.SetLimits(jmgate.Limits{Slots: slots, Streams: 1000, Queue: 10, QueueWait: time.Second})
				for range served {
					release := enter(t, g, jasminemoor.KindRequest)
					time.Sleep(hold)
					release()
				}
				start := time.Now()
				var wg sync.WaitGroup
				var mu sync.Mutex
				refused, twice := 0, 0
				for range callers {
					wg.Go(func() {
						for refusals := 0; ; refusals++ {
							release, err := g.Enter(t.Context(), jasminemoor.KindRequest)
							if err == nil {
								time.Sleep(hold)
								release()
								return
							}
							mu.Lock()
							switch refusals {
							case 0:
								refused++
							case 1:
								twice++
							}
							wait := g.RetryAfter(t.Context())
							mu.Unlock()
							time.Sleep(wait)
						}
					})
				}
				wg.Wait()
				t.Logf("refused %d, twice %d, all served after %s", refused, twice, time.Since(start))
				require.Equal(t, callers-slots-10, refused)
				require.Zero(t, twice)
				require.Less(t, time.Since(start), 3*hold*callers/slots/2, "slots must not be left free for long")
			})
		})
	}
}
