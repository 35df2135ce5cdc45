package jmoperator

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
)

// counter shows an atomic counter under a metric's name.
func counter(set *metrics.Set, name string, value *atomic.Uint64) {
	set.NewGauge(name, func() float64 { return float64(value.Load()) })
}

func gauge(set *metrics.Set, name string, value func() int) {
	set.NewGauge(name, func() float64 { return float64(value()) })
}

// NodeMetrics returns a set with the metrics of the control side.
func NodeMetrics(n *jmnode.Node) *metrics.Set {
	set := metrics.NewSet()
	c := &n.Counters
	counter(set, "jm_control_sent_bytes_total", &c.BytesSent)
	counter(set, "jm_control_crossing_bytes_total", &c.BytesCrossing)
	counter(set, "jm_control_dropped_total", &c.Dropped)
	counter(set, "jm_control_exchanges_total", &c.Exchanges)
	counter(set, "jm_platform_calls_total", &c.PlatformCalls)
	counter(set, "jm_platform_errors_total", &c.PlatformErrors)
	for _, l := range []jmmember.Liveness{jmmember.Alive, jmmember.Suspect, jmmember.Dead} {
		gauge(set, fmt.Sprintf("jm_members{state=%q}", l), func() int { return countMembers(n, l) })
	}
	gauge(set, "jm_settings_faults", func() int {
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
	counter(set, "jm_balancer_forwarded_total", &c.Forwarded)
	counter(set, "jm_balancer_placed_total", &c.Placed)
	counter(set, "jm_balancer_returned_total", &c.Returned)
	counter(set, "jm_balancer_spare_port_total", &c.SparePort)
	counter(set, `jm_balancer_dropped_total{cause="not_quic"}`, &c.NotQUIC)
	counter(set, `jm_balancer_dropped_total{cause="forged"}`, &c.Forged)
	counter(set, `jm_balancer_dropped_total{cause="no_upstream"}`, &c.NoUpstream)
	counter(set, `jm_balancer_dropped_total{cause="no_service"}`, &c.NoService)
	counter(set, `jm_balancer_dropped_total{cause="bad_tag"}`, &c.BadTag)
	counter(set, `jm_balancer_dropped_total{cause="too_short"}`, &c.TooShort)
	for number := range c.ByKey {
		counter(set, fmt.Sprintf(`jm_balancer_key_used_total{key="%d"}`, number), &c.ByKey[number])
	}
	return set
}

// AgentMetrics returns a set with the metrics of an agent.
func AgentMetrics(a *jmagent.Agent) *metrics.Set {
	set := NodeMetrics(a.Node)
	c := &a.Counters
	counter(set, "jm_agent_delivered_total", &c.Delivered)
	counter(set, "jm_agent_handed_on_total", &c.HandedOn)
	counter(set, "jm_agent_crossing_handed_on_total", &c.CrossingHand)
	counter(set, "jm_agent_crossing_relays_total", &c.CrossRelays)
	counter(set, `jm_agent_dropped_total{cause="foreign"}`, &c.Foreign)
	counter(set, `jm_agent_dropped_total{cause="forged"}`, &c.Forged)
	counter(set, `jm_agent_dropped_total{cause="refused"}`, &c.Refused)
	counter(set, `jm_agent_dropped_total{cause="overflow"}`, &c.Overflow)
	counter(set, `jm_agent_dropped_total{cause="wrong_name"}`, &c.WrongName)
	counter(set, `jm_agent_dropped_total{cause="bad_stream"}`, &c.BadStreams)
	s := a.StreamCounters()
	counter(set, `jm_agent_streams_total{outcome="accepted"}`, &s.Accepted)
	counter(set, `jm_agent_streams_total{outcome="relayed"}`, &s.Relayed)
	counter(set, `jm_agent_streams_total{outcome="not_run"}`, &s.NotRun)
	counter(set, `jm_agent_streams_total{outcome="unknown"}`, &s.Unknown)
	counter(set, `jm_agent_streams_total{outcome="cancelled"}`, &s.Cancelled)
	counter(set, `jm_agent_streams_total{outcome="repeated"}`, &s.Repeated)
	counter(set, "jm_agent_fenced_total", &s.Fenced)
	gauge(set, "jm_agent_flows", func() int { _, flows := a.Usage(); return flows })
	gauge(set, "jm_agent_running", func() int { usage, _ := a.Usage(); return usage.Running })
	gauge(set, "jm_agent_waiting", func() int { usage, _ := a.Usage(); return usage.Waiting })
	gauge(set, "jm_agent_feeds", func() int { usage, _ := a.Usage(); return usage.Feeds })
	return set
}
