package jmoperator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
)

// TestRequestSeriesAreBounded shows loads of many routes, of the same name, and of none.
// Those that are shown first keep their series, and the rest is added up.
func TestRequestSeriesAreBounded(t *testing.T) {
	var load []jmpassnode.PartyLoad
	set := metrics.NewSet()
	registerPassLoad(set, func() ([]jmpassnode.PartyLoad, bool) { return load, load == nil })
	show := func() string {
		var out bytes.Buffer
		set.WritePrometheus(&out)
		return out.String()
	}
	require.Contains(t, show(), `jm_pass_requests_total{route="other",account="",outcome="refused"} 0`)
	require.Contains(t, show(), "jm_pass_overload 1\n")
	load = []jmpassnode.PartyLoad{
		{Route: "floor", Account: "guests", Waiting: 2, Late: 3}, {Route: "floor", Account: "guests", Waiting: 1, Late: 4},
	}
	require.Contains(t, show(), `jm_pass_requests_total{route="floor",account="guests",outcome="late"} 7`)
	require.Contains(t, show(), `jm_pass_waiting_requests{route="floor",account="guests"} 3`)
	require.Contains(t, show(), "jm_pass_overload 0\n")
	for i := range 1000 {
		load = append([]jmpassnode.PartyLoad{{Route: fmt.Sprint("r", i), InTime: 1, Waiting: 1}}, load...)
	}
	text := show()
	require.Contains(t, text, `jm_pass_requests_total{route="floor",account="guests",outcome="late"} 7`)
	require.Contains(t, text, `jm_pass_requests_total{route="other",account="",outcome="in_time"} 873`)
	require.Contains(t, text, `jm_pass_waiting_requests{route="other",account=""} 873`)
	require.Equal(t, 129, strings.Count(text, "jm_pass_waiting_requests{"))
	require.Equal(t, text, show())
	load = nil
	require.Contains(t, show(), `jm_pass_waiting_requests{route="floor",account="guests"} 0`, "a gauge returns to 0")
}
