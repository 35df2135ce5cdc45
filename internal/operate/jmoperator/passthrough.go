package jmoperator

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
)

// PassBalancerMetrics returns a set with the metrics of a balancer of
// pass-through flows.
func PassBalancerMetrics(b *jmpassnode.Balancer) *metrics.Set {
	set := metrics.NewSet()
	registerDirectory(set, b.Control)
	registerCounter(set, "jm_pass_malformed_total", &b.Malformed)
	registerPanics(set, b.Guard)
	registerReasons(set, b.Count)
	registerGauge(set, "jm_pass_flows", b.Flows)
	return set
}

// PassAgentMetrics returns a set with the metrics of an agent of pass-through
// flows. It sets the agent's OnAnswer, so it must be called before the agent runs.
func PassAgentMetrics(a *jmpassnode.Agent) *metrics.Set {
	set := metrics.NewSet()
	registerDirectory(set, a.Control)
	registerCounter(set, "jm_pass_malformed_total", &a.Malformed)
	registerPanics(set, a.Guard)
	registerReasons(set, a.Count)
	registerGauge(set, "jm_pass_flows", func() int { flows, _ := a.Flows(); return flows })
	registerGauge(set, "jm_pass_waiting", func() int { _, inFlight := a.Flows(); return inFlight })
	seconds := func(read func(c jmpass.Capacity) time.Duration) func() float64 {
		return func() float64 { return read(a.Capacity()).Seconds() }
	}
	set.NewGauge("jm_pass_usual_work_seconds", seconds(func(c jmpass.Capacity) time.Duration { return c.Usual }))
	set.NewGauge("jm_pass_mean_work_seconds", seconds(func(c jmpass.Capacity) time.Duration { return c.Mean }))
	set.NewGauge("jm_pass_wait_seconds", seconds(func(c jmpass.Capacity) time.Duration { return c.Wait }))
	set.NewGauge("jm_pass_tail_share", func() float64 { return a.Capacity().TailShare })
	set.NewGauge("jm_pass_rate", func() float64 { return a.Capacity().Rate })
	set.NewGauge("jm_pass_feed_rate", func() float64 { return a.Capacity().FeedRate })
	registerPassLoad(set, func() ([]jmpassnode.PartyLoad, bool) { return a.Load(time.Now()) })
	answers := set.NewHistogram("jm_pass_answer_seconds")
	a.OnAnswer = func(took time.Duration) { answers.Update(took.Seconds()) }
	return set
}

// registerReasons adds the count of decisions for each reason.
func registerReasons(set *metrics.Set, count func(jmpass.Reason) uint64) {
	for i := range jmpass.ReasonCount {
		reason := jmpass.Reason(i)
		set.NewGauge(fmt.Sprintf("jm_pass_decisions_total{reason=%q}", reason), func() float64 { return float64(count(reason)) })
	}
}

// registerDirectory adds the metrics of the directory. They are 0 while control
// returns nil.
func registerDirectory(set *metrics.Set, control func() *jmpassnode.Control) {
	value := func(read func(c *jmpassnode.Control) float64) func() float64 {
		return func() float64 {
			if c := control(); c != nil {
				return read(c)
			}
			return 0
		}
	}
	set.NewGauge("jm_directory_calls_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Counters.PlatformCalls.Load()) }))
	set.NewGauge("jm_directory_errors_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Counters.PlatformErrors.Load()) }))
	set.NewGauge("jm_directory_sent_bytes_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Counters.BytesSent.Load()) }))
	set.NewGauge("jm_directory_dropped_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Counters.Dropped.Load()) }))
	set.NewGauge("jm_directory_exchanges_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Counters.Exchanges.Load()) }))
	set.NewGauge("jm_directory_unusable_total", value(func(c *jmpassnode.Control) float64 { return float64(c.Directory.Unusable()) }))
	set.NewGauge("jm_directory_era", value(func(c *jmpassnode.Control) float64 {
		if s := c.Snapshot(); s != nil {
			return float64(s.Revision.Era())
		}
		return 0
	}))
	set.NewGauge("jm_directory_version", value(func(c *jmpassnode.Control) float64 {
		if s := c.Snapshot(); s != nil {
			return float64(s.Version)
		}
		return 0
	}))
	set.NewGauge("jm_directory_evacuations", value(func(c *jmpassnode.Control) float64 {
		if s := c.Snapshot(); s != nil {
			return float64(len(s.Evacuated))
		}
		return 0
	}))
	set.NewGauge("jm_directory_unnamed", value(func(c *jmpassnode.Control) float64 {
		if s := c.Snapshot(); s != nil {
			return float64(len(s.Unnamed))
		}
		return 0
	}))
	set.NewGauge("jm_directory_age_seconds", value(func(c *jmpassnode.Control) float64 {
		if s := c.Snapshot(); s != nil {
			return time.Since(s.AsOf).Seconds()
		}
		return 0
	}))
}
