package jmoperator

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
)

// registerCounter adds a metric that shows an atomic counter.
func registerCounter(set *metrics.Set, name string, value *atomic.Uint64) {
	set.NewGauge(name, func() float64 { return float64(value.Load()) })
}

// registerGauge adds a metric that shows the result of value.
func registerGauge(set *metrics.Set, name string, value func() int) {
	set.NewGauge(name, func() float64 { return float64(value()) })
}

// registerPanics adds the count of inputs that a guard, which may be nil, has dropped.
func registerPanics(set *metrics.Set, guard *jmguard.Guard) {
	set.NewGauge("jm_panics_total", func() float64 {
		if guard == nil {
			return 0
		}
		return float64(guard.Dropped.Load())
	})
}

// NodeMetrics returns a set with the metrics of a process's control node.
func NodeMetrics(n *jmnode.Node) *metrics.Set {
	set := metrics.NewSet()
	c := &n.Counters
	registerPanics(set, n.Guard)
	registerCounter(set, "jm_control_sent_bytes_total", &c.BytesSent)
	registerCounter(set, "jm_control_crossing_bytes_total", &c.BytesCrossing)
	registerCounter(set, "jm_control_dropped_total", &c.Dropped)
	registerCounter(set, "jm_control_exchanges_total", &c.Exchanges)
	registerCounter(set, "jm_platform_calls_total", &c.PlatformCalls)
	registerCounter(set, "jm_platform_errors_total", &c.PlatformErrors)
	for _, l := range []jmmember.Liveness{jmmember.Alive, jmmember.Suspect, jmmember.Dead} {
		registerGauge(set, fmt.Sprintf("jm_members{state=%q}", l), func() int { return countMembers(n, l) })
	}
	registerGauge(set, "jm_settings_faults", func() int {
		if config := n.View().Config; config != nil {
			return len(config.Faults)
		}
		return 0
	})
	return set
}

func countMembers(n *jmnode.Node, l jmmember.Liveness) (count int) {
	for _, s := range n.View().States {
		if s.Liveness == l {
			count++
		}
	}
	return count
}

// BalancerMetrics returns a set with the metrics of a balancer.
func BalancerMetrics(b *jmbalancer.Balancer) *metrics.Set {
	set := NodeMetrics(b.Node)
	c := &b.Counters
	registerCounter(set, "jm_balancer_forwarded_total", &c.Forwarded)
	registerCounter(set, "jm_balancer_placed_total", &c.Placed)
	registerCounter(set, "jm_balancer_returned_total", &c.Returned)
	registerCounter(set, "jm_balancer_spare_port_total", &c.SparePort)
	registerCounter(set, `jm_balancer_dropped_total{cause="not_quic"}`, &c.NotQUIC)
	registerCounter(set, `jm_balancer_dropped_total{cause="forged"}`, &c.Forged)
	registerCounter(set, `jm_balancer_dropped_total{cause="no_upstream"}`, &c.NoUpstream)
	registerCounter(set, `jm_balancer_dropped_total{cause="no_service"}`, &c.NoService)
	registerCounter(set, `jm_balancer_dropped_total{cause="bad_tag"}`, &c.BadTag)
	registerCounter(set, `jm_balancer_dropped_total{cause="too_short"}`, &c.TooShort)
	for number := range c.ForwardedByKey {
		registerCounter(set, fmt.Sprintf(`jm_balancer_key_used_total{key="%d"}`, number), &c.ForwardedByKey[number])
	}
	return set
}

// AgentMetrics returns a set with the metrics of an agent.
func AgentMetrics(a *jmagent.Agent) *metrics.Set {
	set := NodeMetrics(a.Node)
	c := &a.Counters
	registerCounter(set, "jm_agent_delivered_total", &c.Delivered)
	registerCounter(set, "jm_agent_handed_on_total", &c.HandedOver)
	registerCounter(set, "jm_agent_crossing_handed_on_total", &c.CrossingHandovers)
	registerCounter(set, "jm_agent_crossing_relays_total", &c.CrossingRelays)
	registerCounter(set, `jm_agent_dropped_total{cause="foreign"}`, &c.Foreign)
	registerCounter(set, `jm_agent_dropped_total{cause="forged"}`, &c.Forged)
	registerCounter(set, `jm_agent_dropped_total{cause="refused"}`, &c.Refused)
	registerCounter(set, `jm_agent_dropped_total{cause="overflow"}`, &c.Overflow)
	registerCounter(set, `jm_agent_dropped_total{cause="wrong_name"}`, &c.WrongName)
	registerCounter(set, `jm_agent_dropped_total{cause="bad_stream"}`, &c.BadStreams)
	s := a.StreamCounters()
	registerCounter(set, `jm_agent_streams_total{outcome="accepted"}`, &s.Accepted)
	registerCounter(set, `jm_agent_streams_total{outcome="relayed"}`, &s.Relayed)
	registerCounter(set, `jm_agent_streams_total{outcome="not_run"}`, &s.NotRun)
	registerCounter(set, `jm_agent_streams_total{outcome="unknown"}`, &s.Unknown)
	registerCounter(set, `jm_agent_streams_total{outcome="cancelled"}`, &s.Cancelled)
	registerCounter(set, `jm_agent_streams_total{outcome="repeated"}`, &s.Repeated)
	registerCounter(set, "jm_agent_fenced_total", &s.Fenced)
	registerGauge(set, "jm_agent_flows", func() int { _, flows := a.Usage(); return flows })
	registerGauge(set, "jm_agent_running", func() int { usage, _ := a.Usage(); return usage.Running })
	registerGauge(set, "jm_agent_waiting", func() int { usage, _ := a.Usage(); return usage.Waiting })
	registerGauge(set, "jm_agent_feeds", func() int { usage, _ := a.Usage(); return usage.Feeds })
	return set
}
