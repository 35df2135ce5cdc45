package jmoperator

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
)

const (
	// maxPartySeries bounds the routes and client accounts with metrics of their own.
	// Those of all others are added up as otherRoute, without an account.
	maxPartySeries = 128
	otherRoute     = "other"
)

// party names a route and a client account.
type party struct{ route, account string }

// passLoad shows the load by route and client account. A party that has had series of its
// own keeps them, so that counters don't decrease.
type passLoad struct {
	load func() (load []jmpassnode.PartyLoad, isOverload bool)

	mu    sync.Mutex
	shown []party // the first one is for all others
}

// registerPassLoad adds the metrics of the requests that wait or have waited at an agent, by
// route and client account, and of whether there is an overload.
func registerPassLoad(set *metrics.Set, load func() (load []jmpassnode.PartyLoad, isOverload bool)) {
	p := &passLoad{load: load, shown: []party{{route: otherRoute}}}
	set.RegisterMetricsWriter(p.write)
}

func (p *passLoad) write(w io.Writer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := make(map[party]int, len(p.shown))
	for i, each := range p.shown {
		index[each] = i
	}
	sums := make([]jmpassnode.PartyLoad, len(p.shown), maxPartySeries+1)
	load, isOverload := p.load()
	for _, l := range load {
		at := party{l.Route, l.Account}
		i, found := index[at]
		if !found && len(p.shown) <= maxPartySeries {
			i = len(p.shown)
			index[at], p.shown, sums = i, append(p.shown, at), append(sums, jmpassnode.PartyLoad{})
		}
		s := &sums[i]
		s.Waiting += l.Waiting
		s.InTime, s.Late, s.GivenUp, s.Refused = s.InTime+l.InTime, s.Late+l.Late, s.GivenUp+l.GivenUp, s.Refused+l.Refused
	}
	overload := 0
	if isOverload {
		overload = 1
	}
	_, _ = fmt.Fprintf(w, "jm_pass_overload %d\n", overload)
	for i, each := range p.shown {
		labels := fmt.Sprintf("route=%q,account=%q", each.route, each.account)
		_, _ = fmt.Fprintf(w, "jm_pass_waiting_requests{%s} %d\n", labels, sums[i].Waiting)
		_, _ = fmt.Fprintf(w, "jm_pass_requests_total{%s,outcome=\"in_time\"} %d\n", labels, sums[i].InTime)
		_, _ = fmt.Fprintf(w, "jm_pass_requests_total{%s,outcome=\"late\"} %d\n", labels, sums[i].Late)
		_, _ = fmt.Fprintf(w, "jm_pass_requests_total{%s,outcome=\"given_up\"} %d\n", labels, sums[i].GivenUp)
		_, _ = fmt.Fprintf(w, "jm_pass_requests_total{%s,outcome=\"refused\"} %d\n", labels, sums[i].Refused)
	}
}
